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
    """Send starts, and retry rejected starts on other workers."""

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

    async def start(
        self, allocation: allocation_module.Allocation, max_tries: int
    ) -> messages.Placement:
        """Start a reserved task, trying at most ``max_tries`` workers."""
        tried: list[str] = []
        while True:
            order = allocation.order
            fault = await self._send_start(allocation)
            if fault is None:
                return allocation.placement()
            if isinstance(fault, errors.WorkerOutcomeUnknown):
                return allocation.placement(unknown=True)
            tried.append(allocation.task.worker_id)
            self._allocator.free(allocation)
            retry = None
            if len(tried) < max_tries and self._may_retry_elsewhere(
                allocation, fault
            ):
                retry = self._allocator.reserve(
                    order, self._clock.now_ms(), tried
                )
            if retry is None:
                self._report_refusal(allocation, fault)
                return self._allocator.refuse(
                    allocation.key, fault.kind, self._clock.now_ms()
                )
            retry.placement_task = allocation.placement_task
            allocation = retry

    def _may_retry_elsewhere(
        self,
        allocation: allocation_module.Allocation,
        fault: errors.BasilspindleError,
    ) -> bool:
        return (
            isinstance(fault, errors.WorkerError)
            and not allocation.stop_requested
            and not allocation.reported_to_owner
        )

    def _report_refusal(
        self,
        allocation: allocation_module.Allocation,
        fault: errors.BasilspindleError,
    ) -> None:
        if allocation.reported_to_owner:
            self._reporter.report_end(
                allocation.task_end(
                    model.State.QUEUED,
                    started=False,
                    error=fault.message,
                    worker_epoch=allocation.epoch,
                )
            )

    async def _send_start(
        self, allocation: allocation_module.Allocation
    ) -> errors.BasilspindleError | None:
        """Send a start; return the error unless the task runs or ran."""
        worker = self._allocator.worker_of(allocation)
        order = allocation.order
        allocation.phase = allocation_module.Phase.STARTING
        allocation.epoch = worker.epoch
        allocation.incarnation = worker.incarnation
        allocation.start_sent_ms = self._clock.now_ms()
        try:
            await worker.client.start(
                allocation.epoch,
                order,
                lambda: self._check_before_send(worker, allocation),
            )
        except (errors.Fenced, errors.WorkerUnavailable) as fault:
            return fault
        except errors.WorkerRefused as fault:
            self._handle_refusal(worker, allocation, fault)
            return fault
        except errors.WorkerOutcomeUnknown as fault:
            return self._resolve_later(worker, allocation, fault)
        except Exception as fault:
            # The start may have been sent before the unexpected error.
            unknown = errors.WorkerOutcomeUnknown(repr(fault))
            return self._resolve_later(worker, allocation, unknown)
        self._mark_running(worker, allocation)
        return None

    def _check_before_send(
        self,
        worker: leased_worker.LeasedWorker,
        allocation: allocation_module.Allocation,
    ) -> None:
        """Raise if the start must not be sent.

        Called immediately before the send, since the fence, the lease or
        the order may have changed since the worker was chosen.
        """
        order = allocation.order
        self._check_fence(order.partition, order.partition_epoch)
        now_ms = self._clock.now_ms()
        if worker.epoch != allocation.epoch or not worker.has_valid_lease(
            now_ms + self._settings.send_ms
        ):
            raise errors.StaleEpoch(
                f'the lease of {worker.info.worker_id} has ended; place the '
                'task again'
            )
        if allocation.stop_requested:
            raise errors.WorkerRefused(
                f'task {order.task_id} was stopped before its start'
            )
        allocation.start_sent_ms = now_ms

    def _handle_refusal(
        self,
        worker: leased_worker.LeasedWorker,
        allocation: allocation_module.Allocation,
        fault: errors.WorkerRefused,
    ) -> None:
        if worker.epoch != allocation.epoch:
            return
        if isinstance(fault, errors.StaleEpoch):
            if worker.has_valid_lease(
                self._clock.now_ms() + self._settings.send_ms
            ):
                worker.invalidate_lease()
        elif not allocation.stop_requested:
            # The worker disagrees about its tasks or capacity, so its
            # inventory is read.
            worker.inventory_stale = True
        self._allocator.invalidate_candidates()
        worker.wake.set()

    def _resolve_later(
        self,
        worker: leased_worker.LeasedWorker,
        allocation: allocation_module.Allocation,
        fault: errors.WorkerOutcomeUnknown,
    ) -> errors.WorkerOutcomeUnknown | None:
        if allocation.freed:
            return None
        if allocation.phase is allocation_module.Phase.RUNNING:
            return None
        allocation.phase = allocation_module.Phase.UNCERTAIN
        events.emit(
            fleet_events.START_UNCERTAIN,
            task_id=allocation.task.task_id,
            attempt=allocation.task.attempt,
            worker_id=worker.info.worker_id,
        )
        worker.resolve_at_ms = 0
        worker.wake.set()
        return fault

    def _mark_running(
        self,
        worker: leased_worker.LeasedWorker,
        allocation: allocation_module.Allocation,
    ) -> None:
        allocation.order = None
        if allocation.freed:
            return
        if allocation.incarnation != worker.incarnation:
            # The worker restarted after it had answered; its inventory
            # shows whether the task was lost.
            allocation.phase = allocation_module.Phase.UNCERTAIN
            worker.resolve_at_ms = 0
            worker.wake.set()
            return
        allocation.phase = allocation_module.Phase.RUNNING
