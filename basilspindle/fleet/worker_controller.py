"""Hold the lease of one worker and track its tasks."""

import asyncio
import math

import msgspec

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.fleet import allocation as allocation_module
from basilspindle.fleet import allocator as allocator_module
from basilspindle.fleet import answers
from basilspindle.fleet import event_page
from basilspindle.fleet import events as fleet_events
from basilspindle.fleet import leased_worker
from basilspindle.fleet import reporter as reporter_module
from basilspindle.fleet import settings as settings_module
from basilspindle.fleet import task_spec
from basilspindle.fleet import worker_event
from basilspindle.fleet import worker_inventory
from basilspindle import model

_STATE_BY_OUTCOME = {
    worker_event.Outcome.SUCCEEDED: model.State.SUCCEEDED,
    worker_event.Outcome.FAILED: model.State.FAILED,
    worker_event.Outcome.STOPPED: model.State.CANCELLED,
}
_HEALTH_OUTCOMES = frozenset(
    {worker_event.Outcome.SUCCEEDED, worker_event.Outcome.FAILED}
)
_RESTARTED = 'worker restarted'
# Polls renew a lease without its grant, so that a capacity that one grant
# misstates, or that has changed, would stay in force.
_CAPACITY_REFRESH_MS = 60_000
# Holds and starts in progress are resolved by the fleet and its starter.
_PHASES_WITHOUT_EXPIRY = frozenset(
    {allocation_module.Phase.HELD, allocation_module.Phase.STARTING}
)


