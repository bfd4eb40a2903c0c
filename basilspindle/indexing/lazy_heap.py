"""Order items in a heap with lazy deletion."""

import heapq
import typing

from basilspindle.indexing import operation_count

# Below this length, compacting costs more than the memory it saves.
_MIN_COMPACTION_LENGTH = 32


class _Entry(typing.Protocol):
    """What is in a heap; ``sequence`` orders entries with equal keys."""

    sequence: int


# A key that orders the items of a heap, such as a time.
_Key = typing.TypeVar('_Key')
_Item = typing.TypeVar('_Item', bound=_Entry)


class LazyHeap(typing.Generic[_Key, _Item]):
    """Heap of entries with lazy deletion.

    Dead items are dropped when they reach the top or when the heap is
    compacted, so a removal takes amortised constant time. ``alive`` tells
    whether an item, an entry under the key it was added with, is still
    valid.
    """

    __slots__ = ('_heap', '_alive', '_dead', '_operations')

    def __init__(
        self,
        alive: typing.Callable[[_Key, _Item], bool],
        operations: operation_count.OperationCount,
    ) -> None:
        self._heap: list[tuple[_Key, int, _Item]] = []
        self._alive = alive
        self._dead = 0
        self._operations = operations

    def __len__(self) -> int:
        return len(self._heap) - self._dead

    def add(self, key: _Key, entry: _Item) -> None:
        """Add an entry under a key."""
        self._operations.count += 1
        heapq.heappush(self._heap, (key, entry.sequence, entry))

    def first(self) -> tuple[_Key, _Item] | None:
        """Return the live item with the lowest key, or None."""
        while self._heap:
            key, _, entry = self._heap[0]
            if self._alive(key, entry):
                return key, entry
            self._operations.count += 1
            heapq.heappop(self._heap)
            self._dead = max(0, self._dead - 1)
        return None

    def mark_dead(self) -> None:
        """Count one item as dead; compact once most items are."""
        self._dead += 1
        length = len(self._heap)
        if length >= _MIN_COMPACTION_LENGTH and 2 * self._dead > length:
            self._compact()

    def _compact(self) -> None:
        self._operations.count += len(self._heap)
        self._heap = [
            item for item in self._heap if self._alive(item[0], item[2])
        ]
        heapq.heapify(self._heap)
        self._dead = 0
