"""Decide at submission whether a job can be served in time.

Capacity is short if a job can't start at once. A refused caller learns with
its first request when there is room for its job.
"""

import enum
import typing
import zlib

from basilspindle.cell.decisions import expected_start
from basilspindle.cell.decisions import urgency
from basilspindle.cell import state as state_module
from basilspindle.workflow import definition as definition_module

# A refusal costs the caller at least this much, as times on the wire are
# whole seconds of at least 1.
_MIN_RETRY_MS = 1_000
# No caller is told to wait for longer: what is known of the load by now says
# little about it then, and callers repeat a job four times only.
_MAX_RETRY_MS = 30_000
# A caller comes back within this fraction of the time in which its result has
# value: estimates are off, and one that is refused again may try once more.
_MAX_USEFUL_FRACTION = 0.875
# A repeat helps only once the configuration or the workers have changed.
_UNSERVABLE_RETRY_MS = 10_000
# A job that is several times as large as the mean takes the room of as many
# others, which would be refused in its place. Jobs of one kind differ by about
# this factor; one above it may use up a smaller part of its slack, so that it
# yields before the others do. It keeps a quarter, so that it does not starve.
_USUAL_RELATIVE_WORK = 4.0
_MIN_SLACK_FRACTION = 0.25
# Errors of the estimates are borne by the workspace that is beyond its share.
_BEYOND_SHARE_SLACK_FRACTION = 0.5

# During a store outage a job is retried this many times within its objective.
_RETRIES_PER_OBJECTIVE = 4
_MAX_OUTAGE_RETRY_MS = 5_000


class RefusalReason(enum.StrEnum):
    """Reason why a job is refused."""

    NO_WORKER = 'no_worker_fits'
    ABOVE_LIMIT = 'above_limit'
    LIMIT = 'workspace_limit'
    CAPACITY = 'capacity'
    BEYOND_SHARE = 'beyond_share'
    NO_VALUE = 'no_value_left'


_UNSERVABLE = {
    expected_start.Reason.NO_WORKER: RefusalReason.NO_WORKER,
    expected_start.Reason.ABOVE_LIMIT: RefusalReason.ABOVE_LIMIT,
}


class Assessment(typing.NamedTuple):
    """What a job may expect, and whether it is to be refused.

    ``expectation`` is None for a job that is always accepted, and ``reason``
    None for one that is accepted now.
    """

    expectation: expected_start.Expectation | None
    reason: RefusalReason | None = None
    retry_ms: int = 0


def is_beyond_share(
    state: state_module.CellState,
    definition: definition_module.JobDefinition,
    now_ms: int,
) -> bool:
    """Tell whether a job counts as beyond its share; takes no token.

    The share is kept for jobs that can be on time: if callers that come back
    late used it up, new jobs would be refused and late in turn.
    """
    workspace = state.workspace_config(definition.workspace)
    if workspace is None or not workspace.share_jobs_s:
        return False
    if state.share_limiter.is_beyond(workspace, now_ms):
        return True
    promise = state.retry_promises.get(definition.job_id)
    if promise is None:
        return False
    advice = state.advice_terms(definition)
    path_ms = urgency.critical_path_ms(definition, advice)
    objective_ms = urgency.objective_ms(definition, advice)
    return now_ms + path_ms > promise.first_sent_ms + objective_ms


def assess(
    state: state_module.CellState,
    definition: definition_module.JobDefinition,
    is_beyond_share: bool,
    now_ms: int,
) -> Assessment:
    """Decide whether a job is to be refused; counts and promises nothing."""
    if definition.max_runs or any(step.service for step in definition.steps):
        return Assessment(None)
    expectation = expected_start.expected_start_ms(
        state, definition, is_beyond_share, now_ms
    )
    mean_ms = state.arrivals.mean_millicore_ms(definition.pool)
    relative_work = work_millicore_ms(definition) / mean_ms if mean_ms else 1.0
    reason = refusal_reason(
        expectation, relative_work, is_beyond_share, now_ms
    )
    if reason is None:
        return Assessment(expectation)
    retry_ms = refusal_retry_ms(expectation, reason, definition.job_id, now_ms)
    return Assessment(expectation, reason, retry_ms)


