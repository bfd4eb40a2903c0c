"""Decide what follows for a task from the end of an attempt."""

import enum

from basilspindle.coordinator import tracked_job
from basilspindle import model


class Decision(enum.Enum):
    """What happens to a task after one attempt has ended.

    ``FINAL`` ends the task in the state of the attempt; ``UNKNOWN`` and
    ``CANCELLED`` end it in the state of that name. ``RETRY_UNCOUNTED``
    queues it again without counting the attempt towards ``max_attempts``.
    """

    FINAL = enum.auto()
    RETRY = enum.auto()
    RETRY_UNCOUNTED = enum.auto()
    UNKNOWN = enum.auto()
    CANCELLED = enum.auto()


def decide(
    tracked: tracked_job.TrackedJob, index: int, end: model.TaskEnd
) -> Decision:
    """Return what happens to a task after the end of an attempt.

    A non-idempotent task is retried only if the attempt has certainly not
    started.
    """
    if end.state is model.State.SUCCEEDED and not tracked.job.service:
        return Decision.FINAL
    if not end.started and end.state is model.State.QUEUED:
        if tracked.cancelled:
            return Decision.CANCELLED
        return Decision.RETRY_UNCOUNTED
    if tracked.cancelled and end.state is model.State.CANCELLED:
        return Decision.FINAL
    if not tracked.job.idempotent:
        return _decide_non_idempotent(end)
    if tracked.cancelled:
        return Decision.CANCELLED
    if tracked.job.service:
        return Decision.RETRY
    if end.state is model.State.FAILED:
        attempts = tracked.attempts.get(index, 0)
        return (
            Decision.RETRY
            if attempts < tracked.job.max_attempts
            else Decision.FINAL
        )
    return Decision.RETRY


def _decide_non_idempotent(end: model.TaskEnd) -> Decision:
    if end.state in (model.State.FAILED, model.State.SUCCEEDED):
        return Decision.FINAL
    return Decision.UNKNOWN
