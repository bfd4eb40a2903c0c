"""Account for one worker and its placement lease."""

import asyncio

from basilspindle.fleet import allocation as allocation_module
from basilspindle.fleet import client as client_module
from basilspindle.fleet import lease_grant
from basilspindle.fleet import settings as settings_module
from basilspindle.fleet import worker_info
from basilspindle import model
from basilspindle import policy

_NOTHING = model.Resources()
_OPEN_PHASES = frozenset(
    {
        allocation_module.Phase.HELD,
        allocation_module.Phase.STARTING,
        allocation_module.Phase.UNCERTAIN,
    }
)
# Silent polls in a row that make a worker suspect.
_SUSPECT_AFTER = 2


class LeasedWorker:
    """State of one worker that this daemon holds or requests.

    Does no I/O. ``renewed_ms`` is the send time of the last answered
    renewal of the lease; ``task_renewal_ms`` is the send time of the last
    renewal of the task leases that may have arrived, answered or not.
    """

    __slots__ = (
        'info',
        'client',
        'view',
        'wanted',
        'epoch',
        'last_epoch',
        'own_since',
        'incarnation',
        'renewed_ms',
        'lease_ms',
        'task_renewal_ms',
        'after',
        'ready',
        'silent_polls',
        'stale',
        'hand_back_at_ms',
        'backoff_ms',
        'resolve_at_ms',
        'tasks',
        'unconfirmed',
        'released',
        'wake',
        'loop',
    )

    def __init__(
        self,
        info: worker_info.WorkerInfo,
        client: client_module.WorkerClient,
    ) -> None:
        self.info = info
        self.client = client
        self.view = policy.WorkerView(
            info.worker_id,
            info.failure_domain,
            info.rack,
            _NOTHING,
            _NOTHING,
        )
        self.wanted = True
        self.epoch = 0
        # The latest epoch granted to this daemon, kept when it lapses, and
        # the first one since which no other daemon held the lease.
        self.last_epoch = 0
        self.own_since = 0
        self.incarnation = ''
        self.renewed_ms = 0
        self.lease_ms = 0
        self.task_renewal_ms = 0
        self.after = 0
        self.ready = False
        self.silent_polls = 0
        # Set when the inventory has to be read again.
        self.stale = False
        self.hand_back_at_ms = 0
        self.backoff_ms = 0
        self.resolve_at_ms = 0
        self.tasks: dict[
            allocation_module.AttemptKey, allocation_module.Allocation
        ] = {}
        # Ends whose report is not confirmed, by event number.
        self.unconfirmed: dict[allocation_module.AttemptKey, int] = {}
        self.released = 0
        self.wake = asyncio.Event()
        self.loop: asyncio.Task[None] | None = None

    def valid_until_ms(self) -> int:
        """Return when the lease expires at the latest clock drift."""
        if not self.epoch:
            return 0
        usable = 1 - settings_module.CLOCK_DRIFT
        return self.renewed_ms + int(self.lease_ms * usable)

    def leased(self, now_ms: int) -> bool:
        """Tell whether the lease is certainly valid."""
        return now_ms < self.valid_until_ms()

    @property
    def suspect(self) -> bool:
        """Tell whether the worker was silent twice in a row."""
        return self.silent_polls >= _SUSPECT_AFTER

    @property
    def accepting(self) -> bool:
        """Tell whether the worker takes new work while leased."""
        return (
            self.ready
            and self.wanted
            and not self.suspect
            and not self.info.leaving
            and not self.info.drained
        )

    def grant(self, grant: lease_grant.LeaseGrant, sent_ms: int) -> None:
        """Take over what a lease call granted."""
        same = grant.incarnation == self.incarnation
        if not same or grant.epoch > self.last_epoch + 1:
            self.own_since = grant.epoch
        self.epoch = self.last_epoch = grant.epoch
        self.lease_ms = grant.ttl_ms
        self.renewed_ms = sent_ms
        if not same:
            self.incarnation = grant.incarnation
            self.after = 0
            self.released = 0
            self.unconfirmed.clear()
        self.resize(grant.capacity.to_resources())

    def never_ran(
        self, allocation: allocation_module.Allocation, inventory_epoch: int
    ) -> bool:
        """Tell whether an attempt missing in an inventory was not run.

        The start can no longer arrive, because its epoch is over, and no
        other holder can have released a result of it.
        """
        return (
            allocation.epoch < inventory_epoch
            and inventory_epoch == self.last_epoch
            and allocation.epoch >= self.own_since
        )

    def lapse(self) -> None:
        """Treat the lease as expired: the worker said so."""
        self.epoch = 0
        self.ready = False

    def resize(self, total: model.Resources) -> None:
        """Set the capacity of the worker."""
        used = self.view.total.subtract(self.view.free)
        self.view.total = total
        self.view.free = total.subtract(used)

    def add(self, allocation: allocation_module.Allocation) -> None:
        """Reserve the amounts of an attempt."""
        self.tasks[allocation.key] = allocation
        self.view.free = self.view.free.subtract(allocation.counted)
        by_job = self.view.running_by_job
        job_id = allocation.running.job_id
        by_job[job_id] = by_job.get(job_id, 0) + 1

    def remove(self, allocation: allocation_module.Allocation) -> None:
        """Give the amounts of an attempt back."""
        del self.tasks[allocation.key]
        allocation.over = True
        self.view.free = self.view.free.add(allocation.counted)
        by_job = self.view.running_by_job
        job_id = allocation.running.job_id
        by_job[job_id] -= 1
        if not by_job[job_id]:
            del by_job[job_id]

    def observe(
        self, allocation: allocation_module.Allocation, used: model.Resources
    ) -> None:
        """Count the larger of declared and observed amounts."""
        allocation.used = allocation.used.largest(used)
        counted = allocation.running.resources.largest(used)
        if counted != allocation.counted:
            self.view.free = self.view.free.add(allocation.counted).subtract(
                counted
            )
            allocation.counted = counted

    def in_phase(
        self, phase: allocation_module.Phase
    ) -> list[allocation_module.Allocation]:
        """Return the allocations of a phase."""
        return [e for e in self.tasks.values() if e.phase is phase]

    @property
    def overdrawn(self) -> bool:
        """Tell whether more is counted than the worker has."""
        return not _NOTHING.fits(self.view.free)

    @property
    def settled(self) -> bool:
        """Tell whether no hold or start is open."""
        return not any(e.phase in _OPEN_PHASES for e in self.tasks.values())

    def releasable(self) -> int:
        """Return the last event number below every unconfirmed end."""
        if self.unconfirmed:
            return min(self.unconfirmed.values()) - 1
        return self.after
