"""Decide at submission whether a job can be served in time.

In a burst, or when one workspace submits far more than usual, the backlog is
compared with what the fleet can process in the time the job has. A refused
caller thus learns with its first request when to retry.
"""

import zlib

# Jobs are refused if the backlog exceeds this fraction of what the fleet can
# process before the result of the job loses its value.
_MAX_BACKLOG_FRACTION = 1.0
_MIN_RETRY_MS = 1_000
_MAX_RETRY_MS = 10_000
# Callers refused at the same time are spread over this fraction of the delay.
_RETRY_JITTER_FRACTION = 0.5

# During a store outage a job is retried this many times within its objective.
_RETRIES_PER_OBJECTIVE = 4
_MAX_OUTAGE_RETRY_MS = 5_000


class Backlog:
    """Work waiting ahead of a job, in core-ms, and the cores of its pool."""

    __slots__ = ('waiting_core_ms', 'cores')

    def __init__(self, waiting_core_ms: float, cores: float) -> None:
        self.waiting_core_ms = waiting_core_ms
        self.cores = cores

    @property
    def wait_ms(self) -> float:
        """Return the time that the whole fleet needs for the backlog."""
        if self.cores <= 0:
            return 0.0
        return self.waiting_core_ms / self.cores


def outage_retry_ms(objective_ms: int) -> int:
    """Return the retry delay while the store is unavailable.

    The length of an outage is unknown. Short jobs lose their value soon and
    are retried soon; long ones spread their retries over their objective.
    """
    return min(
        max(objective_ms // _RETRIES_PER_OBJECTIVE, _MIN_RETRY_MS),
        _MAX_OUTAGE_RETRY_MS,
    )


def refusal_retry_ms(
    backlog: Backlog, usable_ms: float, job_id: str
) -> int | None:
    """Return the retry delay of a refused job, or None to accept it.

    ``usable_ms`` is how long the job may wait and still have value. The
    delay is the time to process the excess backlog, plus jitter that is
    derived from the job id.
    """
    excess_ms = backlog.wait_ms - usable_ms * _MAX_BACKLOG_FRACTION
    if excess_ms <= 0:
        return None
    base_ms = min(max(excess_ms, _MIN_RETRY_MS), _MAX_RETRY_MS)
    jitter = zlib.crc32(job_id.encode()) % 1000 / 1000 * _RETRY_JITTER_FRACTION
    return int(base_ms * (1 + jitter))
