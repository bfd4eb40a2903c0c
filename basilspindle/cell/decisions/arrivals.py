"""Measure the work that arrives, as a moving average."""

import math

from basilspindle.cell.decisions import backlog as backlog_module

# Longer than the bursts that a share allows (2 s), shorter than the objective
# of work that can wait (14 s and more).
_WINDOW_MS = 5_000


class _Average:
    """Decaying sums of amounts and of how often they were added."""

    __slots__ = ('_amount', '_count', '_updated_ms')

    def __init__(self) -> None:
        self._amount = 0.0
        self._count = 0.0
        self._updated_ms = 0

    def add(self, amount: float, now_ms: int) -> None:
        """Add an amount."""
        self._decay(now_ms)
        self._amount += amount
        self._count += 1

    def per_ms(self, now_ms: int) -> float:
        """Return the rate at which amounts are added."""
        return self._amount * self._kept(now_ms) / _WINDOW_MS

    def mean(self) -> float:
        """Return the mean of the latest amounts, 0 if there are none."""
        return self._amount / self._count if self._count else 0.0

    def _decay(self, now_ms: int) -> None:
        kept = self._kept(now_ms)
        self._updated_ms = now_ms
        self._amount *= kept
        self._count *= kept

    def _kept(self, now_ms: int) -> float:
        # The part of the sums that is left.
        return math.exp(-max(0, now_ms - self._updated_ms) / _WINDOW_MS)


class Arrivals:
    """Cores of accepted jobs by pool and rank, and work of submitted ones."""

    __slots__ = ('_accepted', '_submitted')

    def __init__(self) -> None:
        self._accepted: dict[str, dict[backlog_module.Rank, _Average]] = {}
        self._submitted: dict[str, _Average] = {}

    def add_submitted(
        self, pool: str, millicore_ms: float, now_ms: int
    ) -> None:
        """Count the work of a job that was submitted for the first time."""
        self._submitted.setdefault(pool, _Average()).add(millicore_ms, now_ms)

    def add_accepted(
        self,
        pool: str,
        rank: backlog_module.Rank,
        millicores: int,
        now_ms: int,
    ) -> None:
        """Count the cores that the tasks of an accepted job will take."""
        ranks = self._accepted.setdefault(pool, {})
        ranks.setdefault(rank, _Average()).add(millicores, now_ms)

    def millicores_per_ms(
        self, pool: str, before: backlog_module.Rank, now_ms: int
    ) -> float:
        """Return the rate of accepted work that ranks before a rank."""
        return sum(
            average.per_ms(now_ms)
            for rank, average in self._accepted.get(pool, {}).items()
            if rank < before
        )

    def mean_millicore_ms(self, pool: str) -> float:
        """Return the mean work of the jobs submitted lately."""
        average = self._submitted.get(pool)
        return average.mean() if average is not None else 0.0
