"""Estimate one amount, as such or as a part of what was declared."""

import math

from basilspindle.policy import decaying_histogram

# Parts are counted in thousandths, far below the width of a bucket.
_PART_UNIT = 1_000


class AmountEstimate:
    """Quantiles of one amount; parts of the declared one go first."""

    __slots__ = ('_amounts', '_parts')

    def __init__(self, half_life: int) -> None:
        self._amounts = decaying_histogram.DecayingHistogram(half_life)
        self._parts = decaying_histogram.DecayingHistogram(half_life)

    def add(self, amount: int, declared: int) -> None:
        """Observe an amount; ``declared`` 0 means unknown."""
        if declared > 0:
            self._parts.add(amount / declared * _PART_UNIT)
        else:
            self._amounts.add(amount)

    def quantile(
        self, quantile: float, declared: int, least: int
    ) -> int | None:
        """Return a quantile, None with fewer observations than ``least``."""
        if self._parts.count >= least:
            part = self._parts.quantile(quantile)
            return math.ceil(declared * part / _PART_UNIT)
        if self._amounts.count >= least:
            return self._amounts.quantile(quantile)
        return None
