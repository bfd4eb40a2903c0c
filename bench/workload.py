"""Describe the work of a simulated site."""

from basilspindle import model
from basilspindle import policy


class SimulatedJob:
    """One job: what it declares, and what its tasks really do."""

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
    """Fleet, workspaces and work of one size; times are in ms."""

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
        """Return fresh views of all workers."""
        return [
            policy.WorkerView(worker_id, domain, rack, total, total)
            for worker_id, domain, rack, total in self.workers
        ]

    def total_resources(self) -> model.Resources:
        """Return what the fleet has."""
        total = model.Resources()
        for worker in self.workers:
            total = total.add(worker[3])
        return total
