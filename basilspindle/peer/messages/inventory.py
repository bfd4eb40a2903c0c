"""List the tasks of a partition on the workers of a holder."""

import msgspec

from basilspindle import model


class Inventory(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for the running tasks and unconfirmed ends of a partition."""

    partition: int
    partition_epoch: int
    member_id: str


class Inventoried(msgspec.Struct, frozen=True, kw_only=True):
    """The running tasks and unconfirmed ends of a partition.

    ``workers`` are the ids of the workers that the inventory covers.
    """

    running: list[model.RunningTask]
    ends: list[model.TaskEnd]
    workers: list[str]
