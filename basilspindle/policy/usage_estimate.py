"""Correct declared sizes and run times by what was observed."""

from basilspindle import model
from basilspindle.policy import amount_estimate
from basilspindle.policy import decaying_histogram

# Fewer observations than this say too little to replace a declaration.
MIN_OBSERVATIONS = 20
HALF_LIFE_OBSERVATIONS = 500
# A task short of processor time is slower, one short of memory fails.
CPU_QUANTILE = 0.95
MEMORY_QUANTILE = 0.99
RUN_TIME_QUANTILE = 0.9
# Least part of a declared amount that an estimate may go down to: the
# larger of declared and observed is counted unless configured otherwise.
MIN_DECLARED_FRACTION = 1.0


class UsageEstimate:
    """Usage of one kind of work of one workspace, from lagging reports."""

    __slots__ = (
        '_cpu',
        '_memory',
        '_run_time',
        '_min_declared_fraction',
        '_least',
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
        self._least = min_observations

    def observe(
        self,
        used: model.Resources | None = None,
        run_time_ms: int = 0,
        *,
        declared: model.Resources | None = None,
    ) -> None:
        """Take in the usage of a task, its run time after its end, or both.

        With ``declared`` the part of it that was used is learned, which
        suits kinds whose jobs declare different sizes.
        ``run_time_ms`` 0 means that the task has not ended.
        """
        if used is not None:
            sizes = declared or model.Resources()
            self._cpu.add(used.cpu_millicores, sizes.cpu_millicores)
            self._memory.add(used.memory_mb, sizes.memory_mb)
        if run_time_ms > 0:
            self._run_time.add(run_time_ms)

    def resources(
        self,
        declared: model.Resources,
        largest: model.Resources | None = None,
    ) -> model.Resources:
        """Return what to count for a task.

        ``largest`` is the size of the largest worker; a task that fits it
        as declared still fits it as estimated. Slots and accelerators are
        as declared.
        """
        cpu = self._correct(self._cpu, CPU_QUANTILE, declared.cpu_millicores)
        memory = self._correct(
            self._memory, MEMORY_QUANTILE, declared.memory_mb
        )
        if largest is not None:
            cpu = _within(cpu, declared.cpu_millicores, largest.cpu_millicores)
            memory = _within(memory, declared.memory_mb, largest.memory_mb)
        return model.Resources(
            cpu, memory, declared.accelerators, declared.slots
        )

    def _correct(
        self,
        seen: amount_estimate.AmountEstimate,
        quantile: float,
        declared: int,
    ) -> int:
        estimate = seen.quantile(quantile, declared, self._least)
        if estimate is None:
            return declared
        return max(estimate, round(declared * self._min_declared_fraction))

    def run_time_ms(
        self, declared: int, quantile: float = RUN_TIME_QUANTILE
    ) -> int:
        """Return a quantile of the run time in ms."""
        if self._run_time.count < self._least:
            return declared
        return self._run_time.quantile(quantile)


def _within(estimate: int, declared: int, largest: int) -> int:
    # A declaration above the largest worker stays visible as such.
    return min(estimate, max(declared, largest))
