"""Play series of leaders against real daemons at the size of a users' site.

Six daemons of a source tree run as processes against stand-ins of the store
and of 24 workers. The record of the runs of tasks is that of the stand-in
workers. Prints one JSON line: claims of the leadership, accepted jobs, how
many of them ended, tasks that ran twice at the same time, tasks that were
started after an end as ``done`` that a leader acknowledged while the lease of
the worker had not run out, and jobs that ran though each of their submissions
was answered 429 or 503.

Usage: ``python -m bench.short_leaders SCENARIO [--root PATH] [--site NAME]
[--seed N] [--duration-s S] [--read-ms MS] [--cut-s S] [--resets]
[--logs FOLDER]``; ``--root`` runs the daemons of another checkout. Scenarios:
``entry`` (short leaders by an unreadable entry), ``kills``, ``joins``,
``everything``, ``changes``, ``cut`` (the leader and a third of the workers are
cut off from the store and all other machines), ``cut-restart`` (some workers
of the other side restart meanwhile), ``pause`` (the leader is stopped in place
of the cut, and its successors do not reach a third of the workers),
``refusals`` (callers ask once, and the overloaded leader is paused or cut off
from other daemons for a short time, again and again).
"""

import asyncio
import collections.abc
import contextlib
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import tempfile
import time
import typing

import click
import msgspec

from review import rig
from tests import odd_values
from tests import platform_case
from tests.standins import platform
from tests.standins.platform import server as server_module

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_DAEMON_COUNT = 6
_WORKER_COUNT = 24
_WORKER_CPU = 16_000
_APPEND_S = 0.025
_READ_MS = 20.0
_SLOW_APPEND_S = 0.1
_LOST_SHARE = 0.05
_FARTHEST_WORKER_S = 0.02
_MIN_TASK_MS = 700
_MAX_TASK_MS = 2_000
# Shares of the sites' traffic, tasks of a job and cpu of a task by class.
_CLASSES = ((1.47, 8, 4_500), (5.43, 15, 980), (30.7, 2, 1_400))
_FINISH_S = 14.0
_LATE_S = 25.0
# A leader reads the registry every 700 ms.
_REGISTRY_READ_S = 0.8
_START_TIMEOUT_S = 30.0
_REQUEST_S = 3.0
# Time in which an accepted job may still be unknown to other daemons.
_VISIBLE_S = 3.0
_POLLS_AT_ONCE = 12
# A store that does not answer is given up after 15 s, a lease after 5 s.
_CUT_S = 11.0
_CUT_SHARE = 1 / 3
# Time for a leader of before a cut to act before it hears of its successor.
_RESUMED_S = 1.5
_CALM_S = 6.0
# The first seconds of a life allow for a longer lease.
_LIFE_S = 60.0
_MIN_DAEMONS_UP = 3
# The traffic that overloads the leader, in multiples of the site's.
_OVERLOAD_FACTOR = 4.0
_ONCE_DEADLINE_S = (1.5, 5.0)
# About as long as it takes the followers to replace a leader.
_SHORT_LOSS_S = (0.3, 1.6)
_MAX_DELIVERY_S = 1.5
# Cuts in which the kernels lose packets and send them again.
_DROP_SHARE = 0.5
_REFUSALS = (429, 503)
_ENDED_STATES = frozenset({'completed', 'failed', 'cancelled'})
_SERVERS = 'keyed.servers'
_CLAIMS = 'keyed.lead'


class _Site:
    __slots__ = ('hold_max_ms', 'jobs_per_s', 'stop_ms')

    def __init__(
        self, jobs_per_s: float, hold_max_ms: int, stop_ms: int
    ) -> None:
        self.jobs_per_s = jobs_per_s
        self.hold_max_ms = hold_max_ms
        self.stop_ms = stop_ms


_SITES = {
    'berceuse-partage': _Site(18.8, 6_000, 200),
    'kwpa-refunds': _Site(23.6, 10_000, 900),
}


class _Store(platform.StandinStore):
    """Store that takes some time for each call and counts claims."""

    def __init__(self, read_s: float) -> None:
        super().__init__()
        self.append_s = _APPEND_S
        self.read_s = read_s
        self.claim_count = 0

    @property
    def leader(self) -> str:
        """Return the node that made the newest claim, or ''."""
        for raw, _ in self.newest.get(_CLAIMS, {}).values():
            return str(msgspec.msgpack.decode(raw)[0])
        return ''

    async def _handle(
        self, request: server_module.Request, machine: str = ''
    ) -> server_module.Reply:
        is_append = request.path.endswith('log-append')
        await asyncio.sleep(self.append_s if is_append else self.read_s)
        reply = await super()._handle(request, machine)
        if is_append and request.query.get('topic') == _CLAIMS:
            self.claim_count += reply.status == 200
        return reply


class _Worker(platform.StandinWorker):
    """Worker whose history also has acknowledgements, as ``noted``."""

    async def _renew(self, body: dict[str, object]) -> server_module.Reply:
        cursor = int(str(body['ack_cursor']))
        for number, name, run, *_ in self._ended:
            if int(str(number)) <= cursor:
                row = (time.monotonic(), 'noted', str(name), int(str(run)))
                self.history.append(row)
        return await super()._renew(body)


