"""Start reserved tasks on their workers."""

import collections.abc

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.fleet import entry as entry_module
from basilspindle.fleet import events as fleet_events
from basilspindle.fleet import leased_worker
from basilspindle.fleet import ledger as ledger_module
from basilspindle.fleet import reporter as reporter_module
from basilspindle.fleet import settings as settings_module
from basilspindle import model
from basilspindle.peer import messages

CheckFence = collections.abc.Callable[[int, int], None]


class Starter:
    """Send starts; a refused one is tried on other workers."""

    __slots__ = ('_clock', '_settings', '_ledger', '_reporter', '_check_fence')

    def __init__(
        self,
        clock: clock_module.Clock,
        settings: settings_module.FleetSettings,
        ledger: ledger_module.Ledger,
        reporter: reporter_module.Reporter,
        check_fence: CheckFence,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._ledger = ledger
        self._reporter = reporter
        self._check_fence = check_fence

    async def run(
        self, entry: entry_module.TaskEntry, tries: int
    ) -> messages.Placement:
        """Start a reserved task on at most ``tries`` workers."""
        tried: list[str] = []
        while True:
            order = entry.order
            fault = await self._start(entry)
            if fault is None:
                return entry.placement()
            if isinstance(fault, errors.WorkerOutcomeUnknown):
                return entry.placement(unknown=True)
            tried.append(entry.running.worker_id)
            self._ledger.free(entry)
            following = None
            if len(tried) < tries and self._may_move(entry, fault):
                following = self._ledger.reserve(
                    order, self._clock.now_ms(), tried
                )
            if following is None:
                self._report_refusal(entry, fault)
                return self._ledger.refuse(
                    entry.key, fault.kind, self._clock.now_ms()
                )
            following.placed = entry.placed
            entry = following

    def _may_move(
        self, entry: entry_module.TaskEntry, fault: errors.BasilspindleError
    ) -> bool:
        return (
            isinstance(fault, errors.WorkerError)
            and not entry.stop_wanted
            and not entry.announced
        )

    def _report_refusal(
        self, entry: entry_module.TaskEntry, fault: errors.BasilspindleError
    ) -> None:
        if entry.announced:
            self._reporter.end(
                entry.end(
                    model.State.QUEUED,
                    started=False,
                    error=fault.message,
                    worker_epoch=entry.epoch,
                )
            )

    async def _start(
        self, entry: entry_module.TaskEntry
    ) -> errors.BasilspindleError | None:
        """Return None if the task runs or ran, else the fault."""
        worker = self._ledger.worker_of(entry)
        order = entry.order
        entry.phase = entry_module.Phase.STARTING
        entry.epoch = worker.epoch
        entry.incarnation = worker.incarnation
        entry.sent_ms = self._clock.now_ms()
        try:
            await worker.client.start(
                entry.epoch, order, lambda: self._guard(worker, entry)
            )
        except (errors.Fenced, errors.WorkerUnavailable) as fault:
            return fault
        except errors.WorkerRefused as fault:
            self._refused(worker, entry, fault)
            return fault
        except errors.WorkerOutcomeUnknown as fault:
            return self._resolve_later(worker, entry, fault)
        except Exception as fault:
            # The start may have been sent before the defect showed.
            unknown = errors.WorkerOutcomeUnknown(repr(fault))
            return self._resolve_later(worker, entry, unknown)
        self._confirm(worker, entry)
        return None

    def _guard(
        self,
        worker: leased_worker.LeasedWorker,
        entry: entry_module.TaskEntry,
    ) -> None:
        """Refuse immediately before the send if anything has changed."""
        order = entry.order
        self._check_fence(order.partition, order.partition_epoch)
        now_ms = self._clock.now_ms()
        if worker.epoch != entry.epoch or not worker.leased(
            now_ms + self._settings.send_ms
        ):
            raise errors.StaleEpoch(
                f'the lease of {worker.info.worker_id} has lapsed; place the '
                'task again'
            )
        if entry.stop_wanted:
            raise errors.WorkerRefused(
                f'task {order.task_id} was stopped before its start'
            )
        entry.sent_ms = now_ms

    def _refused(
        self,
        worker: leased_worker.LeasedWorker,
        entry: entry_module.TaskEntry,
        fault: errors.WorkerRefused,
    ) -> None:
        if worker.epoch != entry.epoch:
            return
        if isinstance(fault, errors.StaleEpoch):
            if worker.leased(self._clock.now_ms() + self._settings.send_ms):
                worker.lapse()
        elif not entry.stop_wanted:
            # The worker accounts differently, so its inventory is read.
            worker.stale = True
        self._ledger.refresh()
        worker.wake.set()

    def _resolve_later(
        self,
        worker: leased_worker.LeasedWorker,
        entry: entry_module.TaskEntry,
        fault: errors.WorkerOutcomeUnknown,
    ) -> errors.WorkerOutcomeUnknown | None:
        if entry.over:
            return None
        if entry.phase is entry_module.Phase.RUNNING:
            return None
        entry.phase = entry_module.Phase.UNCERTAIN
        events.emit(
            fleet_events.START_UNCERTAIN,
            task_id=entry.running.task_id,
            attempt=entry.running.attempt,
            worker_id=worker.info.worker_id,
        )
        worker.resolve_at_ms = 0
        worker.wake.set()
        return fault

    def _confirm(
        self,
        worker: leased_worker.LeasedWorker,
        entry: entry_module.TaskEntry,
    ) -> None:
        entry.order = None
        if entry.over:
            return
        if entry.incarnation != worker.incarnation:
            # The worker restarted after it had answered.
            entry.phase = entry_module.Phase.UNCERTAIN
            worker.resolve_at_ms = 0
            worker.wake.set()
            return
        entry.phase = entry_module.Phase.RUNNING
