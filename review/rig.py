"""Run the project's daemons on loopback with small stand-ins around them.

The stand-ins are a store, workers and clients that follow the users' pages.
Each case plays an order of events and checks one rule from what clients sent
and got, and from what the workers ran.
"""

import asyncio
import base64
import collections.abc
import json
import os
import pathlib
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import typing
import urllib.parse
import zlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'q.example'
PREFIX = '/jobs/'
KEY = 'key-of-tenant-1'
POOL = 'pool'
# The figures of a small deployment: site kwpa-refunds.
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
HEARTBEAT_MS = 1_500
CONTACT_MS = 3_000
CANCEL_MS = 3_000
STOP_MS = 900
HOLD_MAX_MS = 10_000
MAX_FILES = 4_200
_PAGE_ITEMS = 500
_PAGE_BYTES = 1_000_000
# How long the store takes to answer.
_STORE_ANSWER_S = 0.004
_EXPIRY_HEARTBEATS = 3


class Record:
    """Timeline of what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._started_s = time.monotonic()
        self._file = path.open('w')

    def now_s(self) -> float:
        """Return the time since the start in s."""
        return time.monotonic() - self._started_s

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f'{self.now_s():8.3f}  {text}\n')
        self._file.flush()


class Request(typing.NamedTuple):
    """An HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


Reply = tuple[int, bytes]
Handler = collections.abc.Callable[
    [Request], collections.abc.Awaitable[Reply | None]
]


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, the headers and the body of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return first, headers, body


class HttpServer:
    """HTTP server that can be cut off, or lose all its connections.

    While ``cut`` is set, requests are not read and answers are not sent.
    """

    def __init__(self, handler: Handler) -> None:
        self.cut = False
        self.port = 0
        self._handler = handler
        self._life = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return the address as host:port."""
        return f'127.0.0.1:{self.port}'

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=4 * 1024 * 1024, backlog=1_024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and drop all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def lose_connections(self) -> None:
        """Never answer on the connections there are now.

        Their machine lost power or was cut off. The other end notices when it
        sends something after the machine is back: that resets them.
        """
        self._life += 1

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        life = self._life
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                while self.cut:
                    await asyncio.sleep(0.02)
                if life != self._life:
                    return
                method, target, _ = first.split(' ')
                parsed = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parsed.query))
                reply = await self._handler(
                    Request(method, parsed.path, query, headers, body)
                )
                if reply is None or self.cut or life != self._life:
                    # Lost; the connection carries nothing further.
                    await reader.read()
                    return
                status, data = reply
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            # The other end has closed the connection, or sent no HTTP.
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class _Topic:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.epoch = -1
        self.next_seq: int | None = None
        self.answers: dict[int, Reply] = {}
        self.grown = asyncio.Event()

    def append(self, records: list[bytes]) -> int:
        """Append records, each a key's length, the key and a value."""
        offset = len(self.records)
        for record in records:
            size = record[0]
            key = record[1 : 1 + size].decode(errors='replace')
            value = record[1 + size :]
            if value:
                self.newest[key] = (value, len(self.records))
            else:
                self.newest.pop(key, None)
            self.records.append(record)
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()
        return offset