class _Run:
    """Run of a task on a worker, from the worker's history."""

    __slots__ = ('end_s', 'how', 'noted_s', 'number', 'start_s', 'worker_id')

    def __init__(self, worker_id: str, number: int, start_s: float) -> None:
        self.worker_id = worker_id
        self.number = number
        self.start_s = start_s
        self.end_s = float('inf')
        self.how = ''
        # When the end was acknowledged under a lease that had not run out.
        self.noted_s: float | None = None


def find_runs(
    workers: collections.abc.Iterable[platform.StandinWorker],
) -> dict[str, list[_Run]]:
    """Return the runs of each task in the order of their starts."""
    runs: dict[str, list[_Run]] = {}
    for worker in workers:
        newest: dict[tuple[str, int], _Run] = {}
        forgotten: set[tuple[str, int]] = set()
        for at_s, what, name, number in worker.history:
            key = (name, number)
            if what == 'start':
                newest[key] = _Run(worker.worker_id, number, at_s)
                runs.setdefault(name, []).append(newest[key])
                forgotten.discard(key)
            elif what == 'forgotten':
                forgotten.add(key)
            elif what == 'noted':
                if key not in forgotten and newest[key].noted_s is None:
                    newest[key].noted_s = at_s
            else:
                newest[key].end_s, newest[key].how = at_s, what
    for found in runs.values():
        found.sort(key=lambda run: run.start_s)
    return runs


def find_doubles(
    runs: dict[str, list[_Run]], begun_s: float
) -> tuple[list[dict[str, object]], list[dict[str, object]]]:
    """Return runs at the same time, and starts after a noted end."""
    at_once: list[dict[str, object]] = []
    after_end: list[dict[str, object]] = []
    for name, found in runs.items():
        for index, second in enumerate(found):
            for first in found[:index]:
                is_done = first.how == 'done' and first.noted_s is not None
                if first.end_s > second.start_s:
                    chosen = at_once
                elif is_done:
                    chosen = after_end
                else:
                    continue
                row = _describe(name, first, second, begun_s)
                chosen.append(row)
                break
    return at_once, after_end


def _describe(
    name: str, first: _Run, second: _Run, begun_s: float
) -> dict[str, object]:
    noted_s = first.noted_s
    return {
        'task': name,
        'first': [first.worker_id, first.number, first.how],
        'start_s': round(first.start_s - begun_s, 3),
        'end_s': round(first.end_s - begun_s, 3) if first.how else None,
        'noted_s': round(noted_s - begun_s, 3) if noted_s else None,
        'second': [second.worker_id, second.number, second.how],
        'second_start_s': round(second.start_s - begun_s, 3),
    }


class _Job:
    __slots__ = (
        'accepted_s',
        'body',
        'gone_s',
        'job_id',
        'state',
        'statuses',
        'tasks',
    )

    def __init__(
        self, job_id: str, body: dict[str, object], tasks: int
    ) -> None:
        self.job_id = job_id
        self.body = body
        self.tasks = tasks
        self.accepted_s: float | None = None
        # When a daemon answered 410, later than the job has to be visible.
        self.gone_s: float | None = None
        self.state = ''
        # Answers to the submissions; 0 for none.
        self.statuses: list[int] = []

    @property
    def has_ended(self) -> bool:
        """Return whether a daemon has shown the job as ended."""
        return self.state in _ENDED_STATES

    @property
    def is_refused(self) -> bool:
        """Return whether each submission was answered as not accepted."""
        return bool(self.statuses) and all(
            status in _REFUSALS for status in self.statuses
        )


async def _listen_again(worker: _Worker) -> None:
    until_s = time.monotonic() + _START_TIMEOUT_S
    while True:
        try:
            await worker.server.listen()
            return
        except OSError:
            # A connection of another process has the port for now.
            if time.monotonic() > until_s:
                raise
            await asyncio.sleep(0.05)


