"""Estimate one amount, absolute or relative to the declared one."""

from basilspindle.policy import decaying_histogram

# Scales ratios to histogram buckets: a ratio of exactly 1 is the upper bound
# of its bucket, so a correct declaration is not rounded up, and the 150
# buckets below it resolve ratios down to one millionth.
_RATIO_SCALE = decaying_histogram.GROWTH**150


class AmountEstimate:
    """Quantiles of one amount.

    Ratios of observed to declared amounts are kept apart from amounts
    observed without a declaration, and take precedence over them.
    """

    __slots__ = ('_amounts', '_ratios')

    def __init__(self, half_life: int) -> None:
        self._amounts = decaying_histogram.DecayingHistogram(half_life)
        self._ratios = decaying_histogram.DecayingHistogram(half_life)

    def add(self, amount: int, declared: int) -> None:
        """Record an observed amount; ``declared`` 0 means unknown."""
        if declared > 0:
            self._ratios.add(amount / declared * _RATIO_SCALE)
        else:
            self._amounts.add(amount)

    def quantile(
        self, quantile: float, declared: int, min_observations: int
    ) -> int | None:
        """Return a quantile, None if there are too few observations."""
        if self._ratios.count >= min_observations:
            ratio = self._ratios.quantile(quantile)
            return round(declared * ratio / _RATIO_SCALE)
        if self._amounts.count >= min_observations:
            return self._amounts.quantile(quantile)
        return None
