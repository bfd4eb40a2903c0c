"""Track the state and the resource usage of one worker."""

from basilspindle.cell import speed_estimate
from basilspindle.workflow import need as need_module
from basilspindle.workflow import task as task_module


# A worker without a registry entry is still used for this time while it
# answers: entries that expire in a registry outage return within about 2 s.
_UNLISTED_GRACE_MS = 2_000
# A worker that has not answered for this long gets no new tasks. A lease
# renewal is normally answered within about a second.
MAX_CONTACT_AGE_MS = 2_500
# Factor on the failure score for each success. A worker that leaves two of
# five starts unanswered keeps ranking behind healthy ones, while a single lost
# answer is forgotten after a few successes.
_SUCCESS_DECAY = 0.8
# Added to the failure score by a failed run. Placement rounds the score, so
# that a single failed run does not count: on healthy workers, too, a few runs
# in a hundred fail.
_FAILURE_WEIGHT = 0.4


class Worker:
    """State of a worker as the leader knows it.

    ``ready`` is the readiness in the registry, ``listed`` tells whether the
    worker has an entry there and ``unlisted_since_ms`` since when it has
    none. ``answered_address`` is where it last answered this leader or an
    earlier one; ``is_recorded`` tells whether the log names it there, so that
    a later leader waits for its report, and ``recorded_capacity`` is the
    capacity that the log tells, None if it tells none. ``reported`` tells
    whether a report to this leader has listed all runs and ends of the
    present incarnation, and ``last_contact_ms`` when the latest report came.
    ``unexpected_runs`` are reported runs that must be stopped, as run numbers
    by task name. ``silent_until_ms`` is when the leases of a worker that does
    not answer have ended, 0 while it gets leases.

    ``used`` are the resources of ``tasks``, and ``reserved`` those kept free
    for waiting steps. ``born_wall_ms``, the start time of the worker,
    identifies its incarnation, which numbers its run ends:
    ``applied_end_number`` is the number of the latest end that was applied,
    ``recorded_end_number`` that of the latest one in the log. ``held_ends``
    are the numbers of ends that are not to be acknowledged, and until when.
    ``entry_born_wall_ms`` is the start time in the registry entry, 0 if it has
    none. ``has_settled_life`` tells whether no order for an earlier
    incarnation can extend the lease of this one any more, and
    ``settled_born_wall_ms`` names the incarnation of which the log told so
    when this leader began. ``earlier_orders_until_ms`` is until when orders of
    an earlier session may arrive, None if there was none.

    ``speed`` is what is known of the speed of the worker, ``speed_class`` its
    class among the workers of its pool, 0 for the fastest, and
    ``class_slowness`` the mean slowness of that class. ``lag`` is the ratio of
    actual to expected durations of the tasks that run at present, and
    ``slow_samples`` counts the latest successive samples in which the worker
    was slower than it usually is, the last one at ``slow_seen_ms``.
    ``failure_score`` rises with unanswered starts and failed runs and falls
    with each success. ``failed_job_ids`` are the jobs that had a failed run
    here since the last successful run of any job here, and have not failed on
    another worker.

    ``has_changed_runs`` tells that ``placed_runs`` may differ from what the
    log tells.

    ``changed_ids`` is where the worker notes its id if its pool or its free
    amounts change, None before it is in a table.

    The worker gets no new tasks before ``suspect_until_ms``. A draining
    worker may be gone at ``drain_end_ms``; 0 means that the time is unknown.
    """

    __slots__ = (
        'worker_id',
        'address',
        'answered_address',
        'is_recorded',
        'recorded_capacity',
        '_pool',
        'rack',
        'failure_domain',
        'labels',
        '_capacity',
        '_used',
        'tasks',
        'ready',
        'listed',
        'unlisted_since_ms',
        'reported',
        'last_contact_ms',
        'silent_until_ms',
        'born_wall_ms',
        'applied_end_number',
        'recorded_end_number',
        'held_ends',
        'entry_born_wall_ms',
        'has_settled_life',
        'settled_born_wall_ms',
        'earlier_orders_until_ms',
        'unexpected_runs',
        'has_changed_runs',
        'suspect_until_ms',
        'failure_score',
        'failed_job_ids',
        'speed',
        'speed_class',
        'class_slowness',
        'lag',
        'slow_samples',
        'slow_seen_ms',
        '_reserved',
        '_available',
        'drain_end_ms',
        'changed_ids',
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
        self.changed_ids: set[str] | None = None
        # Asked for far more often than it changes; None if it is to be made.
        self._available: need_module.Need | None = None
        self.address = address
        self.answered_address = ''
        self.is_recorded = False
        self.recorded_capacity: need_module.Need | None = None
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
        self.silent_until_ms = 0
        self.born_wall_ms = 0
        self.applied_end_number = 0
        self.recorded_end_number = 0
        self.held_ends: dict[int, int] = {}
        self.entry_born_wall_ms = 0
        self.has_settled_life = False
        self.settled_born_wall_ms = 0
        self.earlier_orders_until_ms: int | None = None
        self.unexpected_runs: dict[str, int] = {}
        self.has_changed_runs = True
        self.suspect_until_ms = 0
        self.failure_score = 0.0
        self.failed_job_ids: set[str] = set()
        self.speed = speed_estimate.SpeedEstimate()
        self.speed_class = 0
        self.class_slowness = 1.0
        self.lag = 1.0
        self.slow_samples = 0
        self.slow_seen_ms = 0
        self.reserved = need_module.Need()
        self.drain_end_ms = 0

    def _note_change(self) -> None:
        self._available = None
        if self.changed_ids is not None:
            self.changed_ids.add(self.worker_id)

    @property
    def pool(self) -> str:
        """Return the pool."""
        return self._pool

    @pool.setter
    def pool(self, pool: str) -> None:
        self._pool = pool
        self._note_change()

    @property
    def capacity(self) -> need_module.Need:
        """Return the resources of the worker."""
        return self._capacity

    @capacity.setter
    def capacity(self, capacity: need_module.Need) -> None:
        self._capacity = capacity
        self._note_change()

    @property
    def used(self) -> need_module.Need:
        """Return the resources of the tasks on the worker."""
        return self._used

    @used.setter
    def used(self, used: need_module.Need) -> None:
        self._used = used
        self._note_change()

    @property
    def reserved(self) -> need_module.Need:
        """Return the resources that are kept free for waiting steps."""
        return self._reserved

    @reserved.setter
    def reserved(self, reserved: need_module.Need) -> None:
        self._reserved = reserved
        self._note_change()

    @property
    def available(self) -> need_module.Need:
        """Return the capacity neither used nor reserved; may be negative."""
        if self._available is None:
            self._available = self._capacity.plus(self._used, -1).plus(
                self._reserved, -1
            )
        return self._available

    def accepts(
        self, now_ms: int, max_contact_age_ms: int = MAX_CONTACT_AGE_MS
    ) -> bool:
        """Tell whether new tasks may start on this worker now."""
        return (
            self.ready
            and self.is_recorded
            and self._has_own_entry
            and (
                self.recorded_capacity is None
                or self.capacity.fits(self.recorded_capacity)
            )
            and (
                self.listed
                or now_ms - self.unlisted_since_ms < _UNLISTED_GRACE_MS
            )
            and self.reported
            and not self.unexpected_runs
            and now_ms >= self.suspect_until_ms
            and now_ms - self.last_contact_ms <= max_contact_age_ms
        )

    @property
    def _has_own_entry(self) -> bool:
        # The next incarnation may be of another kind. An entry of one that
        # has not answered yet tells that the present one has ended.
        return (
            not self.entry_born_wall_ms
            or not self.born_wall_ms
            or self.entry_born_wall_ms == self.born_wall_ms
        )

    def acknowledgeable_end_number(self, now_ms: int) -> int:
        """Return up to which number the worker may forget its ends."""
        for number, until_ms in list(self.held_ends.items()):
            if until_ms < now_ms:
                del self.held_ends[number]
        first_held = min(self.held_ends, default=self.recorded_end_number + 1)
        return min(self.recorded_end_number, first_held - 1)

    def placed_runs(self) -> dict[str, int]:
        """Return the runs that may be on this worker, by task name."""
        runs = {task.name: task.run for task in self.tasks.values()}
        for name, run in self.unexpected_runs.items():
            runs[name] = max(run, runs.get(name, 0))
        return runs

    def record_unanswered_start(self) -> None:
        """Raise the failure score for a start that was not answered."""
        self.failure_score += 1.0

    def record_failure(self) -> None:
        """Raise the failure score for a failed run."""
        self.failure_score += _FAILURE_WEIGHT

    def record_success(self) -> None:
        """Lower the failure score for an answered start or successful run."""
        self.failure_score *= _SUCCESS_DECAY

    def add_task(self, task: task_module.Task) -> None:
        """Add a task and its resources to this worker."""
        self.tasks[task.name] = task
        self.has_changed_runs = True
        self.used = self.used.plus(task.step_run.step.reserved)

    def remove_task(self, task: task_module.Task) -> bool:
        """Remove a task; returns False if it was not on this worker."""
        if self.tasks.pop(task.name, None) is None:
            return False
        self.has_changed_runs = True
        self.used = self.used.plus(task.step_run.step.reserved, -1)
        return True
