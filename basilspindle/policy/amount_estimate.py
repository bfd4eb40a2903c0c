"""Estimate one amount, as such or as a part of what was declared."""

from basilspindle.policy import decaying_histogram

# A part of exactly 1 is the bound of a bucket, so that correct declarations
# are not raised; 150 buckets below it hold parts down to a millionth.
_PART_UNIT = decaying_histogram.GROWTH**150


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
            return round(declared * part / _PART_UNIT)
        if self._amounts.count >= least:
            return self._amounts.quantile(quantile)
        return None
