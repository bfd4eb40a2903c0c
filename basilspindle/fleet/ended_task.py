"""Carry an ended task of an inventory."""

import msgspec

from basilspindle.fleet import task_spec
from basilspindle.fleet import worker_event


class EndedTask(msgspec.Struct, frozen=True, kw_only=True):
    """A task whose end was not released yet."""

    task: task_spec.TaskSpec
    end: worker_event.WorkerEvent
