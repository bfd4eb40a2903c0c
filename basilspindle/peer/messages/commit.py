"""Start tasks with reserved capacity, or release the capacity."""

import msgspec

from basilspindle.peer.messages import place


class Commit(msgspec.Struct, frozen=True, kw_only=True):
    """Start tasks with holds, identified by (task id, attempt)."""

    partition: int
    partition_epoch: int
    tasks: list[tuple[str, int]]


class Committed(msgspec.Struct, frozen=True, kw_only=True):
    """The placement of each task, in the order of the request."""

    placements: list[place.Placement]


class Drop(msgspec.Struct, frozen=True, kw_only=True):
    """Release the holds of tasks that were not started.

    Tasks are identified by (task id, attempt).
    """

    tasks: list[tuple[str, int]]


class Dropped(msgspec.Struct, frozen=True, kw_only=True):
    """Confirm that the holds are released and their tasks not started."""
