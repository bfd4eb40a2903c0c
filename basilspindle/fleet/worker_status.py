"""Describe one worker to operators."""

import msgspec

from basilspindle.fleet import worker_info
from basilspindle import model


class WorkerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of a worker as its lease holder sees it.

    ``allowance`` is the number of tasks that a quarantined worker may run
    at once; -1 means no limit. ``lease_left_ms`` is 0 without a lease.
    ``tasks`` counts the allocations by phase.
    """

    info: worker_info.WorkerInfo
    epoch: int
    incarnation: str
    ready: bool
    suspect: bool
    allowance: int
    lease_left_ms: int
    free: model.Resources
    total: model.Resources
    tasks: dict[str, int]
    penalty: float