class Deployment(contextlib.AsyncExitStack):
    """Daemons, a store, workers and clients of one run."""

    def __init__(
        self,
        root: pathlib.Path,
        site: _Site,
        seed: int,
        read_s: float,
        cut_s: float = _CUT_S,
        resets: bool = False,
    ) -> None:
        super().__init__()
        self.random = random.Random(seed)
        self.store = _Store(read_s)
        self.network = platform.Network()
        self.store.network = self.network
        self.cut_s = cut_s
        self.resets = resets
        self.workers: list[_Worker] = []
        self.daemons: dict[str, platform_case.Daemon] = {}
        self.doors: dict[str, server_module.Server] = {}
        self.jobs: list[_Job] = []
        self.begun_s = 0.0
        self.is_over = False
        # Share of the appends whose answers the store loses.
        self.lost_share = 0.0
        # Whether callers make one attempt, at a follower.
        self.asks_once = False
        # Multiples of the traffic of the site.
        self.traffic_factor = 1.0
        # Until when the store turns each daemon away.
        self._away_until_s: dict[str, float] = {}
        self._root = root
        self._site = site
        self._traffic_random = random.Random(seed + 1)
        self._node_random = random.Random(seed + 2)
        self._chance = random.Random(seed + 3)
        self._restarting: set[str] = set()
        self._client_tasks: set[asyncio.Task[None]] = set()
        self.folder = pathlib.Path()

    async def __aenter__(self) -> typing.Self:
        folder = self.enter_context(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        await self.enter_async_context(self.network)
        await self.enter_async_context(self.store)
        value = platform.make_configuration(advice=False)
        self.store.put('keyed.op', 'config', value)
        for _ in range(_WORKER_COUNT):
            worker = await self.add_worker()
            worker.age(_LIFE_S)
        for number in range(_DAEMON_COUNT):
            await self._add_daemon(f'd{number}')
        for daemon in self.daemons.values():
            await self._wait_ready(daemon)
        return self

    async def _add_daemon(self, node: str) -> None:
        self.doors[node] = await self.store.open_door(node)
        self.reset_door(node)
        store_address = self.doors[node].address
        self.network.add(platform.STORE, store_address)
        daemon = platform_case.Daemon(
            node,
            self.folder,
            await self.network.path(node, store_address),
            '',
        )
        self.network.add(node, daemon.link_address)
        path = self.folder / f'{node}.toml'
        text = path.read_text()
        for old, new in (
            ('hold_max_ms = 10000', f'hold_max_ms = {self._site.hold_max_ms}'),
            ('stop_ms = 200', f'stop_ms = {self._site.stop_ms}'),
        ):
            assert old in text
            text = text.replace(old, new)
        path.write_text(text)
        daemon.root = self._root
        self.daemons[node] = daemon
        self.push_async_callback(daemon.kill)
        await daemon.start()

    async def _wait_ready(self, daemon: platform_case.Daemon) -> None:
        address = f'127.0.0.1:{daemon.readiness_port}'
        until_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < until_s:
            status, _ = await rig.call(
                address, 'GET', '/basilspindle/ready', timeout_s=1
            )
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f'{daemon.node} does not become ready')

    async def add_worker(self) -> _Worker:
        """Start one more worker."""
        number = len(self.workers)
        worker = _Worker(f'w{number}', self.store, cpu=_WORKER_CPU)
        share = (number % _WORKER_COUNT) / (_WORKER_COUNT - 1)
        worker.server.delay_s = share * _FARTHEST_WORKER_S
        self.workers.append(worker)
        await self.enter_async_context(worker)
        self.network.add(worker.worker_id, worker.server.address)
        return worker

    @property
    def leader(self) -> str:
        """Return the node that made the newest claim."""
        return self.store.leader

    def up_nodes(self) -> list[str]:
        """Return the nodes whose processes run."""
        return [
            node
            for node, daemon in self.daemons.items()
            if daemon.process is not None and daemon.process.returncode is None
        ]

    def pick_workers(self, share: float) -> list[_Worker]:
        """Return some of the workers that are up."""
        up = [worker for worker in self.workers if worker.is_up]
        return self.random.sample(up, max(1, round(share * len(up))))

    async def refuse(self, workers: list[_Worker], duration_s: float) -> None:
        """Have workers refuse connections for some time and work on."""
        for worker in workers:
            worker.server.refuse()
        await asyncio.sleep(duration_s)
        for worker in workers:
            await _listen_again(worker)

    async def kill_leader(self) -> None:
        """Kill the leader and start it again, if nobody else does so."""
        node = self.leader
        if node in self._restarting:
            return
        self._restarting.add(node)
        await self.daemons[node].kill()
        await self.daemons[node].start()
        self._restarting.discard(node)

    async def turn_away(self, node: str, duration_s: float) -> None:
        """Have the store answer one daemon with 503 for some time."""
        until_s = time.monotonic() + duration_s
        until_s = max(until_s, self._away_until_s.get(node, 0.0))
        self._away_until_s[node] = until_s
        await asyncio.sleep(duration_s)

    def reset_door(self, node: str) -> None:
        """Have the store answer a daemon unless that one is turned away."""

        def fault(request: server_module.Request) -> str:
            if time.monotonic() < self._away_until_s.get(node, 0.0):
                return '503'
            is_append = request.path.endswith('log-append')
            is_lost = is_append and self._chance.random() < self.lost_share
            return 'lost' if is_lost else ''

        self.doors[node].fault = fault

    async def freeze(self, node: str, duration_s: float) -> None:
        """Stop a process for some time."""
        process = self.daemons[node].process
        assert process is not None
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            process.send_signal(signal.SIGCONT)

    def cut_off(
        self, nodes: list[str], workers: list[_Worker], resets: bool
    ) -> platform.Cut:
        """Cut some machines off from the store and all other machines."""
        chosen = {*nodes, *(worker.worker_id for worker in workers)}
        others = {platform.STORE, *self.daemons}
        others |= {worker.worker_id for worker in self.workers}
        return self.network.cut(chosen, others - chosen, resets)

    async def warm(self, count: int) -> None:
        """Have some daemons lead in turn until they have read the registry.

        The leader of the beginning is one of them.
        """
        await asyncio.sleep(_REGISTRY_READ_S)
        others = sorted(set(self.daemons) - {self.leader})
        for node in self.random.sample(others, count - 1):
            for each in set(self.doors) - {node}:
                self._away_until_s[each] = float('inf')
            until_s = time.monotonic() + _START_TIMEOUT_S
            while self.leader != node and time.monotonic() < until_s:
                await asyncio.sleep(0.02)
            await asyncio.sleep(_REGISTRY_READ_S)
            self._away_until_s.clear()

    def put_odd_entry(self) -> None:
        """Leave an entry in the registry that is nested too deeply."""
        deep = odd_values.VALUES[-1]
        entry = f'{{"service":"pool","state":"ready","odd":{deep}}}'
        self.store.put(_SERVERS, 'odd', entry.encode())

    def remove_odd_entry(self) -> None:
        """Remove the entry; it stays in the history of the registry."""
        self.store.put(_SERVERS, 'odd', b'')

    async def leave_foreign_entries(
        self, workers: list[_Worker], duration_s: float
    ) -> None:
        """Write entries under ids of workers, as another writer would."""
        until_s = time.monotonic() + duration_s
        other = self.random.choice(self.workers)
        while time.monotonic() < until_s:
            for index, worker in enumerate(workers):
                entry = json.loads(worker.entry(10**6))
                entry['address'] = other.server.address
                if index % 2:
                    entry['service'] = 'another'
                raw = json.dumps(entry).encode()
                self.store.put(_SERVERS, worker.worker_id, raw)
            await asyncio.sleep(0.15)

    def make_job(self, count: int, cpu: int, duration_ms: int) -> _Job:
        """Return a job of one step and count it among the jobs sent."""
        body = platform_case.make_job(duration_ms, count)
        steps = typing.cast(list[dict[str, object]], body['steps'])
        steps[0]['cpu'] = cpu
        job_id = f'{self._traffic_random.getrandbits(64):016x}'
        job = _Job(job_id, body, count)
        self.jobs.append(job)
        return job

    def send(self, job: _Job) -> None:
        """Have a client hand in a job and ask for it until it ends."""
        task = asyncio.ensure_future(self._watch(job))
        self._client_tasks.add(task)
        task.add_done_callback(self._client_tasks.discard)

    async def send_jobs(self, duration_s: float) -> None:
        """Hand in jobs at the rate of the site."""
        chance = self._traffic_random
        weights = [share for share, _, _ in _CLASSES]
        next_s = time.monotonic()
        until_s = next_s + duration_s
        while next_s < until_s:
            ((_, count, cpu),) = chance.choices(_CLASSES, weights)
            duration_ms = chance.randint(_MIN_TASK_MS, _MAX_TASK_MS)
            width = max(1, round(count * chance.uniform(0.5, 1.5)))
            self.send(self.make_job(width, cpu, duration_ms))
            rate_s = self._site.jobs_per_s * self.traffic_factor
            next_s += chance.expovariate(rate_s)
            await asyncio.sleep(next_s - time.monotonic())

    def open_jobs(self) -> list[_Job]:
        """Return accepted jobs that no daemon has shown as ended."""
        return [
            job
            for job in self.jobs
            if job.accepted_s is not None and not job.has_ended
        ]

    async def finish(self, duration_s: float) -> None:
        """Ask for the jobs until all have ended or the time is over."""
        until_s = time.monotonic() + duration_s
        self.is_over = True
        while time.monotonic() < until_s:
            open_jobs = self.open_jobs()
            if not open_jobs and not self._client_tasks:
                return
            gate = asyncio.Semaphore(_POLLS_AT_ONCE)
            # Those that are not finished are cancelled at the end.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(
                    asyncio.get_running_loop().time()
                    + until_s
                    - time.monotonic()
                ):
                    await asyncio.gather(
                        *(self._ask(job, gate) for job in open_jobs)
                    )
                    await asyncio.sleep(0.5)

    def stop_clients(self) -> None:
        """Cancel all requests of clients."""
        for task in self._client_tasks:
            task.cancel()

    async def _request(
        self,
        method: str,
        job: _Job,
        body: bytes,
        deadline_s: float = _REQUEST_S,
        avoided: str = '',
    ) -> tuple[int, bytes]:
        nodes = [node for node in self.up_nodes() if node != avoided]
        if not nodes:
            await asyncio.sleep(0.2)
            return 0, b''
        daemon = self.daemons[self._node_random.choice(nodes)]
        return await rig.call(
            f'127.0.0.1:{daemon.frontend_port}',
            method,
            f'/jobs/{job.job_id}',
            body,
            {
                'Host': platform_case.HOST,
                'Authorization': 'Bearer key-a',
                'X-Deadline-Ms': str(round(deadline_s * 1_000)),
            },
            deadline_s,
        )

    async def _watch(self, job: _Job) -> None:
        raw = json.dumps(job.body).encode()
        while not self.is_over:
            if self.asks_once:
                deadline_s = self._node_random.uniform(*_ONCE_DEADLINE_S)
                status, _ = await self._request(
                    'POST', job, raw, deadline_s, self.leader
                )
            else:
                status, _ = await self._request('POST', job, raw)
            job.statuses.append(status)
            if status == 200:
                job.accepted_s = time.monotonic()
                break
            if self.asks_once:
                return
            await asyncio.sleep(0.3)
        wait_s = 1.5
        while not self.is_over and not job.has_ended:
            await asyncio.sleep(wait_s)
            wait_s = min(wait_s * 1.5, 6.0)
            if not self.is_over:
                await self._poll(job)

    async def _ask(self, job: _Job, gate: asyncio.Semaphore) -> None:
        async with gate:
            await self._poll(job)

    async def _poll(self, job: _Job) -> None:
        status, raw = await self._request('GET', job, b'')
        assert job.accepted_s is not None
        if status == 200:
            job.state = json.loads(raw)['state']
        elif status == 410:
            if time.monotonic() - job.accepted_s > _VISIBLE_S:
                job.gone_s = time.monotonic()


