"""Correct the declared sizes of jobs by what their kind was seen to use."""

import msgspec

from basilspindle import model
from basilspindle import policy


class UsageEstimates:
    """Estimates by workspace and kind, learned since this daemon started."""

    __slots__ = ('_estimates',)

    def __init__(self) -> None:
        self._estimates: dict[tuple[str, str], policy.UsageEstimate] = {}

    def observe(
        self, job: model.Job, declared: model.Resources, end: model.TaskEnd
    ) -> None:
        """Learn from a task that ran to its end."""
        estimate = self._estimate(job)
        used = end.used if end.used != model.Resources() else None
        estimate.observe(used, end.run_time_ms, declared=declared)

    def correct(self, job: model.Job, largest: model.Resources) -> model.Job:
        """Return the job with the sizes to count; never smaller ones."""
        estimate = self._estimates.get((job.workspace, job.kind))
        if estimate is None or largest == model.Resources():
            return job
        return msgspec.structs.replace(
            job,
            resources=estimate.resources(job.resources, largest),
            run_time_ms=estimate.run_time_ms(job.run_time_ms),
        )

    def _estimate(self, job: model.Job) -> policy.UsageEstimate:
        key = (job.workspace, job.kind)
        if key not in self._estimates:
            self._estimates[key] = policy.UsageEstimate()
        return self._estimates[key]