class Store:
    """The platform's log, with keyed topics of one partition."""

    def __init__(self, record: Record) -> None:
        self.server = HttpServer(self._handle)
        # Names of the daemons that the store turns away with 503.
        self.turned_away: set[str] = set()
        self.refused_appends = 0
        self._record = record
        self._topics: dict[str, _Topic] = {}
        self._doors: list[HttpServer] = []

    def topic(self, name: str) -> _Topic:
        """Return a topic, created on first use."""
        return self._topics.setdefault(name, _Topic())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append one record; an empty value removes the key."""
        raw = key.encode()
        self.topic(topic).append([bytes([len(raw)]) + raw + value])

    def leader(self, nodes: list[str]) -> str:
        """Return the node that last wrote under a condition, or ''."""
        newest = self.topic('keyed.lead').newest
        for value, _ in newest.values():
            for node in nodes:
                if node.encode() in value:
                    return node
        return ''

    async def open_door(self, node: str) -> HttpServer:
        """Return a server of the store for one daemon only."""

        async def handle(request: Request) -> Reply | None:
            if node in self.turned_away:
                await asyncio.sleep(_STORE_ANSWER_S)
                return 503, b'{}'
            return await self._handle(request)

        door = HttpServer(handle)
        await door.start()
        self._doors.append(door)
        return door

    def close(self) -> None:
        """Stop serving."""
        for server in (self.server, *self._doors):
            server.close()

    async def _handle(self, request: Request) -> Reply | None:
        call = request.path.rpartition('/')[2]
        topic = self.topic(request.query['topic'])
        if call == 'log-append':
            await asyncio.sleep(_STORE_ANSWER_S)
            return self._append(topic, request)
        if call == 'log-newest':
            await asyncio.sleep(_STORE_ANSWER_S)
            return self._newest(topic, request.query.get('after', ''))
        if call == 'log-read':
            return await self._read(topic, request.query)
        return 404, b'{}'

    def _append(self, topic: _Topic, request: Request) -> Reply:
        query = request.query
        records = []
        body = request.body
        while body:
            (length,) = struct.unpack_from('>I', body)
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        sizes = [len(record) for record in records]
        if max(sizes, default=0) > RECORD_BYTES or sum(sizes) > CALL_BYTES:
            if not self.refused_appends:
                self._record.note(
                    f'store: an append is refused with 400, its largest '
                    f'record has {max(sizes)} bytes'
                )
            self.refused_appends += 1
            return 400, b'{}'
        if 'at' in query and int(query['at']) != len(topic.records):
            return 412, _json(end=len(topic.records))
        if 'producer' not in query:
            offset = topic.append(records)
            return 200, _json(offset=offset, end=len(topic.records))
        epoch = int(query['epoch'])
        if epoch < topic.epoch:
            return 409, _json(reason='fenced')
        if epoch > topic.epoch:
            topic.epoch, topic.next_seq, topic.answers = epoch, None, {}
        if not records:
            return 200, _json(offset=len(topic.records))
        seq = int(query['seq'])
        if seq in topic.answers:
            return topic.answers[seq]
        if topic.next_seq not in (None, seq):
            return 409, _json(reason='seq', expected=topic.next_seq)
        offset = topic.append(records)
        topic.next_seq = seq + 1
        topic.answers[seq] = (
            200,
            _json(offset=offset, end=len(topic.records)),
        )
        topic.answers.pop(seq - 5, None)
        return topic.answers[seq]

    def _newest(self, topic: _Topic, after: str) -> Reply:
        items = []
        size = 0
        more = False
        for key in sorted(key for key in topic.newest if key > after):
            value, offset = topic.newest[key]
            if len(items) == _PAGE_ITEMS or size > _PAGE_BYTES:
                more = True
                break
            text = base64.b64encode(value).decode()
            size += len(text)
            items.append({'key': key, 'value': text, 'offset': offset})
        return 200, _json(items=items, more=more, end=len(topic.records))

    async def _read(self, topic: _Topic, query: dict[str, str]) -> Reply:
        start = int(query['from'])
        if start >= len(topic.records) and 'wait_ms' in query:
            try:
                async with asyncio.timeout(int(query['wait_ms']) / 1000):
                    await topic.grown.wait()
            except TimeoutError:
                # The answer then has no records.
                pass
        await asyncio.sleep(_STORE_ANSWER_S)
        body = struct.pack('>QQ', len(topic.records), 0)
        limit = int(query.get('max_kb', '1024')) * 1024
        for record in topic.records[start:]:
            framed = struct.pack('>I', len(record)) + record
            if len(body) > 16 and len(body) + len(framed) > limit:
                break
            body += framed
        return 200, body


class Run:
    """One run of a task on one life of a worker."""

    def __init__(
        self, worker: 'Worker', task: str, number: int, checkpoint: str
    ) -> None:
        self.worker = worker
        self.task = task
        self.number = number
        self.checkpoint = checkpoint
        self.start_s = 0.0
        self.end_s: float | None = None
        self.how = ''
        self.stop_at_s: float | None = None
        # Whether `ack_cursor` has reached the end of the run.
        self.is_noted = False


class Worker:
    """A worker that runs each task for the milliseconds in its ``spec``.

    It follows the page: fencing tokens, runs, leases on its own clock, ends
    that are listed until they are acknowledged.
    """

    def __init__(
        self,
        name: str,
        store: Store,
        record: Record,
        cpu: int = 8_000,
        stop_ms: int = 600,
    ) -> None:
        self.name = name
        self.server = HttpServer(self._handle)
        self.runs: list[Run] = []
        # Task, run and checkpoint of each start order as it was carried out.
        self.cpu = cpu
        self.quiet = False
        # Whether tasks report checkpoints.
        self.checkpoints = False
        self._store = store
        self._record = record
        self._stop_ms = stop_ms
        self._tasks: list[asyncio.Task[None]] = []
        self._listed = False
        self._begin_life()

    def _begin_life(self) -> None:
        self._life_s = time.monotonic()
        self._born = int(time.time() * 1000)
        self._seq = 0
        self._active: dict[str, Run] = {}
        self._blocked: dict[str, int] = {}
        self._ends: list[list[object]] = []
        self._ended_runs: dict[int, Run] = {}
        self._end_number = 0
        self._token = 0
        self._deadline_ms = 0
        self._end_added = asyncio.Event()
        self._is_up = True
        self._beat_s = 0.0

    async def start(self) -> None:
        """Serve and register."""
        await self.server.start()
        self._tasks = [
            asyncio.ensure_future(work())
            for work in (self._beat, self._run_tasks)
        ]

    def stop(self) -> None:
        """Stop all work of the stand-in."""
        for task in self._tasks:
            task.cancel()
        self.server.close()

    def begin_cut(self) -> None:
        """Cut the worker off from everything; it works on."""
        self.server.cut = True
        self._record.note(f'{self.name}: cut off')

    def end_cut(self) -> None:
        """Join the network again; the connections from before are dead."""
        self.server.cut = False
        self.server.lose_connections()
        self._record.note(f'{self.name}: reachable again')

    def lose_power(self) -> None:
        """Crash without a sign; nothing answers."""
        for run in list(self._active.values()):
            self._finish(run, 'lost with its worker')
        self._is_up = False
        self.server.cut = True
        self._record.note(f'{self.name}: crashed, dark')

    def start_again(self) -> None:
        """Start under the same id; hold and know nothing of before."""
        self._begin_life()
        self.server.lose_connections()
        self.server.cut = False
        self._record.note(f'{self.name}: up again under the same id')

    @property
    def clock_ms(self) -> int:
        """Return the time since the start of this life."""
        return int((time.monotonic() - self._life_s) * 1000)

    async def _beat(self) -> None:
        while True:
            now_s = time.monotonic()
            beats = self._is_up and not self.server.cut
            if beats and now_s - self._beat_s >= HEARTBEAT_MS / 1000:
                self._beat_s = now_s
                self._seq += 1
                self._listed = True
                self._store.put('keyed.servers', self.name, self._entry())
            silent_ms = (now_s - self._beat_s) * 1000
            if self._listed and silent_ms > _EXPIRY_HEARTBEATS * HEARTBEAT_MS:
                # The platform removes the entry.
                self._listed = False
                self._store.put('keyed.servers', self.name, b'')
                self._record.note(f'{self.name}: entry removed')
            await asyncio.sleep(0.02)

    def _entry(self) -> bytes:
        return _json(
            service=POOL,
            address=self.server.address,
            zone='zone-a',
            version='v1',
            slots=8,
            state='ready',
            cold_left_ms=0,
            seq=self._seq,
            capacity={'cpu': self.cpu, 'mem_mb': 262_144, 'gpus': 0},
            labels=['a', 'r1'],
            clock_ms=self.clock_ms,
            born=self._born,
        )

    async def _run_tasks(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            now_s = time.monotonic()
            lapsed = self.clock_ms > self._deadline_ms
            for run in list(self._active.values()):
                if lapsed:
                    self._finish(run, 'lapsed')
                elif run.stop_at_s is not None and now_s >= run.stop_at_s:
                    self._finish(run, 'stopped')
                elif run.end_s is not None and now_s >= run.end_s:
                    self._finish(run, 'done')

    def _finish(self, run: Run, how: str) -> None:
        del self._active[run.task]
        run.end_s, run.how = time.monotonic(), how
        self._blocked[run.task] = max(
            self._blocked.get(run.task, 0), run.number
        )
        self._end_number += 1
        self._ended_runs[self._end_number] = run
        self._ends.append(
            [self._end_number, run.task, run.number, how, run.checkpoint]
        )
        added, self._end_added = self._end_added, asyncio.Event()
        added.set()
        if not self.quiet:
            self._record.note(
                f'{self.name}: {run.task} run {run.number} ends: {how}'
            )

    async def _handle(self, request: Request) -> Reply | None:
        if request.headers.get('x-expect-instance', self.name) != self.name:
            return 421, b'{}'
        body = json.loads(request.body)
        token = body.get('fencing_token', 0)
        if token < self._token:
            return 409, self._answer(reason='fence')
        self._token = token
        call = request.path.rpartition('/')[2]
        if call == 'hold':
            return await self._hold(body)
        if call == 'run-start':
            return self._start_run(body)
        if call == 'run-stop':
            return self._stop_run(body)
        if call == 'pace':
            return 200, self._answer()
        return 404, b'{}'

    def _extend(self, deadline_ms: int) -> None:
        deadline_ms = min(deadline_ms, self.clock_ms + HOLD_MAX_MS)
        self._deadline_ms = max(self._deadline_ms, deadline_ms)

    def _start_run(self, body: dict[str, typing.Any]) -> Reply:
        task, number = body['task'], body['run']
        if body['deadline_ms'] <= self.clock_ms:
            return 409, self._answer(reason='late')
        self._extend(body['deadline_ms'])
        active = self._active.get(task)
        if active is not None and active.number == number:
            return 200, self._answer()
        if active is not None or number <= self._blocked.get(task, 0):
            return 409, self._answer(reason='old')
        run = Run(self, task, number, body.get('checkpoint', ''))
        run.start_s = time.monotonic()
        run.end_s = run.start_s + int(body['spec']) / 1000
        if self.checkpoints:
            run.checkpoint = f'{zlib.crc32(task.encode()):016x}'
        self._active[task] = run
        self.runs.append(run)
        if not self.quiet:
            self._record.note(
                f'{self.name}: {task} run {number} starts, token '
                f'{body["fencing_token"]}, deadline {body["deadline_ms"]} at '
                f'clock {self.clock_ms}'
            )
        return 200, self._answer()

    def _stop_run(self, body: dict[str, typing.Any]) -> Reply:
        task, number = body['task'], body['run']
        run = self._active.get(task)
        if run is not None and run.number <= number:
            if run.stop_at_s is None:
                run.stop_at_s = time.monotonic() + self._stop_ms / 1000
        self._blocked[task] = max(self._blocked.get(task, 0), number)
        return 200, self._answer()

    async def _hold(self, body: dict[str, typing.Any]) -> Reply | None:
        cursor = body['ack_cursor']
        for number in [each for each in self._ended_runs if each <= cursor]:
            self._ended_runs.pop(number).is_noted = True
        self._ends = [row for row in self._ends if row[0] > cursor]
        if 'deadline_ms' in body:
            self._extend(body['deadline_ms'])
        born = self._born
        if body.get('wait_ms') and not self._ends:
            try:
                async with asyncio.timeout(body['wait_ms'] / 1000):
                    await self._end_added.wait()
            except TimeoutError:
                # The answer then lists no new end.
                pass
        if born != self._born:
            return None
        now_s = time.monotonic()
        running = []
        for run in self._active.values():
            total_s = max((run.end_s or 0.0) - run.start_s, 0.001)
            percent = int(100 * (now_s - run.start_s) / total_s)
            running.append(
                [run.task, run.number, run.checkpoint, min(percent, 99), 1]
            )
        return 200, self._answer(running=running, finished=self._ends[:500])

    def _answer(self, **fields: object) -> bytes:
        return _json(clock_ms=self.clock_ms, born=self._born, **fields)


class Daemon:
    """One process of the project, started as the deploy file says."""

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store_address: str,
        record: Record,
    ) -> None:
        self.name = name
        self._folder = folder
        self._record = record
        ports = free_ports(4)
        self.frontend = f'127.0.0.1:{ports[0]}'
        self.readiness = f'127.0.0.1:{ports[1]}'
        self.settings = folder / f'{name}.toml'
        self.settings.write_text(
            f"""node = "{name}"
