"""Hold worker leases and place tasks on the workers held."""

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


class Fleet:
    """Everything a daemon does with workers whose lease it holds.

    ``check_fence(partition, epoch)`` raises ``Fenced`` if a start may not
    be sent. ``choose`` picks one of the given workers or None. ``report``
    tells the owner of a partition about ends and found tasks and returns
    True once it has confirmed. ``client_factory`` makes the client of an
    address.
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
        '_jobs',
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
            clock, report, settings, self._confirmed
        )
        self._starter = starter_module.Starter(
            clock, settings, self._allocator, self._reporter, check_fence
        )
        self._jobs: set[asyncio.Task[typing.Any]] = set()

    @property
    def on_capacity_freed(self) -> collections.abc.Callable[[], None] | None:
        """Return what is called whenever capacity was freed."""
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
        loops = [w.loop for w in self._allocator.workers.values() if w.loop]
        tasks = [*loops, *self._jobs]
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
        """Set the workers that this daemon should hold now."""
        wanted = {info.worker_id: info for info in desired}
        for worker_id, worker in list(self._allocator.workers.items()):
            if worker_id in wanted:
                await self._want(worker, wanted[worker_id])
            elif worker.wanted:
                self._unwant(worker)
        for worker_id, info in wanted.items():
            if worker_id not in self._allocator.workers:
                self._hold(info)
        self._allocator.refresh()

    def _hold(self, info: worker_info.WorkerInfo) -> None:
        worker = leased_worker.LeasedWorker(
            info, self._client_factory(info.address)
        )
        self._allocator.workers[info.worker_id] = worker
        worker.loop = asyncio.ensure_future(
            worker_controller.WorkerController(
                worker,
                self._clock,
                self._member_id,
                self._settings,
                self._allocator,
                self._reporter,
            ).run()
        )

    async def _want(
        self,
        worker: leased_worker.LeasedWorker,
        info: worker_info.WorkerInfo,
    ) -> None:
        was_open = worker.accepting
        moved = worker.info.address != info.address
        worker.info = info
        worker.wanted = True
        if moved:
            # The incarnation tells whether the tasks moved as well.
            old, worker.client = (
                worker.client,
                self._client_factory(info.address),
            )
            worker.lapse()
            worker.wake.set()
            await old.reset()
        if worker.accepting and not was_open:
            self._allocator.notify()

    def _unwant(self, worker: leased_worker.LeasedWorker) -> None:
        worker.wanted = False
        worker.hand_back_at_ms = (
            self._clock.now_ms() + self._settings.hand_back_ms
        )
        worker.wake.set()

    async def release_all(self) -> None:
        """Hand all workers back for a planned stop.

        Waits until open starts and holds are settled and ends are
        reported, at most ``hand_back_ms`` plus one call.
        """
        await self.assign([])
        loops = [w.loop for w in self._allocator.workers.values() if w.loop]
        limit_ms = self._settings.hand_back_ms + 2 * self._settings.call_ms
        try:
            await self._clock.wait_ms(self._drain(loops), limit_ms)
        except errors.DeadlineExceeded:
            # Leases that were not returned expire by themselves.
            pass

    async def _drain(self, loops: list[asyncio.Task[None]]) -> None:
        await asyncio.gather(*(asyncio.shield(loop) for loop in loops))
        while not self._reporter.idle:
            await self._clock.sleep_ms(self._settings.send_ms)

    def free_capacity(self) -> messages.Room:
        """Sum up the free capacity that can get work now."""
        return self._allocator.free_capacity(self._clock.now_ms())

    def workers(self) -> list[worker_status.WorkerStatus]:
        """Show all workers, ordered by id."""
        held = sorted(self._allocator.workers.items())
        return [self._status(worker) for _, worker in held]

    def dump(self) -> dict[str, typing.Any]:
        """Return the whole state for the state dump."""
        return {
            'workers': msgspec.to_builtins(self.workers()),
            'tasks': [
                {
                    'task_id': allocation.running.task_id,
                    'attempt': allocation.running.attempt,
                    'worker_id': allocation.running.worker_id,
                    'phase': allocation.phase.value,
                    'epoch': allocation.epoch,
                }
                for allocation in self._allocator.allocations()
            ],
            'unconfirmed_reports': self._reporter.counts(),
        }

    def _status(
        self, worker: leased_worker.LeasedWorker
    ) -> worker_status.WorkerStatus:
        now_ms = self._clock.now_ms()
        worker_id = worker.info.worker_id
        allowance = self._allocator.health.allowance(worker_id, now_ms)
        phases = collections.Counter(
            allocation.phase.value for allocation in worker.tasks.values()
        )
        return worker_status.WorkerStatus(
            info=worker.info,
            epoch=worker.epoch,
            incarnation=worker.incarnation,
            ready=worker.ready,
            suspect=worker.suspect,
            allowance=-1 if allowance is None else allowance,
            lease_left_ms=max(0, worker.valid_until_ms() - now_ms),
            free=worker.view.free,
            total=worker.view.total,
            tasks=dict(phases),
            penalty=self._allocator.health.penalty(worker_id),
        )

    # Tasks

    async def place(self, message: messages.Place) -> messages.Placed:
        """Reserve and start each task, or only reserve with ``hold``.

        Each attempt is decided once: a repeated order gets the same
        answer, also if it was refused. The reservations of the whole
        batch are made before anything is awaited. Starts go on if the
        caller is cancelled.
        """
        hold_until_ms = 0
        if message.hold:
            hold_until_ms = self._clock.now_ms() + message.hold_ms
        answers = [
            self._admit(order, hold_until_ms) for order in message.orders
        ]
        if message.hold:
            self._spawn(self._expire_holds(message.hold_ms))
        return messages.Placed(
            placements=[await _answer(answer) for answer in answers]
        )

    async def commit(self, message: messages.Commit) -> messages.Committed:
        """Start held tasks; a hold that is gone was never started."""
        answers = [self._commit(key, message) for key in message.tasks]
        return messages.Committed(
            placements=[await _answer(answer) for answer in answers]
        )

    async def drop(self, message: messages.Drop) -> messages.Dropped:
        """Give back held capacity.

        Raises ``BadRequest`` with an unknown outcome if one of the tasks
        was started; all others are dropped all the same.
        """
        started = []
        for task_id, attempt in message.tasks:
            key = (task_id, attempt)
            allocation = self._find(key)
            past = self._allocator.past(key, self._clock.now_ms())
            if allocation is None and past is None:
                self._drop(key, None)
            elif allocation is None:
                # An attempt that ended was started.
                started.extend([task_id] if past.worker_id else [])
            elif allocation.phase is allocation_module.Phase.HELD:
                self._drop(key, allocation)
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
        """Stop tasks; their ends are reported. Raises ``Fenced``."""
        self._check_fence(message.partition, message.partition_epoch)
        unknown = []
        for task_id, attempt in message.tasks:
            key = (task_id, attempt)
            allocation = self._find(key)
            if allocation is not None:
                self._stop(allocation)
            elif self._allocator.past(key, self._clock.now_ms()) is None:
                unknown.append(key)
                # Its order may still be on the way.
                self._drop(key, None)
        return messages.Stopping(unknown_tasks=unknown)

    async def inventory(
        self, message: messages.Inventory
    ) -> messages.Inventoried:
        """List what runs for a partition. Raises ``Fenced``.

        Holds of an earlier owner are dropped: it can no longer commit
        them. Starts whose outcome is open count as running.
        """
        self._check_fence(message.partition, message.partition_epoch)
        running = []
        for allocation in self._allocator.allocations():
            if allocation.running.partition != message.partition:
                continue
            if allocation.phase is not allocation_module.Phase.HELD:
                allocation.announced = True
                running.append(allocation.listed())
            elif allocation.order.partition_epoch < message.partition_epoch:
                self._drop(allocation.key, allocation)
        now_ms = self._clock.now_ms()
        return messages.Inventoried(
            running=running,
            ends=self._reporter.ends(message.partition),
            workers=[
                worker_id
                for worker_id, worker in self._allocator.workers.items()
                if worker.ready and worker.leased(now_ms)
            ],
        )

    def _find(
        self, key: allocation_module.AttemptKey
    ) -> allocation_module.Allocation | None:
        allocation = self._allocator.allocation(key[0])
        if allocation is None or allocation.key != key:
            return None
        return allocation

    def _admit(self, order: model.TaskOrder, hold_until_ms: int) -> '_Answer':
        """Reserve for an order; never awaits."""
        key = (order.task_id, order.attempt)
        now_ms = self._clock.now_ms()
        known = self._allocator.allocation(order.task_id)
        if known is not None and known.key == key:
            return _known(known)
        past = self._allocator.past(key, now_ms)
        if past is not None:
            return past
        if known is not None:
            return self._allocator.refuse(key, _OTHER_ATTEMPT, now_ms)
        try:
            self._check_fence(order.partition, order.partition_epoch)
        except errors.Fenced as fault:
            return self._allocator.refuse(key, fault.kind, now_ms)
        allocation = self._allocator.reserve(order, now_ms)
        if allocation is None:
            return self._allocator.refuse(key, _NO_ROOM, now_ms)
        if hold_until_ms:
            allocation.phase = allocation_module.Phase.HELD
            allocation.hold_until_ms = hold_until_ms
            return allocation.placement()
        return self._start(allocation, self._settings.place_tries)

    def _start(
        self, allocation: allocation_module.Allocation, tries: int
    ) -> '_Answer':
        allocation.phase = allocation_module.Phase.STARTING
        allocation.placed = self._spawn(self._starter.run(allocation, tries))
        return allocation.placed

    def _commit(
        self, key: allocation_module.AttemptKey, message: messages.Commit
    ) -> '_Answer':
        now_ms = self._clock.now_ms()
        allocation = self._find(key)
        if allocation is None:
            past = self._allocator.past(key, now_ms)
            return past or self._allocator.refuse(key, _HOLD_GONE, now_ms)
        if allocation.phase is not allocation_module.Phase.HELD:
            return _known(allocation)
        if now_ms >= allocation.hold_until_ms:
            return self._drop(key, allocation)
        try:
            self._check_fence(message.partition, message.partition_epoch)
        except errors.Fenced as fault:
            return self._drop(key, allocation, fault.kind)
        return self._start(allocation, 1)

    def _drop(
        self,
        key: allocation_module.AttemptKey,
        allocation: allocation_module.Allocation | None,
        reason: str = _HOLD_GONE,
    ) -> messages.Placement:
        """Decide that a held task, or one still on its way, never starts."""
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
            and now_ms >= allocation.hold_until_ms
        ]
        for allocation in expired:
            worker = self._allocator.worker_of(allocation)
            self._drop(allocation.key, allocation)
            worker.wake.set()
        if expired:
            events.emit(fleet_events.HOLD_EXPIRED, tasks=len(expired))

    def _stop(self, allocation: allocation_module.Allocation) -> None:
        if allocation.phase is allocation_module.Phase.HELD:
            self._drop(allocation.key, allocation)
            self._reporter.end(
                allocation.end(model.State.CANCELLED, started=False)
            )
            return
        if not allocation.stop_wanted:
            allocation.stop_wanted = True
            self._spawn(self._send_stop(allocation))

    async def _send_stop(
        self, allocation: allocation_module.Allocation
    ) -> None:
        """Repeat a stop until the worker has taken it or the task ended."""
        while not allocation.over:
            worker = self._allocator.worker_of(allocation)
            if (
                allocation.phase is allocation_module.Phase.RUNNING
                and worker.epoch
            ):
                try:
                    await worker.client.stop(
                        worker.epoch, allocation.running.task_id
                    )
                    return
                except errors.StaleEpoch:
                    pass
                except errors.WorkerRefused:
                    worker.stale = True
                    worker.wake.set()
                    return
                except errors.WorkerError:
                    pass
            await self._clock.sleep_ms(self._settings.retry_ms)

    def _confirmed(self, ends: list[model.TaskEnd]) -> None:
        for end in ends:
            worker = self._allocator.workers.get(end.worker_id)
            if worker is None:
                continue
            worker.unconfirmed.pop((end.task_id, end.attempt), None)
            if not worker.wanted:
                worker.wake.set()

    def _spawn(
        self, work: collections.abc.Coroutine[typing.Any, typing.Any, _T]
    ) -> asyncio.Task[_T]:
        task = asyncio.ensure_future(work)
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)
        return task


_Answer = messages.Placement | asyncio.Future[messages.Placement]


def _known(allocation: allocation_module.Allocation) -> _Answer:
    """Answer a repeated order as before."""
    if (
        allocation.phase is allocation_module.Phase.RUNNING
        or allocation.placed is None
    ):
        return allocation.placement()
    return allocation.placed


async def _answer(answer: _Answer) -> messages.Placement:
    if isinstance(answer, messages.Placement):
        return answer
    # A cancelled caller must not cancel a start that may be under way.
    return await asyncio.shield(answer)
