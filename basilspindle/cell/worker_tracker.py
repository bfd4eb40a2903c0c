"""Keep the workers of the cell and a session with each."""

import collections.abc

from basilspindle.cell import events as cell_events
from basilspindle.cell import ports
from basilspindle.cell import recorder as recorder_module
from basilspindle.cell import session as session_module
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events

_REGISTRY_MS = 700
# Longer than a renewal waits for an end, with its answer.
_LEFT_SILENT_MS = 1_600

OpenSession = collections.abc.Callable[
    [worker_module.Worker], session_module.Session
]


class WorkerTracker:
    """Follow the registry; workers of the former leader are kept too."""

    __slots__ = (
        'sessions',
        '_state',
        '_clock',
        '_registry',
        '_recorder',
        '_open_session',
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
        self._state = state
        self._clock = clock
        self._registry = registry
        self._recorder = recorder
        self._open_session = open_session

    def recover(self) -> None:
        """Hold the workers that the former leader recorded."""
        for worker_id, address in self._recorder.worker_addresses.items():
            self._add(worker_id, address, None)

    async def follow(self) -> None:
        """Refresh until cancelled."""
        while True:
            await self.refresh()
            await self._clock.sleep_ms(_REGISTRY_MS)

    async def refresh(self) -> None:
        """Bring the workers in line with the registry."""
        try:
            rows = await self._registry.refresh()
        except errors.LogError as error:
            events.emit(
                cell_events.STORE_FAILED, call='registry', error=error.message
            )
            return
        for worker_id, row in rows.items():
            worker = self._state.workers.get(worker_id)
            if worker is None:
                self._add(worker_id, row.address, row)
            else:
                self._update(worker, row)
        for worker_id, worker in list(self._state.workers.items()):
            if worker_id in rows:
                continue
            if worker.listed:
                worker.listed = False
                worker.unlisted_since_ms = self._clock.now_ms()
            if self._has_left(worker):
                self.sessions[worker_id].declare_lost()
                continue
            if worker.reported or worker.tasks:
                continue
            if worker_id not in self._state.unseen_workers:
                self.drop(worker)

    def _has_left(self, worker: worker_module.Worker) -> bool:
        # A worker that reported to leave and has no entry any more is gone,
        # unless it still answers.
        silent_ms = self._clock.now_ms() - worker.last_contact_ms
        return (
            not worker.ready
            and worker.reported
            and silent_ms > _LEFT_SILENT_MS
        )

    def drop(self, worker: worker_module.Worker) -> None:
        """Forget a worker that is gone."""
        self._state.workers.pop(worker.worker_id, None)
        session = self.sessions.pop(worker.worker_id, None)
        if session is not None:
            session.close()
        if (
            self._recorder.worker_addresses.pop(worker.worker_id, None)
            is not None
        ):
            self._recorder.worker_addresses_changed = True

    def close(self) -> None:
        """Stop holding workers; their leases run out."""
        for session in self.sessions.values():
            session.close()

    def _add(
        self,
        worker_id: str,
        address: str,
        row: ports.RegisteredWorker | None,
    ) -> None:
        worker = worker_module.Worker(
            worker_id,
            address,
            row.pool if row else '',
            row.rack if row else '',
            row.failure_domain if row else '',
            frozenset(row.labels) if row else frozenset(),
            row.capacity if row else state_module.NO_NEED,
        )
        worker.listed = row is not None
        worker.ready = row is not None and row.is_ready
        self._state.workers[worker_id] = worker
        self._note_address(worker_id, address)
        session = self._open_session(worker)
        self.sessions[worker_id] = session
        session.open()

    def _update(
        self, worker: worker_module.Worker, row: ports.RegisteredWorker
    ) -> None:
        worker.address = row.address
        self._note_address(worker.worker_id, row.address)
        if not row.is_ready and row.remaining_ms:
            worker.drain_end_ms = self._clock.now_ms() + row.remaining_ms
        if worker.ready and not row.is_ready:
            events.emit(
                cell_events.WORKER_DRAINING,
                worker=worker.worker_id,
                remaining_ms=row.remaining_ms,
            )
        if not worker.listed or worker.ready != row.is_ready:
            self._state.freed_workers.add(worker.worker_id)
        worker.pool = row.pool
        worker.rack = row.rack
        worker.failure_domain = row.failure_domain
        worker.labels = frozenset(row.labels)
        worker.capacity = row.capacity
        worker.ready = row.is_ready
        worker.listed = True

    def _note_address(self, worker_id: str, address: str) -> None:
        if self._recorder.worker_addresses.get(worker_id) != address:
            self._recorder.worker_addresses[worker_id] = address
            self._recorder.worker_addresses_changed = True
