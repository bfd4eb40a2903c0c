"""Decide at once whether a job can be served.

Answers bursts and a workspace that sends many times its usual: what waits
already is compared with what the fleet ends in the time a job has, so that
a caller learns at the first request when to return.
"""

import zlib

# Work that waits is turned away beyond this part of what the fleet can do
# before the job would be worth nothing.
_FULL_PART = 1.0
_MIN_RETRY_MS = 1_000
_MAX_RETRY_MS = 10_000
# Callers that are refused together return spread over this part more.
_SPREAD = 0.5


# A job has this many tries within its objective while the store is away.
_OUTAGE_TRIES = 4
_MAX_OUTAGE_RETRY_MS = 5_000


class Backlog:
    """Work that waits ahead of a class, in core-ms, and the fleet's size."""

    __slots__ = ('waiting_core_ms', 'cores')

    def __init__(self, waiting_core_ms: float, cores: float) -> None:
        self.waiting_core_ms = waiting_core_ms
        self.cores = cores

    @property
    def wait_ms(self) -> float:
        """Return the time the whole fleet needs for what waits."""
        if self.cores <= 0:
            return 0.0
        return self.waiting_core_ms / self.cores


def outage_retry_ms(objective_ms: int) -> int:
    """Return when to come back while nothing can be recorded.

    How long an outage lasts is not known: short jobs are worth little
    after it and try soon, long ones spread their tries over their time.
    """
    return min(
        max(objective_ms // _OUTAGE_TRIES, _MIN_RETRY_MS),
        _MAX_OUTAGE_RETRY_MS,
    )


def refusal_retry_ms(
    backlog: Backlog, usable_ms: float, job_id: str
) -> int | None:
    """Return when to come back, or None to accept the job.

    ``usable_ms`` is how long the job may wait and still count. The time to
    return is when enough of the backlog is worked off, spread by job id.
    """
    excess_ms = backlog.wait_ms - usable_ms * _FULL_PART
    if excess_ms <= 0:
        return None
    base_ms = min(max(excess_ms, _MIN_RETRY_MS), _MAX_RETRY_MS)
    spread = zlib.crc32(job_id.encode()) % 1000 / 1000 * _SPREAD
    return int(base_ms * (1 + spread))
