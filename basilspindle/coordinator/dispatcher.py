"""Send queued tasks to the holders that have capacity for them."""

import asyncio
import collections
import collections.abc
import contextlib

import msgspec

from basilspindle import clock as clock_module
from basilspindle.coordinator import capacity_tracker
from basilspindle.coordinator import events as coordinator_events
from basilspindle.coordinator import holder
from basilspindle.coordinator import owned_partition
from basilspindle.coordinator import recovery
from basilspindle.coordinator import timing as timing_module
from basilspindle.coordinator import tracked_job
from basilspindle.coordinator import tracked_task
from basilspindle import errors
from basilspindle import events
from basilspindle import journal as journal_package
from basilspindle import model
from basilspindle.peer import messages
from basilspindle import policy

_MAX_TASKS_PER_PASS = 256
_RESEND_PAUSE_MS = 200
_GANG_RETRY_MS = 200
# Workspaces yield to those that wait at other daemons only once this part of
# all slots is in use.
_YIELD_FROM_USED_PERCENT = 95
# A job that may not start yet is not picked again for this long.
_NOT_ASSURED_RETRY_MS = 200
# Reason of a task that a holder's answer does not tell of.
_ODD_ANSWER = 'odd_answer'

# A task that is assigned to a holder, with its job.
_Assignment = tuple[tracked_job.TrackedJob, tracked_task.TrackedTask]


