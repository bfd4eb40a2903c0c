"""Look for jobs that run although their only submission was refused.

Daemons of a source tree run as processes against stand-ins of the store and
of the workers. Clients send each job once to one follower, at a rate that
overloads the leader at times, while a fault comes and goes. The record of the
runs is that of the stand-in workers. Prints one JSON line: jobs by answer, and
refused jobs of which a task started (the rule REFUSED).

Usage: ``python -m bench.refused_jobs FAULT [--root PATH] [--seed N]
[--duration-s S] [--daemons N] [--jobs-per-s R] [--cpu MILLICORES]
[--payload-bytes N] [--fault-s MIN MAX] [--no-slow-store] [--logs FOLDER]``;
``--root`` runs the daemons of another checkout. Faults, each for 0.3 to 1.6 s
unless ``--fault-s`` says otherwise, again and again:

- ``none``
- ``cut``: the leader is cut off silently from the other daemons; what is held
  arrives at the end of the cut.
- ``late``: the same, and what is held arrives up to 1.5 s later.
- ``drop``: the same, and the kernels lose the packets.
- ``one-way``: one direction is held, another one each time.
- ``one-way-drop``: one direction loses its packets.
- ``pause``: the process of the leader is stopped.
- ``frozen``: the same, and it is cut off silently from all machines.
- ``frozen-drop``: the same, and the kernels lose the packets.
- ``big``: as ``pause``, with bursts of large jobs.
- ``mixed``: another one of these each time.
"""

import asyncio
import collections
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
from tests import platform_case
from tests.standins import platform
from tests.standins.platform import server as server_module

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_WORKER_COUNT = 3
_CLAIMS = 'keyed.lead'
# One task of the load has one core for this long.
_TASK_MS = 250
_TASK_CPU = 1_000
# The load begins with this share of the rate, which fills the backlog of the
# leader up to its limit. Then it changes between two shares, so that the
# backlog passes the limit in both directions.
_FILL_SHARE = 2.5
_FILL_S = 3.0
_LOAD_SHARES = (0.7, 1.3)
_LOAD_PERIOD_S = 1.0
_MIN_DEADLINE_MS = 1_500
_MAX_DEADLINE_MS = 5_000
_APPEND_S = 0.02
_SLOW_APPEND_S = 0.25
_MIN_FAULT_S = 0.3
_MAX_FAULT_S = 1.6
_MAX_LATE_S = 1.5
_MIN_CALM_S = 0.6
_MAX_CALM_S = 2.5
# The first leader needs some time to hear from the workers.
_WARM_S = 2.0
# A job that was refused is watched until the longest deadline is over.
_WATCH_S = 6.0
_START_TIMEOUT_S = 30.0
# The largest payload that a daemon accepts.
_BIG_PAYLOAD_BYTES = 4_000
_BURST_JOBS = 120
_BURST_INTERVAL_S = 0.6
_SINGLE_FAULTS = (
    'cut',
    'late',
    'drop',
    'one-way',
    'one-way-drop',
    'pause',
    'frozen',
    'frozen-drop',
    'big',
)
_FAULTS = ('none', *_SINGLE_FAULTS, 'mixed')


class _Store(platform.StandinStore):
    """Store that takes some time for each append."""

    def __init__(self) -> None:
        super().__init__()
        self.append_s = _APPEND_S

    @property
    def leader(self) -> str:
        """Return the node that made the newest claim, or ''."""
        for raw, _ in self.newest.get(_CLAIMS, {}).values():
            return str(msgspec.msgpack.decode(raw)[0])
        return ''

    @property
    def claim_count(self) -> int:
        """Return how many claims there have been."""
        return self._topic(_CLAIMS).end

    async def _handle(
        self, request: server_module.Request, machine: str = ''
    ) -> server_module.Reply:
        if request.path.endswith('log-append'):
            await asyncio.sleep(self.append_s)
        return await super()._handle(request, machine)


class _Worker(platform.StandinWorker):
    """Worker that runs each task for the first number of its payload."""

    def _start(self, body: dict[str, object]) -> server_module.Reply:
        duration_ms, _, _ = str(body['spec']).partition(' ')
        return super()._start({**body, 'spec': duration_ms})


class Job:
    """Job that a client sends once."""

    __slots__ = ('answered_s', 'job_id', 'node', 'reason', 'sent_s', 'status')

    def __init__(self, job_id: str, node: str) -> None:
        self.job_id = job_id
        self.node = node
        self.sent_s = 0.0
        self.answered_s = 0.0
        # 0 for a connection that broke or gave no answer in time.
        self.status = -1
        self.reason = ''


