"""Adjust the declared resources of jobs to the usage of their kind."""

import msgspec

from basilspindle import model
from basilspindle import policy


class UsageEstimates:
    """Estimates by workspace and job kind, learned since the start."""

    __slots__ = ('_estimates',)

    def __init__(self) -> None:
        self._estimates: dict[tuple[str, str], policy.UsageEstimate] = {}

    def observe(
        self, job: model.Job, declared: model.Resources, end: model.TaskEnd
    ) -> None:
        """Add the usage and run time of a task that succeeded."""
        estimate = self._estimate(job)
        used = end.used if end.used != model.Resources() else None
        estimate.observe(used, end.run_time_ms, declared=declared)

    def adjust(self, job: model.Job, max_worker: model.Resources) -> model.Job:
        """Return the job with its resources and run time as estimated.

        ``max_worker`` holds the largest amounts that any worker has. The
        estimated resources are never below the declared ones.
        """
        estimate = self._estimates.get((job.workspace, job.kind))
        if estimate is None or max_worker == model.Resources():
            return job
        return msgspec.structs.replace(
            job,
            resources=estimate.resources(job.resources, max_worker),
            run_time_ms=estimate.run_time_ms(job.run_time_ms),
        )

    def _estimate(self, job: model.Job) -> policy.UsageEstimate:
        key = (job.workspace, job.kind)
        if key not in self._estimates:
            self._estimates[key] = policy.UsageEstimate()
        return self._estimates[key]
