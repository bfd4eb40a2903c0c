"""Track the placement lease and the capacity of one worker."""

import asyncio

from basilspindle.fleet import allocation as allocation_module
from basilspindle.fleet import client as client_module
from basilspindle.fleet import lease_grant
from basilspindle.fleet import settings as settings_module
from basilspindle.fleet import worker_info
from basilspindle import model
from basilspindle import policy

_NO_RESOURCES = model.Resources()
_OPEN_PHASES = frozenset(
    {
        allocation_module.Phase.HELD,
        allocation_module.Phase.STARTING,
        allocation_module.Phase.UNCERTAIN,
    }
)
# Number of consecutive unanswered calls that make a worker suspect.
_SUSPECT_AFTER_CALLS = 2


class LeasedWorker:
    """State of a worker whose lease this daemon holds or requests.

    Does no I/O. ``lease_renewed_ms`` is the time at which the last
    answered renewal of the placement lease was sent.
    ``granted_ms`` is that of the latest grant, which states the capacity.
    ``task_leases_renewed_ms`` is the send time of the last renewal of the
    task leases that may have reached the worker, even without an answer.
    """

    __slots__ = (
        'info',
        'client',
        'view',
        'assigned',
        'epoch',
        'last_epoch',
        'sole_holder_since_epoch',
        'incarnation',
        'lease_renewed_ms',
        'lease_ms',
        'granted_ms',
        'task_leases_renewed_ms',
        'last_event_seq',
        'stated_seq',
        'ready',
        'unanswered_calls',
        'inventory_stale',
        'hand_back_deadline_ms',
        'backoff_ms',
        'resolve_at_ms',
        'allocations',
        'unconfirmed_seqs',
        'released_seq',
        'wake',
        'control_task',
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
            _NO_RESOURCES,
            _NO_RESOURCES,
        )
        self.assigned = True
        self.epoch = 0
        # The latest epoch granted to this daemon; kept when the lease is
        # lost.
        self.last_epoch = 0
        # No other daemon has held the lease from this epoch to last_epoch.
        self.sole_holder_since_epoch = 0
        self.incarnation = ''
        self.lease_renewed_ms = 0
        self.lease_ms = 0
        self.granted_ms = 0
        self.task_leases_renewed_ms = 0
        # The next event poll asks for ends with a higher number.
        self.last_event_seq = 0
        # The last event number that the latest answer has stated.
        self.stated_seq = 0
        self.ready = False
        self.unanswered_calls = 0
        # Set when the inventory must be read again.
        self.inventory_stale = False
        self.hand_back_deadline_ms = 0
        self.backoff_ms = 0
        # Time of the next attempt to resolve uncertain starts.
        self.resolve_at_ms = 0
        self.allocations: dict[
            allocation_module.AttemptKey, allocation_module.Allocation
        ] = {}
        # Event numbers of the task ends whose report is not confirmed.
        self.unconfirmed_seqs: dict[allocation_module.AttemptKey, int] = {}
        # The worker has been told to release results up to this number.
        self.released_seq = 0
        self.wake = asyncio.Event()
        self.control_task: asyncio.Task[None] | None = None

    def lease_valid_until_ms(self) -> int:
        """Return the earliest time at which the lease may expire.

        The clock of the worker may run faster than this one, by
        ``MAX_CLOCK_DRIFT`` at most.
        """
        if not self.epoch:
            return 0
        usable = 1 - settings_module.MAX_CLOCK_DRIFT
        return self.lease_renewed_ms + int(self.lease_ms * usable)

    def has_valid_lease(self, now_ms: int) -> bool:
        """Return whether the lease is certainly valid."""
        return now_ms < self.lease_valid_until_ms()

    @property
    def suspect(self) -> bool:
        """Return whether too many consecutive calls were unanswered."""
        return self.unanswered_calls >= _SUSPECT_AFTER_CALLS

    @property
    def accepting(self) -> bool:
        """Return whether the worker gets new tasks while leased."""
        return (
            self.ready
            and self.assigned
            and not self.suspect
            and not self.info.leaving
            and not self.info.drained
        )

    def apply_grant(
        self, grant: lease_grant.LeaseGrant, sent_ms: int, requested_ms: int
    ) -> None:
        """Apply the answer to a lease call that was sent at ``sent_ms``.

        The lease is not taken for longer than ``requested_ms``.
        """
        same = grant.incarnation == self.incarnation
        # A skipped epoch may have been granted to another daemon.
        if not same or not 0 <= grant.epoch - self.last_epoch <= 1:
            self.sole_holder_since_epoch = grant.epoch
        self.epoch = self.last_epoch = grant.epoch
        self.lease_ms = min(grant.ttl_ms, requested_ms)
        self.lease_renewed_ms = self.granted_ms = sent_ms
        if not same:
            self.incarnation = grant.incarnation
            self.unconfirmed_seqs.clear()
            self.restart_events()
        self.set_capacity(grant.capacity.to_resources())

    def restart_events(self) -> None:
        """Read the events of the worker from the first one that it keeps."""
        self.last_event_seq = 0
        self.stated_seq = 0
        self.released_seq = 0

    def advance_events(self, stated_seq: int) -> None:
        """Advance past numbers without an event, as an answer states.

        Two answers in a row must state it: ends below it are never read.
        """
        self.last_event_seq = max(
            self.last_event_seq, min(stated_seq, self.stated_seq)
        )
        self.stated_seq = stated_seq

    def never_ran(
        self, allocation: allocation_module.Allocation, inventory_epoch: int
    ) -> bool:
        """Return whether an attempt missing in an inventory never ran.

        That is certain if two conditions hold: its epoch had ended before
        the inventory was read, so its start can no longer take effect, and
        no other daemon has held the lease since, which could have released
        its result.
        """
        return (
            allocation.epoch < inventory_epoch
            and inventory_epoch == self.last_epoch
            and allocation.epoch >= self.sole_holder_since_epoch
        )

    def invalidate_lease(self) -> None:
        """Treat the lease as expired."""
        self.epoch = 0
        self.ready = False

    def set_capacity(self, total: model.Resources) -> None:
        """Set the capacity of the worker."""
        used = self.view.total.subtract(self.view.free)
        self.view.total = total
        self.view.free = total.subtract(used)

    def add(self, allocation: allocation_module.Allocation) -> None:
        """Reserve the resources of an attempt."""
        self.allocations[allocation.key] = allocation
        self.view.free = self.view.free.subtract(allocation.reserved)
        by_job = self.view.running_by_job
        job_id = allocation.task.job_id
        by_job[job_id] = by_job.get(job_id, 0) + 1

    def remove(self, allocation: allocation_module.Allocation) -> None:
        """Free the resources of an attempt."""
        del self.allocations[allocation.key]
        allocation.freed = True
        self.view.free = self.view.free.add(allocation.reserved)
        by_job = self.view.running_by_job
        job_id = allocation.task.job_id
        by_job[job_id] -= 1
        if not by_job[job_id]:
            del by_job[job_id]

    def record_usage(
        self, allocation: allocation_module.Allocation, used: model.Resources
    ) -> None:
        """Reserve the larger of the declared and the observed resources."""
        allocation.peak_usage = allocation.peak_usage.elementwise_max(used)
        reserved = allocation.task.resources.elementwise_max(used)
        if reserved != allocation.reserved:
            self.view.free = self.view.free.add(allocation.reserved).subtract(
                reserved
            )
            allocation.reserved = reserved

    def in_phase(
        self, phase: allocation_module.Phase
    ) -> list[allocation_module.Allocation]:
        """Return the allocations in a phase."""
        return [e for e in self.allocations.values() if e.phase is phase]

    @property
    def overcommitted(self) -> bool:
        """Return whether more is reserved than the worker has."""
        # Not even an empty request fits if a free amount is negative.
        return not _NO_RESOURCES.fits(self.view.free)

    @property
    def all_starts_resolved(self) -> bool:
        """Return whether no attempt is held, starting or uncertain."""
        return not any(
            e.phase in _OPEN_PHASES for e in self.allocations.values()
        )

    def releasable_seq(self) -> int:
        """Return the event number up to which all ends are confirmed."""
        if self.unconfirmed_seqs:
            return min(self.unconfirmed_seqs.values()) - 1
        return self.last_event_seq