class WorkerController:
    """Take and renew the lease of a worker, and process its task ends.

    All calls that request or return the lease or read the inventory are
    made by ``run``, one at a time. Starts and stops are sent concurrently.
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
        """Hold the lease until it is handed back or no longer needed."""
        worker = self._worker
        while self._allocator.workers.get(worker.info.worker_id) is worker:
            worker.wake.clear()
            try:
                await self._step()
            except errors.StaleEpoch:
                self._invalidate_lease()
            except errors.WorkerRefused:
                await self._back_off()
            except errors.WorkerError:
                self._record_unanswered_call()
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
        if not worker.has_valid_lease(now_ms):
            await self._handle_missing_lease()
        elif worker.inventory_stale or not worker.ready:
            await self._read_inventory()
        elif self._has_uncertain_starts() and now_ms >= worker.resolve_at_ms:
            await self._resolve_uncertain_starts(now_ms)
        elif self._may_hand_back(now_ms):
            await self._hand_back()
        elif now_ms >= worker.granted_ms + _CAPACITY_REFRESH_MS:
            await self._request_lease()
        else:
            await self._release_results()
            await self._poll()

    # Lease

    async def _handle_missing_lease(self) -> None:
        worker = self._worker
        if worker.assigned:
            await self._request_lease()
        elif worker.allocations:
            await self._follow_remaining_tasks()
        else:
            await self._forget_worker()

    async def _request_lease(self) -> None:
        worker = self._worker
        sent_ms = self._clock.now_ms()
        try:
            grant = await worker.client.lease(
                self._member_id,
                self._settings.worker_lease_ms,
                worker.epoch,
            )
        except errors.LeaseHeld as held:
            await self._handle_lease_held(held)
            return
        if grant.incarnation != worker.incarnation:
            if worker.allocations:
                self._check_incarnation(
                    grant.incarnation, await worker.client.inventory()
                )
            self._report_all_lost(grant.epoch)
        if grant.epoch != worker.epoch:
            worker.ready = False
        worker.apply_grant(grant, sent_ms, self._settings.worker_lease_ms)
        self._allocator.health.track(
            worker.info.worker_id,
            worker.info.failure_domain,
            worker.incarnation,
        )
        self._mark_responsive()
        if not worker.has_valid_lease(self._clock.now_ms()):
            # The grant is too short to use, or its answer was too slow.
            await self._pause(self._settings.retry_ms)

    def _check_incarnation(
        self, incarnation: str, inventory: worker_inventory.WorkerInventory
    ) -> None:
        """Raise unless a second answer states a new incarnation as well.

        Tasks of a worker that has restarted count as lost.
        """
        if inventory.incarnation != incarnation:
            raise errors.WorkerOutcomeUnknown(
                f'worker at {self._worker.info.address} stated two '
                'incarnations; query its inventory'
            )

    async def _handle_lease_held(self, held: errors.LeaseHeld) -> None:
        worker = self._worker
        self._invalidate_lease()
        if held.holder != self._member_id:
            events.emit(
                fleet_events.LEASE_LOST,
                worker_id=worker.info.worker_id,
                holder=held.holder,
            )
            if worker.allocations:
                self._hand_over_tasks(await self._read_other_inventory())
        pause_ms = max(held.remaining_ms + 1, self._settings.send_ms)
        await self._pause(min(pause_ms, self._settings.held_retry_ms))

    async def _follow_remaining_tasks(self) -> None:
        # The worker is no longer assigned and its lease was lost before it
        # could be handed back; only the tasks must still be resolved.
        worker = self._worker
        self._hand_over_tasks(await self._read_other_inventory())
        if worker.allocations:
            await self._pause(self._settings.retry_ms)

    async def _read_other_inventory(self) -> worker_inventory.WorkerInventory:
        """Read the inventory of a worker whose lease is not held."""
        client = self._worker.client
        inventory = await client.inventory()
        if inventory.incarnation != self._worker.incarnation:
            self._check_incarnation(
                inventory.incarnation, await client.inventory()
            )
        return inventory

    def _hand_over_tasks(
        self, inventory: worker_inventory.WorkerInventory
    ) -> None:
        """Leave the tasks to the next holder, which reads the inventory."""
        worker = self._worker
        if inventory.incarnation != worker.incarnation:
            self._report_all_lost(inventory.epoch)
            return
        listed = _attempt_keys(inventory)
        for allocation in list(worker.allocations.values()):
            if allocation.phase is allocation_module.Phase.STARTING:
                continue
            if (
                allocation.phase is allocation_module.Phase.UNCERTAIN
                and allocation.key not in listed
            ):
                self._resolve_unlisted_start(allocation, inventory)
            else:
                self._hand_over_task(allocation)

    def _hand_over_task(
        self, allocation: allocation_module.Allocation
    ) -> None:
        if allocation.phase is allocation_module.Phase.HELD:
            self._drop_hold(allocation)
        else:
            self._close(allocation)

    def _drop_hold(self, allocation: allocation_module.Allocation) -> None:
        self._allocator.free(allocation)
        self._allocator.refuse(
            allocation.key, 'hold_gone', self._clock.now_ms()
        )

    def _invalidate_lease(self) -> None:
        self._worker.invalidate_lease()
        self._allocator.invalidate_candidates()

    async def _drop_lease(self) -> None:
        """Give up a lease that an answer of the worker contradicts.

        The pause bounds the calls to a worker whose answers never agree.
        """
        self._invalidate_lease()
        await self._pause(self._settings.retry_ms)

    def _mark_responsive(self) -> None:
        worker = self._worker
        worker.backoff_ms = 0
        if worker.unanswered_calls:
            worker.unanswered_calls = 0
            self._allocator.notify_capacity_freed()
        self._allocator.invalidate_candidates()

    def _may_hand_back(self, now_ms: int) -> bool:
        worker = self._worker
        if worker.assigned or not worker.all_starts_resolved:
            return False
        return (
            not worker.unconfirmed_seqs
            or now_ms >= worker.hand_back_deadline_ms
        )

    async def _hand_back(self) -> None:
        worker = self._worker
        await self._release_results()
        if not self._may_hand_back(self._clock.now_ms()):
            return
        epoch = worker.epoch
        # No task may be started under an epoch that is being returned.
        self._invalidate_lease()
        await worker.client.return_lease(epoch)
        for allocation in list(worker.allocations.values()):
            self._hand_over_task(allocation)
        events.emit(
            fleet_events.LEASE_RETURNED, worker_id=worker.info.worker_id
        )
        if not worker.assigned:
            await self._forget_worker()

    async def _forget_worker(self) -> None:
        worker = self._worker
        self._allocator.workers.pop(worker.info.worker_id, None)
        self._allocator.health.forget(worker.info.worker_id)
        self._allocator.invalidate_candidates()
        await worker.client.reset()

    # Events

    async def _release_results(self) -> None:
        worker = self._worker
        through = worker.releasable_seq()
        if through > worker.released_seq:
            await worker.client.release_results(worker.epoch, through)
            worker.released_seq = through

    async def _poll(self) -> None:
        worker = self._worker
        sent_ms = self._clock.now_ms()
        previous_ms = worker.task_leases_renewed_ms
        # A poll may renew the task leases even if its answer is lost.
        worker.task_leases_renewed_ms = sent_ms
        try:
            page = await self._wait_events()
        except errors.WorkerUnavailable:
            # The poll did not reach the worker.
            worker.task_leases_renewed_ms = previous_ms
            raise
        if page is None:
            return
        if page.incarnation != worker.incarnation:
            await self._drop_lease()
            return
        worker.lease_renewed_ms = sent_ms
        if worker.unanswered_calls:
            self._mark_responsive()
        worker.backoff_ms = 0
        await self._process_events(page)

    async def _wait_events(self) -> event_page.EventPage | None:
        """Poll for events; return None if ``wake`` interrupts the poll."""
        worker = self._worker
        wait_ms = self._settings.poll_wait_ms(worker.lease_ms)
        if worker.unanswered_calls:
            # Any answer shows that the worker responds, so the poll asks
            # for an immediate one.
            wait_ms = 0
        elif not worker.assigned or self._has_uncertain_starts():
            wait_ms = min(wait_ms, self._settings.retry_ms)
        poll = asyncio.ensure_future(
            worker.client.events(
                worker.epoch,
                worker.last_event_seq,
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

    def _record_unanswered_call(self) -> None:
        worker = self._worker
        was_suspect = worker.suspect
        worker.unanswered_calls += 1
        if worker.suspect and not was_suspect:
            events.emit(
                fleet_events.WORKER_SUSPECT,
                worker_id=worker.info.worker_id,
            )
            self._allocator.invalidate_candidates()

    async def _process_events(self, page: event_page.EventPage) -> None:
        worker = self._worker
        if self._apply_events(page):
            worker.advance_events(page.next)
        else:
            worker.inventory_stale = True
        self._record_usage(page)
        if not page.complete or _has_odd_seq(page):
            # The worker may repeat the end in each answer, without a wait.
            await self._pause(self._settings.retry_ms)

    def _apply_events(self, page: event_page.EventPage) -> bool:
        """Apply task ends; return False if the inventory must be read."""
        worker = self._worker
        if 0 < page.next < worker.last_event_seq:
            # An earlier answer stated a number that is too high.
            worker.restart_events()
            return False
        last_seq = worker.last_event_seq
        for event in page.events:
            seq = _usable_seq(event, page.next)
            allocation = worker.allocations.get((event.task_id, event.attempt))
            if allocation is not None:
                self._finish_task(allocation, event, seq)
            elif not self._is_known_end(event, seq, last_seq):
                # The task is unknown here, and the event does not name its
                # job and partition; the inventory does.
                return False
            if page.complete:
                worker.last_event_seq = max(worker.last_event_seq, seq)
        return page.complete

    def _is_known_end(
        self, event: worker_event.WorkerEvent, seq: int, last_seq: int
    ) -> bool:
        """Tell whether the end of an attempt was processed before."""
        key = event.task_id, event.attempt
        if key in self._worker.unconfirmed_seqs:
            return True
        if seq:
            return seq <= last_seq
        decided = self._allocator.decided_placement(key, self._clock.now_ms())
        return decided is not None

    def _record_usage(self, page: event_page.EventPage) -> None:
        worker = self._worker
        for task_id, used in page.usage.items():
            allocation = self._allocator.allocation(task_id)
            if allocation is not None and allocation.key in worker.allocations:
                worker.record_usage(allocation, used.to_resources())

    def _finish_task(
        self,
        allocation: allocation_module.Allocation,
        event: worker_event.WorkerEvent,
        seq: int,
    ) -> None:
        """Report an end; ``seq`` is 0 if its number is not usable."""
        event = answers.check_end(event)
        worker = self._worker
        now_ms = self._clock.now_ms()
        state = _STATE_BY_OUTCOME.get(event.outcome)
        if (
            event.outcome is worker_event.Outcome.UNKNOWN
            and allocation.idempotent
        ):
            # Counts as an attempt, so that a task is not repeated for ever.
            state = model.State.FAILED
        if state is None:
            end = allocation.lost_task_end(
                event.error or event.outcome, worker.epoch
            )
        else:
            end = allocation.task_end(
                state,
                result=bytes(event.result),
                error=event.error,
                run_time_ms=event.run_time_ms,
                worker_epoch=worker.epoch,
            )
        # No result that is not confirmed may be released.
        worker.unconfirmed_seqs[allocation.key] = (
            seq or worker.last_event_seq + 1
        )
        self._record_health(allocation, event, now_ms)
        self._close(allocation)
        self._reporter.report_end(end)

    def _record_health(
        self,
        allocation: allocation_module.Allocation,
        event: worker_event.WorkerEvent,
        now_ms: int,
    ) -> None:
        if event.outcome not in _HEALTH_OUTCOMES:
            return
        worker_id = self._worker.info.worker_id
        limited = self._allocator.health.limited(worker_id)
        quarantined = self._allocator.health.record(
            worker_id,
            allocation.task.job_id,
            event.outcome is worker_event.Outcome.FAILED,
            now_ms,
            allocation.prior_failed_workers,
        )
        if quarantined:
            events.emit(fleet_events.WORKER_QUARANTINED, worker_id=worker_id)
        if quarantined or limited:
            self._allocator.invalidate_candidates()

    def _close(self, allocation: allocation_module.Allocation) -> None:
        self._allocator.close(allocation, self._clock.now_ms())

    # Inventory

    async def _read_inventory(self) -> None:
        worker = self._worker
        # A task whose start is confirmed while the inventory is read may be
        # missing in it without being lost.
        known_running = {
            e.key for e in worker.in_phase(allocation_module.Phase.RUNNING)
        }
        inventory = await worker.client.inventory()
        known = (worker.incarnation, worker.epoch)
        if (inventory.incarnation, inventory.epoch) != known:
            await self._drop_lease()
            return
        # An earlier holder may have renewed the task leases until now.
        if not worker.ready:
            worker.task_leases_renewed_ms = self._clock.now_ms()
        self._reconcile(inventory, known_running)
        worker.inventory_stale = False
        if not worker.ready:
            worker.ready = True
            events.emit(
                fleet_events.LEASE_TAKEN,
                worker_id=worker.info.worker_id,
                epoch=worker.epoch,
                tasks=len(worker.allocations),
            )
            self._allocator.notify_capacity_freed()
        self._allocator.invalidate_candidates()

    def _reconcile(
        self,
        inventory: worker_inventory.WorkerInventory,
        known_running: set[allocation_module.AttemptKey],
    ) -> None:
        worker = self._worker
        running = _running_keys(inventory)
        last_seq = worker.last_event_seq
        for ended in sorted(inventory.ended, key=lambda e: e.end.seq):
            if (ended.task.task_id, ended.task.attempt) not in running:
                seq = _usable_seq(ended.end, inventory.next)
                self._process_ended_task(ended.task, ended.end, seq, last_seq)
        worker.advance_events(inventory.next)
        for spec in inventory.running:
            self._process_running_task(spec)
        for key in inventory.other_running:
            self._confirm_running_task(key)
        listed = _attempt_keys(inventory)
        for allocation in list(worker.allocations.values()):
            if allocation.key not in listed:
                self._handle_unlisted_task(
                    allocation, inventory, known_running
                )
        if worker.overcommitted:
            for allocation in worker.in_phase(allocation_module.Phase.HELD):
                self._drop_hold(allocation)

    def _process_ended_task(
        self,
        spec: task_spec.TaskSpec,
        event: worker_event.WorkerEvent,
        seq: int,
        last_seq: int,
    ) -> None:
        worker = self._worker
        allocation = worker.allocations.get((spec.task_id, spec.attempt))
        if allocation is None:
            if self._is_known_end(event, seq, last_seq):
                return
            allocation = self._adopt(spec)
        self._finish_task(allocation, event, seq)
        worker.last_event_seq = max(worker.last_event_seq, seq)

    def _process_running_task(self, spec: task_spec.TaskSpec) -> None:
        key = spec.task_id, spec.attempt
        if key not in self._worker.allocations:
            self._reporter.report_running(self._adopt(spec).task)
            return
        self._confirm_running_task(key)

    def _confirm_running_task(self, key: allocation_module.AttemptKey) -> None:
        """Note that the inventory lists an attempt as running."""
        worker = self._worker
        allocation = worker.allocations.get(key)
        if allocation is None:
            # Its workspace or partition could not be read.
            return
        if allocation.phase is allocation_module.Phase.RUNNING:
            allocation.epoch = worker.epoch
        elif allocation.phase is allocation_module.Phase.UNCERTAIN:
            allocation.phase = allocation_module.Phase.RUNNING
            allocation.epoch = worker.epoch
            allocation.order = None
            self._emit_start_resolved(allocation, 'running')
            self._reporter.report_running(allocation.running_task())

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

    def _handle_unlisted_task(
        self,
        allocation: allocation_module.Allocation,
        inventory: worker_inventory.WorkerInventory,
        known_running: set[allocation_module.AttemptKey],
    ) -> None:
        """Resolve a task that the inventory does not list."""
        if allocation.phase is allocation_module.Phase.UNCERTAIN:
            self._resolve_unlisted_start(allocation, inventory)
        elif inventory.lists_all_running and allocation.key in known_running:
            self._report_lost_task(
                allocation, 'worker does not know the task', inventory.epoch
            )

    def _resolve_unlisted_start(
        self,
        allocation: allocation_module.Allocation,
        inventory: worker_inventory.WorkerInventory,
    ) -> None:
        """Resolve an uncertain start that the inventory does not list.

        It stays uncertain while its epoch lasts, as it may be in transit.
        """
        if allocation.incarnation != inventory.incarnation:
            self._report_lost_task(allocation, _RESTARTED, inventory.epoch)
        elif not inventory.lists_all_running:
            # It may be the running task that could not be read.
            return
        elif inventory.lists_all_ended and self._worker.never_ran(
            allocation, inventory.epoch
        ):
            self._report_not_run(allocation)
        elif allocation.epoch < inventory.epoch:
            # Another holder may have reported and released its result.
            self._report_lost_task(
                allocation, 'the lease changed hands', inventory.epoch
            )

    # Outcomes of tasks

    def _has_uncertain_starts(self) -> bool:
        return any(
            allocation.phase is allocation_module.Phase.UNCERTAIN
            for allocation in self._worker.allocations.values()
        )

    async def _resolve_uncertain_starts(self, now_ms: int) -> None:
        """Determine whether starts with a lost answer took effect.

        A start that is not in the inventory may still be in transit. The
        lease is returned and requested again, because the worker rejects
        the start for certain once the epoch has advanced.
        """
        worker = self._worker
        worker.resolve_at_ms = now_ms + self._settings.retry_ms
        try:
            await self._read_inventory()
        except (errors.WorkerUnavailable, errors.WorkerOutcomeUnknown):
            return
        still_uncertain = worker.in_phase(allocation_module.Phase.UNCERTAIN)
        if worker.epoch and still_uncertain:
            epoch = worker.epoch
            # The next grant has a new epoch, and the inventory read after
            # it resolves the starts. This is only the time of the next
            # attempt in case the epoch does not advance.
            worker.resolve_at_ms = now_ms + self._settings.retry_max_ms
            self._invalidate_lease()
            await worker.client.return_lease(epoch)

    def _report_not_run(
        self, allocation: allocation_module.Allocation
    ) -> None:
        start_age_ms = self._clock.now_ms() - allocation.start_sent_ms
        if start_age_ms >= self._settings.result_keep_ms:
            # The task may have run, and its result may have been discarded.
            self._report_lost_task(
                allocation, 'result was not kept', self._worker.epoch
            )
            return
        self._emit_start_resolved(allocation, 'not run')
        self._allocator.free(allocation)
        self._allocator.refuse(allocation.key, 'not_run', self._clock.now_ms())
        self._reporter.report_end(
            allocation.task_end(
                model.State.QUEUED,
                started=False,
                error='the start did not take effect',
                worker_epoch=self._worker.epoch,
            )
        )

    def _emit_start_resolved(
        self, allocation: allocation_module.Allocation, outcome: str
    ) -> None:
        events.emit(
            fleet_events.START_RESOLVED,
            task_id=allocation.task.task_id,
            attempt=allocation.task.attempt,
            outcome=outcome,
        )

    def _report_lost_task(
        self,
        allocation: allocation_module.Allocation,
        error: str,
        epoch: int,
        *,
        lease_expired: bool = False,
    ) -> None:
        """Report an attempt as ended without a known outcome.

        ``epoch`` is the lease epoch under which it was found to be over.
        The report is ignored if a holder with a higher epoch has found the
        task running. ``lease_expired`` tells that no answer of the worker
        shows the end.
        """
        self._close(allocation)
        end = allocation.lost_task_end(error, max(epoch, allocation.epoch))
        self._reporter.report_end(
            msgspec.structs.replace(end, lease_expired=lease_expired)
        )

    def _report_all_lost(self, epoch: int) -> None:
        """Report all tasks as lost because the worker has restarted."""
        lost = 0
        for allocation in list(self._worker.allocations.values()):
            if allocation.phase is allocation_module.Phase.HELD:
                self._drop_hold(allocation)
            elif allocation.phase is not allocation_module.Phase.STARTING:
                self._report_lost_task(allocation, _RESTARTED, epoch)
                lost += 1
        if lost:
            self._emit_worker_lost(_RESTARTED, lost)

    def _expire_tasks(self, now_ms: int) -> None:
        lost = 0
        for allocation in list(self._worker.allocations.values()):
            if now_ms >= self._expiry_ms(allocation):
                self._report_lost_task(
                    allocation,
                    'task lease expired',
                    allocation.epoch,
                    lease_expired=True,
                )
                lost += 1
        if lost:
            self._emit_worker_lost('task lease expired', lost)

    def _expiry_ms(self, allocation: allocation_module.Allocation) -> float:
        """Return when a task has certainly stopped unless renewed again."""
        if allocation.phase in _PHASES_WITHOUT_EXPIRY:
            return math.inf
        renewed_ms = max(
            self._worker.task_leases_renewed_ms, allocation.start_sent_ms
        )
        return renewed_ms + self._settings.task_expiry_ms

    def _emit_worker_lost(self, error: str, lost: int) -> None:
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
        """Wait until the time is over, ``wake`` is set or a task expires."""
        now_ms = self._clock.now_ms()
        expiries = map(self._expiry_ms, self._worker.allocations.values())
        left_ms = min(expiries, default=math.inf) - now_ms
        duration_ms = max(0, min(duration_ms, left_ms))
        try:
            await self._clock.wait_for(self._worker.wake.wait(), duration_ms)
        except errors.DeadlineExceeded:
            pass


def _attempt_keys(
    inventory: worker_inventory.WorkerInventory,
) -> set[allocation_module.AttemptKey]:
    ended = {(e.task.task_id, e.task.attempt) for e in inventory.ended}
    return _running_keys(inventory) | ended


def _running_keys(
    inventory: worker_inventory.WorkerInventory,
) -> set[allocation_module.AttemptKey]:
    running = {(spec.task_id, spec.attempt) for spec in inventory.running}
    return running | inventory.other_running


def _usable_seq(event: worker_event.WorkerEvent, stated_seq: int) -> int:
    """Return the number of an event, 0 if it is above the last one."""
    if stated_seq and event.seq > stated_seq:
        return 0
    return event.seq


def _has_odd_seq(page: event_page.EventPage) -> bool:
    return any(not _usable_seq(event, page.next) for event in page.events)
