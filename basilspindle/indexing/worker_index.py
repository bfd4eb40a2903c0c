"""Index workers by each of their free amounts."""

import bisect
import collections.abc
import typing

from basilspindle.indexing import amounts as amounts_module

# What the index knows of a worker, for example its view.
_View = typing.TypeVar('_View')


class WorkerIndex(typing.Generic[_View]):
    """One sorted list of (free amount, serial) for each dimension.

    The serial number identifies a worker and orders equal amounts.
    """

    __slots__ = ('_sorted_amounts', '_views')

    def __init__(
        self, dimensions: int = len(amounts_module.DIMENSIONS)
    ) -> None:
        self._sorted_amounts: list[list[tuple[int, int]]] = [
            [] for _ in range(dimensions)
        ]
        self._views: dict[int, _View] = {}

    def __len__(self) -> int:
        return len(self._views)

    def add(
        self,
        serial: int,
        view: _View,
        free: tuple[int, ...],
    ) -> None:
        """Add a worker with its free amounts."""
        self._views[serial] = view
        for ordered, amount in zip(self._sorted_amounts, free, strict=True):
            bisect.insort(ordered, (amount, serial))

    def remove(self, serial: int, free: tuple[int, ...]) -> None:
        """Remove a worker that is indexed with these free amounts."""
        del self._views[serial]
        for ordered, amount in zip(self._sorted_amounts, free, strict=True):
            del ordered[bisect.bisect_left(ordered, (amount, serial))]

    def move(
        self,
        serial: int,
        old: tuple[int, ...],
        new: tuple[int, ...],
    ) -> None:
        """Change the free amounts of a worker."""
        for ordered, before, after in zip(
            self._sorted_amounts, old, new, strict=True
        ):
            if before != after:
                del ordered[bisect.bisect_left(ordered, (before, serial))]
                bisect.insort(ordered, (after, serial))

    def most_selective(self, need: tuple[int, ...]) -> int:
        """Return the dimension in which the fewest workers have enough."""
        most_selective = 0
        fewest = len(self._views) + 1
        for dimension, amount in enumerate(need):
            if amount:
                ordered = self._sorted_amounts[dimension]
                count = len(ordered) - bisect.bisect_left(ordered, (amount,))
                if count < fewest:
                    most_selective = dimension
                    fewest = count
        return most_selective

    def least_free_first(
        self, dimension: int, need: int
    ) -> collections.abc.Iterator[_View]:
        """Yield the workers with at least ``need`` free, least free first."""
        ordered = self._sorted_amounts[dimension]
        views = self._views
        for position in range(
            bisect.bisect_left(ordered, (need,)), len(ordered)
        ):
            yield views[ordered[position][1]]

    def most_free_first(
        self, dimension: int, need: int
    ) -> collections.abc.Iterator[_View]:
        """Yield the workers with at least ``need`` free, most free first."""
        ordered = self._sorted_amounts[dimension]
        views = self._views
        for position in range(len(ordered) - 1, -1, -1):
            amount, serial = ordered[position]
            if amount < need:
                return
            yield views[serial]
