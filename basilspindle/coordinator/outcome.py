"""Decide what the end of an attempt means for its task."""

import enum

from basilspindle.coordinator import tracked_job
from basilspindle import model


class Verdict(enum.Enum):
    """What happens to a task after one attempt has ended."""

    FINAL = enum.auto()
    RETRY = enum.auto()
    RETRY_UNCOUNTED = enum.auto()
    UNKNOWN = enum.auto()
    CANCELLED = enum.auto()


def judge(
    tracked: tracked_job.TrackedJob, index: int, end: model.TaskEnd
) -> Verdict:
    """Return what to do after an end; never repeats what may have run.

    A non-idempotent task is started again only if the attempt was
    certainly not started.
    """
    if end.state is model.State.SUCCEEDED and not tracked.job.service:
        return Verdict.FINAL
    if not end.started and end.state is model.State.QUEUED:
        if tracked.cancelled:
            return Verdict.CANCELLED
        return Verdict.RETRY_UNCOUNTED
    if tracked.cancelled and end.state is model.State.CANCELLED:
        return Verdict.FINAL
    if not tracked.job.idempotent:
        return _judge_once(end)
    if tracked.cancelled:
        return Verdict.CANCELLED
    if tracked.job.service:
        return Verdict.RETRY
    if end.state is model.State.FAILED:
        tries = tracked.attempts.get(index, 0)
        return (
            Verdict.RETRY
            if tries < tracked.job.max_attempts
            else Verdict.FINAL
        )
    return Verdict.RETRY


def _judge_once(end: model.TaskEnd) -> Verdict:
    if end.state in (model.State.FAILED, model.State.SUCCEEDED):
        return Verdict.FINAL
    return Verdict.UNKNOWN