Scenario = collections.abc.Callable[
    [Deployment, float], collections.abc.Awaitable[None]
]


async def play_entry(rig_: Deployment, duration_s: float) -> None:
    """Play short leaders while workers refuse, then a leader that stays."""
    until_s = time.monotonic() + duration_s
    chance = rig_.random
    await asyncio.sleep(5.0)
    while time.monotonic() < until_s - 9.0:
        rig_.put_odd_entry()
        # The leaders are short from the next read of the registry on.
        await asyncio.sleep(_REGISTRY_READ_S + chance.uniform(0.0, 0.4))
        workers = rig_.pick_workers(chance.uniform(0.2, 0.4))
        refusal = asyncio.ensure_future(rig_.refuse(workers, 2.0))
        await asyncio.sleep(chance.uniform(0.3, 1.5))
        rig_.remove_odd_entry()
        await refusal
        for _ in range(_DAEMON_COUNT):
            await rig_.kill_leader()
            await asyncio.sleep(1.5)
            count = rig_.store.claim_count
            await asyncio.sleep(0.7)
            # A leader that meets the old record claims several times.
            if rig_.store.claim_count <= count + 1:
                break
        await asyncio.sleep(8.0)
    await asyncio.sleep(max(0.0, until_s - time.monotonic()))


async def play_kills(rig_: Deployment, duration_s: float) -> None:
    """Play three kills of the leader while workers refuse connections."""
    until_s = time.monotonic() + duration_s
    chance = rig_.random
    await asyncio.sleep(4.0)
    while time.monotonic() < until_s - 8.0:
        workers = rig_.pick_workers(chance.uniform(0.2, 0.4))
        refusal = asyncio.ensure_future(rig_.refuse(workers, 2.0))
        for _ in range(3):
            await asyncio.sleep(chance.uniform(0.3, 0.7))
            await rig_.kill_leader()
        await refusal
        await asyncio.sleep(5.0)
    await asyncio.sleep(max(0.0, until_s - time.monotonic()))


