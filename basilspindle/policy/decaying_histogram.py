"""Estimate quantiles of recent amounts in little memory."""

import math

# Buckets grow by a tenth, so that a quantile is at most a tenth too high.
GROWTH = 1.1
_LOG_GROWTH = math.log(GROWTH)
# Weights are rescaled before they exceed the range of a float.
_RESCALE_AT = 1e100


class DecayingHistogram:
    """Counts in exponential buckets; older ones weigh less.

    An observation weighs half after ``half_life`` further ones.
    """

    __slots__ = ('_weights', '_weight', '_factor', 'count')

    def __init__(self, half_life: int) -> None:
        self._weights: dict[int, float] = {}
        self._weight = 1.0
        self._factor = 2 ** (1 / half_life)
        self.count = 0

    def add(self, amount: float) -> None:
        """Observe an amount."""
        bucket = 0
        if amount > 1:
            bucket = math.ceil(math.log(amount) / _LOG_GROWTH - 1e-9)
        self._weight *= self._factor
        self._weights[bucket] = self._weights.get(bucket, 0.0) + self._weight
        self.count += 1
        if self._weight > _RESCALE_AT:
            self._rescale()

    def _rescale(self) -> None:
        scaled = {
            bucket: weight / self._weight
            for bucket, weight in self._weights.items()
        }
        self._weights = {b: w for b, w in scaled.items() if w > 1e-9}
        self._weight = 1.0

    def quantile(self, quantile: float) -> int:
        """Return the upper bound of the bucket of a quantile, 0 if empty."""
        target = quantile * sum(self._weights.values())
        seen = 0.0
        bucket = 0
        for bucket in sorted(self._weights):
            seen += self._weights[bucket]
            if seen >= target:
                break
        return math.ceil(GROWTH**bucket) if self._weights else 0
