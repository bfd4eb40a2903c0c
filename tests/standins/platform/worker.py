"""Stand in for a worker that runs tasks under a lease."""

import asyncio
import json
import time

from tests.standins.platform import server as server_module
from tests.standins.platform import store as store_module

_BEAT_S = 0.5


class _Run:
    def __init__(self, name: str, run: int, ends_s: float) -> None:
        self.name = name
        self.run = run
        self.began_s = time.monotonic()
        self.ends_s = ends_s


class StandinWorker:
    """Runs each task for the milliseconds that its payload names.

    ``history`` lists every start and end with its time; it is what the
    tests judge, as the bench does from the workers' side.
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
        # Paces that were ordered, and what each run reports of its load.
        self.paces: list[tuple[str, int]] = []
        self.loads: dict[str, int] = {}
        self.state = 'ready'
        self._pool = pool
        self._store = store
        self._running: dict[str, _Run] = {}
        self._ended: list[list[object]] = []
        self._number = 0
        self._blocked: dict[str, int] = {}
        self._token = 0
        self._deadline_ms = 0
        self._born = int(time.time() * 1000)
        self._zero_s = time.monotonic()
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self.server = server_module.Server(self._handle)

    async def __aenter__(self) -> 'StandinWorker':
        await self.server.__aenter__()
        for work in (self._beat, self._work):
            self._tasks.append(asyncio.ensure_future(work()))
        return self

    async def __aexit__(self, *error: object) -> None:
        for task in self._tasks:
            task.cancel()
        await self.server.__aexit__(*error)

    @property
    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._zero_s) * 1000)

    async def _beat(self) -> None:
        seq = 0
        while True:
            seq += 1
            entry = {
                'service': self._pool,
                'address': self.server.address,
                'zone': 'a',
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
            self._store.put(
                'keyed.servers', self.worker_id, json.dumps(entry).encode()
            )
            await asyncio.sleep(_BEAT_S)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            now_s = time.monotonic()
            lapsed = self._clock_ms > self._deadline_ms
            for run in list(self._running.values()):
                if lapsed:
                    self._end(run, 'lapsed')
                elif now_s >= run.ends_s:
                    self._end(run, 'done')

    def _end(self, run: _Run, how: str) -> None:
        del self._running[run.name]
        self._number += 1
        self._blocked[run.name] = run.run
        self._ended.append([self._number, run.name, run.run, how, ''])
        self.history.append((time.monotonic(), how, run.name, run.run))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(
        self, request: server_module.Request
    ) -> server_module.Reply:
        expected = request.headers.get('x-expect-instance')
        if expected != self.worker_id:
            return server_module.Reply(421)
        body = request.json()
        if body.get('fencing_token', 0) < self._token:
            return self._reply(409, reason='fence')
        self._token = body['fencing_token']
        call = request.path.rpartition('/')[2]
        if call == 'hold':
            return await self._hold(body)
        if call == 'run-stop':
            return self._stop(body)
        if call == 'pace':
            return self._pace(body)
        return self._start(body)

    def _start(self, body: dict[str, object]) -> server_module.Reply:
        name, run = str(body['task']), int(str(body['run']))
        self._deadline_ms = max(
            self._deadline_ms, int(str(body['deadline_ms']))
        )
        here = self._running.get(name)
        if here is not None and here.run == run:
            return self._reply(200)
        if run <= self._blocked.get(name, 0) or here is not None:
            return self._reply(409, reason='old')
        ends_s = time.monotonic() + int(str(body['spec'])) / 1000
        self._running[name] = _Run(name, run, ends_s)
        self.history.append((time.monotonic(), 'start', name, run))
        return self._reply(200)

    def _stop(self, body: dict[str, object]) -> server_module.Reply:
        name, number = str(body['task']), int(str(body['run']))
        run = self._running.get(name)
        if run is not None and run.run <= number:
            self._end(run, 'stopped')
        self._blocked[name] = max(self._blocked.get(name, 0), number)
        return self._reply(200)

    def _pace(self, body: dict[str, object]) -> server_module.Reply:
        name, number = str(body['task']), int(str(body['run']))
        run = self._running.get(name)
        if run is None or run.run != number:
            return self._reply(409, reason='old')
        self.paces.append((name, int(str(body['percent']))))
        return self._reply(200)

    async def _hold(self, body: dict[str, object]) -> server_module.Reply:
        taken = int(str(body['ack_cursor']))
        self._ended = [row for row in self._ended if int(str(row[0])) > taken]
        if 'deadline_ms' in body:
            self._deadline_ms = max(
                self._deadline_ms, int(str(body['deadline_ms']))
            )
        wait_ms = int(str(body.get('wait_ms', 0)))
        if wait_ms and not self._ended:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
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
                    * (now_s - run.began_s)
                    / max(run.ends_s - run.began_s, 0.001)
                ),
                self.loads.get(run.name, 100),
            ]
            for run in self._running.values()
        ]
        return self._reply(200, running=running, finished=self._ended)

    def _reply(self, status: int, **fields: object) -> server_module.Reply:
        value = {'clock_ms': self._clock_ms, 'born': self._born, **fields}
        return server_module.Reply(status, json.dumps(value).encode())
