"""Order the waiting jobs of one workspace, class and shape."""

from basilspindle.policy import lazy_heap
from basilspindle.policy import operation_count
from basilspindle.policy import queue_entry


def _alive(key: int, entry: queue_entry.QueueEntry) -> bool:
    return entry.count > 0


class ShapeQueue(lazy_heap.LazyHeap):
    """First come, first served; what is given back keeps its turn."""

    __slots__ = ()

    def __init__(self, operations: operation_count.OperationCount) -> None:
        super().__init__(_alive, operations)

    def put(self, entry: queue_entry.QueueEntry) -> None:
        """Add an entry at the turn of its sequence."""
        self.add(entry.sequence, entry)

    def head(self) -> queue_entry.QueueEntry | None:
        """Return the entry that is next, or None."""
        found = self.first()
        return None if found is None else found[1]
