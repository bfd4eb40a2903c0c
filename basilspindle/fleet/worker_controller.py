"""Hold the lease of one worker and follow its tasks."""

import asyncio
import math

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.fleet import allocation as allocation_module
from basilspindle.fleet import allocator as allocator_module
from basilspindle.fleet import event_page
from basilspindle.fleet import events as fleet_events
from basilspindle.fleet import leased_worker
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
    {allocation_module.Phase.HELD, allocation_module.Phase.STARTING}
)


class WorkerController:
    """Take and renew the lease of a worker, one call at a time.

    All changes of the lease and every reading of the inventory happen in
    ``run``, so they never overlap. Starts and stops go on concurrently.
    """

    __slots__ = (
        '_worker',
        '_clock',
        '_member_id',
        '_settings',
        '_allocator',
        '_reporter',
    )

    def __init__(
        self,
        worker: leased_worker.LeasedWorker,
        clock: clock_module.Clock,
        member_id: str,
        settings: settings_module.FleetSettings,
        allocator: allocator_module.Allocator,
        reporter: reporter_module.Reporter,
    ) -> None:
        self._worker = worker
        self._clock = clock
        self._member_id = member_id
        self._settings = settings
        self._allocator = allocator
        self._reporter = reporter

    async def run(self) -> None:
        """Hold the worker until it is handed back."""
        worker = self._worker
        while self._allocator.workers.get(worker.info.worker_id) is worker:
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
                    fleet_events.CONTROLLER_FAILED,
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
        self._allocator.health.watch(
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
        for allocation in list(worker.tasks.values()):
            if allocation.phase is allocation_module.Phase.STARTING:
                continue
            if (
                allocation.phase is allocation_module.Phase.UNCERTAIN
                and allocation.key not in listed
            ):
                self._conclude(allocation, inventory)
            else:
                self._leave(allocation)

    def _leave(self, allocation: allocation_module.Allocation) -> None:
        if allocation.phase is allocation_module.Phase.HELD:
            self._drop_hold(allocation)
        else:
            self._close(allocation)

    def _drop_hold(self, allocation: allocation_module.Allocation) -> None:
        self._allocator.free(allocation)
        self._allocator.refuse(
            allocation.key, 'hold_gone', self._clock.now_ms()
        )

    def _lapse(self) -> None:
        self._worker.lapse()
        self._allocator.refresh()

    def _recover(self) -> None:
        worker = self._worker
        worker.backoff_ms = 0
        if worker.silent_polls:
            worker.silent_polls = 0
            self._allocator.notify()
        self._allocator.refresh()

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
        await worker.client.return_lease(epoch)
        for allocation in list(worker.tasks.values()):
            self._leave(allocation)
        events.emit(
            fleet_events.LEASE_RETURNED, worker_id=worker.info.worker_id
        )
        if not worker.wanted:
            await self._drop()

    async def _drop(self) -> None:
        worker = self._worker
        self._allocator.workers.pop(worker.info.worker_id, None)
        self._allocator.health.forget(worker.info.worker_id)
        self._allocator.refresh()
        await worker.client.reset()

    # Events

    async def _release(self) -> None:
        worker = self._worker
        through = worker.releasable()
        if through > worker.released:
            await worker.client.release_results(worker.epoch, through)
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
            self._allocator.refresh()

    async def _take_events(self, page: event_page.EventPage) -> None:
        worker = self._worker
        for event in page.events:
            if event.seq <= worker.after:
                continue
            allocation = worker.tasks.get((event.task_id, event.attempt))
            if allocation is None:
                # The inventory also says whose task it was.
                worker.stale = True
                return
            self._finish(allocation, event)
            worker.after = event.seq
        worker.after = max(worker.after, page.next)
        for task_id, used in page.usage.items():
            allocation = self._allocator.allocation(task_id)
            if allocation is not None and allocation.key in worker.tasks:
                worker.observe(allocation, used.to_resources())

    def _finish(
        self,
        allocation: allocation_module.Allocation,
        event: worker_event.WorkerEvent,
    ) -> None:
        worker = self._worker
        now_ms = self._clock.now_ms()
        state = _STATES.get(event.outcome)
        if state is None:
            end = allocation.loss(event.error or event.outcome, worker.epoch)
        else:
            end = allocation.end(
                state,
                result=bytes(event.result),
                error=event.error,
                run_time_ms=event.run_time_ms,
                worker_epoch=worker.epoch,
            )
        worker.unconfirmed[allocation.key] = event.seq
        self._judge(allocation, event, now_ms)
        self._close(allocation)
        self._reporter.end(end)

    def _judge(
        self,
        allocation: allocation_module.Allocation,
        event: worker_event.WorkerEvent,
        now_ms: int,
    ) -> None:
        if event.outcome not in _COUNTED_OUTCOMES:
            return
        worker_id = self._worker.info.worker_id
        limited = self._allocator.health.limited(worker_id)
        quarantined = self._allocator.health.record(
            worker_id,
            allocation.running.job_id,
            event.outcome is worker_event.Outcome.FAILED,
            now_ms,
            allocation.avoided,
        )
        if quarantined:
            events.emit(fleet_events.WORKER_QUARANTINED, worker_id=worker_id)
        if quarantined or limited:
            self._allocator.refresh()

    def _close(self, allocation: allocation_module.Allocation) -> None:
        self._allocator.close(allocation, self._clock.now_ms())

    # Inventory

    async def _read(self) -> None:
        worker = self._worker
        before = {
            e.key for e in worker.in_phase(allocation_module.Phase.RUNNING)
        }
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
            self._allocator.notify()
        self._allocator.refresh()

    def _reconcile(
        self,
        inventory: worker_inventory.WorkerInventory,
        before: set[allocation_module.AttemptKey],
    ) -> None:
        worker = self._worker
        for ended in sorted(inventory.ended, key=lambda e: e.end.seq):
            self._take_ended(ended.task, ended.end)
        worker.after = max(worker.after, inventory.next)
        for spec in inventory.running:
            self._find(spec)
        listed = _keys(inventory)
        for allocation in list(worker.tasks.values()):
            if allocation.key not in listed:
                self._miss_task(allocation, inventory, before)
        if worker.overdrawn:
            for allocation in worker.in_phase(allocation_module.Phase.HELD):
                self._drop_hold(allocation)

    def _take_ended(
        self, spec: task_spec.TaskSpec, event: worker_event.WorkerEvent
    ) -> None:
        worker = self._worker
        if event.seq <= worker.after:
            return
        allocation = worker.tasks.get((spec.task_id, spec.attempt))
        if allocation is None:
            allocation = self._adopt(spec)
        self._finish(allocation, event)

    def _find(self, spec: task_spec.TaskSpec) -> None:
        worker = self._worker
        allocation = worker.tasks.get((spec.task_id, spec.attempt))
        if allocation is None:
            self._reporter.found(self._adopt(spec).running)
            return
        if allocation.phase is allocation_module.Phase.RUNNING:
            allocation.epoch = worker.epoch
        elif allocation.phase is allocation_module.Phase.UNCERTAIN:
            allocation.phase = allocation_module.Phase.RUNNING
            allocation.epoch = worker.epoch
            allocation.order = None
            self._resolved(allocation, 'running')
            self._reporter.found(allocation.listed())

    def _adopt(self, spec: task_spec.TaskSpec) -> allocation_module.Allocation:
        worker = self._worker
        allocation = allocation_module.Allocation(
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
                resources=spec.resources.to_resources(),
                worker_epoch=worker.epoch,
            ),
            spec.idempotent,
        )
        allocation.epoch = worker.epoch
        allocation.incarnation = worker.incarnation
        self._allocator.add(allocation)
        return allocation

    def _miss_task(
        self,
        allocation: allocation_module.Allocation,
        inventory: worker_inventory.WorkerInventory,
        before: set[allocation_module.AttemptKey],
    ) -> None:
        """Conclude for a task that the inventory does not list."""
        if allocation.phase is allocation_module.Phase.UNCERTAIN:
            self._conclude(allocation, inventory)
        elif allocation.key in before:
            self._lose_task(
                allocation, 'worker does not know the task', inventory.epoch
            )

    def _conclude(
        self,
        allocation: allocation_module.Allocation,
        inventory: worker_inventory.WorkerInventory,
    ) -> None:
        """Conclude for a start with a lost answer that is not listed."""
        if allocation.incarnation != inventory.incarnation:
            self._lose_task(allocation, _RESTARTED, inventory.epoch)
        elif self._worker.never_ran(allocation, inventory.epoch):
            self._not_run(allocation)
        elif allocation.epoch < inventory.epoch:
            # Another holder may have reported and released its result.
            self._lose_task(
                allocation, 'the lease changed hands', inventory.epoch
            )

    # Fate of tasks

    def _uncertain(self) -> bool:
        return any(
            allocation.phase is allocation_module.Phase.UNCERTAIN
            for allocation in self._worker.tasks.values()
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
        open_starts = worker.in_phase(allocation_module.Phase.UNCERTAIN)
        if worker.epoch and open_starts:
            epoch = worker.epoch
            # The next inventory resolves them unless the epoch stays.
            worker.resolve_at_ms = now_ms + self._settings.retry_max_ms
            self._lapse()
            await worker.client.return_lease(epoch)

    def _not_run(self, allocation: allocation_module.Allocation) -> None:
        kept_ms = self._clock.now_ms() - allocation.sent_ms
        if kept_ms >= self._settings.result_keep_ms:
            self._lose_task(
                allocation, 'result was not kept', self._worker.epoch
            )
            return
        self._resolved(allocation, 'not run')
        self._allocator.free(allocation)
        self._allocator.refuse(allocation.key, 'not_run', self._clock.now_ms())
        self._reporter.end(
            allocation.end(
                model.State.QUEUED,
                started=False,
                error='the start did not take effect',
                worker_epoch=self._worker.epoch,
            )
        )

    def _resolved(
        self, allocation: allocation_module.Allocation, outcome: str
    ) -> None:
        events.emit(
            fleet_events.START_RESOLVED,
            task_id=allocation.running.task_id,
            attempt=allocation.running.attempt,
            outcome=outcome,
        )

    def _lose_task(
        self, allocation: allocation_module.Allocation, error: str, epoch: int
    ) -> None:
        """End an attempt; ``epoch`` is the latest that shows it is over."""
        self._close(allocation)
        self._reporter.end(
            allocation.loss(error, max(epoch, allocation.epoch))
        )

    def _lose(self, epoch: int) -> None:
        """End all tasks of an incarnation that is over."""
        lost = 0
        for allocation in list(self._worker.tasks.values()):
            if allocation.phase is allocation_module.Phase.HELD:
                self._drop_hold(allocation)
            elif allocation.phase is not allocation_module.Phase.STARTING:
                self._lose_task(allocation, _RESTARTED, epoch)
                lost += 1
        if lost:
            self._emit_lost(_RESTARTED, lost)

    def _expire_tasks(self, now_ms: int) -> None:
        lost = 0
        for allocation in list(self._worker.tasks.values()):
            if now_ms >= self._expiry_ms(allocation):
                self._lose_task(
                    allocation, 'task lease expired', allocation.epoch
                )
                lost += 1
        if lost:
            self._emit_lost('task lease expired', lost)

    def _expiry_ms(self, allocation: allocation_module.Allocation) -> float:
        """Return when a task that is not renewed has certainly stopped."""
        if allocation.phase in _UNSENT_PHASES:
            return math.inf
        renewed_ms = max(self._worker.task_renewal_ms, allocation.sent_ms)
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
) -> set[allocation_module.AttemptKey]:
    running = {(spec.task_id, spec.attempt) for spec in inventory.running}
    ended = {(e.task.task_id, e.task.attempt) for e in inventory.ended}
    return running | ended
