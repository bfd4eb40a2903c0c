"""Account for one worker."""

from basilspindle.workflow import need as need_module
from basilspindle.workflow import task as task_module


# Entries that lapsed while the registry was away are back within about this
# time; a worker that still answers is used meanwhile.
_UNLISTED_MS = 2_000
# A worker that has not answered for this long gets no new work: a renewal
# is answered within about a second.
MAX_CONTACT_AGE_MS = 2_500
# A worker that leaves two starts in five unanswered stays behind sound ones,
# and one lost answer is forgotten after a few good ones.
_DOUBT_KEPT = 0.8
# Sound workers fail a few runs in a hundred too: one counts for nothing.
_FAILURE_DOUBT = 0.4


class Worker:
    """What the leader knows of a worker.

    ``ready`` is what the registry says, ``unlisted_ms`` since when it has
    no entry, ``reported`` whether the worker answered this leader and
    ``contact_ms`` when it last did. ``foreign`` are tasks seen there that
    must not run, by name with their run. ``noted_end`` is the highest end
    that was applied, ``durable_end`` the highest that the log holds.
    ``slowness`` is the time that tasks take here against elsewhere, ``lag``
    the same for those that run now. ``doubt`` rises with starts that are not
    answered and runs that fail, and falls with each success;
    ``failed_jobs`` are the jobs that failed here, and nowhere else, since a
    run ended well. ``suspect_until_ms`` bounds a time without new work, and
    ``drain_end_ms`` is when a leaving worker may be gone, 0 for not known.
    """

    __slots__ = (
        'worker_id',
        'address',
        'pool',
        'rack',
        'failure_domain',
        'labels',
        'capacity',
        'used',
        'tasks',
        'ready',
        'listed',
        'unlisted_since_ms',
        'reported',
        'last_contact_ms',
        'born_wall_ms',
        'applied_end_number',
        'recorded_end_number',
        'unexpected_runs',
        'suspect_until_ms',
        'failure_score',
        'failed_jobs',
        'slowness',
        'lag',
        'slow_samples',
        'reserved',
        'drain_end_ms',
    )

    def __init__(
        self,
        worker_id: str,
        address: str,
        pool: str,
        rack: str,
        failure_domain: str,
        labels: frozenset[str],
        capacity: need_module.Need,
    ) -> None:
        self.worker_id = worker_id
        self.address = address
        self.pool = pool
        self.rack = rack
        self.failure_domain = failure_domain
        self.labels = labels
        self.capacity = capacity
        self.used = need_module.Need()
        self.tasks: dict[str, task_module.Task] = {}
        self.ready = True
        self.listed = True
        self.unlisted_since_ms = 0
        self.reported = False
        self.last_contact_ms = 0
        self.born_wall_ms = 0
        self.applied_end_number = 0
        self.recorded_end_number = 0
        self.unexpected_runs: dict[str, int] = {}
        self.suspect_until_ms = 0
        self.failure_score = 0.0
        self.failed_jobs: set[str] = set()
        self.slowness = 1.0
        self.lag = 1.0
        self.slow_samples = 0
        self.reserved = need_module.Need()
        self.drain_end_ms = 0

    @property
    def available(self) -> need_module.Need:
        """Return what is neither used nor reserved; may be negative."""
        return need_module.Need(
            self.capacity.cpu_millicores
            - self.used.cpu_millicores
            - self.reserved.cpu_millicores,
            self.capacity.memory_mb
            - self.used.memory_mb
            - self.reserved.memory_mb,
            self.capacity.accelerators
            - self.used.accelerators
            - self.reserved.accelerators,
        )

    def accepts(
        self, now_ms: int, max_contact_age_ms: int = MAX_CONTACT_AGE_MS
    ) -> bool:
        """Tell whether new work may start here now."""
        return (
            self.ready
            and (self.listed or now_ms - self.unlisted_since_ms < _UNLISTED_MS)
            and self.reported
            and not self.unexpected_runs
            and now_ms >= self.suspect_until_ms
            and now_ms - self.last_contact_ms <= max_contact_age_ms
        )

    def record_unanswered_start(self) -> None:
        """Count a start without an answer."""
        self.failure_score += 1.0

    def record_failure(self) -> None:
        """Count a run that failed."""
        self.failure_score += _FAILURE_DOUBT

    def record_success(self) -> None:
        """Count a start that was answered or a run that ended well."""
        self.failure_score *= _DOUBT_KEPT

    def add_task(self, task: task_module.Task) -> None:
        """Count a task on this worker."""
        self.tasks[task.name] = task
        self.used = self.used.plus(task.step_run.step.reserved)

    def remove_task(self, task: task_module.Task) -> bool:
        """Count a task off; False if it was not counted here."""
        if self.tasks.pop(task.name, None) is None:
            return False
        self.used = self.used.plus(task.step_run.step.reserved, -1)
        return True
