"""Hold the lease of one worker and follow its tasks."""

import asyncio
import math

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.fleet import entry as entry_module
from basilspindle.fleet import event_page
from basilspindle.fleet import events as fleet_events
from basilspindle.fleet import leased_worker
from basilspindle.fleet import ledger as ledger_module
from basilspindle.fleet import reporter as reporter_module
from basilspindle.fleet import settings as settings_module
from basilspindle.fleet import task_spec
from basilspindle.fleet import worker_event
from basilspindle.fleet import worker_inventory
from basilspindle import model

_STATES = {
    worker_event.Outcome.SUCCEEDED: model.State.SUCCEEDED,
    worker_event.Outcome.FAILED: model.State.FAILED,
    worker_event.Outcome.STOPPED: model.State.CANCELLED,
}
_COUNTED_OUTCOMES = frozenset(
    {worker_event.Outcome.SUCCEEDED, worker_event.Outcome.FAILED}
)
_RESTARTED = 'worker restarted'
# Their outcome is concluded by whoever starts or commits them.
_UNSENT_PHASES = frozenset(
    {entry_module.Phase.HELD, entry_module.Phase.STARTING}
)


class Keeper:
    """Take and renew the lease of a worker, one call at a time.

    All changes of the lease and every reading of the inventory happen in
    ``run``, so they never overlap. Starts and stops go on concurrently.
    """

    __slots__ = (
        '_worker',
        '_clock',
        '_member_id',
        '_settings',
        '_ledger',
        '_reporter',
    )

    def __init__(
        self,
        worker: leased_worker.LeasedWorker,
        clock: clock_module.Clock,
        member_id: str,
        settings: settings_module.FleetSettings,
        ledger: ledger_module.Ledger,
        reporter: reporter_module.Reporter,
    ) -> None:
        self._worker = worker
        self._clock = clock
        self._member_id = member_id
        self._settings = settings
        self._ledger = ledger
        self._reporter = reporter

    async def run(self) -> None:
        """Hold the worker until it is handed back."""
        worker = self._worker
        while self._ledger.workers.get(worker.info.worker_id) is worker:
            worker.wake.clear()
            try:
                await self._step()
            except errors.StaleEpoch:
                self._lapse()
            except errors.WorkerRefused:
                await self._back_off()
            except errors.WorkerError:
                self._miss()
                await self._back_off()
            except Exception as fault:
                events.emit(
                    fleet_events.KEEPER_FAILED,
                    worker_id=worker.info.worker_id,
                    error=repr(fault),
                )
                await self._back_off()

    async def _step(self) -> None:
        worker = self._worker
        now_ms = self._clock.now_ms()
        self._expire_tasks(now_ms)
        if not worker.leased(now_ms):
            await self._regain()
        elif worker.stale or not worker.ready:
            await self._read()
        elif self._uncertain() and now_ms >= worker.resolve_at_ms:
            await self._settle(now_ms)
        elif self._may_hand_back(now_ms):
            await self._hand_back()
        else:
            await self._release()
            await self._poll()

    # Lease

    async def _regain(self) -> None:
        worker = self._worker
        if worker.wanted:
            await self._take()
        elif worker.tasks:
            await self._watch()
        else:
            await self._drop()

    async def _take(self) -> None:
        worker = self._worker
        sent_ms = self._clock.now_ms()
        try:
            grant = await worker.client.lease(
                self._member_id,
                self._settings.worker_lease_ms,
                worker.epoch,
            )
        except errors.LeaseHeld as held:
            await self._yield(held)
            return
        if grant.incarnation != worker.incarnation:
            self._lose(grant.epoch)
        if grant.epoch != worker.epoch:
            worker.ready = False
        worker.grant(grant, sent_ms)
        self._ledger.health.watch(
            worker.info.worker_id,
            worker.info.failure_domain,
            worker.incarnation,
        )
        self._recover()

    async def _yield(self, held: errors.LeaseHeld) -> None:
        worker = self._worker
        self._lapse()
        if held.holder != self._member_id:
            events.emit(
                fleet_events.LEASE_LOST,
                worker_id=worker.info.worker_id,
                holder=held.holder,
            )
            if worker.tasks:
                self._pass_on(await worker.client.inventory())
        await self._pause(
            min(held.remaining_ms + 1, self._settings.held_retry_ms)
        )

    async def _watch(self) -> None:
        # The lease is not wanted any more and was lost before it could be
        # handed back: only the fate of the tasks matters.
        worker = self._worker
        self._pass_on(await worker.client.inventory())
        if worker.tasks:
            await self._pause(self._settings.retry_ms)

    def _pass_on(self, inventory: worker_inventory.WorkerInventory) -> None:
        """Leave the tasks to the next holder, who finds them."""
        worker = self._worker
        if inventory.incarnation != worker.incarnation:
            self._lose(inventory.epoch)
            return
        listed = _keys(inventory)
        for entry in list(worker.tasks.values()):
            if entry.phase is entry_module.Phase.STARTING:
                continue
            if (
                entry.phase is entry_module.Phase.UNCERTAIN
                and entry.key not in listed
            ):
                self._conclude(entry, inventory)
            else:
                self._leave(entry)

    def _leave(self, entry: entry_module.TaskEntry) -> None:
        if entry.phase is entry_module.Phase.HELD:
            self._drop_hold(entry)
        else:
            self._close(entry)

    def _drop_hold(self, entry: entry_module.TaskEntry) -> None:
        self._ledger.free(entry)
        self._ledger.refuse(entry.key, 'hold_gone', self._clock.now_ms())

    def _lapse(self) -> None:
        self._worker.lapse()
        self._ledger.refresh()

    def _recover(self) -> None:
        worker = self._worker
        worker.backoff_ms = 0
        if worker.silent_polls:
            worker.silent_polls = 0
            self._ledger.notify()
        self._ledger.refresh()

    def _may_hand_back(self, now_ms: int) -> bool:
        worker = self._worker
        if worker.wanted or not worker.settled:
            return False
        return not worker.unconfirmed or now_ms >= worker.hand_back_at_ms

    async def _hand_back(self) -> None:
        worker = self._worker
        await self._release()
        if not self._may_hand_back(self._clock.now_ms()):
            return
        epoch = worker.epoch
        # Nothing may be placed under an epoch that is being given back.
        self._lapse()
        await worker.client.unlease(epoch)
        for entry in list(worker.tasks.values()):
            self._leave(entry)
        events.emit(
            fleet_events.LEASE_RETURNED, worker_id=worker.info.worker_id
        )
        if not worker.wanted:
            await self._drop()

    async def _drop(self) -> None:
        worker = self._worker
        self._ledger.workers.pop(worker.info.worker_id, None)
        self._ledger.health.forget(worker.info.worker_id)
        self._ledger.refresh()
        await worker.client.reset()

    # Events

    async def _release(self) -> None:
        worker = self._worker
        through = worker.releasable()
        if through > worker.released:
            await worker.client.release(worker.epoch, through)
            worker.released = through

    async def _poll(self) -> None:
        worker = self._worker
        sent_ms = self._clock.now_ms()
        renewal_ms = worker.task_renewal_ms
        worker.task_renewal_ms = sent_ms
        try:
            page = await self._wait_events()
        except errors.WorkerUnavailable:
            worker.task_renewal_ms = renewal_ms
            raise
        if page is None:
            return
        if page.incarnation != worker.incarnation:
            self._lapse()
            return
        worker.renewed_ms = sent_ms
        if worker.silent_polls:
            self._recover()
        worker.backoff_ms = 0
        await self._take_events(page)

    async def _wait_events(self) -> event_page.EventPage | None:
        """Poll until events, the wait time, or a wake-up (None)."""
        worker = self._worker
        wait_ms = self._settings.poll_wait_ms(worker.lease_ms)
        if worker.silent_polls:
            # Any answer ends the suspicion, so none is delayed.
            wait_ms = 0
        elif not worker.wanted or self._uncertain():
            wait_ms = min(wait_ms, self._settings.retry_ms)
        poll = asyncio.ensure_future(
            worker.client.events(
                worker.epoch,
                worker.after,
                wait_ms,
                self._settings.task_lease_ms,
            )
        )
        wake = asyncio.ensure_future(worker.wake.wait())
        try:
            await asyncio.wait(
                {poll, wake}, return_when=asyncio.FIRST_COMPLETED
            )
            return poll.result() if poll.done() else None
        finally:
            wake.cancel()
            if not poll.done():
                poll.cancel()
                await asyncio.wait({poll})

    def _miss(self) -> None:
        worker = self._worker
        suspected = worker.suspect
        worker.silent_polls += 1
        if worker.suspect and not suspected:
            events.emit(
                fleet_events.WORKER_SUSPECT,
                worker_id=worker.info.worker_id,
            )
            self._ledger.refresh()

    async def _take_events(self, page: event_page.EventPage) -> None:
        worker = self._worker
        for event in page.events:
            if event.seq <= worker.after:
                continue
            entry = worker.tasks.get((event.task_id, event.attempt))
            if entry is None:
                # The inventory also says whose task it was.
                worker.stale = True
                return
            self._finish(entry, event)
            worker.after = event.seq
        worker.after = max(worker.after, page.next)
        for task_id, used in page.usage.items():
            entry = self._ledger.entry(task_id)
            if entry is not None and entry.key in worker.tasks:
                worker.observe(entry, used.resources())

    def _finish(
        self,
        entry: entry_module.TaskEntry,
        event: worker_event.WorkerEvent,
    ) -> None:
        worker = self._worker
        now_ms = self._clock.now_ms()
        state = _STATES.get(event.outcome)
        if state is None:
            end = entry.loss(event.error or event.outcome, worker.epoch)
        else:
            end = entry.end(
                state,
                result=bytes(event.result),
                error=event.error,
                run_time_ms=event.run_time_ms,
                worker_epoch=worker.epoch,
            )
        worker.unconfirmed[entry.key] = event.seq
        self._judge(entry, event, now_ms)
        self._close(entry)
        self._reporter.end(end)

    def _judge(
        self,
        entry: entry_module.TaskEntry,
        event: worker_event.WorkerEvent,
        now_ms: int,
    ) -> None:
        if event.outcome not in _COUNTED_OUTCOMES:
            return
        worker_id = self._worker.info.worker_id
        limited = self._ledger.health.limited(worker_id)
        quarantined = self._ledger.health.record(
            worker_id,
            entry.running.job_id,
            event.outcome is worker_event.Outcome.FAILED,
            now_ms,
            entry.avoided,
        )
        if quarantined:
            events.emit(fleet_events.WORKER_QUARANTINED, worker_id=worker_id)
        if quarantined or limited:
            self._ledger.refresh()

    def _close(self, entry: entry_module.TaskEntry) -> None:
        self._ledger.close(entry, self._clock.now_ms())

    # Inventory

    async def _read(self) -> None:
        worker = self._worker
        before = {e.key for e in worker.in_phase(entry_module.Phase.RUNNING)}
        inventory = await worker.client.inventory()
        known = (worker.incarnation, worker.epoch)
        if (inventory.incarnation, inventory.epoch) != known:
            self._lapse()
            return
        # An earlier holder may have renewed the task leases until now.
        if not worker.ready:
            worker.task_renewal_ms = self._clock.now_ms()
        self._reconcile(inventory, before)
        worker.stale = False
        if not worker.ready:
            worker.ready = True
            events.emit(
                fleet_events.LEASE_TAKEN,
                worker_id=worker.info.worker_id,
                epoch=worker.epoch,
                tasks=len(worker.tasks),
            )
            self._ledger.notify()
        self._ledger.refresh()

    def _reconcile(
        self,
        inventory: worker_inventory.WorkerInventory,
        before: set[entry_module.Key],
    ) -> None:
        worker = self._worker
        for ended in sorted(inventory.ended, key=lambda e: e.end.seq):
            self._take_ended(ended.task, ended.end)
        worker.after = max(worker.after, inventory.next)
        for spec in inventory.running:
            self._find(spec)
        listed = _keys(inventory)
        for entry in list(worker.tasks.values()):
            if entry.key not in listed:
                self._miss_task(entry, inventory, before)
        if worker.overdrawn:
            for entry in worker.in_phase(entry_module.Phase.HELD):
                self._drop_hold(entry)

    def _take_ended(
        self, spec: task_spec.TaskSpec, event: worker_event.WorkerEvent
    ) -> None:
        worker = self._worker
        if event.seq <= worker.after:
            return
        entry = worker.tasks.get((spec.task_id, spec.attempt))
        if entry is None:
            entry = self._adopt(spec)
        self._finish(entry, event)

    def _find(self, spec: task_spec.TaskSpec) -> None:
        worker = self._worker
        entry = worker.tasks.get((spec.task_id, spec.attempt))
        if entry is None:
            self._reporter.found(self._adopt(spec).running)
            return
        if entry.phase is entry_module.Phase.RUNNING:
            entry.epoch = worker.epoch
        elif entry.phase is entry_module.Phase.UNCERTAIN:
            entry.phase = entry_module.Phase.RUNNING
            entry.epoch = worker.epoch
            entry.order = None
            self._resolved(entry, 'running')
            self._reporter.found(entry.listed())

    def _adopt(self, spec: task_spec.TaskSpec) -> entry_module.TaskEntry:
        worker = self._worker
        entry = entry_module.TaskEntry(
            model.RunningTask(
                task_id=spec.task_id,
                attempt=spec.attempt,
                job_id=spec.job_id,
                index=spec.index,
                workspace=spec.workspace,
                kind=spec.kind,
                partition=spec.partition,
                worker_id=worker.info.worker_id,
                failure_domain=worker.info.failure_domain,
                rack=worker.info.rack,
                resources=spec.resources.resources(),
                worker_epoch=worker.epoch,
            ),
            spec.idempotent,
        )
        entry.epoch = worker.epoch
        entry.incarnation = worker.incarnation
        self._ledger.add(entry)
        return entry

    def _miss_task(
        self,
        entry: entry_module.TaskEntry,
        inventory: worker_inventory.WorkerInventory,
        before: set[entry_module.Key],
    ) -> None:
        """Conclude for a task that the inventory does not list."""
        if entry.phase is entry_module.Phase.UNCERTAIN:
            self._conclude(entry, inventory)
        elif entry.key in before:
            self._lose_task(
                entry, 'worker does not know the task', inventory.epoch
            )

    def _conclude(
        self,
        entry: entry_module.TaskEntry,
        inventory: worker_inventory.WorkerInventory,
    ) -> None:
        """Conclude for a start with a lost answer that is not listed."""
        if entry.incarnation != inventory.incarnation:
            self._lose_task(entry, _RESTARTED, inventory.epoch)
        elif self._worker.never_ran(entry, inventory.epoch):
            self._not_run(entry)
        elif entry.epoch < inventory.epoch:
            # Another holder may have reported and released its result.
            self._lose_task(entry, 'the lease changed hands', inventory.epoch)

    # Fate of tasks

    def _uncertain(self) -> bool:
        return any(
            entry.phase is entry_module.Phase.UNCERTAIN
            for entry in self._worker.tasks.values()
        )

    async def _settle(self, now_ms: int) -> None:
        """Find out whether starts with a lost answer took effect.

        A start that is not in the inventory may still be on its way; it
        is certainly refused after the epoch has advanced.
        """
        worker = self._worker
        worker.resolve_at_ms = now_ms + self._settings.retry_ms
        try:
            await self._read()
        except (errors.WorkerUnavailable, errors.WorkerOutcomeUnknown):
            return
        open_starts = worker.in_phase(entry_module.Phase.UNCERTAIN)
        if worker.epoch and open_starts:
            epoch = worker.epoch
            # The next inventory resolves them unless the epoch stays.
            worker.resolve_at_ms = now_ms + self._settings.retry_max_ms
            self._lapse()
            await worker.client.unlease(epoch)

    def _not_run(self, entry: entry_module.TaskEntry) -> None:
        kept_ms = self._clock.now_ms() - entry.sent_ms
        if kept_ms >= self._settings.result_keep_ms:
            self._lose_task(entry, 'result was not kept', self._worker.epoch)
            return
        self._resolved(entry, 'not run')
        self._ledger.free(entry)
        self._ledger.refuse(entry.key, 'not_run', self._clock.now_ms())
        self._reporter.end(
            entry.end(
                model.State.QUEUED,
                started=False,
                error='the start did not take effect',
                worker_epoch=self._worker.epoch,
            )
        )

    def _resolved(self, entry: entry_module.TaskEntry, outcome: str) -> None:
        events.emit(
            fleet_events.START_RESOLVED,
            task_id=entry.running.task_id,
            attempt=entry.running.attempt,
            outcome=outcome,
        )

    def _lose_task(
        self, entry: entry_module.TaskEntry, error: str, epoch: int
    ) -> None:
        """End an attempt; ``epoch`` is the latest that shows it is over."""
        self._close(entry)
        self._reporter.end(entry.loss(error, max(epoch, entry.epoch)))

    def _lose(self, epoch: int) -> None:
        """End all tasks of an incarnation that is over."""
        lost = 0
        for entry in list(self._worker.tasks.values()):
            if entry.phase is entry_module.Phase.HELD:
                self._drop_hold(entry)
            elif entry.phase is not entry_module.Phase.STARTING:
                self._lose_task(entry, _RESTARTED, epoch)
                lost += 1
        if lost:
            self._emit_lost(_RESTARTED, lost)

    def _expire_tasks(self, now_ms: int) -> None:
        lost = 0
        for entry in list(self._worker.tasks.values()):
            if now_ms >= self._expiry_ms(entry):
                self._lose_task(entry, 'task lease expired', entry.epoch)
                lost += 1
        if lost:
            self._emit_lost('task lease expired', lost)

    def _expiry_ms(self, entry: entry_module.TaskEntry) -> float:
        """Return when a task that is not renewed has certainly stopped."""
        if entry.phase in _UNSENT_PHASES:
            return math.inf
        renewed_ms = max(self._worker.task_renewal_ms, entry.sent_ms)
        return renewed_ms + self._settings.task_expiry_ms

    def _emit_lost(self, error: str, lost: int) -> None:
        events.emit(
            fleet_events.WORKER_LOST,
            worker_id=self._worker.info.worker_id,
            error=error,
            tasks=lost,
        )

    # Waiting

    async def _back_off(self) -> None:
        worker = self._worker
        if not worker.backoff_ms:
            worker.backoff_ms = self._settings.retry_ms
        await self._pause(worker.backoff_ms)
        worker.backoff_ms = min(
            2 * worker.backoff_ms, self._settings.retry_max_ms
        )

    async def _pause(self, duration_ms: int) -> None:
        """Wait; a wake-up or the expiry of a task ends it early."""
        now_ms = self._clock.now_ms()
        expiries = map(self._expiry_ms, self._worker.tasks.values())
        left_ms = min(expiries, default=math.inf) - now_ms
        duration_ms = max(0, min(duration_ms, left_ms))
        try:
            await self._clock.wait_ms(self._worker.wake.wait(), duration_ms)
        except errors.DeadlineExceeded:
            pass


def _keys(
    inventory: worker_inventory.WorkerInventory,
) -> set[entry_module.Key]:
    running = {(spec.task_id, spec.attempt) for spec in inventory.running}
    ended = {(e.task.task_id, e.task.attempt) for e in inventory.ended}
    return running | ended
