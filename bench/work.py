"""Describe the work of a simulated site."""

from basilspindle import model
from basilspindle import policy


class Work:
    """One job: what it declares, and what its tasks really do."""

    __slots__ = (
        'job_id',
        'at_ms',
        'workspace',
        'kind',
        'priority',
        'declared',
        'actual',
        'declared_run_ms',
        'run_ms',
        'gang',
    )

    def __init__(
        self,
        job_id: str,
        at_ms: int,
        workspace: str,
        kind: str,
        priority: model.Priority,
        declared: model.Resources,
        actual: model.Resources,
        declared_run_ms: int,
        run_ms: list[int],
        gang: bool = False,
    ) -> None:
        self.job_id = job_id
        self.at_ms = at_ms
        self.workspace = workspace
        self.kind = kind
        self.priority = priority
        self.declared = declared
        self.actual = actual
        self.declared_run_ms = declared_run_ms
        self.run_ms = run_ms
        self.gang = gang


class Site:
    """Fleet, workspaces and work of one size; times are in ms."""

    __slots__ = (
        'name',
        'workers',
        'workspaces',
        'work',
        'tick_ms',
        'warm_up_ms',
        'end_ms',
    )

    def __init__(
        self,
        name: str,
        workers: list[tuple[str, str, str, model.Resources]],
        workspaces: dict[str, policy.WorkspacePolicy],
        work: list[Work],
        tick_ms: int,
        warm_up_ms: int,
        end_ms: int,
    ) -> None:
        self.name = name
        self.workers = workers
        self.workspaces = workspaces
        self.work = sorted(work, key=lambda job: job.at_ms)
        self.tick_ms = tick_ms
        self.warm_up_ms = warm_up_ms
        self.end_ms = end_ms

    def views(self) -> list[policy.WorkerView]:
        """Return fresh views of all workers."""
        return [
            policy.WorkerView(worker_id, domain, rack, total, total)
            for worker_id, domain, rack, total in self.workers
        ]

    def total(self) -> model.Resources:
        """Return what the fleet has."""
        total = model.Resources()
        for worker in self.workers:
            total = total.add(worker[3])
        return total
