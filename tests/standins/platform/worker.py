"""Stand-in for a worker that runs tasks under a lease."""

import asyncio
import json
import random
import time
import zlib

from tests.standins.platform import network as network_module
from tests.standins.platform import server as server_module
from tests.standins.platform import store as store_module

_PUBLISH_INTERVAL_S = 0.5
# Three heartbeats of the users' workers.
_EXPIRY_S = 4.5
_MAX_LISTED_ENDS = 500
# The values of the settings that the tests give to daemons.
_MAX_LEASE_MS = 10_000
_STOP_S = 0.15
# Where the clocks of lives begin, and how late late calls are carried out.
_MAX_CLOCK_MS = 8_000_000
_LATE_S = (0.3, 3.5)


class _Run:
    def __init__(self, name: str, run: int, end_s: float) -> None:
        self.name = name
        self.run = run
        self.started_s = time.monotonic()
        self.end_s = end_s
        self.stopped_at_s: float | None = None


class StandinWorker:
    """Worker that runs each task for the milliseconds in its payload.

    ``history`` holds time, kind, task and run of every start and end. Tests
    check it, as the bench does, rather than what the daemons report. The kind
    is ``lost`` for a run that a crash ends, and ``forgotten`` for the end of
    a run that was not acknowledged before a crash or the end of the lease.
    """

    def __init__(
        self,
        worker_id: str,
        store: store_module.StandinStore,
        pool: str = 'pool',
        cpu: int = 8_000,
    ) -> None:
        self.worker_id = worker_id
        self.capacity = cpu
        self.history: list[tuple[float, str, str, int]] = []
        # Pace requests received, and the load that each task reports.
        self.paces: list[tuple[str, int]] = []
        self.loads: dict[str, int] = {}
        self.state = 'ready'
        self.zone = 'a'
        self._pool = pool
        self._store = store
        self._tasks: list[asyncio.Task[None]] = []
        self.is_up = True
        self._end_added = asyncio.Event()
        self.server = server_module.Server(self._handle)
        late_random = random.Random(worker_id)
        self.server.late_s = lambda: late_random.uniform(*_LATE_S)
        self.max_lease_ms = _MAX_LEASE_MS
        self._lives = 0
        self._clock_name = worker_id
        self._begin_life()

    def _begin_life(self) -> None:
        self._running: dict[str, _Run] = {}
        self._ended: list[list[object]] = []
        self._last_end_number = 0
        self._highest_blocked_run: dict[str, int] = {}
        self._token = 0
        self._deadline_ms = 0
        self._has_lapsed = True
        self._born = int(time.time() * 1000)
        self._started_s = time.monotonic()
        # The steady clock of a life begins anywhere, also behind that of the
        # life before.
        self._lives += 1
        name = f'{self._clock_name}/{self._lives}'
        self._first_clock_ms = zlib.crc32(name.encode()) % _MAX_CLOCK_MS

    def draw_clocks(self, name: str) -> None:
        """Let the clocks of the later lives begin at times drawn by a name."""
        self._clock_name = name

    def age(self, age_s: float) -> None:
        """Count this life as that much older."""
        self._started_s -= age_s

    def lose_power(self) -> None:
        """Crash; connections stay open but nothing answers any more.

        Calls that are still to be carried out late reach the next life.
        """
        self.is_up = False
        self.server.fault = lambda request: 'silent'
        for run in list(self._running.values()):
            self.history.append((time.monotonic(), 'lost', run.name, run.run))
        self._running.clear()
        self._forget_ends()

    def start_again(self) -> None:
        """Start under the same id, holding and knowing nothing of before."""
        self.server.lose_connections()
        self.server.fault = lambda request: ''
        self._begin_life()
        self.is_up = True

    def _forget_ends(self) -> None:
        # An end counts as taken note of only if it was acknowledged before
        # the lease of its worker ended.
        for _, name, run, *_ in self._ended:
            self.history.append(
                (time.monotonic(), 'forgotten', str(name), int(str(run)))
            )

    async def __aenter__(self) -> 'StandinWorker':
        await self.server.__aenter__()
        for background_loop in (self._publish_entry, self._run_tasks):
            self._tasks.append(asyncio.ensure_future(background_loop()))
        return self

    async def __aexit__(self, *error: object) -> None:
        for task in self._tasks:
            task.cancel()
        await self.server.__aexit__(*error)

    def stop_publishing(self) -> None:
        """Keep answering, but write no more registry entries."""
        self._tasks[0].cancel()

    @property
    def _clock_ms(self) -> int:
        age_s = time.monotonic() - self._started_s
        return self._first_clock_ms + int(age_s * 1000)

    async def _publish_entry(self) -> None:
        seq = 0
        published_s = time.monotonic()
        is_listed = False
        while True:
            now_s = time.monotonic()
            if self.is_up and not self._is_cut_off:
                seq += 1
                entry = self.entry(seq)
                self._store.put('keyed.servers', self.worker_id, entry)
                published_s = now_s
                is_listed = True
            elif self.is_up and is_listed and now_s - published_s > _EXPIRY_S:
                # The platform removes it, though the worker is sound.
                self._store.put('keyed.servers', self.worker_id, b'')
                is_listed = False
            await asyncio.sleep(_PUBLISH_INTERVAL_S)

    @property
    def _is_cut_off(self) -> bool:
        network = self._store.network
        return network is not None and network.is_cut(
            self.worker_id, network_module.STORE
        )

    def entry(self, seq: int = 0) -> bytes:
        """Return the registry entry of the worker."""
        entry = {
            'service': self._pool,
            'address': self.server.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold_left_ms': 0,
            'capacity': {'cpu': self.capacity, 'mem_mb': 100_000},
            'labels': ['k', 'r1'],
            'clock_ms': self._clock_ms,
            'seq': seq,
            'born': self._born,
        }
        return json.dumps(entry).encode()

    async def _run_tasks(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            now_s = time.monotonic()
            lapsed = self._clock_ms > self._deadline_ms
            if lapsed and not self._has_lapsed:
                self._forget_ends()
            self._has_lapsed = lapsed
            for run in list(self._running.values()):
                if lapsed:
                    self._end(run, 'lapsed')
                elif run.stopped_at_s and now_s >= run.stopped_at_s:
                    self._end(run, 'stopped')
                elif now_s >= run.end_s:
                    self._end(run, 'done')

    def _end(self, run: _Run, how: str) -> None:
        del self._running[run.name]
        self._last_end_number += 1
        self._highest_blocked_run[run.name] = run.run
        self._ended.append([self._last_end_number, run.name, run.run, how, ''])
        self.history.append((time.monotonic(), how, run.name, run.run))
        end_added, self._end_added = self._end_added, asyncio.Event()
        end_added.set()

    async def _handle(
        self, request: server_module.Request
    ) -> server_module.Reply:
        if not self.is_up:
            # Read before the power was lost.
            raise ConnectionResetError
        expected = request.headers.get('x-expect-instance')
        if expected != self.worker_id:
            return server_module.Reply(421)
        body = request.json()
        if body.get('fencing_token', 0) < self._token:
            return self._reply(409, reason='fence')
        self._token = body['fencing_token']
        call = request.path.rpartition('/')[2]
        if call == 'hold':
            return await self._renew(body)
        if call == 'run-stop':
            return self._stop(body)
        if call == 'pace':
            return self._pace(body)
        return self._start(body)

    def _start(self, body: dict[str, object]) -> server_module.Reply:
        name, run = str(body['task']), int(str(body['run']))
        self._extend_lease(body)
        active = self._running.get(name)
        if active is not None and active.run == run:
            return self._reply(200)
        if run <= self._highest_blocked_run.get(name, 0) or active is not None:
            return self._reply(409, reason='old')
        end_s = time.monotonic() + int(str(body['spec'])) / 1000
        self._running[name] = _Run(name, run, end_s)
        self.history.append((time.monotonic(), 'start', name, run))
        return self._reply(200)

    def _stop(self, body: dict[str, object]) -> server_module.Reply:
        name, number = str(body['task']), int(str(body['run']))
        run = self._running.get(name)
        if run is not None and run.run <= number and not run.stopped_at_s:
            run.stopped_at_s = time.monotonic() + _STOP_S
        self._highest_blocked_run[name] = max(
            self._highest_blocked_run.get(name, 0), number
        )
        return self._reply(200)

    def _extend_lease(self, body: dict[str, object]) -> None:
        deadline_ms = min(
            int(str(body['deadline_ms'])), self._clock_ms + self.max_lease_ms
        )
        self._deadline_ms = max(self._deadline_ms, deadline_ms)

    def _pace(self, body: dict[str, object]) -> server_module.Reply:
        name, number = str(body['task']), int(str(body['run']))
        run = self._running.get(name)
        if run is None or run.run != number:
            return self._reply(409, reason='old')
        self.paces.append((name, int(str(body['percent']))))
        return self._reply(200)

    async def _renew(self, body: dict[str, object]) -> server_module.Reply:
        acknowledged_number = int(str(body['ack_cursor']))
        self._ended = [
            row
            for row in self._ended
            if int(str(row[0])) > acknowledged_number
        ]
        if 'deadline_ms' in body:
            self._extend_lease(body)
        wait_ms = int(str(body.get('wait_ms', 0)))
        if wait_ms and not self._ended:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._end_added.wait()
            except TimeoutError:
                pass
        now_s = time.monotonic()
        running = [
            [
                run.name,
                run.run,
                '',
                int(
                    100
                    * (now_s - run.started_s)
                    / max(run.end_s - run.started_s, 0.001)
                ),
                self.loads.get(run.name, 100),
            ]
            for run in self._running.values()
        ]
        finished = self._ended[:_MAX_LISTED_ENDS]
        return self._reply(200, running=running, finished=finished)

    def _reply(self, status: int, **fields: object) -> server_module.Reply:
        value = {'clock_ms': self._clock_ms, 'born': self._born, **fields}
        return server_module.Reply(status, json.dumps(value).encode())
