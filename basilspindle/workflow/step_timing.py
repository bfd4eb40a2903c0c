"""Estimate how long a task of one step takes, from its measured tasks."""

import math


class StepTiming:
    """Measured log durations of the tasks of a step, at normal speed.

    The mean begins at a prior, and each measurement counts by its precision
    (the reciprocal of its variance). Sums are kept by worker, so that a worker
    can be compared with the others only. ``task_variance`` is the variance
    among the tasks of the step on equal workers, ``variance`` that of the
    expected log duration.
    """

    __slots__ = (
        'task_variance',
        'expected_ms',
        '_precision',
        '_weighted_sum',
        '_by_worker',
    )

    def __init__(
        self, expected_ms: float, variance: float, task_variance: float
    ) -> None:
        self.task_variance = task_variance
        self.expected_ms = expected_ms
        self._precision = 1 / variance
        self._weighted_sum = math.log(expected_ms) / variance
        # Precision, weighted sum and number of the measurements by worker id.
        self._by_worker: dict[str, tuple[float, float, int]] = {}

    @property
    def variance(self) -> float:
        """Return the variance of the expected log duration."""
        return 1 / self._precision

    @property
    def log_expected(self) -> float:
        """Return the expected log duration."""
        return self._weighted_sum / self._precision

    def without(self, worker_id: str) -> tuple[float, float]:
        """Return the mean and its variance as measured on other workers."""
        own = self._by_worker.get(worker_id)
        if own is None:
            return self.log_expected, self.variance
        precision = self._precision - own[0]
        return (self._weighted_sum - own[1]) / precision, 1 / precision

    def sample_variance(self, worker_id: str, variance: float) -> float:
        """Return the variance of one more comparison of a worker.

        All its tasks are compared with the same mean, whose ``variance`` they
        share: the tenth one of a step tells far less than the first.
        """
        number = self._by_worker.get(worker_id, (0.0, 0.0, 0))[2] + 1
        known = 1 / (variance + self.task_variance / number)
        if number > 1:
            known -= 1 / (variance + self.task_variance / (number - 1))
        return 1 / max(known, 1e-6)

    def add(
        self, worker_id: str, log_duration: float, variance: float
    ) -> None:
        """Add the log duration of a task, scaled to normal speed."""
        own = self._by_worker.get(worker_id, (0.0, 0.0, 0))
        weighted = log_duration / variance
        self._by_worker[worker_id] = (
            own[0] + 1 / variance,
            own[1] + weighted,
            own[2] + 1,
        )
        self._precision += 1 / variance
        self._weighted_sum += weighted
        self.expected_ms = math.exp(self.log_expected)
