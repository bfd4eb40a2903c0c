"""Track the expected end times of running tasks."""

import bisect
import heapq

from basilspindle.indexing import amounts as amounts_module


class ExpectedEnds:
    """Expected end times of running tasks by shape.

    Tasks of one shape are interchangeable: when one ends, the earliest
    expected end of its shape is removed.
    """

    __slots__ = ('_ends',)

    def __init__(self) -> None:
        self._ends: dict[amounts_module.Amounts, list[int]] = {}

    def add(
        self, amounts: amounts_module.Amounts, end_ms: int, count: int
    ) -> None:
        """Add tasks of a shape that are expected to end at ``end_ms``."""
        ends = self._ends.setdefault(amounts, [])
        position = bisect.bisect_right(ends, end_ms)
        ends[position:position] = [end_ms] * count

    def remove_earliest(
        self, amounts: amounts_module.Amounts, count: int
    ) -> None:
        """Remove the earliest expected ends of a shape."""
        self._remove(amounts, slice(0, count))

    def remove_latest(
        self, amounts: amounts_module.Amounts, count: int
    ) -> None:
        """Remove the latest expected ends of a shape."""
        self._remove(amounts, slice(-count, None))

    def _remove(self, amounts: amounts_module.Amounts, removed: slice) -> None:
        ends = self._ends.get(amounts)
        if ends is None:
            return
        del ends[removed]
        if not ends:
            del self._ends[amounts]

    def room_at(
        self, shape: amounts_module.Amounts, missing: int
    ) -> tuple[int, int]:
        """Return when ``missing`` more tasks fit, and how many fit then.

        Returns (0, 0) if the expected ends never free enough room.
        """
        freed_amounts = [0, 0, 0, 0]
        room_ms = freed_tasks = 0
        streams = [
            [(end_ms, amounts) for end_ms in ends]
            for amounts, ends in self._ends.items()
        ]
        for end_ms, amounts in heapq.merge(*streams):
            if room_ms and end_ms > room_ms:
                break
            freed_amounts = [
                a + b for a, b in zip(freed_amounts, amounts, strict=True)
            ]
            fitting = amounts_module.tasks_that_fit(
                shape, tuple(freed_amounts)
            )
            if fitting >= missing:
                room_ms = end_ms
                freed_tasks = fitting
        return room_ms, freed_tasks
