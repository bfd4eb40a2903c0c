"""Track the waiting tasks of one job."""

from basilspindle.indexing import amounts as amounts_module
from basilspindle import model


class QueueEntry:
    """Waiting and in-flight tasks of one job and shape.

    ``count`` is the number of waiting tasks, ``in_flight`` the number of
    tasks popped and neither confirmed nor requeued; the entry is kept while
    either is above 0. ``sequence`` is the place in submission order.
    ``gang_tasks`` is the size of a gang, 0 for single tasks. ``expires_ms``
    0 means no deadline. Tasks are not popped before ``not_before_ms``, the
    backoff of a job that found no room. ``removed`` marks a cancelled job,
    whose tasks are not requeued.
    """

    __slots__ = (
        'job_id',
        'workspace',
        'resources',
        'amounts',
        'priority',
        'sequence',
        'count',
        'gang_tasks',
        'in_flight',
        'run_time_ms',
        'pushed_ms',
        'popped_ms',
        'expires_ms',
        'not_before_ms',
        'removed',
    )

    def __init__(
        self,
        job_id: str,
        workspace: str,
        resources: model.Resources,
        priority: model.Priority,
        sequence: int,
        now_ms: int,
    ) -> None:
        self.job_id = job_id
        self.workspace = workspace
        self.resources = resources
        self.amounts = amounts_module.from_resources(resources)
        self.priority = priority
        self.sequence = sequence
        self.run_time_ms = 0
        self.pushed_ms = now_ms
        self.popped_ms = now_ms
        self.count = 0
        self.gang_tasks = 0
        self.in_flight = 0
        self.expires_ms = 0
        self.not_before_ms = 0
        self.removed = False

    @property
    def key(self) -> tuple[model.Resources, int]:
        """Return the key of its shape queue: resources and gang size."""
        return self.resources, self.gang_tasks

    def __lt__(self, other: 'QueueEntry') -> bool:
        return self.sequence < other.sequence
