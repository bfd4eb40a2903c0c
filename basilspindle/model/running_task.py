"""Define a task that a worker reports as running."""

import msgspec

from basilspindle.model import resources as resources_module


class RunningTask(msgspec.Struct, frozen=True, kw_only=True):
    """A task in a worker's inventory that has not ended.

    ``holder_id`` is the daemon process that holds the worker's placement
    lease, as ``<member id>@<incarnation>``. ``worker_epoch`` is the epoch
    of the placement lease under which the reporter knows the task.
    """

    task_id: str
    attempt: int
    job_id: str
    index: int
    workspace: str
    kind: str
    partition: int
    worker_id: str
    failure_domain: str
    rack: str
    resources: resources_module.Resources
    holder_id: str = ''
    worker_epoch: int = 0
