"""Track the workers of the cell and keep a session with each."""

import collections.abc

from basilspindle.cell import events as cell_events
from basilspindle.cell import lease_clock
from basilspindle.cell import ports
from basilspindle.cell import recorder as recorder_module
from basilspindle.cell import session as session_module
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events

_REFRESH_INTERVAL_MS = 700
# Longer than orders to a dropped worker may be late and their leases last.
_LATE_ORDERS_KEPT_MS = 60_000
# Other work of the leader runs after each so many new workers: 3,000 at once
# took 90 ms of an idle processor core, and pings have to be answered.
_ADDED_AT_ONCE = 100

OpenSession = collections.abc.Callable[
    [worker_module.Worker], session_module.Session
]


class WorkerTracker:
    """Track the workers in the registry and those of the previous leader.

    ``sessions`` are the open sessions by worker id. ``has_read_registry`` is
    set once the registry was read; before, no worker has a known capacity.
    """

    __slots__ = (
        'sessions',
        'has_read_registry',
        '_state',
        '_clock',
        '_registry',
        '_recorder',
        '_open_session',
        '_failed_worker_ids',
        '_dropped_ms',
    )

    def __init__(
        self,
        state: state_module.CellState,
        clock: clock_module.Clock,
        registry: ports.WorkerRegistry,
        recorder: recorder_module.Recorder,
        open_session: OpenSession,
    ) -> None:
        self.sessions: dict[str, session_module.Session] = {}
        self.has_read_registry = False
        self._state = state
        self._clock = clock
        self._registry = registry
        self._recorder = recorder
        self._open_session = open_session
        # Workers whose entries could not be applied, as the log says.
        self._failed_worker_ids: set[str] = set()
        # When the sessions of workers were closed, by worker id.
        self._dropped_ms: dict[str, int] = {}

    def recover(self) -> None:
        """Open sessions with the workers that the previous leader recorded."""
        for worker_id, address in self._recorder.worker_addresses.items():
            worker = self._add(worker_id, address, None)
            worker.answered_address = address
            # The first answer leaves a fence for those of earlier leaders.
            worker.earlier_orders_until_ms = self._clock.now_ms()
            worker.settled_born_wall_ms = self._recorder.settled_lives.get(
                worker_id, 0
            )
            worker.recorded_capacity = self._recorder.capacities.get(worker_id)
            worker.is_recorded = not self._recorder.is_awaited_in_log(
                worker_id
            )
        self._recorder.placements.restore(self._clock.now_ms())

    async def follow(self) -> None:
        """Refresh the workers until cancelled."""
        while True:
            try:
                await self.refresh()
            except Exception as error:
                # What the registry holds must not end the leadership: the
                # next leader would read it as well.
                events.emit(
                    cell_events.INTERNAL_FAULT,
                    part='WorkerTracker.refresh',
                    error=repr(error),
                )
            await self._clock.sleep_ms(_REFRESH_INTERVAL_MS)

    async def refresh(self) -> None:
        """Update the workers from the registry."""
        try:
            entries = await self._registry.refresh()
        except errors.LogError as error:
            events.emit(
                cell_events.STORE_FAILED, call='registry', error=error.message
            )
            return
        added = 0
        for entry in list(entries.values()):
            try:
                added += self._apply(entry)
            except Exception as error:
                # The entries after it would never be applied otherwise.
                self._report_failure(entry, error)
            else:
                self._failed_worker_ids.discard(entry.worker_id)
            if added == _ADDED_AT_ONCE:
                added = 0
                await self._clock.sleep_ms(0)
        self.has_read_registry = True
        for worker_id, worker in list(self._state.workers.items()):
            if worker_id in entries:
                continue
            if worker.listed:
                worker.listed = False
                worker.unlisted_since_ms = self._clock.now_ms()
            # The missing entry says nothing about runs: the session tells
            # when the lease of a worker that was heard of has run out.
            if worker.reported or worker.tasks:
                continue
            if self._state.awaited_workers.awaits(
                worker_id, self._clock.now_ms()
            ):
                continue
            self._state.awaited_workers.discard(worker_id)
            self.drop(worker)

    def _apply(self, entry: ports.RegisteredWorker) -> bool:
        # Returns whether the worker is new.
        worker = self._state.workers.get(entry.worker_id)
        if worker is None:
            if not self._is_configured(entry.pool):
                return False
            self._add(entry.worker_id, entry.address, entry)
            return True
        if worker.pool == entry.pool or self._is_configured(entry.pool):
            self._update(worker, entry)
        return False

    def _report_failure(
        self, entry: ports.RegisteredWorker, error: Exception
    ) -> None:
        if entry.worker_id in self._failed_worker_ids:
            return
        self._failed_worker_ids.add(entry.worker_id)
        events.emit(
            cell_events.REGISTRY_ENTRY_FAILED,
            key=entry.worker_id,
            offset=entry.offset,
            error=repr(error)[:200],
        )

    def _is_configured(self, pool: str) -> bool:
        # An entry of another pool names no worker of this cell. Under the id
        # of a worker, it is another writer's: the last valid one holds.
        index = self._state.configuration_index
        return index is not None and pool in index.pools

    def drop(self, worker: worker_module.Worker) -> None:
        """Remove a worker and close its session."""
        self._state.workers.pop(worker.worker_id, None)
        session = self.sessions.pop(worker.worker_id, None)
        if session is not None:
            session.close()
            self._note_dropped(worker.worker_id)
        self._recorder.forget_worker(worker)

    def _note_dropped(self, worker_id: str) -> None:
        now_ms = self._clock.now_ms()
        for other_id, dropped_ms in list(self._dropped_ms.items()):
            if now_ms - dropped_ms > _LATE_ORDERS_KEPT_MS:
                del self._dropped_ms[other_id]
        self._dropped_ms[worker_id] = now_ms

    def close(self) -> None:
        """Close all sessions and let the leases of the workers expire."""
        for session in self.sessions.values():
            session.close()

    def _add(
        self,
        worker_id: str,
        address: str,
        entry: ports.RegisteredWorker | None,
    ) -> worker_module.Worker:
        worker = worker_module.Worker(
            worker_id,
            address,
            entry.pool if entry else '',
            entry.rack if entry else '',
            entry.failure_domain if entry else '',
            frozenset(entry.labels) if entry else frozenset(),
            entry.capacity if entry else state_module.NO_NEED,
        )
        worker.listed = entry is not None
        worker.unlisted_since_ms = self._clock.now_ms()
        worker.ready = entry is not None and entry.is_ready
        worker.entry_born_wall_ms = entry.born_wall_ms if entry else 0
        dropped_ms = self._dropped_ms.pop(worker_id, None)
        if dropped_ms is not None:
            worker.earlier_orders_until_ms = (
                dropped_ms + lease_clock.LATE_ORDER_MS
            )
        session = self._open_session(worker)
        self._state.workers[worker_id] = worker
        self.sessions[worker_id] = session
        session.open()
        return worker

    def _update(
        self, worker: worker_module.Worker, entry: ports.RegisteredWorker
    ) -> None:
        worker.address = entry.address
        if not entry.is_ready and entry.remaining_ms:
            worker.drain_end_ms = self._clock.now_ms() + entry.remaining_ms
        if worker.ready and not entry.is_ready:
            events.emit(
                cell_events.WORKER_DRAINING,
                worker=worker.worker_id,
                remaining_ms=entry.remaining_ms,
            )
        if (
            not worker.listed
            or worker.ready != entry.is_ready
            or worker.entry_born_wall_ms != entry.born_wall_ms
        ):
            self._state.freed_workers.add(worker.worker_id)
        worker.entry_born_wall_ms = entry.born_wall_ms
        worker.pool = entry.pool
        worker.rack = entry.rack
        worker.failure_domain = entry.failure_domain
        worker.labels = frozenset(entry.labels)
        worker.capacity = entry.capacity
        worker.ready = entry.is_ready
        worker.listed = True
