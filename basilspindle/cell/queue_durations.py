"""Track how far the declared durations of a queue are off."""

import math

# Variance of the log ratio of actual to declared duration before any is
# known: declared durations are off by 0.2 to 0.9.
_INITIAL_VARIANCE = 0.36
_MIN_VARIANCE = 0.01
# Variance among the tasks of one step on equal workers before any is known:
# they differ by 0.15 to 0.3.
_INITIAL_TASK_VARIANCE = 0.06
_MAX_TASK_VARIANCE = 0.25
_TASK_WEIGHT = 0.01
# The durations of a step are never taken to be known better than this.
_MIN_STEP_VARIANCE = 0.002
# Steps that count as seen before the first one.
_PRIOR_STEPS = 1.0
_PRIOR_VARIANCE_STEPS = 4.0
# The latest steps count at least this much.
_MIN_WEIGHT = 0.02
# One task that takes seven times as long is not typical of its queue.
_MAX_LOG_RATIO = 1.5


class QueueDurations:
    """Mean and variance of the log ratio of actual to declared duration.

    ``pool`` runs the tasks, and ``factor`` is the ratio itself. The variance
    is that of one task, and includes the differences within a step.
    """

    __slots__ = (
        'pool',
        'factor',
        '_log_factor',
        '_variance',
        '_task_variance',
        '_steps',
    )

    def __init__(self, pool: str) -> None:
        self.pool = pool
        self.factor = 1.0
        self._log_factor = 0.0
        self._variance = _INITIAL_VARIANCE
        self._task_variance = _INITIAL_TASK_VARIANCE
        self._steps = 0.0

    def add(self, log_ratio: float, weight: float) -> None:
        """Add a ratio; the weights of the tasks of one step add up to 1."""
        error = log_ratio - self._log_factor
        error = min(max(error, -_MAX_LOG_RATIO), _MAX_LOG_RATIO)
        self._steps += weight
        share = max(_MIN_WEIGHT, 1 / (_PRIOR_STEPS + self._steps))
        self._log_factor += weight * share * error
        self.factor = math.exp(self._log_factor)
        share = max(_MIN_WEIGHT, 1 / (_PRIOR_VARIANCE_STEPS + self._steps))
        self._variance += weight * share * (error * error - self._variance)
        self._variance = max(self._variance, _MIN_VARIANCE)

    def shift(self, log_ratio: float) -> None:
        """Make up for a change of what counts as a worker of normal speed."""
        self._log_factor += log_ratio
        self.factor = math.exp(self._log_factor)

    def add_task_error(self, error: float, known_variance: float) -> None:
        """Add how far a task is from the other tasks of its step.

        ``known_variance`` is the part of its square that has other causes.
        """
        square = error * error - known_variance
        self._task_variance += _TASK_WEIGHT * (square - self._task_variance)
        self._task_variance = min(
            max(self._task_variance, _MIN_VARIANCE), _MAX_TASK_VARIANCE
        )

    @property
    def task_variance(self) -> float:
        """Return the variance among the tasks of one step."""
        return min(self._task_variance, self._variance)

    @property
    def step_variance(self) -> float:
        """Return the variance of the log duration of a step as a whole."""
        variance = self._variance - self.task_variance
        # The mean itself is not known better than the steps seen so far tell.
        variance *= 1 + 1 / (_PRIOR_STEPS + self._steps)
        return max(variance, _MIN_STEP_VARIANCE)
