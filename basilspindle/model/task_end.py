"""Define the end of one attempt of a task."""

import msgspec

from basilspindle.model import resources as resources_module
from basilspindle.model import state as state_module


class TaskEnd(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one attempt of a task.

    ``state`` is SUCCEEDED, FAILED, CANCELLED (stopped on request), QUEUED
    (certainly not run, or certainly ended without a result; an idempotent
    task may be started again) or UNKNOWN. ``started`` tells whether the
    attempt may have run. ``result`` is JSON. ``used`` is the peak usage
    that was observed, zero if none was reported.

    ``worker_epoch`` is the epoch of the placement lease under which the
    reporter knew the task. A report that the attempt was lost (QUEUED or
    UNKNOWN) is out of date if a holder with a higher epoch has found the
    task on the worker.

    ``lease_expired`` tells that the worker has not confirmed the end: the
    reporter has not renewed the task lease for as long as it lasts. Another
    daemon may have renewed it.
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
    lease_expired: bool = False
