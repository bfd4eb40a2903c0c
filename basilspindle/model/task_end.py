"""Report the end of one attempt of a task."""

import msgspec

from basilspindle.model import resources as resources_module
from basilspindle.model import state as state_module


class TaskEnd(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one attempt.

    ``state`` is SUCCEEDED, FAILED, CANCELLED (stopped on request), QUEUED
    (certainly not run or certainly over without a result: may be started
    again if idempotent) or UNKNOWN. ``started`` tells whether the attempt
    may have run. ``result`` is JSON. ``used`` is the most that was observed,
    zero if no usage was reported. ``worker_epoch`` is the epoch of the
    placement lease under which the reporter knew the task; a loss (QUEUED
    or UNKNOWN) of a lower epoch than that of a later holder which found
    the task is out of date.
    """

    task_id: str
    attempt: int
    workspace: str
    partition: int
    worker_id: str
    state: state_module.State
    started: bool = True
    result: bytes = b''
    error: str = ''
    run_time_ms: int = 0
    used: resources_module.Resources = resources_module.Resources()
    worker_epoch: int = 0
