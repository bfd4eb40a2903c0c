"""Start or drop tasks that hold capacity."""

import msgspec

from basilspindle.peer.messages import place


class Commit(msgspec.Struct, frozen=True, kw_only=True):
    """Start held tasks, named by (task id, attempt)."""

    partition: int
    partition_epoch: int
    tasks: list[tuple[str, int]]


class Committed(msgspec.Struct, frozen=True, kw_only=True):
    """One placement for each task, in the same order."""

    placements: list[place.Placement]


class Drop(msgspec.Struct, frozen=True, kw_only=True):
    """Give back the capacity of held tasks that were not started."""

    tasks: list[tuple[str, int]]


class Dropped(msgspec.Struct, frozen=True, kw_only=True):
    """Confirm that the holds are gone and were never started."""
