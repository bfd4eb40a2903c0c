"""Run daemons as processes against stand-ins for the platform."""

import asyncio
import collections
import os
import pathlib
import re
import signal
import sys
import tempfile
import time
import typing
import unittest

import httpx

from tests.standins import local_cluster
from tests.standins import platform

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_START_TIMEOUT_S = 20.0
HOST = 'h.example'
SETTINGS_TEMPLATE = """
node = "{node}"
ip = "127.0.0.1"
zone = "a"
port_range = [{link}, {metrics}]
advice = "{advice}"
[listen_addrs]
frontend_addr = "127.0.0.1:{front}"
readiness_addr = "127.0.0.1:{ready}"
[limits]
cpu_share = 1.0
cores = 2
link_mbps = 1000.0
[bounds]
grace_s = 6
hold_max_ms = 10000
stop_ms = 200
gang_ms = 3000
status_s = 120
[platform]
address = "{store}"
"""


def free_ports(count: int) -> list[int]:
    """Return unused ports below the ephemeral range."""
    return [local_cluster.free_port() for _ in range(count)]


class Daemon:
    """Daemon process that can be killed and restarted."""

    def __init__(
        self, node: str, folder: pathlib.Path, store: str, advice: str
    ) -> None:
        self.node = node
        # Source tree whose code the process runs.
        self.root = _ROOT
        link, metrics, self.frontend_port, self.readiness_port = free_ports(4)
        self.metrics_port = metrics
        self.link_address = f'127.0.0.1:{link}'
        self._path = folder / f'{node}.toml'
        self._path.write_text(
            SETTINGS_TEMPLATE.format(
                node=node,
                link=link,
                metrics=metrics,
                front=self.frontend_port,
                ready=self.readiness_port,
                store=store,
                advice=advice,
            )
        )
        self.log_path = folder / f'{node}.log'
        self.process: asyncio.subprocess.Process | None = None

    def set_max_lease_ms(self, max_lease_ms: int) -> None:
        """Set the longest lease of workers, before the process starts."""
        self._path.write_text(
            re.sub(
                'hold_max_ms = .*',
                f'hold_max_ms = {max_lease_ms}',
                self._path.read_text(),
            )
        )

    def set_evacuate_ms(self, evacuate_ms: int) -> None:
        """Let failure domains be evacuated, before the process starts."""
        self._path.write_text(
            self._path.read_text().replace(
                '[bounds]', f'[bounds]\nevacuate_ms = {evacuate_ms}'
            )
        )

    def add_settings(self, table: str, lines: str) -> None:
        """Add lines to a table of the settings, before the process starts."""
        text = self._path.read_text()
        head = f'[{table}]\n'
        if head in text:
            text = text.replace(head, f'{head}{lines}\n')
        else:
            text += f'{head}{lines}\n'
        self._path.write_text(text)

    async def start(self) -> None:
        """Start the process."""
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'basilspindle.platform.main',
                cwd=self.root,
                stdout=log,
                stderr=log,
                env={**os.environ, 'BASILSPINDLE_BOOT': str(self._path)},
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, which must be running."""
        assert self.process is not None
        if self.process.returncode is not None:
            raise AssertionError(
                f'{self.node} exited unexpectedly: {self.log_path.read_text()}'
            )
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """Test case with daemons and stand-ins for the platform on loopback."""

    daemon_count = 3
    worker_count = 3

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.store = platform.StandinStore()
        self.advice = platform.StandinAdvice()
        await self.enterAsyncContext(self.store)
        await self.enterAsyncContext(self.advice)
        self.store.put('keyed.op', 'config', platform.make_configuration())
        self.workers = [
            platform.StandinWorker(f'w{number}', self.store)
            for number in range(self.worker_count)
        ]
        for worker in self.workers:
            await self.enterAsyncContext(worker)
        self.daemons = [
            Daemon(
                f'd{number}',
                self.folder,
                await self.store_address(f'd{number}'),
                self.advice.server.address,
            )
            for number in range(self.daemon_count)
        ]
        self.choose_builds()
        for daemon in self.daemons:
            self.addAsyncCleanup(daemon.kill)
            await daemon.start()
        self.client = await self.enterAsyncContext(
            httpx.AsyncClient(timeout=5.0)
        )
        for daemon in self.daemons:
            await self.wait_ready(daemon)

    async def store_address(self, node: str) -> str:
        """Return the address of the store for one daemon."""
        return self.store.server.address

    def choose_builds(self) -> None:
        """Set the source tree of daemons before they start."""

    async def wait_ready(self, daemon: Daemon) -> None:
        """Wait until a daemon reports that it is ready."""
        url = f'http://127.0.0.1:{daemon.readiness_port}/basilspindle/ready'
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                if (await self.client.get(url)).status_code == 200:
                    return
            except httpx.TransportError:
                # The daemon does not listen yet.
                pass
            await asyncio.sleep(0.05)
        self.fail(f'{daemon.node} is not ready: {daemon.log_path.read_text()}')

    async def call(
        self,
        method: str,
        daemon: Daemon,
        job_id: str = '',
        body: object = None,
        key: str = 'key-a',
        queue: str = 'jobs',
    ) -> httpx.Response:
        """Send a request to a daemon as a caller."""
        return await self.client.request(
            method,
            f'http://127.0.0.1:{daemon.frontend_port}/{queue}/{job_id}',
            json=body,
            headers={
                'Host': HOST,
                'Authorization': f'Bearer {key}',
                'X-Deadline-Ms': '3000',
            },
        )

    async def call_any(
        self, method: str, job_id: str, body: object = None
    ) -> int:
        """Retry a request at all daemons until one answers."""
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            for daemon in self.daemons:
                try:
                    answer = await self.call(method, daemon, job_id, body)
                except httpx.TransportError:
                    continue
                if answer.status_code not in (502, 503, 504):
                    return answer.status_code
            await asyncio.sleep(0.1)
        self.fail(f'no daemon answered {method} {job_id}')

    async def wait_state(self, job_id: str, *states: str) -> str:
        """Wait until any daemon reports a job in one of the states."""
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        seen = ''
        while time.monotonic() < deadline_s:
            for daemon in self.daemons:
                try:
                    answer = await self.call('GET', daemon, job_id)
                except httpx.TransportError:
                    continue
                if answer.status_code == 410:
                    self.fail(f'job {job_id} is lost')
                if answer.status_code == 200:
                    seen = answer.json()['state']
                    if seen in states:
                        return seen
            await asyncio.sleep(0.05)
        self.fail(f'job {job_id} is {seen}, not {states}')

    def leader(self) -> Daemon:
        """Return the daemon that leads according to its log."""
        found = [
            (text.rfind('"name":"leader_ready"'), daemon)
            for daemon in self.daemons
            if (text := daemon.log_path.read_text())
            and text.rfind('"name":"leader_ready"')
            > text.rfind('"name":"leader_lost"')
            and daemon.process is not None
            and daemon.process.returncode is None
        ]
        self.assertTrue(found, 'no daemon leads')
        return found[0][1]

    def check_runs(self) -> None:
        """Check that no task ran twice at once or again once it was done.

        An end counts from its time on, whether it is acknowledged or not,
        until its own worker forgets it.
        """
        rows = sorted(
            (*row, worker.worker_id)
            for worker in self.workers
            for row in worker.history
        )
        running: typing.Counter[str] = collections.Counter()
        done: dict[str, set[tuple[str, int]]] = collections.defaultdict(set)
        for _, what, name, number, worker_id in rows:
            run = (worker_id, number)
            if what == 'forgotten':
                # The daemons cannot know of this end.
                done[name].discard(run)
            elif what == 'start':
                self.assertFalse(done[name], f'{name} ran again: {rows}')
                running[name] += 1
                self.assertEqual(1, running[name], f'{name} runs twice')
            else:
                running[name] -= 1
                if what == 'done':
                    done[name].add(run)


def make_job(
    duration_ms: int,
    *counts: int,
    cpu: int = 1_000,
    estimate_ms: int | None = None,
) -> dict[str, object]:
    """Return a job whose steps run one after the other.

    The estimate of a task is its duration unless it is given.
    """
    steps: list[dict[str, object]] = []
    for index, count in enumerate(counts):
        step: dict[str, object] = {
            'count': count,
            'cpu': cpu,
            'mem_mb': 10,
            'estimate_ms': estimate_ms or duration_ms,
        }
        if index:
            step['after'] = [index - 1]
        steps.append(step)
    return {'spec': str(duration_ms), 'steps': steps}
