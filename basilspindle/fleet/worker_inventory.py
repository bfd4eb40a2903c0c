"""Describe the tasks and kept results of a worker."""

import msgspec

from basilspindle import decoding
from basilspindle.fleet import ended_task
from basilspindle.fleet import task_spec


class WorkerInventory(msgspec.Struct, frozen=True, kw_only=True):
    """Running tasks, and ended tasks whose results are still kept.

    ``epoch`` is the latest lease epoch that the worker granted. Event
    polls continue with ``next`` as their ``after``; it is 0 if it is not
    known.

    ``other_running`` are running attempts of which no more could be read.
    A task that is missing in an inventory that does not list all running
    or all ended tasks, since some could not be read, may be among these.
    """

    incarnation: str
    epoch: decoding.Count
    next: decoding.Count
    running: list[task_spec.TaskSpec]
    ended: list[ended_task.EndedTask]
    other_running: frozenset[tuple[str, int]] = frozenset()
    lists_all_running: bool = True
    lists_all_ended: bool = True
