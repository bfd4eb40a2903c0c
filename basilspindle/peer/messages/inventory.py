"""Ask a holder what runs on its workers for a partition."""

import msgspec

from basilspindle import model


class Inventory(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for the running tasks and unreported ends of a partition."""

    partition: int
    partition_epoch: int
    member_id: str


class Inventoried(msgspec.Struct, frozen=True, kw_only=True):
    """Tasks, ends, and the workers whose inventory was read.

    ``workers`` lists the ids of all workers that the replier holds.
    """

    running: list[model.RunningTask]
    ends: list[model.TaskEnd]
    workers: list[str]