async def play_joins(rig_: Deployment, duration_s: float) -> None:
    """Turn the leader away at the first task of workers that join."""
    until_s = time.monotonic() + duration_s
    await asyncio.sleep(4.0)
    number = 0
    while time.monotonic() < until_s - 8.0:
        # More tasks than there is room, so that new workers get some at once.
        for _ in range(3):
            rig_.send(rig_.make_job(48, 4_500, 1_200))
        await asyncio.sleep(0.6)
        await _join_and_turn_away(rig_, 3, number % 2 == 1)
        number += 1
        await asyncio.sleep(4.0)
    await asyncio.sleep(max(0.0, until_s - time.monotonic()))


async def _join_and_turn_away(
    rig_: Deployment, count: int, at_first_task: bool
) -> None:
    node = rig_.leader
    known = set(rig_.store.newest[_SERVERS])

    def fail(request: server_module.Request) -> str:
        is_append = request.path.endswith('log-append')
        has_joined = len(set(rig_.store.newest[_SERVERS]) - known) > 0
        return '503' if is_append and has_joined else ''

    if not at_first_task:
        # It reads the new entries, and its appends fail from then on.
        rig_.doors[node].fault = fail
    joined = [await rig_.add_worker() for _ in range(count)]
    wait_until_s = time.monotonic() + 3.0
    while time.monotonic() < wait_until_s:
        if any(worker.history for worker in joined):
            break
        await asyncio.sleep(0.002)
    rig_.reset_door(node)
    await rig_.turn_away(node, 3.0)


async def _change_leader(rig_: Deployment, kinds: str) -> None:
    node = rig_.leader
    kind = rig_.random.choice(kinds.split())
    if kind == 'kill' and len(rig_.up_nodes()) > _MIN_DAEMONS_UP:
        await rig_.kill_leader()
    elif kind == 'freeze':
        await rig_.freeze(node, 0.6)
    else:
        await rig_.turn_away(node, rig_.random.uniform(0.5, 2.0))


