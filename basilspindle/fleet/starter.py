"""Start reserved tasks on their workers."""

import collections.abc

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.fleet import allocation as allocation_module
from basilspindle.fleet import allocator as allocator_module
from basilspindle.fleet import events as fleet_events
from basilspindle.fleet import leased_worker
from basilspindle.fleet import reporter as reporter_module
from basilspindle.fleet import settings as settings_module
from basilspindle import model
from basilspindle.peer import messages

CheckFence = collections.abc.Callable[[int, int], None]


class Starter:
    """Send starts; a refused one is tried on other workers."""

    __slots__ = (
        '_clock',
        '_settings',
        '_allocator',
        '_reporter',
        '_check_fence',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        settings: settings_module.FleetSettings,
        allocator: allocator_module.Allocator,
        reporter: reporter_module.Reporter,
        check_fence: CheckFence,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._allocator = allocator
        self._reporter = reporter
        self._check_fence = check_fence

    async def run(
        self, allocation: allocation_module.Allocation, tries: int
    ) -> messages.Placement:
        """Start a reserved task on at most ``tries`` workers."""
        tried: list[str] = []
        while True:
            order = allocation.order
            fault = await self._start(allocation)
            if fault is None:
                return allocation.placement()
            if isinstance(fault, errors.WorkerOutcomeUnknown):
                return allocation.placement(unknown=True)
            tried.append(allocation.running.worker_id)
            self._allocator.free(allocation)
            following = None
            if len(tried) < tries and self._may_move(allocation, fault):
                following = self._allocator.reserve(
                    order, self._clock.now_ms(), tried
                )
            if following is None:
                self._report_refusal(allocation, fault)
                return self._allocator.refuse(
                    allocation.key, fault.kind, self._clock.now_ms()
                )
            following.placed = allocation.placed
            allocation = following

    def _may_move(
        self,
        allocation: allocation_module.Allocation,
        fault: errors.BasilspindleError,
    ) -> bool:
        return (
            isinstance(fault, errors.WorkerError)
            and not allocation.stop_wanted
            and not allocation.announced
        )

    def _report_refusal(
        self,
        allocation: allocation_module.Allocation,
        fault: errors.BasilspindleError,
    ) -> None:
        if allocation.announced:
            self._reporter.end(
                allocation.end(
                    model.State.QUEUED,
                    started=False,
                    error=fault.message,
                    worker_epoch=allocation.epoch,
                )
            )

    async def _start(
        self, allocation: allocation_module.Allocation
    ) -> errors.BasilspindleError | None:
        """Return None if the task runs or ran, else the fault."""
        worker = self._allocator.worker_of(allocation)
        order = allocation.order
        allocation.phase = allocation_module.Phase.STARTING
        allocation.epoch = worker.epoch
        allocation.incarnation = worker.incarnation
        allocation.sent_ms = self._clock.now_ms()
        try:
            await worker.client.start(
                allocation.epoch,
                order,
                lambda: self._guard(worker, allocation),
            )
        except (errors.Fenced, errors.WorkerUnavailable) as fault:
            return fault
        except errors.WorkerRefused as fault:
            self._refused(worker, allocation, fault)
            return fault
        except errors.WorkerOutcomeUnknown as fault:
            return self._resolve_later(worker, allocation, fault)
        except Exception as fault:
            # The start may have been sent before the defect showed.
            unknown = errors.WorkerOutcomeUnknown(repr(fault))
            return self._resolve_later(worker, allocation, unknown)
        self._confirm(worker, allocation)
        return None

    def _guard(
        self,
        worker: leased_worker.LeasedWorker,
        allocation: allocation_module.Allocation,
    ) -> None:
        """Refuse immediately before the send if anything has changed."""
        order = allocation.order
        self._check_fence(order.partition, order.partition_epoch)
        now_ms = self._clock.now_ms()
        if worker.epoch != allocation.epoch or not worker.leased(
            now_ms + self._settings.send_ms
        ):
            raise errors.StaleEpoch(
                f'the lease of {worker.info.worker_id} has lapsed; place the '
                'task again'
            )
        if allocation.stop_wanted:
            raise errors.WorkerRefused(
                f'task {order.task_id} was stopped before its start'
            )
        allocation.sent_ms = now_ms

    def _refused(
        self,
        worker: leased_worker.LeasedWorker,
        allocation: allocation_module.Allocation,
        fault: errors.WorkerRefused,
    ) -> None:
        if worker.epoch != allocation.epoch:
            return
        if isinstance(fault, errors.StaleEpoch):
            if worker.leased(self._clock.now_ms() + self._settings.send_ms):
                worker.lapse()
        elif not allocation.stop_wanted:
            # The worker accounts differently, so its inventory is read.
            worker.stale = True
        self._allocator.refresh()
        worker.wake.set()

    def _resolve_later(
        self,
        worker: leased_worker.LeasedWorker,
        allocation: allocation_module.Allocation,
        fault: errors.WorkerOutcomeUnknown,
    ) -> errors.WorkerOutcomeUnknown | None:
        if allocation.over:
            return None
        if allocation.phase is allocation_module.Phase.RUNNING:
            return None
        allocation.phase = allocation_module.Phase.UNCERTAIN
        events.emit(
            fleet_events.START_UNCERTAIN,
            task_id=allocation.running.task_id,
            attempt=allocation.running.attempt,
            worker_id=worker.info.worker_id,
        )
        worker.resolve_at_ms = 0
        worker.wake.set()
        return fault

    def _confirm(
        self,
        worker: leased_worker.LeasedWorker,
        allocation: allocation_module.Allocation,
    ) -> None:
        allocation.order = None
        if allocation.over:
            return
        if allocation.incarnation != worker.incarnation:
            # The worker restarted after it had answered.
            allocation.phase = allocation_module.Phase.UNCERTAIN
            worker.resolve_at_ms = 0
            worker.wake.set()
            return
        allocation.phase = allocation_module.Phase.RUNNING