class Dispatcher:
    """Place queued tasks of active partitions on holders.

    An assigned task counts as started until its end is known. Right before
    a request that starts tasks is sent, also to repeat an unanswered one,
    ``may_start`` must be true for their partition. ``key_valid`` tells
    whether the API key of a job is valid.
    """

    __slots__ = (
        '_clock',
        '_queue',
        '_holders',
        '_capacity',
        '_timing',
        '_partitions',
        '_may_start',
        '_key_valid',
        '_on_end',
        '_sends',
        '_starting_gangs',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        queue: policy.FairQueue,
        holders: holder.Holders,
        capacity: capacity_tracker.CapacityTracker,
        timing: timing_module.Timing,
        partitions: dict[int, owned_partition.OwnedPartition],
        may_start: collections.abc.Callable[[int], bool],
        key_valid: collections.abc.Callable[[model.Job], bool],
        on_end: collections.abc.Callable[
            [tracked_job.TrackedJob, int, model.TaskEnd], None
        ],
    ) -> None:
        self._clock = clock
        self._queue = queue
        self._holders = holders
        self._capacity = capacity
        self._timing = timing
        self._partitions = partitions
        self._may_start = may_start
        self._key_valid = key_valid
        self._on_end = on_end
        self._sends: dict[asyncio.Task[None], int] = {}
        # Ids of the jobs whose gang is being started.
        self._starting_gangs: set[str] = set()

    async def close(self) -> None:
        """Cancel the requests in flight."""
        await _cancel_all(list(self._sends))

    async def drain(self, partition: int, timeout_ms: int) -> None:
        """Wait for the requests of a partition; cancel them at the timeout."""
        sends = [
            task for task, number in self._sends.items() if number == partition
        ]
        if sends and timeout_ms:
            await asyncio.wait(sends, timeout=timeout_ms / 1000)
        await _cancel_all(sends)

    def run_pass(self) -> int:
        """Dispatch the queued tasks that fit and return their number."""
        self._refresh_capacity()
        picks = self._queue.pop(
            self._clock.now_ms(),
            _MAX_TASKS_PER_PASS,
            is_blocked=self._capacity.fits_nowhere,
            shares_elsewhere=self._shares_to_yield_to(),
            room_for=self._capacity.count_fitting,
        )
        batches: dict[tuple[str, int, bool], list[_Assignment]] = (
            collections.defaultdict(list)
        )
        taken = 0
        for pick in picks:
            taken += self._assign_pick(pick, batches)
        for (holder_id, number, at_most_once), batch in batches.items():
            partition = self._partitions[number]
            send = self._send_non_idempotent if at_most_once else self._send
            self._spawn(partition, send(partition, holder_id, batch))
        return taken

    def _refresh_capacity(self) -> None:
        present = set()
        self._capacity.set_time(self._clock.now_ms())
        for holder_id, room, stamp in self._holders.rooms():
            present.add(holder_id)
            self._capacity.update(holder_id, room, stamp)
        self._capacity.retain(present)
        self._queue.set_fleet_resources(self._capacity.total())

    def _shares_to_yield_to(self) -> list[float] | None:
        """Return the lowest waiting shares at other daemons, by class.

        None while too few slots are in use to yield to them.
        """
        total = self._capacity.total().slots
        free = sum(room.free.slots for room in self._capacity.rooms().values())
        if free * 100 > total * (100 - _YIELD_FROM_USED_PERCENT):
            return None
        return self._holders.lowest_waiting_shares()

    def _assign_pick(
        self,
        pick: policy.Pick,
        batches: dict[tuple[str, int, bool], list[_Assignment]],
    ) -> int:
        found = self._find_job(pick.job_id)
        if found is None:
            # No owned partition has the job. Its popped tasks count as running
            # until they are requeued.
            now_ms = self._clock.now_ms()
            self._queue.requeue(pick.job_id, pick.count, now_ms)
            self._queue.remove(pick.job_id)
            return 0
        partition, tracked = found
        if not self._may_dispatch(partition, tracked):
            self._queue.requeue(
                pick.job_id,
                pick.count,
                self._clock.now_ms(),
                wait_ms=_NOT_ASSURED_RETRY_MS,
            )
            return 0
        if pick.gang:
            self._start_gang(partition, tracked, pick.count)
            return pick.count
        for taken in range(pick.count):
            holder_id = self._capacity.choose_holder(tracked.job.resources)
            if not holder_id:
                self._queue.requeue(
                    pick.job_id, pick.count - taken, self._clock.now_ms()
                )
                return taken
            task = self._assign_next(partition, tracked, holder_id)
            key = (holder_id, partition.number, not tracked.job.idempotent)
            batches[key].append((tracked, task))
        return pick.count

    def _may_dispatch(
        self,
        partition: owned_partition.OwnedPartition,
        tracked: tracked_job.TrackedJob,
    ) -> bool:
        """Tell whether tasks of a job may start.

        The API key of the job is checked as long as no task has started.
        """
        if not partition.dispatching or not self._may_start(partition.number):
            return False
        unstarted = not tracked.started and not tracked.ended
        return not unstarted or self._key_valid(tracked.job)

    def _find_job(
        self, job_id: str
    ) -> tuple[owned_partition.OwnedPartition, tracked_job.TrackedJob] | None:
        for partition in self._partitions.values():
            tracked = partition.jobs.get(job_id)
            if tracked is not None:
                return partition, tracked
        return None

    def _assign_next(
        self,
        partition: owned_partition.OwnedPartition,
        tracked: tracked_job.TrackedJob,
        holder_id: str,
    ) -> tracked_task.TrackedTask:
        task = tracked.start_next(partition.epoch)
        task.holder_id = holder_id
        self._capacity.reserve(holder_id, tracked.job.resources)
        return task

    def _spawn(
        self,
        partition: owned_partition.OwnedPartition,
        work: collections.abc.Coroutine[None, None, None],
    ) -> None:
        task = asyncio.ensure_future(work)
        self._sends[task] = partition.number
        task.add_done_callback(self._on_send_done)

    def _on_send_done(self, task: asyncio.Task[None]) -> None:
        del self._sends[task]
        if not task.cancelled() and task.exception() is not None:
            events.emit(
                coordinator_events.DISPATCH_FAILED,
                error=repr(task.exception()),
            )

    def _make_order(
        self,
        partition: owned_partition.OwnedPartition,
        assignment: _Assignment,
    ) -> model.TaskOrder:
        tracked, task = assignment
        job = tracked.job
        # Number of placed tasks of a service by failure domain and by rack.
        siblings: dict[str, int] = collections.Counter()
        if job.service:
            for sibling in tracked.started.values():
                if sibling.worker_id:
                    siblings[sibling.failure_domain] += 1
                    siblings[sibling.rack] += 1
        return model.TaskOrder(
            task_id=job.task_id(task.index),
            attempt=task.attempt,
            job_id=job.job_id,
            index=task.index,
            workspace=job.workspace,
            kind=job.kind,
            priority=job.priority,
            resources=job.resources,
            run_time_ms=job.run_time_ms,
            idempotent=job.idempotent,
            service=job.service,
            input=job.input,
            partition=partition.number,
            partition_epoch=partition.epoch,
            siblings=dict(siblings),
            avoid=tracked.failed_workers.get(task.index, []),
        )

    async def _send(
        self,
        partition: owned_partition.OwnedPartition,
        holder_id: str,
        batch: list[_Assignment],
    ) -> None:
        """Send orders until the holder has told of each, or is lost.

        They are repeated with the same attempt numbers, by which the holder
        recognises them and repeats its answer. It forgets an attempt some
        time after its end, so that those that have ended are left out.
        """
        request = messages.Place(
            member_id=holder_id,
            orders=[
                self._make_order(partition, assignment) for assignment in batch
            ],
        )
        unanswered = False
        while batch:
            if not unanswered and not self._may_start(partition.number):
                self._requeue_all(holder_id, batch, 'not_assured')
                return
            try:
                placed = await self._holders.place(holder_id, request)
            except errors.BasilspindleError as error:
                # A holder that failed may have started tasks before.
                unanswered = unanswered or error.ran is not errors.Ran.NO
                if not unanswered:
                    self._requeue_all(holder_id, batch, error.kind)
                    return
            else:
                unanswered = True
                batch = self._apply_answer(holder_id, batch, placed.placements)
                if not batch:
                    return
            events.emit(
                coordinator_events.PLACE_UNANSWERED,
                holder_id=holder_id,
                tasks=len(batch),
            )
            # The sweeper ends the tasks of a lost holder once its leases
            # have expired.
            if self._holders.is_lost(holder_id):
                return
            batch = await self._wait_to_resend(partition, holder_id, batch)
            keys = {_task_key(assignment) for assignment in batch}
            request = msgspec.structs.replace(
                request,
                orders=[
                    order
                    for order in request.orders
                    if (order.task_id, order.attempt) in keys
                ],
            )

    async def _wait_to_resend(
        self,
        partition: owned_partition.OwnedPartition,
        holder_id: str,
        batch: list[_Assignment],
    ) -> list[_Assignment]:
        """Wait until a request may be repeated; return what is left of it.

        A holder takes a repeated order for a fresh one, so it is not sent
        while this daemon may have a successor. Nothing is left if the holder
        is lost meanwhile.
        """
        while batch and not self._holders.is_lost(holder_id):
            await self._clock.sleep_ms(_RESEND_PAUSE_MS)
            batch = [each for each in batch if _is_current(each)]
            if self._may_start(partition.number):
                return batch
        return []

    def _apply_answer(
        self,
        holder_id: str,
        batch: list[_Assignment],
        placements: list[messages.Placement],
    ) -> list[_Assignment]:
        """Apply placements; return the assignments that none tells of."""
        told = _told(placements)
        missing = []
        for assignment in batch:
            placement = told.get(_task_key(assignment))
            if placement is None:
                missing.append(assignment)
            else:
                self._apply_placement(holder_id, assignment, placement)
        if missing:
            events.emit(
                coordinator_events.ANSWER_INCOMPLETE,
                tasks=len(batch),
                missing=len(missing),
            )
        return missing

    def _requeue_all(
        self, holder_id: str, batch: list[_Assignment], reason: str
    ) -> None:
        for assignment in batch:
            self._requeue(holder_id, assignment, reason)

    def _apply_placement(
        self,
        holder_id: str,
        assignment: _Assignment,
        placement: messages.Placement,
    ) -> None:
        if not _is_current(assignment):
            return
        tracked, task = assignment
        if placement.worker_id:
            task.state = model.State.RUNNING
            task.worker_id = placement.worker_id
            task.failure_domain = placement.failure_domain
            task.rack = placement.rack
            task.placed_at_ms = self._clock.now_ms()
            tracked.update_state(self._clock.now_ms())
            return
        self._requeue(holder_id, assignment, placement.reason)

    def _requeue(
        self, holder_id: str, assignment: _Assignment, reason: str
    ) -> None:
        tracked, task = assignment
        if tracked.started.get(task.index) is not task:
            return
        need = tracked.job.resources
        self._capacity.release(holder_id, need)
        self._capacity.mark_refused(holder_id, need)
        self._on_end(
            tracked,
            task.index,
            model.TaskEnd(
                task_id=tracked.job.task_id(task.index),
                attempt=task.attempt,
                workspace=tracked.job.workspace,
                partition=tracked.partition,
                worker_id='',
                state=model.State.QUEUED,
                started=False,
                error=reason,
            ),
        )

    async def _send_non_idempotent(
        self,
        partition: owned_partition.OwnedPartition,
        holder_id: str,
        batch: list[_Assignment],
    ) -> None:
        """Start non-idempotent tasks: hold, record the intents, commit."""
        held = await self._hold(partition, holder_id, batch)
        if not held:
            return
        if not await self._record_intents(partition, held):
            await self._drop_and_requeue(partition, holder_id, held)
            return
        await self._commit(partition, holder_id, held)

    async def _hold(
        self,
        partition: owned_partition.OwnedPartition,
        holder_id: str,
        batch: list[_Assignment],
    ) -> list[tuple[_Assignment, messages.Placement]]:
        """Ask for holds and return those that were granted.

        A task without a hold is queued again, unless its job is a gang.
        """
        request = messages.Place(
            member_id=holder_id,
            orders=[
                self._make_order(partition, assignment) for assignment in batch
            ],
            hold=True,
            hold_ms=self._timing.hold_ms,
        )
        try:
            reply = await self._holders.place(holder_id, request)
            told = _told(reply.placements)
            placed = [
                told.get((order.task_id, order.attempt))
                or _make_unplaced(order, _ODD_ANSWER)
                for order in request.orders
            ]
        except errors.BasilspindleError as error:
            # A hold without a commit starts nothing and expires.
            placed = _unplaced(request.orders, error.kind)
        held = []
        for assignment, placement in zip(batch, placed, strict=True):
            if placement.worker_id:
                held.append((assignment, placement))
            elif assignment[0].job.gang:
                self._capacity.mark_refused(
                    holder_id, assignment[0].job.resources
                )
            else:
                self._requeue(holder_id, assignment, placement.reason)
        return held

    async def _record_intents(
        self,
        partition: owned_partition.OwnedPartition,
        held: list[tuple[_Assignment, messages.Placement]],
    ) -> bool:
        records = [
            journal_package.StartIntent(
                job_id=tracked.job.job_id,
                index=task.index,
                attempt=task.attempt,
                worker_id=placement.worker_id,
            )
            for (tracked, task), placement in held
        ]
        try:
            await partition.journal.append(
                *records, timeout_ms=self._timing.hold_ms
            )
        except errors.BasilspindleError:
            return False
        return self._may_start(partition.number)

    async def _drop_and_requeue(
        self,
        partition: owned_partition.OwnedPartition,
        holder_id: str,
        held: list[tuple[_Assignment, messages.Placement]],
    ) -> None:
        await self._drop_holds(holder_id, held)
        for assignment, _ in held:
            self._requeue(holder_id, assignment, 'not_recorded')

    async def _drop_holds(
        self,
        holder_id: str,
        held: list[tuple[_Assignment, messages.Placement]],
    ) -> None:
        tasks = [_task_key(assignment) for assignment, _ in held]
        # If the request fails, the holds expire.
        with contextlib.suppress(errors.BasilspindleError):
            await self._holders.drop(holder_id, messages.Drop(tasks=tasks))

    async def _commit(
        self,
        partition: owned_partition.OwnedPartition,
        holder_id: str,
        held: list[tuple[_Assignment, messages.Placement]],
    ) -> None:
        batch = [assignment for assignment, _ in held]
        unanswered = False
        while batch:
            request = messages.Commit(
                partition=partition.number,
                partition_epoch=partition.epoch,
                tasks=[_task_key(assignment) for assignment in batch],
            )
            try:
                reply = await self._holders.commit(holder_id, request)
            except errors.BasilspindleError as error:
                unanswered = unanswered or error.ran is not errors.Ran.NO
                if not unanswered:
                    self._requeue_all(holder_id, batch, error.kind)
                    return
            else:
                unanswered = True
                batch = self._apply_answer(holder_id, batch, reply.placements)
            if not batch or self._holders.is_lost(holder_id):
                return
            batch = await self._wait_to_resend(partition, holder_id, batch)

    def _start_gang(
        self,
        partition: owned_partition.OwnedPartition,
        tracked: tracked_job.TrackedJob,
        count: int,
    ) -> None:
        plan = policy.GangPlan(
            tracked.job.resources, count, self._capacity.rooms()
        )
        # Gangs are started one at a time.
        task_counts = {} if self._starting_gangs else plan.holds_to_request()
        if not task_counts:
            self._queue.requeue(
                tracked.job.job_id,
                count,
                self._clock.now_ms(),
                wait_ms=_GANG_RETRY_MS,
            )
            return
        batches_by_holder: dict[str, list[_Assignment]] = {}
        for holder_id, task_count in task_counts.items():
            batches_by_holder[holder_id] = [
                (tracked, self._assign_next(partition, tracked, holder_id))
                for _ in range(task_count)
            ]
        self._starting_gangs.add(tracked.job.job_id)
        self._spawn(
            partition, self._send_gang(partition, tracked, batches_by_holder)
        )

    async def _send_gang(
        self,
        partition: owned_partition.OwnedPartition,
        tracked: tracked_job.TrackedJob,
        batches_by_holder: dict[str, list[_Assignment]],
    ) -> None:
        """Hold capacity for a whole gang, then start all of it or nothing."""
        try:
            held = dict(
                zip(
                    batches_by_holder,
                    await asyncio.gather(
                        *(
                            self._hold(partition, holder_id, batch)
                            for holder_id, batch in batches_by_holder.items()
                        )
                    ),
                    strict=True,
                )
            )
            startable = all(
                len(held[holder_id]) == len(batch)
                for holder_id, batch in batches_by_holder.items()
            )
            if startable and not tracked.job.idempotent:
                all_held = [hold for holds in held.values() for hold in holds]
                startable = await self._record_intents(partition, all_held)
            startable = startable and self._may_start(partition.number)
            if startable:
                await asyncio.gather(
                    *(
                        self._commit(partition, holder_id, holds)
                        for holder_id, holds in held.items()
                    )
                )
                return
            await asyncio.gather(
                *(
                    self._drop_holds(holder_id, holds)
                    for holder_id, holds in held.items()
                    if holds
                )
            )
            self._requeue_gang(tracked, batches_by_holder)
        finally:
            self._starting_gangs.discard(tracked.job.job_id)

    def _requeue_gang(
        self,
        tracked: tracked_job.TrackedJob,
        batches_by_holder: dict[str, list[_Assignment]],
    ) -> None:
        """Queue a gang again as a whole, or end its tasks if cancelled."""
        tasks = [
            task for batch in batches_by_holder.values() for _, task in batch
        ]
        for holder_id, batch in batches_by_holder.items():
            for _ in batch:
                self._capacity.release(holder_id, tracked.job.resources)
        if tracked.cancelled:
            for holder_id, batch in batches_by_holder.items():
                for assignment in batch:
                    self._requeue(holder_id, assignment, 'cancelled')
            return
        for task in tasks:
            tracked.requeue(task.index, counted=False)
        self._enqueue_gang(tracked, len(tasks))
        tracked.update_state(self._clock.now_ms())

    def _enqueue_gang(
        self, tracked: tracked_job.TrackedJob, count: int
    ) -> None:
        job = tracked.job
        now_ms = self._clock.now_ms()
        try:
            self._queue.requeue(
                job.job_id, count, now_ms, wait_ms=_GANG_RETRY_MS
            )
        except errors.NotFound:
            # The queue forgets popped tasks after a minute.
            self._queue.end_running(job.workspace, job.resources, count)
            recovery.enqueue_tasks(tracked, count, self._queue, self._clock)


async def _cancel_all(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _task_key(assignment: _Assignment) -> tuple[str, int]:
    tracked, task = assignment
    return tracked.job.task_id(task.index), task.attempt


def _is_current(assignment: _Assignment) -> bool:
    """Tell whether the attempt of a task has not ended."""
    tracked, task = assignment
    return tracked.started.get(task.index) is task


def _told(
    placements: list[messages.Placement],
) -> dict[tuple[str, int], messages.Placement]:
    """Return the placements that tell what became of a task.

    A task without a worker was refused for a reason: without one it may have
    been started.
    """
    return {
        (placement.task_id, placement.attempt): placement
        for placement in placements
        if placement.worker_id or placement.reason
    }


def _unplaced(
    orders: list[model.TaskOrder], reason: str
) -> list[messages.Placement]:
    return [_make_unplaced(order, reason) for order in orders]


def _make_unplaced(order: model.TaskOrder, reason: str) -> messages.Placement:
    return messages.Placement(
        task_id=order.task_id, attempt=order.attempt, reason=reason
    )
