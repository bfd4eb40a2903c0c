"""Keep workers sorted by each free amount."""

import bisect
import collections.abc

from basilspindle.policy import amounts as amounts_module
from basilspindle.policy import worker_view


class WorkerIndex:
    """Sorted lists of (free amount, serial), one for each amount."""

    __slots__ = ('_lists', '_views')

    def __init__(self) -> None:
        self._lists: list[list[tuple[int, int]]] = [
            [] for _ in amounts_module.DIMENSIONS
        ]
        self._views: dict[int, worker_view.WorkerView] = {}

    def __len__(self) -> int:
        return len(self._views)

    def add(
        self,
        serial: int,
        view: worker_view.WorkerView,
        free: amounts_module.Amounts,
    ) -> None:
        """Add a worker under its free amounts."""
        self._views[serial] = view
        for ordered, amount in zip(self._lists, free, strict=True):
            bisect.insort(ordered, (amount, serial))

    def remove(self, serial: int, free: amounts_module.Amounts) -> None:
        """Remove a worker that was added under these amounts."""
        del self._views[serial]
        for ordered, amount in zip(self._lists, free, strict=True):
            del ordered[bisect.bisect_left(ordered, (amount, serial))]

    def move(
        self,
        serial: int,
        old: amounts_module.Amounts,
        new: amounts_module.Amounts,
    ) -> None:
        """Change the free amounts of a worker."""
        for ordered, before, after in zip(self._lists, old, new, strict=True):
            if before != after:
                del ordered[bisect.bisect_left(ordered, (before, serial))]
                bisect.insort(ordered, (after, serial))

    def scarcest(self, need: amounts_module.Amounts) -> int:
        """Return the dimension in which the fewest workers have enough."""
        best = 0
        fewest = len(self._views) + 1
        for dimension, amount in enumerate(need):
            if amount:
                ordered = self._lists[dimension]
                count = len(ordered) - bisect.bisect_left(ordered, (amount,))
                if count < fewest:
                    best = dimension
                    fewest = count
        return best

    def fullest(
        self, dimension: int, need: int
    ) -> collections.abc.Iterator[worker_view.WorkerView]:
        """Yield workers with at least an amount, least free first."""
        ordered = self._lists[dimension]
        views = self._views
        for place in range(bisect.bisect_left(ordered, (need,)), len(ordered)):
            yield views[ordered[place][1]]

    def emptiest(
        self, dimension: int, need: int
    ) -> collections.abc.Iterator[worker_view.WorkerView]:
        """Yield workers with at least an amount, most free first."""
        ordered = self._lists[dimension]
        views = self._views
        for place in range(len(ordered) - 1, -1, -1):
            amount, serial = ordered[place]
            if amount < need:
                return
            yield views[serial]
