"""Describe one worker to the placement policy."""

from basilspindle import model


class WorkerView:
    """State of one worker according to its lease holder.

    ``running_by_job`` counts the running tasks by job id. ``penalty`` is 0.0
    for a healthy worker. From ``rank.TOLERATED_PENALTY`` on it outweighs all
    other criteria; a worker with ``math.inf`` takes no new work.
    """

    __slots__ = (
        'worker_id',
        'failure_domain',
        'rack',
        'free',
        'total',
        'running_by_job',
        'penalty',
    )

    def __init__(
        self,
        worker_id: str,
        failure_domain: str,
        rack: str,
        free: model.Resources,
        total: model.Resources,
        running_by_job: dict[str, int] | None = None,
        penalty: float = 0.0,
    ) -> None:
        self.worker_id = worker_id
        self.failure_domain = failure_domain
        self.rack = rack
        self.free = free
        self.total = total
        self.running_by_job = {} if running_by_job is None else running_by_job
        self.penalty = penalty

    def __repr__(self) -> str:
        return f'WorkerView({self.worker_id!r}, free={self.free!r})'
