"""Describe the fleet and the jobs of a simulated scenario."""

from basilspindle import model
from basilspindle import policy


class SimulatedJob:
    """A job: the usage that it declares and that its tasks really have.

    ``task_run_ms`` holds the run time of each task, and
    ``declared_run_ms`` the one that the job declares for all of them.
    """

    __slots__ = (
        'job_id',
        'arrival_ms',
        'workspace',
        'kind',
        'priority',
        'declared_resources',
        'actual_resources',
        'declared_run_ms',
        'task_run_ms',
        'gang',
    )

    def __init__(
        self,
        job_id: str,
        arrival_ms: int,
        workspace: str,
        kind: str,
        priority: model.Priority,
        declared_resources: model.Resources,
        actual_resources: model.Resources,
        declared_run_ms: int,
        task_run_ms: list[int],
        gang: bool = False,
    ) -> None:
        self.job_id = job_id
        self.arrival_ms = arrival_ms
        self.workspace = workspace
        self.kind = kind
        self.priority = priority
        self.declared_resources = declared_resources
        self.actual_resources = actual_resources
        self.declared_run_ms = declared_run_ms
        self.task_run_ms = task_run_ms
        self.gang = gang


class Scenario:
    """The fleet, workspaces and jobs of one simulation.

    ``workers`` holds id, failure domain, rack and resources of each worker.
    The simulation ends at ``end_ms``; metrics are recorded from
    ``warm_up_ms`` on.
    """

    __slots__ = (
        'name',
        'workers',
        'workspaces',
        'jobs',
        'tick_ms',
        'warm_up_ms',
        'end_ms',
    )

    def __init__(
        self,
        name: str,
        workers: list[tuple[str, str, str, model.Resources]],
        workspaces: dict[str, policy.WorkspacePolicy],
        jobs: list[SimulatedJob],
        tick_ms: int,
        warm_up_ms: int,
        end_ms: int,
    ) -> None:
        self.name = name
        self.workers = workers
        self.workspaces = workspaces
        self.jobs = sorted(jobs, key=lambda job: job.arrival_ms)
        self.tick_ms = tick_ms
        self.warm_up_ms = warm_up_ms
        self.end_ms = end_ms

    def worker_views(self) -> list[policy.WorkerView]:
        """Return views of all workers, without running tasks."""
        return [
            policy.WorkerView(worker_id, domain, rack, total, total)
            for worker_id, domain, rack, total in self.workers
        ]

    def total_resources(self) -> model.Resources:
        """Return the sum of the resources of all workers."""
        total = model.Resources()
        for worker in self.workers:
            total = total.add(worker[3])
        return total