class Deployment(contextlib.AsyncExitStack):
    """Daemons, a store, workers and clients of one run."""

    def __init__(
        self,
        root: pathlib.Path,
        seed: int,
        daemon_count: int,
        cpu: int,
        payload_bytes: int,
        fault_range_s: tuple[float, float],
        has_slow_store: bool,
    ) -> None:
        super().__init__()
        self.random = random.Random(seed)
        self.store = _Store()
        self.network = platform.Network()
        self.store.network = self.network
        self.daemons: dict[str, platform_case.Daemon] = {}
        self.workers: list[_Worker] = []
        self.jobs: list[Job] = []
        # Begin, end, kind and leader of each fault.
        self.faults: list[tuple[float, float, str, str]] = []
        self.begun_s = 0.0
        self.folder = pathlib.Path()
        self._root = root
        self._daemon_count = daemon_count
        self._cpu = cpu
        self._payload_bytes = payload_bytes
        self._fault_range_s = fault_range_s
        self._has_slow_store = has_slow_store
        self._traffic_random = random.Random(seed + 1)
        self._store_random = random.Random(seed + 2)
        self._client_tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> typing.Self:
        folder = self.enter_context(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        await self.enter_async_context(self.network)
        await self.enter_async_context(self.store)
        value = platform.make_configuration(advice=False)
        self.store.put('keyed.op', 'config', value)
        for number in range(_WORKER_COUNT):
            worker = _Worker(f'w{number}', self.store, cpu=self._cpu)
            # The first seconds of a life allow for a longer lease.
            worker.age(60.0)
            self.workers.append(worker)
            await self.enter_async_context(worker)
            self.network.add(worker.worker_id, worker.server.address)
        for number in range(self._daemon_count):
            await self._add_daemon(f'd{number}')
        for daemon in self.daemons.values():
            await self._wait_ready(daemon)
        await asyncio.sleep(_WARM_S)
        return self

    async def _add_daemon(self, node: str) -> None:
        door = await self.store.open_door(node)
        self.network.add(platform.STORE, door.address)
        daemon = platform_case.Daemon(
            node, self.folder, await self.network.path(node, door.address), ''
        )
        self.network.add(node, daemon.link_address)
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

    async def send_jobs(self, jobs_per_s: float, duration_s: float) -> None:
        """Send jobs at a rate that changes between two levels."""
        chance = self._traffic_random
        begun_s = next_s = time.monotonic()
        while next_s < begun_s + duration_s:
            number = int((next_s - begun_s) / _LOAD_PERIOD_S)
            share = _LOAD_SHARES[number % len(_LOAD_SHARES)]
            if next_s < begun_s + _FILL_S:
                share = _FILL_SHARE
            self._send(self._payload_bytes)
            next_s += chance.expovariate(jobs_per_s * share)
            await asyncio.sleep(next_s - time.monotonic())

    def _send(self, payload_bytes: int) -> None:
        chance = self._traffic_random
        others = sorted(set(self.daemons) - {self.store.leader})
        job = Job(f'{chance.getrandbits(64):016x}', chance.choice(others))
        self.jobs.append(job)
        deadline_ms = chance.randint(_MIN_DEADLINE_MS, _MAX_DEADLINE_MS)
        task = asyncio.ensure_future(
            self._submit(job, deadline_ms, payload_bytes)
        )
        self._client_tasks.add(task)
        task.add_done_callback(self._client_tasks.discard)

    async def _submit(
        self, job: Job, deadline_ms: int, payload_bytes: int
    ) -> None:
        body = platform_case.make_job(_TASK_MS, 1)
        steps = typing.cast(list[dict[str, object]], body['steps'])
        steps[0]['cpu'] = _TASK_CPU
        body['spec'] = f'{_TASK_MS} '.ljust(payload_bytes, 'x')
        job.sent_s = time.monotonic()
        daemon = self.daemons[job.node]
        job.status, raw = await rig.call(
            f'127.0.0.1:{daemon.frontend_port}',
            'POST',
            f'/jobs/{job.job_id}',
            json.dumps(body).encode(),
            {
                'Host': platform_case.HOST,
                'Authorization': 'Bearer key-a',
                'X-Deadline-Ms': str(deadline_ms),
            },
            deadline_ms / 1_000,
        )
        job.answered_s = time.monotonic()
        if job.status not in (0, 200):
            job.reason = str(json.loads(raw).get('error', ''))

    async def finish(self) -> None:
        """Wait for all answers, and for runs that they do not allow."""
        await asyncio.gather(*self._client_tasks)
        await asyncio.sleep(_WATCH_S)

    async def slow_store(self, duration_s: float) -> None:
        """Have the store take long for an append at times."""
        until_s = time.monotonic() + duration_s
        while self._has_slow_store and time.monotonic() < until_s:
            self.store.append_s = _APPEND_S
            await asyncio.sleep(self._store_random.uniform(1.0, 4.0))
            self.store.append_s = _SLOW_APPEND_S
            await asyncio.sleep(self._store_random.uniform(0.3, 1.5))
        self.store.append_s = _APPEND_S

    async def play(self, fault: str, duration_s: float) -> None:
        """Play a fault again and again."""
        until_s = time.monotonic() + duration_s
        while fault != 'none':
            await asyncio.sleep(self.random.uniform(_MIN_CALM_S, _MAX_CALM_S))
            fault_s = self.random.uniform(*self._fault_range_s)
            if time.monotonic() + fault_s > until_s:
                return
            kind = fault
            if fault == 'mixed':
                kind = self.random.choice(_SINGLE_FAULTS)
            leader = self.store.leader
            begun_s = time.monotonic()
            await self._play_once(kind, leader, fault_s)
            self.faults.append((begun_s, time.monotonic(), kind, leader))

    async def _play_once(self, kind: str, leader: str, fault_s: float) -> None:
        cuts = self._cut(kind, leader)
        is_paused = kind.startswith(('pause', 'frozen', 'big'))
        if is_paused:
            self.daemons[leader].send(signal.SIGSTOP)
        try:
            if kind == 'big':
                await self._send_bursts(fault_s)
            else:
                await asyncio.sleep(fault_s)
        finally:
            if is_paused:
                self.daemons[leader].send(signal.SIGCONT)
        await asyncio.gather(*(self.network.heal(cut) for cut in cuts))

    def _cut(self, kind: str, leader: str) -> list[platform.Cut]:
        cut = self.network.cut
        followers = sorted(set(self.daemons) - {leader})
        drops = kind.endswith('drop')
        if kind in ('cut', 'drop'):
            return [cut([leader], followers, drops=drops)]
        if kind == 'late':
            return [
                cut([leader], [node], late_s=self._draw_late_s())
                for node in followers
            ]
        if kind.startswith('one-way'):
            both = [[leader], followers]
            self.random.shuffle(both)
            return [cut(*both, one_way=True, drops=drops)]
        if kind.startswith('frozen'):
            others = [platform.STORE, *followers]
            others += [worker.worker_id for worker in self.workers]
            return [cut([leader], others, drops=drops)]
        return []

    def _draw_late_s(self) -> float:
        return self.random.uniform(0.0, _MAX_LATE_S)

    async def _send_bursts(self, duration_s: float) -> None:
        until_s = time.monotonic() + duration_s
        while (left_s := until_s - time.monotonic()) > 0:
            for _ in range(_BURST_JOBS):
                self._send(_BIG_PAYLOAD_BYTES)
            await asyncio.sleep(min(left_s, _BURST_INTERVAL_S))

    def start_times_s(self) -> dict[str, float]:
        """Return when the first task of each job started, by job id."""
        times_s: dict[str, float] = {}
        for worker in self.workers:
            for at_s, what, name, _ in worker.history:
                if what == 'start':
                    job_id = name.partition('.')[0]
                    times_s[job_id] = min(at_s, times_s.get(job_id, at_s))
        return times_s


def find_refused_runs(
    jobs: list[Job], start_times_s: dict[str, float]
) -> list[Job]:
    """Return refused jobs of which a task started."""
    return [
        job
        for job in jobs
        if job.status in (429, 503) and job.job_id in start_times_s
    ]


def _count(jobs: list[Job]) -> dict[str, int]:
    names = {200: 'accepted', 429: '429', 503: '503', 504: '504'}
    found = collections.Counter(names.get(job.status, 'other') for job in jobs)
    return {name: found[name] for name in (*names.values(), 'other')}


async def measure(
    fault: str,
    root: pathlib.Path,
    seed: int,
    duration_s: float,
    daemon_count: int,
    jobs_per_s: float,
    cpu: int,
    payload_bytes: int,
    fault_range_s: tuple[float, float],
    has_slow_store: bool,
    logs: pathlib.Path | None,
) -> dict[str, object]:
    """Play a fault and return what became of the jobs."""
    load_before = os.getloadavg()[0]
    async with Deployment(
        root,
        seed,
        daemon_count,
        cpu,
        payload_bytes,
        fault_range_s,
        has_slow_store,
    ) as deployment:
        claims_before = deployment.store.claim_count
        begun_s = time.monotonic()
        begun_wall_s = time.time()
        await asyncio.gather(
            deployment.send_jobs(jobs_per_s, duration_s),
            deployment.play(fault, duration_s),
            deployment.slow_store(duration_s),
        )
        await deployment.finish()
        start_times_s = deployment.start_times_s()
        refused_runs = find_refused_runs(deployment.jobs, start_times_s)
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
            for path in deployment.folder.glob('*.log'):
                shutil.copy(path, logs)
            rows = [
                [
                    job.job_id,
                    job.node,
                    job.status,
                    round(job.sent_s - begun_s, 3),
                    round(job.answered_s - begun_s, 3),
                    round(start_times_s.get(job.job_id, begun_s) - begun_s, 3),
                ]
                for job in deployment.jobs
            ]
            faults = [
                [round(first - begun_s, 3), round(last - begun_s, 3), *rest]
                for first, last, *rest in deployment.faults
            ]
            record = {
                'begun_wall_s': begun_wall_s,
                'faults': faults,
                'jobs': rows,
            }
            (logs / 'record.json').write_text(json.dumps(record))
    return {
        'name': f'refused_jobs.{fault}',
        'seed': seed,
        'duration_s': duration_s,
        'daemons': daemon_count,
        'jobs_per_s': jobs_per_s,
        'cpu': cpu,
        'payload_bytes': payload_bytes,
        'fault_range_s': fault_range_s,
        'slow_store': has_slow_store,
        'faults': len(deployment.faults),
        'claims': deployment.store.claim_count - claims_before,
        'jobs': len(deployment.jobs),
        **_count(deployment.jobs),
        'unanswered_runs': sum(
            job.status not in (200, 429, 503) and job.job_id in start_times_s
            for job in deployment.jobs
        ),
        'lost': sum(
            job.status == 200 and job.job_id not in start_times_s
            for job in deployment.jobs
        ),
        'refused_runs': len(refused_runs),
        'load_before': round(load_before, 1),
        'load_after': round(os.getloadavg()[0], 1),
        'concerned': [
            {
                'job': job.job_id,
                'node': job.node,
                'status': job.status,
                'sent_s': round(job.sent_s - begun_s, 3),
                'answered_s': round(job.answered_s - begun_s, 3),
                'started_s': round(start_times_s[job.job_id] - begun_s, 3),
                'reason': job.reason,
            }
            for job in refused_runs
        ],
    }


@click.command()
@click.argument('fault', type=click.Choice(_FAULTS))
@click.option(
    '--root',
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
    default=_ROOT,
    help='Source tree of the daemons.',
)
@click.option('--seed', type=int, default=1)
@click.option('--duration-s', type=float, default=25.0)
@click.option('--daemons', 'daemon_count', type=int, default=3)
@click.option('--jobs-per-s', type=float, default=120.0)
@click.option(
    '--cpu', type=int, default=9_000, help='Millicores of each worker.'
)
@click.option('--payload-bytes', type=int, default=0)
@click.option(
    '--fault-s',
    'fault_range_s',
    type=(float, float),
    default=(_MIN_FAULT_S, _MAX_FAULT_S),
    help='Shortest and longest fault.',
)
@click.option('--slow-store/--no-slow-store', 'has_slow_store', default=True)
@click.option('--logs', type=click.Path(path_type=pathlib.Path))
def main(
    fault: str,
    root: pathlib.Path,
    seed: int,
    duration_s: float,
    daemon_count: int,
    jobs_per_s: float,
    cpu: int,
    payload_bytes: int,
    fault_range_s: tuple[float, float],
    has_slow_store: bool,
    logs: pathlib.Path | None,
) -> None:
    """Play a fault once and print the result."""
    # The stand-ins of all machines share this process.
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    result = asyncio.run(
        measure(
            fault,
            root.resolve(),
            seed,
            duration_s,
            daemon_count,
            jobs_per_s,
            cpu,
            payload_bytes,
            fault_range_s,
            has_slow_store,
            logs,
        )
    )
    print(json.dumps(result), flush=True)


if __name__ == '__main__':
    main()
