"""Queue the waiting jobs of one workspace, priority class and shape."""

from basilspindle.indexing import lazy_heap
from basilspindle.indexing import operation_count
from basilspindle.policy import queue_entry


def _has_waiting_tasks(key: int, entry: queue_entry.QueueEntry) -> bool:
    return entry.count > 0


class ShapeQueue(lazy_heap.LazyHeap[int, queue_entry.QueueEntry]):
    """FIFO queue; a requeued entry returns to its earlier place."""

    __slots__ = ()

    def __init__(self, operations: operation_count.OperationCount) -> None:
        super().__init__(_has_waiting_tasks, operations)

    def put(self, entry: queue_entry.QueueEntry) -> None:
        """Add an entry at the place of its sequence number."""
        self.add(entry.sequence, entry)

    def head(self) -> queue_entry.QueueEntry | None:
        """Return the next entry, or None."""
        item = self.first()
        return None if item is None else item[1]
