"""Remember when running tasks are expected to end."""

import bisect
import heapq

from basilspindle.policy import amounts as amounts_module


class ExpectedEnds:
    """Expected ends of running tasks by shape.

    Tasks are not told apart: an end is taken for the task of the shape
    that was expected to end first.
    """

    __slots__ = ('_ends',)

    def __init__(self) -> None:
        self._ends: dict[amounts_module.Amounts, list[int]] = {}

    def add(
        self, amounts: amounts_module.Amounts, end_ms: int, count: int
    ) -> None:
        """Expect tasks of a shape to end."""
        ends = self._ends.setdefault(amounts, [])
        place = bisect.bisect_right(ends, end_ms)
        ends[place:place] = [end_ms] * count

    def end(self, amounts: amounts_module.Amounts, count: int) -> None:
        """Forget the tasks of a shape expected to end first."""
        self._forget(amounts, slice(0, count))

    def take_back(self, amounts: amounts_module.Amounts, count: int) -> None:
        """Forget the tasks of a shape expected to end last."""
        self._forget(amounts, slice(-count, None))

    def _forget(self, amounts: amounts_module.Amounts, part: slice) -> None:
        ends = self._ends.get(amounts)
        if ends is None:
            return
        del ends[part]
        if not ends:
            del self._ends[amounts]

    def when(
        self, shape: amounts_module.Amounts, missing: int
    ) -> tuple[int, int]:
        """Return when the ends leave room for so many tasks, and for how many.

        Returns (0, 0) if they never do.
        """
        left = [0, 0, 0, 0]
        reached_ms = freed = 0
        streams = [
            [(end_ms, amounts) for end_ms in ends]
            for amounts, ends in self._ends.items()
        ]
        for end_ms, amounts in heapq.merge(*streams):
            if reached_ms and end_ms > reached_ms:
                break
            left = [a + b for a, b in zip(left, amounts, strict=True)]
            units = amounts_module.multiple(shape, tuple(left))
            if units >= missing:
                reached_ms = end_ms
                freed = units
        return reached_ms, freed