def work_millicore_ms(definition: definition_module.JobDefinition) -> int:
    """Return the declared core time of a job."""
    return sum(
        step.count * step.reserved.cpu_millicores * step.estimate_ms
        for step in definition.steps
    )


def outage_retry_ms(objective_ms: int) -> int:
    """Return the retry delay while the store is unavailable.

    The length of an outage is unknown. Short jobs lose their value soon and
    are retried soon; long ones spread their retries over their objective.
    """
    return min(
        max(objective_ms // _RETRIES_PER_OBJECTIVE, _MIN_RETRY_MS),
        _MAX_OUTAGE_RETRY_MS,
    )


def refusal_reason(
    expectation: expected_start.Expectation,
    relative_work: float,
    is_beyond_share: bool,
    now_ms: int,
) -> RefusalReason | None:
    """Return why a job is to be refused, or None to accept it.

    ``relative_work`` is the core time of the job over that of the mean one.
    """
    unservable = _UNSERVABLE.get(expectation.reason)
    if unservable is not None:
        return unservable
    delay_ms = expectation.delay_ms
    has_value = expectation.end_ms <= expectation.worthless_ms
    is_new = expectation.first_sent_ms == now_ms
    if delay_ms <= 0:
        # The room would be idle otherwise. Callers that still repeat a job
        # want it done, however late.
        return None
    if not has_value and not is_new:
        return RefusalReason.NO_VALUE
    slack_ms = expectation.due_ms - expectation.end_ms + delay_ms
    part = _slack_fraction(relative_work, is_beyond_share)
    if delay_ms <= max(slack_ms * part, min(slack_ms, _MIN_RETRY_MS)):
        return None
    if is_beyond_share:
        return RefusalReason.BEYOND_SHARE
    if has_value and relative_work <= 1 and delay_ms <= _MIN_RETRY_MS:
        # It would be later still after a refusal, and takes little room.
        return None
    if expectation.reason is expected_start.Reason.LIMIT:
        return RefusalReason.LIMIT
    return RefusalReason.CAPACITY


def refusal_retry_ms(
    expectation: expected_start.Expectation,
    reason: RefusalReason,
    job_id: str,
    now_ms: int,
) -> int:
    """Return the retry delay of a refused job, in whole seconds.

    Callers whose room would come too late for their results to have value are
    spread over the time before that by a hash of the job id.
    """
    if reason in _UNSERVABLE.values():
        return _UNSERVABLE_RETRY_MS
    path_ms = expectation.end_ms - expectation.start_ms
    useful_ms = expectation.worthless_ms - path_ms - now_ms
    longest_ms = min(
        max(int(useful_ms * _MAX_USEFUL_FRACTION), _MIN_RETRY_MS),
        _MAX_RETRY_MS,
    )
    delay_ms = expectation.room_ms - now_ms
    if delay_ms > longest_ms:
        spread = zlib.crc32(job_id.encode()) % 1000 / 1000
        delay_ms = int(_MIN_RETRY_MS + spread * (longest_ms - _MIN_RETRY_MS))
    seconds = -(-delay_ms // 1000)
    return max(seconds * 1000, _MIN_RETRY_MS)


def _slack_fraction(relative_work: float, is_beyond_share: bool) -> float:
    fraction = 1.0
    if relative_work > _USUAL_RELATIVE_WORK:
        excess = relative_work / _USUAL_RELATIVE_WORK
        fraction = max(excess**-0.5, _MIN_SLACK_FRACTION)
    if is_beyond_share:
        fraction *= _BEYOND_SHARE_SLACK_FRACTION
    return fraction