async def play_changes(rig_: Deployment, duration_s: float) -> None:
    """Play changes of the leader several times a second, and refusals."""
    until_s = time.monotonic() + duration_s - 6.0
    await asyncio.sleep(3.0)
    async with asyncio.TaskGroup() as group:
        group.create_task(_keep_refusing(rig_, until_s))
        group.create_task(_keep_cutting(rig_, until_s))
        while time.monotonic() < until_s:
            group.create_task(_change_leader(rig_, 'kill freeze freeze away'))
            await asyncio.sleep(rig_.random.uniform(0.05, 0.35))
    await asyncio.sleep(max(0.0, until_s + 6.0 - time.monotonic()))


async def _keep_refusing(rig_: Deployment, until_s: float) -> None:
    chance = rig_.random
    while time.monotonic() < until_s:
        workers = rig_.pick_workers(chance.uniform(0.1, 0.4))
        await rig_.refuse(workers, chance.uniform(0.4, 2.0))
        await asyncio.sleep(chance.uniform(0.1, 0.8))


def _pick_nodes(rig_: Deployment) -> list[str]:
    """Return the leader, perhaps with one more daemon."""
    others = sorted(set(rig_.daemons) - {rig_.leader})
    return [
        rig_.leader,
        *rig_.random.sample(others, rig_.random.randint(0, 1)),
    ]


async def play_cut(rig_: Deployment, duration_s: float) -> None:
    """Cut the leader and some workers off, several times."""
    await _play_cuts(rig_, duration_s, restarts=False)


async def play_cut_restart(rig_: Deployment, duration_s: float) -> None:
    """Restart workers of the other side while the leader is cut off."""
    await _play_cuts(rig_, duration_s, restarts=True)


