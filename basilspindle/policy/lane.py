"""Order the waiting jobs of one workspace, class and shape."""

from basilspindle.policy import entry as entry_module
from basilspindle.policy import lazy_heap
from basilspindle.policy import step_count


def _alive(key: int, entry: entry_module.Entry) -> bool:
    return entry.count > 0


class Lane(lazy_heap.LazyHeap):
    """First come, first served; what is given back keeps its turn."""

    __slots__ = ()

    def __init__(self, steps: step_count.StepCount) -> None:
        super().__init__(_alive, steps)

    def put(self, entry: entry_module.Entry) -> None:
        """Add an entry at the turn of its sequence."""
        self.add(entry.sequence, entry)

    def head(self) -> entry_module.Entry | None:
        """Return the entry that is next, or None."""
        found = self.first()
        return None if found is None else found[1]
