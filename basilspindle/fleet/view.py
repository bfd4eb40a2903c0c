"""Show one worker to the placement policy."""

from basilspindle import model


class WorkerView:
    """State of one worker as its lease holder accounts for it.

    ``running_by_job`` counts tasks by job id. ``penalty`` is 0.0 for a
    healthy worker and at most 1.0.
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
    ) -> None:
        self.worker_id = worker_id
        self.failure_domain = failure_domain
        self.rack = rack
        self.free = free
        self.total = total
        self.running_by_job: dict[str, int] = {}
        self.penalty = 0.0