async def _play_cuts(
    rig_: Deployment, duration_s: float, restarts: bool
) -> None:
    until_s = time.monotonic() + duration_s
    await asyncio.sleep(4.0)
    while time.monotonic() < until_s - rig_.cut_s:
        workers = rig_.pick_workers(_CUT_SHARE)
        cut = rig_.cut_off(_pick_nodes(rig_), workers, rig_.resets)
        end_s = time.monotonic() + rig_.cut_s
        if restarts:
            others = [each for each in rig_.workers if each not in workers]
            await asyncio.sleep(rig_.cut_s * rig_.random.uniform(0.2, 0.5))
            for worker in rig_.random.sample(others, len(others) // 2):
                await _restart(rig_, worker)
        await asyncio.sleep(max(0.0, end_s - time.monotonic()))
        await rig_.network.heal(cut)
        await asyncio.sleep(_CALM_S)
    await asyncio.sleep(max(0.0, until_s - time.monotonic()))


async def _restart(rig_: Deployment, worker: _Worker) -> None:
    worker.lose_power()
    await asyncio.sleep(rig_.random.uniform(0.05, 0.3))
    worker.start_again()


async def play_pause(rig_: Deployment, duration_s: float) -> None:
    """Stop the leader while its successors do not reach some workers.

    Every second time the leader is cut off together with these workers, and
    it goes on before the cut heals.
    """
    until_s = time.monotonic() + duration_s
    await asyncio.sleep(4.0)
    is_cut_off = False
    while time.monotonic() < until_s - rig_.cut_s:
        node = rig_.leader
        workers = rig_.pick_workers(_CUT_SHARE)
        if is_cut_off:
            cut = rig_.cut_off([node], workers, rig_.resets)
        else:
            cut = rig_.network.cut(
                [worker.worker_id for worker in workers],
                set(rig_.daemons) - {node},
                rig_.resets,
            )
        is_cut_off = not is_cut_off
        await rig_.freeze(node, rig_.cut_s)
        await asyncio.sleep(_RESUMED_S)
        await rig_.network.heal(cut)
        await asyncio.sleep(_CALM_S)
    await asyncio.sleep(max(0.0, until_s - time.monotonic()))


async def play_refusals(rig_: Deployment, duration_s: float) -> None:
    """Lose an overloaded leader briefly while callers ask once."""
    until_s = time.monotonic() + duration_s
    chance = rig_.random
    rig_.asks_once = True
    rig_.traffic_factor = _OVERLOAD_FACTOR
    await asyncio.sleep(4.0)
    while time.monotonic() < until_s - _CALM_S:
        leader = rig_.leader
        lost_s = chance.uniform(*_SHORT_LOSS_S)
        if chance.random() < 0.25:
            await rig_.freeze(leader, lost_s)
        else:
            others = sorted(set(rig_.daemons) - {leader})
            count = chance.choice((len(others), len(others), 1, 2))
            drops = chance.random() < _DROP_SHARE
            cut = rig_.network.cut(
                chance.sample(others, count),
                [leader],
                late_s=0.0 if drops else chance.uniform(0.0, _MAX_DELIVERY_S),
                drops=drops,
            )
            await asyncio.sleep(lost_s)
            await rig_.network.heal(cut)
        await asyncio.sleep(chance.uniform(0.2, 1.5))
    await asyncio.sleep(max(0.0, until_s - time.monotonic()))


async def _keep_cutting(rig_: Deployment, until_s: float) -> None:
    chance = rig_.random
    while time.monotonic() < until_s:
        await asyncio.sleep(chance.uniform(0.2, 2.0))
        nodes = _pick_nodes(rig_)
        if chance.random() < 0.3:
            nodes = chance.sample(sorted(rig_.daemons), chance.randint(1, 2))
        workers = rig_.pick_workers(chance.uniform(0.1, 0.5))
        cut = rig_.cut_off(nodes, workers, chance.random() < 0.5)
        duration_s = chance.uniform(1.0, rig_.cut_s)
        left_s = max(0.0, until_s - time.monotonic())
        await asyncio.sleep(min(duration_s, left_s))
        await rig_.network.heal(cut)


async def play_everything(rig_: Deployment, duration_s: float) -> None:
    """Play all disruptions at the same time, then some calm."""
    until_s = time.monotonic() + duration_s - 6.0
    await asyncio.sleep(3.0)
    async with asyncio.TaskGroup() as group:
        for work in (
            _keep_refusing,
            _keep_odd_entries,
            _keep_foreign_entries,
            _keep_joining,
            _keep_restarting,
            _keep_store_slow,
            _keep_changing,
            _keep_cutting,
            _keep_cutting,
        ):
            group.create_task(work(rig_, until_s))
    rig_.remove_odd_entry()
    rig_.store.append_s = _APPEND_S
    rig_.lost_share = 0.0
    await asyncio.sleep(max(0.0, until_s + 6.0 - time.monotonic()))


async def _keep_odd_entries(rig_: Deployment, until_s: float) -> None:
    while time.monotonic() < until_s:
        rig_.put_odd_entry()
        await asyncio.sleep(rig_.random.uniform(0.3, 1.5))
        rig_.remove_odd_entry()
        await asyncio.sleep(rig_.random.uniform(0.2, 1.5))


async def _keep_foreign_entries(rig_: Deployment, until_s: float) -> None:
    while time.monotonic() < until_s:
        workers = rig_.pick_workers(0.15)
        await rig_.leave_foreign_entries(workers, 1.0)
        await asyncio.sleep(rig_.random.uniform(0.5, 2.0))


async def _keep_joining(rig_: Deployment, until_s: float) -> None:
    while time.monotonic() < until_s:
        await rig_.add_worker()
        await asyncio.sleep(rig_.random.uniform(2.0, 4.0))


async def _keep_restarting(rig_: Deployment, until_s: float) -> None:
    while time.monotonic() < until_s:
        (worker,) = rig_.pick_workers(0.01)
        worker.lose_power()
        await asyncio.sleep(rig_.random.uniform(0.2, 1.5))
        worker.start_again()
        await asyncio.sleep(rig_.random.uniform(0.5, 2.0))


async def _keep_store_slow(rig_: Deployment, until_s: float) -> None:
    while time.monotonic() < until_s:
        rig_.store.append_s = _SLOW_APPEND_S
        rig_.lost_share = _LOST_SHARE
        await asyncio.sleep(rig_.random.uniform(1.0, 3.0))
        rig_.store.append_s = _APPEND_S
        rig_.lost_share = 0.0
        await asyncio.sleep(rig_.random.uniform(1.0, 3.0))


async def _keep_changing(rig_: Deployment, until_s: float) -> None:
    async with asyncio.TaskGroup() as group:
        while time.monotonic() < until_s:
            group.create_task(_change_leader(rig_, 'kill away away freeze'))
            await asyncio.sleep(rig_.random.uniform(0.3, 1.5))


# Scenario and how many daemons have read the registry before it.
_SCENARIOS: dict[str, tuple[Scenario, int]] = {
    'entry': (play_entry, 2),
    'kills': (play_kills, 1),
    'joins': (play_joins, 1),
    'everything': (play_everything, 3),
    'changes': (play_changes, 1),
    'cut': (play_cut, 1),
    'cut-restart': (play_cut_restart, 1),
    'pause': (play_pause, 1),
    'refusals': (play_refusals, 1),
}


class _LagMeter:
    """Measures how late this process wakes up; large on a busy machine."""

    __slots__ = ('late_s', 'max_ms')

    def __init__(self) -> None:
        self.max_ms = 0.0
        # Total of the delays of more than 200 ms.
        self.late_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_s = time.monotonic() + 0.05
            await asyncio.sleep(0.05)
            lag_s = time.monotonic() - due_s
            self.max_ms = max(self.max_ms, lag_s * 1_000)
            if lag_s > 0.2:
                self.late_s += lag_s


def _count_unrun(jobs: list[_Job], runs: dict[str, list[_Run]]) -> int:
    done: dict[str, int] = {}
    for name, found in runs.items():
        if any(run.how == 'done' for run in found):
            job_id = name.partition('.')[0]
            done[job_id] = done.get(job_id, 0) + 1
    return sum(
        job.state == 'completed' and done.get(job.job_id, 0) < job.tasks
        for job in jobs
    )


def find_refused(jobs: list[_Job], runs: dict[str, list[_Run]]) -> list[str]:
    """Return refused jobs of which a task was started."""
    started = {name.partition('.')[0] for name in runs}
    return [
        job.job_id for job in jobs if job.is_refused and job.job_id in started
    ]


async def measure(
    scenario: str,
    root: pathlib.Path,
    site: str,
    seed: int,
    duration_s: float,
    read_ms: float,
    cut_s: float,
    resets: bool,
    logs: pathlib.Path | None,
) -> dict[str, object]:
    """Play a scenario and return what happened."""
    play, warm_count = _SCENARIOS[scenario]
    load_before = os.getloadavg()[0]
    async with Deployment(
        root, _SITES[site], seed, read_ms / 1_000, cut_s, resets
    ) as rig_:
        await rig_.warm(warm_count)
        claims_before = rig_.store.claim_count
        begun_s = time.monotonic()
        meter = _LagMeter()
        metering = asyncio.ensure_future(meter.run())
        await asyncio.gather(
            rig_.send_jobs(duration_s), play(rig_, duration_s)
        )
        calm_s = time.monotonic()
        claims = rig_.store.claim_count - claims_before
        await rig_.finish(_FINISH_S)
        open_jobs = rig_.open_jobs()
        if open_jobs:
            # Tells jobs that end late from jobs that do not end.
            await rig_.finish(_LATE_S)
        rig_.stop_clients()
        metering.cancel()
        taken_s = time.monotonic() - begun_s
        runs = find_runs(rig_.workers)
        at_once, after_end = find_doubles(runs, begun_s)
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
            for path in rig_.folder.glob('*.log'):
                shutil.copy(path, logs)
            history = {
                worker.worker_id: [
                    (round(at_s - begun_s, 4), *rest)
                    for at_s, *rest in worker.history
                ]
                for worker in rig_.workers
            }
            (logs / 'history.json').write_text(json.dumps(history))
    accepted = [job for job in rig_.jobs if job.accepted_s is not None]
    refused_ran = find_refused(rig_.jobs, runs)
    late_jobs = [job for job in open_jobs if job.has_ended]
    return {
        'name': f'short_leaders.{scenario}',
        'site': site,
        'seed': seed,
        'duration_s': duration_s,
        'read_ms': read_ms,
        'cut_s': cut_s,
        'resets': resets,
        'claims': claims,
        'claims_after': rig_.store.claim_count - claims_before - claims,
        'sent': len(rig_.jobs),
        'accepted': len(accepted),
        'ended': len(accepted) - len(open_jobs),
        'not_ended': len(open_jobs),
        'ended_late': len(late_jobs),
        'gone': sum(job.gone_s is not None for job in accepted),
        'failed': sum(job.state == 'failed' for job in accepted),
        'completed_unrun': _count_unrun(accepted, runs),
        'runs': sum(len(found) for found in runs.values()),
        'at_once': len(at_once),
        'after_noted_end': len(after_end),
        'refused': sum(job.is_refused for job in rig_.jobs),
        'refused_ran': len(refused_ran),
        'load_before': round(load_before, 1),
        'load_after': round(os.getloadavg()[0], 1),
        'max_lag_ms': round(meter.max_ms),
        'late_s': round(meter.late_s, 1),
        'finish_s': round(taken_s - (calm_s - begun_s), 1),
        'open': [(job.job_id, job.state) for job in open_jobs][:20],
        'concerned': {
            'at_once': at_once,
            'after_noted_end': after_end,
            'refused_ran': refused_ran,
        },
    }


@click.command()
@click.argument('scenario', type=click.Choice(sorted(_SCENARIOS)))
@click.option(
    '--root',
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
    default=_ROOT,
    help='Source tree of the daemons.',
)
@click.option(
    '--site', type=click.Choice(sorted(_SITES)), default='berceuse-partage'
)
@click.option('--seed', type=int, default=1)
@click.option('--duration-s', type=float, default=35.0)
@click.option(
    '--read-ms', type=float, default=_READ_MS, help='Time of a read.'
)
@click.option('--cut-s', type=float, default=_CUT_S, help='Time of a cut.')
@click.option(
    '--resets', is_flag=True, help='Refuse connections during a cut.'
)
@click.option('--logs', type=click.Path(path_type=pathlib.Path))
def main(
    scenario: str,
    root: pathlib.Path,
    site: str,
    seed: int,
    duration_s: float,
    read_ms: float,
    cut_s: float,
    resets: bool,
    logs: pathlib.Path | None,
) -> None:
    """Play a scenario once and print its result."""
    # The stand-ins of all machines share this process.
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    result = asyncio.run(
        measure(
            scenario,
            root.resolve(),
            site,
            seed,
            duration_s,
            read_ms,
            cut_s,
            resets,
            logs,
        )
    )
    print(json.dumps(result), flush=True)


if __name__ == '__main__':
    main()