role = "daemon"
machine_class = "frontend"
serves = ["frontend"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
port_range = [{ports[2]}, {ports[3]}]
seeds = []
bootstrap = true
heartbeat_ms = {HEARTBEAT_MS}
control_mode = "rpc"
advice = ""
[listen_addrs]
frontend_addr = "{self.frontend}"
readiness_addr = "{self.readiness}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = {MAX_FILES}
link_mbps = 1000.0
[bounds]
contact_ms = {CONTACT_MS}
grace_s = 6
hold_max_ms = {HOLD_MAX_MS}
stop_ms = {STOP_MS}
gang_ms = 3000
cancel_ms = {CANCEL_MS}
visible_ms = 3000
early_ms = 250
status_s = 120
far_x = 1.5
[platform]
address = "{store_address}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
record_bytes = {RECORD_BYTES}
call_bytes = {CALL_BYTES}
"""
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        (role,) = deploy['roles'].values()
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['BASILSPINDLE_BOOT'] = str(self.settings)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                role['run'].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        files = (MAX_FILES, MAX_FILES)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, files)
        self._record.note(f'{self.name}: process started')

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)
        self._record.note(f'{self.name}: {number.name}')

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Rig:
    """A small deployment: a store, daemons, workers and one client."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self.record = record
        self.store = Store(record)
        self.workers: list[Worker] = []
        self.daemons: dict[str, Daemon] = {}
        self._folder = folder

    async def start(
        self, daemons: int, workers: int, cpu: int = 8_000, stop_ms: int = 600
    ) -> None:
        """Start everything and wait until all daemons are ready."""
        await self.store.server.start()
        self.configure(1)
        for number in range(workers):
            worker = Worker(
                f'worker-{number}', self.store, self.record, cpu, stop_ms
            )
            self.workers.append(worker)
            await worker.start()
        for number in range(daemons):
            name = f'node-{number}'
            door = await self.store.open_door(name)
            daemon = Daemon(name, self._folder, door.address, self.record)
            self.daemons[daemon.name] = daemon
            daemon.start()
        for daemon in self.daemons.values():
            await self.wait_ready(daemon)
        await asyncio.sleep(1.5)

    def configure(self, version: int) -> None:
        """Write a version of the configuration, as the operator does."""
        route = {
            'name': 'queue-1',
            'host': HOST,
            'path_prefix': PREFIX,
            'service': POOL,
            'priority': 1,
            'max_attempts': 3,
            'stretch': 10.0,
            'target_latency_ms': 60_000,
            'timeout_ms': 3_000,
        }
        value = _json(
            version=version,
            routes=[route],
            services=[{'name': POOL, 'max_conns': 64}],
            tenants=[
                {
                    'name': 'tenant-1',
                    'api_keys': [KEY],
                    'weight': 100.0,
                    'cap': {'cpu': 0, 'mem_mb': 0, 'gpus': 0},
                }
            ],
            limits={'max_body_bytes': 262_144},
        )
        self.store.put('keyed.op', 'config', value)

    async def wait_ready(self, daemon: Daemon, limit_s: float = 20) -> None:
        """Wait until a daemon reports itself ready."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            status, _ = await call(
                daemon.readiness, 'GET', '/basilspindle/ready', timeout_s=1
            )
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f'{daemon.name} does not become ready')

    @property
    def leader(self) -> Daemon:
        """Return the daemon that made the newest claim."""
        name = self.store.leader(list(self.daemons))
        if not name:
            raise CannotRun('no daemon leads')
        return self.daemons[name]

    @property
    def followers(self) -> list[Daemon]:
        """Return the daemons that don't lead."""
        leader = self.leader
        return [each for each in self.daemons.values() if each is not leader]

    async def request(
        self,
        daemon: Daemon,
        method: str,
        job_id: str,
        body: dict[str, typing.Any] | None = None,
        deadline_ms: int = 3_000,
    ) -> tuple[int, bytes]:
        """Send a client's request; the status is 0 without an answer."""
        sent_s = self.record.now_s()
        status, data = await call(
            daemon.frontend,
            method,
            PREFIX + job_id,
            json.dumps(body).encode() if body is not None else b'',
            {
                'Host': HOST,
                'Authorization': f'Bearer {KEY}',
                'X-Deadline-Ms': str(deadline_ms),
            },
            deadline_ms / 1000,
        )
        self.record.note(
            f'client: {method} {job_id} to {daemon.name}, sent at '
            f'{sent_s:.3f}: {status or "no answer"} {data[:60].decode()}'
        )
        return status, data

    async def stop(self) -> None:
        """End all processes."""
        for daemon in self.daemons.values():
            daemon.end()
        for worker in self.workers:
            worker.stop()
        self.store.close()
        await asyncio.sleep(0.1)

    def since(self, at_s: float) -> float:
        """Return a time of a run as time since the start of the case."""
        return at_s - time.monotonic() + self.record.now_s()

    def runs(self) -> list[Run]:
        """Return all runs, in the order of their starts."""
        runs = [run for worker in self.workers for run in worker.runs]
        return sorted(runs, key=lambda run: run.start_s)

    def doubles(self) -> list[tuple[Run, Run, float]]:
        """Return pairs of runs of one task at one time, and for how long."""
        now_s = time.monotonic()
        found = []
        runs = self.runs()
        by_task: dict[str, list[Run]] = {}
        for run in runs:
            for other in by_task.setdefault(run.task, []):
                other_end_s = other.end_s if other.how else now_s
                end_s = run.end_s if run.how else now_s
                overlap_s = min(other_end_s, end_s) - run.start_s
                if overlap_s > 0:
                    found.append((other, run, overlap_s))
            by_task[run.task].append(run)
        return found

    def repeats(self) -> list[tuple[Run, Run]]:
        """Return runs that ended as done, and a later start of the task.

        Only those whose end was taken note of.
        """
        found = []
        done: dict[str, Run] = {}
        for run in self.runs():
            first = done.get(run.task)
            if first is not None and run.start_s > (first.end_s or 0.0):
                found.append((first, run))
            if run.how == 'done' and run.is_noted:
                done.setdefault(run.task, run)
        return found

    def note_doubles(self) -> bool:
        """Write down each task that ran twice; tell if any."""
        doubles = self.doubles()
        repeats = self.repeats()
        for first, second in repeats:
            self.record.note(
                f'TWICE: {first.task} run {first.number} on '
                f'{first.worker.name} ended as done, which was taken note '
                f'of, and run {second.number} was started on '
                f'{second.worker.name} '
                f'{second.start_s - (first.end_s or 0.0):.3f} s later'
            )
        for first, second, overlap_s in doubles:
            self.record.note(
                f'TWICE: {first.task} run {first.number} on '
                f'{first.worker.name} and run {second.number} on '
                f'{second.worker.name} at the same time for '
                f'{overlap_s * 1000:.0f} ms'
            )
        return bool(doubles or repeats)


class CannotRun(Exception):
    """The case could not be set up."""


Play = collections.abc.Callable[
    [Rig, bool], collections.abc.Coroutine[typing.Any, typing.Any, bool]
]


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    timeout_s: float = 3,
) -> tuple[int, bytes]:
    """Send a request on a new connection; returns status 0 on failure."""
    host, _, port = address.rpartition(':')
    lines = {'Host': address, 'Connection': 'close', **(headers or {})}
    if body:
        lines['Content-Type'] = 'application/json'
    if method == 'POST':
        lines['Content-Length'] = str(len(body))
    head = f'{method} {path} HTTP/1.1\r\n' + ''.join(
        f'{name}: {value}\r\n' for name, value in lines.items()
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + b'\r\n' + body)
            first, _, data = await read_message(reader)
            return int(first.split(' ')[1]), data
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b''
    finally:
        if writer is not None:
            writer.transport.abort()


def free_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(('127.0.0.1', 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return sorted(ports)


def _json(**fields: object) -> bytes:
    return json.dumps(fields).encode()


async def _play(play: Play, rig: Rig, trouble: bool) -> bool:
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    # The processes are ended also if the case is.
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(105):
            return await play(rig, trouble)
    finally:
        await rig.stop()


def main(case: str, play: Play) -> None:
    """Play a case; exit with 1 if its rule was broken, 0 if it held."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    # The stand-ins of all machines share this process.
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    record = Record(pathlib.Path(case).resolve().parent / 'record.txt')
    record.note('with the disruption' if trouble else 'no disruption')
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(pathlib.Path(folder), record)
        try:
            broken = asyncio.run(_play(play, rig, trouble))
        except (CannotRun, TimeoutError, asyncio.CancelledError) as error:
            record.note(f'the case could not run: {error!r}')
            sys.exit(2)
        if os.environ.get('KEEP_LOGS'):
            for path in pathlib.Path(folder).glob('*.log'):
                target = pathlib.Path(os.environ['KEEP_LOGS']) / path.name
                target.write_bytes(path.read_bytes())
    record.note('the rule was broken' if broken else 'the rule held')
    sys.exit(1 if broken else 0)
