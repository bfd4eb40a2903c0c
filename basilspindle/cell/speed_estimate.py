"""Estimate the speed of a worker from the durations of its tasks."""

import math

# Variance of the log slowness of a worker of which nothing is known. It
# covers workers of half and of twice the normal speed.
_INITIAL_VARIANCE = 0.25
# Added with each sample, so that a worker whose speed changes is noticed.
_DRIFT_VARIANCE = 0.0001
# A sample counts as at most this far from the estimate, in standard
# deviations and at all: 3 tasks in 100 take seven times as long as the others.
_MAX_DEVIATIONS = 2.5
_MAX_ERROR = 0.8


class SpeedEstimate:
    """Mean and variance of the log slowness of a worker.

    ``slowness`` is the ratio of task durations here to those on a worker of
    normal speed, ``samples`` the number of measured tasks. ``deviation`` is
    the standard deviation of the log slowness, and ``information`` tells how
    much is known, 0 before the first sample.
    """

    __slots__ = (
        'log_slowness',
        'variance',
        'deviation',
        'information',
        'slowness',
        'samples',
    )

    def __init__(self) -> None:
        self.log_slowness = 0.0
        self.variance = _INITIAL_VARIANCE
        self.deviation = math.sqrt(_INITIAL_VARIANCE)
        self.information = 0.0
        self.slowness = 1.0
        self.samples = 0

    def shift(self, log_ratio: float) -> None:
        """Make up for a change of what counts as normal speed."""
        if self.samples:
            self.log_slowness += log_ratio
            self.slowness = math.exp(self.log_slowness)

    def update(self, error: float, other_variance: float) -> None:
        """Correct the estimate by a sample.

        ``error`` is how much higher the log slowness was in the sample, and
        ``other_variance`` the variance of what else may explain that.
        """
        variance = self.variance + other_variance
        bound = min(_MAX_ERROR, _MAX_DEVIATIONS * math.sqrt(variance))
        gain = self.variance / variance
        self.log_slowness += gain * min(max(error, -bound), bound)
        self.variance = self.variance * (1 - gain) + _DRIFT_VARIANCE
        self.deviation = math.sqrt(self.variance)
        self.information = max(0.0, 1 / self.variance - 1 / _INITIAL_VARIANCE)
        self.slowness = math.exp(self.log_slowness)
        self.samples += 1
