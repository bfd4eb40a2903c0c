"""Describe an ended task in the inventory of a worker."""

import msgspec

from basilspindle.fleet import task_spec
from basilspindle.fleet import worker_event


class EndedTask(msgspec.Struct, frozen=True, kw_only=True):
    """A task whose result the worker still keeps."""

    task: task_spec.TaskSpec
    end: worker_event.WorkerEvent
