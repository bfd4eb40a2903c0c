"""Account for one worker."""

from basilspindle.workflow import need as need_module
from basilspindle.workflow import task as task_module


# Entries that lapsed while the registry was away are back within about this
# time; a worker that still answers is used meanwhile.
_UNLISTED_MS = 2_000
# A worker that has not answered for this long gets no new work: a renewal
# is answered within about a second.
CONTACT_LIMIT_MS = 2_500
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
        'unlisted_ms',
        'reported',
        'contact_ms',
        'born_wall_ms',
        'noted_end',
        'durable_end',
        'foreign',
        'suspect_until_ms',
        'doubt',
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
        self.unlisted_ms = 0
        self.reported = False
        self.contact_ms = 0
        self.born_wall_ms = 0
        self.noted_end = 0
        self.durable_end = 0
        self.foreign: dict[str, int] = {}
        self.suspect_until_ms = 0
        self.doubt = 0.0
        self.failed_jobs: set[str] = set()
        self.slowness = 1.0
        self.lag = 1.0
        self.slow_samples = 0
        self.reserved = need_module.Need()
        self.drain_end_ms = 0

    @property
    def room(self) -> need_module.Need:
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
        self, now_ms: int, contact_limit_ms: int = CONTACT_LIMIT_MS
    ) -> bool:
        """Tell whether new work may start here now."""
        return (
            self.ready
            and (self.listed or now_ms - self.unlisted_ms < _UNLISTED_MS)
            and self.reported
            and not self.foreign
            and now_ms >= self.suspect_until_ms
            and now_ms - self.contact_ms <= contact_limit_ms
        )

    def note_unanswered(self) -> None:
        """Count a start without an answer."""
        self.doubt += 1.0

    def note_failure(self) -> None:
        """Count a run that failed."""
        self.doubt += _FAILURE_DOUBT

    def note_success(self) -> None:
        """Count a start that was answered or a run that ended well."""
        self.doubt *= _DOUBT_KEPT

    def take(self, task: task_module.Task) -> None:
        """Count a task on this worker."""
        self.tasks[task.name] = task
        self.used = self.used.plus(task.step_run.step.reserved)

    def give(self, task: task_module.Task) -> bool:
        """Count a task off; False if it was not counted here."""
        if self.tasks.pop(task.name, None) is None:
            return False
        self.used = self.used.plus(task.step_run.step.reserved, -1)
        return True
