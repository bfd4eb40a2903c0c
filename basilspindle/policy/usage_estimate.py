"""Estimate resources and run times from observed usage."""

from basilspindle import model
from basilspindle.policy import amount_estimate
from basilspindle.policy import decaying_histogram

# With fewer observations, declarations are used as they are.
MIN_OBSERVATIONS = 20
HALF_LIFE_OBSERVATIONS = 500
# The memory quantile is higher: a task short of CPU is slower, but one short
# of memory fails.
CPU_QUANTILE = 0.95
MEMORY_QUANTILE = 0.99
RUN_TIME_QUANTILE = 0.9
# Lower bound of an estimate, as a fraction of the declared amount. At 1.0 the
# larger of the declared and the observed amount counts.
MIN_DECLARED_FRACTION = 1.0


class UsageEstimate:
    """Usage of one kind of job in one workspace.

    Usage is reported with a delay, so estimates lag behind.
    """

    __slots__ = (
        '_cpu',
        '_memory',
        '_run_time',
        '_min_declared_fraction',
        '_min_observations',
    )

    def __init__(
        self,
        *,
        min_declared_fraction: float = MIN_DECLARED_FRACTION,
        half_life: int = HALF_LIFE_OBSERVATIONS,
        min_observations: int = MIN_OBSERVATIONS,
    ) -> None:
        self._cpu = amount_estimate.AmountEstimate(half_life)
        self._memory = amount_estimate.AmountEstimate(half_life)
        self._run_time = decaying_histogram.DecayingHistogram(half_life)
        self._min_declared_fraction = min_declared_fraction
        self._min_observations = min_observations

    def observe(
        self,
        used: model.Resources | None = None,
        run_time_ms: int = 0,
        *,
        declared: model.Resources | None = None,
    ) -> None:
        """Record the usage of a task, the run time of an ended one, or both.

        With ``declared``, the ratio of used to declared amounts is recorded,
        which suits kinds whose jobs declare different reference.
        ``run_time_ms`` 0 means that the task has not ended.
        """
        if used is not None:
            reference = declared or model.Resources()
            self._cpu.add(used.cpu_millicores, reference.cpu_millicores)
            self._memory.add(used.memory_mb, reference.memory_mb)
        if run_time_ms > 0:
            self._run_time.add(run_time_ms)

    def resources(
        self,
        declared: model.Resources,
        largest: model.Resources | None = None,
    ) -> model.Resources:
        """Return the estimated resources of a task.

        ``largest`` is the size of the largest worker: a task whose
        declaration fits it is never estimated above it. Slots and
        accelerators are returned as declared.
        """
        cpu = self._correct(self._cpu, CPU_QUANTILE, declared.cpu_millicores)
        memory = self._correct(
            self._memory, MEMORY_QUANTILE, declared.memory_mb
        )
        if largest is not None:
            cpu = _limit_to_worker(
                cpu, declared.cpu_millicores, largest.cpu_millicores
            )
            memory = _limit_to_worker(
                memory, declared.memory_mb, largest.memory_mb
            )
        return model.Resources(
            cpu, memory, declared.accelerators, declared.slots
        )

    def _correct(
        self,
        observed: amount_estimate.AmountEstimate,
        quantile: float,
        declared: int,
    ) -> int:
        estimate = observed.quantile(
            quantile, declared, self._min_observations
        )
        if estimate is None:
            return declared
        return max(estimate, round(declared * self._min_declared_fraction))

    def run_time_ms(
        self, declared: int, quantile: float = RUN_TIME_QUANTILE
    ) -> int:
        """Return a quantile of the observed run times, or the declared one."""
        if self._run_time.count < self._min_observations:
            return declared
        return self._run_time.quantile(quantile)


def _limit_to_worker(estimate: int, declared: int, largest: int) -> int:
    # A declaration above the largest worker must stay recognizable as
    # unschedulable, so it is not lowered.
    return min(estimate, max(declared, largest))
