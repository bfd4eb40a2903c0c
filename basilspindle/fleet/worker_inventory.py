"""Carry what a worker runs and which results it keeps."""

import msgspec

from basilspindle.fleet import ended_task
from basilspindle.fleet import task_spec


class WorkerInventory(msgspec.Struct, frozen=True, kw_only=True):
    """Running and ended tasks; ``next`` is the ``after`` of a poll.

    ``epoch`` is the latest epoch that was granted.
    """

    incarnation: str
    epoch: int
    next: int
    running: list[task_spec.TaskSpec]
    ended: list[ended_task.EndedTask]
