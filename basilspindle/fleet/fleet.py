"""Lease workers and place tasks on them."""

import asyncio
import collections
import collections.abc
import types
import typing

import msgspec

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.fleet import allocation as allocation_module
from basilspindle.fleet import allocator as allocator_module
from basilspindle.fleet import choose_worker
from basilspindle.fleet import client as client_module
from basilspindle.fleet import events as fleet_events
from basilspindle.fleet import leased_worker
from basilspindle.fleet import reporter as reporter_module
from basilspindle.fleet import settings as settings_module
from basilspindle.fleet import starter as starter_module
from basilspindle.fleet import worker_controller
from basilspindle.fleet import worker_info
from basilspindle.fleet import worker_status
from basilspindle import model
from basilspindle.peer import messages

ClientFactory = collections.abc.Callable[[str], client_module.WorkerClient]

_T = typing.TypeVar('_T')
_NO_ROOM = 'no_room'
_OTHER_ATTEMPT = 'other_attempt'
_HOLD_GONE = 'hold_gone'
# Longest time for which capacity is kept for a hold. A coordinator commits
# within seconds.
_MAX_HOLD_MS = 60_000


class Fleet:
    """The workers whose leases a daemon holds, and the tasks on them.

    ``check_fence(partition, epoch)`` raises ``Fenced`` if a newer owner of
    the partition is known. ``choose`` selects a worker for a task.
    ``report`` sends task ends, and tasks that were found running on a
    worker, to the owner of a partition; it returns True once the owner
    has confirmed them. ``client_factory`` creates the client for the
    address of a worker.
    """

    __slots__ = (
        '_clock',
        '_member_id',
        '_settings',
        '_check_fence',
        '_client_factory',
        '_allocator',
        '_reporter',
        '_starter',
        '_background_tasks',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        member_id: str,
        *,
        settings: settings_module.FleetSettings,
        check_fence: starter_module.CheckFence,
        choose: choose_worker.ChooseWorker,
        report: reporter_module.Report,
        client_factory: ClientFactory,
    ) -> None:
        self._clock = clock
        self._member_id = member_id
        self._settings = settings
        self._check_fence = check_fence
        self._client_factory = client_factory
        self._allocator = allocator_module.Allocator(settings, choose)
        self._reporter = reporter_module.Reporter(
            clock, report, settings, self._on_ends_confirmed
        )
        self._starter = starter_module.Starter(
            clock, settings, self._allocator, self._reporter, check_fence
        )
        self._background_tasks: set[asyncio.Task[typing.Any]] = set()

    @property
    def on_capacity_freed(self) -> collections.abc.Callable[[], None] | None:
        """Return the function that is called whenever capacity was freed."""
        return self._allocator.on_capacity_freed

    @on_capacity_freed.setter
    def on_capacity_freed(
        self, call: collections.abc.Callable[[], None]
    ) -> None:
        self._allocator.on_capacity_freed = call

    async def __aenter__(self) -> 'Fleet':
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        control_tasks = [
            w.control_task
            for w in self._allocator.workers.values()
            if w.control_task
        ]
        tasks = [*control_tasks, *self._background_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._reporter.close()
        for worker in self._allocator.workers.values():
            await worker.client.reset()

    # Workers

    async def assign(
        self, desired: collections.abc.Sequence[worker_info.WorkerInfo]
    ) -> None:
        """Set the workers whose leases this daemon should hold.

        The leases of all other workers are handed back.
        """
        desired_by_id = {info.worker_id: info for info in desired}
        for worker_id, worker in list(self._allocator.workers.items()):
            if worker_id in desired_by_id:
                await self._update_worker(worker, desired_by_id[worker_id])
            elif worker.assigned:
                self._begin_hand_back(worker)
        for worker_id, info in desired_by_id.items():
            if worker_id not in self._allocator.workers:
                self._add_worker(info)
        self._allocator.invalidate_candidates()

    def _add_worker(self, info: worker_info.WorkerInfo) -> None:
        worker = leased_worker.LeasedWorker(
            info, self._client_factory(info.address)
        )
        self._allocator.workers[info.worker_id] = worker
        worker.control_task = asyncio.ensure_future(
            worker_controller.WorkerController(
                worker,
                self._clock,
                self._member_id,
                self._settings,
                self._allocator,
                self._reporter,
            ).run()
        )

    async def _update_worker(
        self,
        worker: leased_worker.LeasedWorker,
        info: worker_info.WorkerInfo,
    ) -> None:
        was_accepting = worker.accepting
        address_changed = worker.info.address != info.address
        worker.info = info
        worker.assigned = True
        if address_changed:
            # The incarnation in the next lease grant shows whether the same
            # worker process, with its tasks, answers at the new address.
            old, worker.client = (
                worker.client,
                self._client_factory(info.address),
            )
            worker.invalidate_lease()
            worker.wake.set()
            await old.reset()
        if worker.accepting and not was_accepting:
            self._allocator.notify_capacity_freed()

    def _begin_hand_back(self, worker: leased_worker.LeasedWorker) -> None:
        worker.assigned = False
        worker.hand_back_deadline_ms = (
            self._clock.now_ms() + self._settings.hand_back_ms
        )
        worker.wake.set()

    async def release_all(self) -> None:
        """Hand all workers back before a planned stop.

        Waits until no start or hold is in progress and the ends of tasks
        are confirmed, at most ``hand_back_ms`` plus two calls.
        """
        await self.assign([])
        control_tasks = [
            w.control_task
            for w in self._allocator.workers.values()
            if w.control_task
        ]
        limit_ms = self._settings.hand_back_ms + 2 * self._settings.call_ms
        try:
            await self._clock.wait_for(
                self._wait_until_released(control_tasks), limit_ms
            )
        except errors.DeadlineExceeded:
            # Leases that were not returned expire.
            pass

    async def _wait_until_released(
        self, control_tasks: list[asyncio.Task[None]]
    ) -> None:
        await asyncio.gather(*(asyncio.shield(t) for t in control_tasks))
        while not self._reporter.idle:
            await self._clock.sleep_ms(self._settings.send_ms)

    def free_capacity(self) -> messages.Room:
        """Add up the free capacity that is available to new tasks."""
        return self._allocator.free_capacity(self._clock.now_ms())

    def workers(self) -> list[worker_status.WorkerStatus]:
        """Return the status of all workers, ordered by id."""
        held = sorted(self._allocator.workers.items())
        return [self._status(worker) for _, worker in held]

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of workers and tasks for the state dump."""
        return {
            'workers': msgspec.to_builtins(self.workers()),
            'tasks': [
                {
                    'task_id': allocation.task.task_id,
                    'attempt': allocation.task.attempt,
                    'worker_id': allocation.task.worker_id,
                    'phase': allocation.phase.value,
                    'epoch': allocation.epoch,
                }
                for allocation in self._allocator.allocations()
            ],
            'unconfirmed_reports': self._reporter.unconfirmed_counts(),
        }

    def _status(
        self, worker: leased_worker.LeasedWorker
    ) -> worker_status.WorkerStatus:
        now_ms = self._clock.now_ms()
        worker_id = worker.info.worker_id
        allowance = self._allocator.health.task_limit(worker_id, now_ms)
        phases = collections.Counter(
            allocation.phase.value
            for allocation in worker.allocations.values()
        )
        return worker_status.WorkerStatus(
            info=worker.info,
            epoch=worker.epoch,
            incarnation=worker.incarnation,
            ready=worker.ready,
            suspect=worker.suspect,
            allowance=-1 if allowance is None else allowance,
            lease_left_ms=max(0, worker.lease_valid_until_ms() - now_ms),
            free=worker.view.free,
            total=worker.view.total,
            tasks=dict(phases),
            penalty=self._allocator.health.penalty(worker_id),
        )

    # Tasks

    async def place(self, message: messages.Place) -> messages.Placed:
        """Reserve capacity for each order and start its task.

        With ``hold``, capacity is only reserved until ``commit`` or
        ``drop``. Each attempt is decided once: a repeated order gets the
        same answer, even if it was refused. The reservations of the whole
        batch are made before anything is awaited. Starts continue if the
        caller is cancelled.
        """
        hold_ms = min(max(0, message.hold_ms), _MAX_HOLD_MS)
        hold_expires_ms = None
        if message.hold:
            hold_expires_ms = self._clock.now_ms() + hold_ms
        answers = [
            self._admit(order, hold_expires_ms) for order in message.orders
        ]
        if message.hold:
            self._spawn(self._expire_holds(hold_ms))
        return messages.Placed(
            placements=[await _await_placement(answer) for answer in answers]
        )

    async def commit(self, message: messages.Commit) -> messages.Committed:
        """Start held tasks; a task whose hold is gone is never started."""
        answers = [self._commit_task(key, message) for key in message.tasks]
        return messages.Committed(
            placements=[await _await_placement(answer) for answer in answers]
        )

    async def drop(self, message: messages.Drop) -> messages.Dropped:
        """Free the held capacity of tasks.

        Raises ``BadRequest`` with an unknown outcome if any of the tasks
        was started; the others are dropped nevertheless.
        """
        started = []
        for task_id, attempt in message.tasks:
            key = (task_id, attempt)
            allocation = self._find_allocation(key)
            decided = self._allocator.decided_placement(
                key, self._clock.now_ms()
            )
            if allocation is None and decided is None:
                self._drop_task(key, None)
            elif allocation is None:
                # The attempt is over. The kept answer names a worker if the
                # task may have run, and none if the order was refused.
                started.extend([task_id] if decided.worker_id else [])
            elif allocation.phase is allocation_module.Phase.HELD:
                self._drop_task(key, allocation)
            else:
                started.append(task_id)
        if started:
            raise errors.BadRequest(
                f'{len(started)} tasks were started, such as {started[0]}; '
                'stop them instead',
                ran=errors.Ran.UNKNOWN,
            )
        return messages.Dropped()

    async def stop(self, message: messages.Stop) -> messages.Stopping:
        """Stop tasks and report their ends.

        Raises ``Fenced`` if the partition has a newer owner.
        """
        self._check_fence(message.partition, message.partition_epoch)
        unknown = []
        for task_id, attempt in message.tasks:
            key = (task_id, attempt)
            allocation = self._find_allocation(key)
            if allocation is not None:
                self._stop_task(allocation)
            elif (
                self._allocator.decided_placement(key, self._clock.now_ms())
                is None
            ):
                unknown.append(key)
                # Its order may arrive later and must then be refused.
                self._drop_task(key, None)
        return messages.Stopping(unknown_tasks=unknown)

    async def inventory(
        self, message: messages.Inventory
    ) -> messages.Inventoried:
        """List the running tasks and unconfirmed ends of a partition.

        Holds of an earlier owner are dropped, since it can no longer
        commit them. Starts without a known outcome count as running.
        Raises ``Fenced`` if the partition has a newer owner.
        """
        self._check_fence(message.partition, message.partition_epoch)
        running = []
        for allocation in self._allocator.allocations():
            if allocation.task.partition != message.partition:
                continue
            if allocation.phase is not allocation_module.Phase.HELD:
                allocation.reported_to_owner = True
                running.append(allocation.running_task())
            elif allocation.order.partition_epoch < message.partition_epoch:
                self._drop_task(allocation.key, allocation)
        now_ms = self._clock.now_ms()
        return messages.Inventoried(
            running=running,
            ends=self._reporter.unconfirmed_ends(message.partition),
            workers=[
                worker_id
                for worker_id, worker in self._allocator.workers.items()
                if worker.ready and worker.has_valid_lease(now_ms)
            ],
        )

    def _find_allocation(
        self, key: allocation_module.AttemptKey
    ) -> allocation_module.Allocation | None:
        allocation = self._allocator.allocation(key[0])
        if allocation is None or allocation.key != key:
            return None
        return allocation

    def _admit(
        self, order: model.TaskOrder, hold_expires_ms: int | None
    ) -> '_PendingPlacement':
        """Decide an order: reserve and start, or refuse; never awaits."""
        key = (order.task_id, order.attempt)
        now_ms = self._clock.now_ms()
        known = self._allocator.allocation(order.task_id)
        if known is not None and known.key == key:
            return _current_placement(known)
        decided = self._allocator.decided_placement(key, now_ms)
        if decided is not None:
            return decided
        if known is not None:
            return self._allocator.refuse(key, _OTHER_ATTEMPT, now_ms)
        try:
            self._check_fence(order.partition, order.partition_epoch)
        except errors.Fenced as fault:
            return self._allocator.refuse(key, fault.kind, now_ms)
        if not order.resources.in_range:
            # A negative amount would add to the room of the worker.
            return self._allocator.refuse(key, errors.BadRequest.kind, now_ms)
        allocation = self._allocator.reserve(order, now_ms)
        if allocation is None:
            return self._allocator.refuse(key, _NO_ROOM, now_ms)
        if hold_expires_ms is not None:
            allocation.phase = allocation_module.Phase.HELD
            allocation.hold_expires_ms = hold_expires_ms
            return allocation.placement()
        return self._start_task(allocation, self._settings.place_tries)

    def _start_task(
        self, allocation: allocation_module.Allocation, tries: int
    ) -> '_PendingPlacement':
        allocation.phase = allocation_module.Phase.STARTING
        allocation.placement_task = self._spawn(
            self._starter.start(allocation, tries)
        )
        return allocation.placement_task

    def _commit_task(
        self, key: allocation_module.AttemptKey, message: messages.Commit
    ) -> '_PendingPlacement':
        now_ms = self._clock.now_ms()
        allocation = self._find_allocation(key)
        if allocation is None:
            decided = self._allocator.decided_placement(key, now_ms)
            return decided or self._allocator.refuse(key, _HOLD_GONE, now_ms)
        if allocation.phase is not allocation_module.Phase.HELD:
            return _current_placement(allocation)
        if now_ms >= allocation.hold_expires_ms:
            return self._drop_task(key, allocation)
        try:
            self._check_fence(message.partition, message.partition_epoch)
        except errors.Fenced as fault:
            return self._drop_task(key, allocation, fault.kind)
        return self._start_task(allocation, 1)

    def _drop_task(
        self,
        key: allocation_module.AttemptKey,
        allocation: allocation_module.Allocation | None,
        reason: str = _HOLD_GONE,
    ) -> messages.Placement:
        """Decide that an attempt never starts.

        ``allocation`` is its hold, or None if its order has not arrived.
        """
        if allocation is not None:
            self._allocator.free(allocation)
        return self._allocator.refuse(key, reason, self._clock.now_ms())

    async def _expire_holds(self, hold_ms: int) -> None:
        await self._clock.sleep_ms(hold_ms)
        now_ms = self._clock.now_ms()
        expired = [
            allocation
            for allocation in self._allocator.allocations()
            if allocation.phase is allocation_module.Phase.HELD
            and now_ms >= allocation.hold_expires_ms
        ]
        for allocation in expired:
            worker = self._allocator.worker_of(allocation)
            self._drop_task(allocation.key, allocation)
            worker.wake.set()
        if expired:
            events.emit(fleet_events.HOLD_EXPIRED, tasks=len(expired))

    def _stop_task(self, allocation: allocation_module.Allocation) -> None:
        if allocation.phase is allocation_module.Phase.HELD:
            self._drop_task(allocation.key, allocation)
            self._reporter.report_end(
                allocation.task_end(model.State.CANCELLED, started=False)
            )
            return
        if not allocation.stop_requested:
            allocation.stop_requested = True
            self._spawn(self._send_stop(allocation))

    async def _send_stop(
        self, allocation: allocation_module.Allocation
    ) -> None:
        """Send a stop until the worker has answered or the task has ended."""
        while not allocation.freed:
            worker = self._allocator.worker_of(allocation)
            if (
                allocation.phase is allocation_module.Phase.RUNNING
                and worker.epoch
            ):
                try:
                    await worker.client.stop(
                        worker.epoch, allocation.task.task_id
                    )
                    return
                except errors.StaleEpoch:
                    pass
                except errors.WorkerRefused:
                    worker.inventory_stale = True
                    worker.wake.set()
                    return
                except errors.WorkerError:
                    pass
            await self._clock.sleep_ms(self._settings.retry_ms)

    def _on_ends_confirmed(self, ends: list[model.TaskEnd]) -> None:
        for end in ends:
            worker = self._allocator.workers.get(end.worker_id)
            if worker is None:
                continue
            worker.unconfirmed_seqs.pop((end.task_id, end.attempt), None)
            if not worker.assigned:
                worker.wake.set()

    def _spawn(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, _T]
    ) -> asyncio.Task[_T]:
        task = asyncio.ensure_future(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task


# The answer to an order, or a future of it while its start is in progress.
_PendingPlacement = messages.Placement | asyncio.Future[messages.Placement]


def _current_placement(
    allocation: allocation_module.Allocation,
) -> _PendingPlacement:
    """Return the answer to a repeated order whose attempt is not over."""
    if (
        allocation.phase is allocation_module.Phase.RUNNING
        or allocation.placement_task is None
    ):
        return allocation.placement()
    return allocation.placement_task


async def _await_placement(answer: _PendingPlacement) -> messages.Placement:
    if isinstance(answer, messages.Placement):
        return answer
    # A cancelled caller must not cancel a start that is in progress.
    return await asyncio.shield(answer)
