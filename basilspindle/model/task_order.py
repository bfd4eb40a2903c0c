"""Define the order to run one attempt of a task on a worker."""

import msgspec

from basilspindle.model import priority as priority_module
from basilspindle.model import resources as resources_module


class TaskOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that the lease holder and the worker need for one attempt.

    ``partition`` and ``partition_epoch`` identify the owner that issued the
    order. ``siblings`` counts the running tasks of the same job by failure
    domain and by rack, so that a service can be spread over them. ``avoid``
    lists the workers on which this task has failed.
    """

    task_id: str
    attempt: int
    job_id: str
    index: int
    workspace: str
    kind: str
    priority: priority_module.Priority
    resources: resources_module.Resources
    run_time_ms: int
    idempotent: bool
    service: bool
    input: bytes
    partition: int
    partition_epoch: int
    siblings: dict[str, int] = {}
    avoid: list[str] = []
