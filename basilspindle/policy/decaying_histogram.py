"""Estimate quantiles of recent amounts in bounded memory."""

import math

# Ratio of bucket bounds; a quantile is overestimated by at most 10 %.
GROWTH = 1.1
_LOG_GROWTH = math.log(GROWTH)
# Weights are rescaled above this value, before they overflow a float.
_MAX_WEIGHT = 1e100


class DecayingHistogram:
    """Histogram with exponential buckets and exponential decay.

    The weight of an observation halves with every ``half_life`` later ones:
    newer observations are added with a growing weight instead of decaying
    the older ones.
    """

    __slots__ = ('_weights', '_newest_weight', '_factor', 'count')

    def __init__(self, half_life: int) -> None:
        self._weights: dict[int, float] = {}
        self._newest_weight = 1.0
        self._factor = 2 ** (1 / half_life)
        self.count = 0

    def add(self, amount: float) -> None:
        """Record an observed amount."""
        bucket = 0
        if amount > 1:
            bucket = math.ceil(math.log(amount) / _LOG_GROWTH - 1e-9)
        self._newest_weight *= self._factor
        self._weights[bucket] = (
            self._weights.get(bucket, 0.0) + self._newest_weight
        )
        self.count += 1
        if self._newest_weight > _MAX_WEIGHT:
            self._rescale()

    def _rescale(self) -> None:
        scaled = {
            bucket: weight / self._newest_weight
            for bucket, weight in self._weights.items()
        }
        self._weights = {b: w for b, w in scaled.items() if w > 1e-9}
        self._newest_weight = 1.0

    def quantile(self, quantile: float) -> int:
        """Return the upper bound of the quantile's bucket, 0 if empty."""
        target = quantile * sum(self._weights.values())
        cumulative = 0.0
        bucket = 0
        for bucket in sorted(self._weights):
            cumulative += self._weights[bucket]
            if cumulative >= target:
                break
        return math.ceil(GROWTH**bucket) if self._weights else 0
