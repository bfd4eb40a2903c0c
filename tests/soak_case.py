"""Inject random faults into processes while callers submit jobs.

The same seed gives the same schedule of faults. Which faults overlap depends
on the timing of the machine.
"""

import asyncio
import collections
import json
import random
import signal
import time

import httpx

from tests import platform_case
from tests.standins import platform

_FAULT_PHASE_S = 8.0
_COMPLETION_TIMEOUT_S = 40.0
_SUBMIT_PAUSE_S = 0.12
# A confirmed change of the configuration is in force within this time.
_IN_FORCE_LIMIT_S = 3.0
_STORE_FAULTS = ('silent', 'reset', 'lost', 'late', '503', '429')
_WORKER_FAULTS = ('silent', 'reset', 'lost', 'late', '503')


class SoakCase(platform_case.PlatformCase):
    """Test case in which daemons, the store and workers fail at random."""

    daemon_count = 4
    worker_count = 4

    async def soak(self, seed: int) -> None:
        """Run the schedule of one seed and check the invariants."""
        self.random = random.Random(seed)
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.unknown: set[str] = set()
        self.down: set[platform_case.Daemon] = set()
        self.version = 1
        self.route_count = 0
        end_s = time.monotonic() + _FAULT_PHASE_S
        try:
            async with asyncio.TaskGroup() as group:
                for client in range(3):
                    group.create_task(self._submit_jobs(seed, client, end_s))
                for work in (
                    self._fail_daemons,
                    self._fail_store,
                    self._fail_workers,
                    self._change_configuration,
                ):
                    group.create_task(work(end_s))
            await self._recover()
            await self._check_configuration()
            await self._check(seed)
        except BaseException:
            for daemon in self.daemons:
                print(f'--- {daemon.node}, seed {seed}')
                print(daemon.log_path.read_text()[-6_000:])
            raise

    async def _submit_jobs(self, seed: int, client: int, end_s: float) -> None:
        # One session, so that requests reuse open connections.
        number = 0
        client_random = random.Random(seed * 31 + client)
        async with httpx.AsyncClient(timeout=4.0) as session:
            while time.monotonic() < end_s:
                number += 1
                job_id = f'{seed % 0xFFFF:04x}{client:04x}{number:08x}'
                body = platform_case.make_job(
                    client_random.choice((50, 300, 900)),
                    client_random.choice((1, 2, 3)),
                )
                await self._submit(session, client_random, job_id, body)
                await asyncio.sleep(_SUBMIT_PAUSE_S)

    async def _submit(
        self,
        session: httpx.AsyncClient,
        client_random: random.Random,
        job_id: str,
        body: object,
    ) -> None:
        for _ in range(3):
            daemon = client_random.choice(self.daemons)
            try:
                answer = await session.post(
                    f'http://127.0.0.1:{daemon.frontend_port}/jobs/{job_id}',
                    json=body,
                    headers={
                        'Host': platform_case.HOST,
                        'Authorization': 'Bearer key-a',
                        'X-Deadline-Ms': '3000',
                    },
                )
            except httpx.TransportError:
                self.unknown.add(job_id)
                continue
            if answer.status_code == 200:
                self.accepted.add(job_id)
                return
            if answer.status_code in (429, 503):
                self.refused.add(job_id)
            else:
                self.unknown.add(job_id)
            await asyncio.sleep(0.2)

    async def _fail_daemons(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            for daemon in self.random.sample(
                self.daemons, self.random.choice((1, 1, 2, 4))
            ):
                await self._fail_daemon(daemon)

    async def _fail_daemon(self, daemon: platform_case.Daemon) -> None:
        if daemon in self.down:
            return
        self.down.add(daemon)
        fault = self.random.choice(('kill', 'pause', 'stop'))
        if fault == 'kill':
            await daemon.kill()
        elif fault == 'stop':
            daemon.send(signal.SIGTERM)
        else:
            daemon.send(signal.SIGSTOP)
        asyncio.ensure_future(
            self._restore(daemon, fault, self.random.uniform(0.1, 3.0))
        )

    async def _restore(
        self, daemon: platform_case.Daemon, fault: str, after_s: float
    ) -> None:
        await asyncio.sleep(after_s)
        if fault == 'pause':
            daemon.send(signal.SIGCONT)
        else:
            assert daemon.process is not None
            await daemon.process.wait()
            await daemon.start()
        self.down.discard(daemon)

    async def _fail_store(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            fault = self.random.choice(_STORE_FAULTS)
            fraction = self.random.choice((0.2, 1.0))
            fault_random = random.Random(self.random.random())
            self.store.server.fault = (
                lambda request, fault=fault, fraction=fraction: (
                    fault if fault_random.random() < fraction else ''
                )
            )
            await asyncio.sleep(self.random.uniform(0.2, 2.0))
            self.store.server.fault = lambda request: ''
            if self.random.random() < 0.3:
                self.store.drop_history()

    async def _fail_workers(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.uniform(0.2, 1.0))
            worker = self.random.choice(self.workers)
            fault = self.random.choice(_WORKER_FAULTS)
            fault_random = random.Random(self.random.random())
            worker.server.fault = lambda request, fault=fault: (
                fault if fault_random.random() < 0.5 else ''
            )
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            worker.server.fault = lambda request: ''

    async def _change_configuration(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.uniform(0.2, 1.0))
            self._publish(self.random.choice((0, 0, 300, 1_500)))

    def _publish(self, added_routes: int) -> None:
        self.version += 1
        self.route_count += added_routes
        routes = [f'more-{number}' for number in range(self.route_count)]
        config = platform.make_configuration(
            self.version,
            keys=('key-a', f'key-{self.version}'),
            routes=('jobs', *routes),
        )
        self.store.put('keyed.op', 'config', config)

    async def _recover(self) -> None:
        self.store.server.fault = lambda request: ''
        for worker in self.workers:
            worker.server.fault = lambda request: ''
        while self.down:
            await asyncio.sleep(0.1)
        for daemon in self.daemons:
            await self.wait_ready(daemon)

    async def _check_configuration(self) -> None:
        for _ in range(3):
            self._publish(10)
            deadline_s = time.monotonic() + _IN_FORCE_LIMIT_S
            outdated = set(self.daemons)
            while outdated and time.monotonic() < deadline_s:
                for daemon in list(outdated):
                    answers = [
                        await self.call('GET', daemon, key=f'key-{version}')
                        for version in (self.version, self.version - 1)
                    ]
                    statuses = [answer.status_code for answer in answers]
                    if statuses == [200, 401]:
                        outdated.discard(daemon)
                await asyncio.sleep(0.05)
            self.assertEqual(
                [],
                [daemon.node for daemon in outdated],
                f'version {self.version} is not in force',
            )
        for daemon in self.daemons:
            self._check_versions_rise(daemon)

    def _check_versions_rise(self, daemon: platform_case.Daemon) -> None:
        version = 0
        for text in daemon.log_path.read_text().splitlines():
            line = json.loads(text) if text.startswith('{') else {}
            if line.get('name') == 'node_started':
                version = 0
            elif line.get('name') == 'configuration_in_force':
                self.assertGreater(line['version'], version, daemon.node)
                version = line['version']

    async def _check(self, seed: int) -> None:
        incomplete = set(self.accepted)
        deadline_s = time.monotonic() + _COMPLETION_TIMEOUT_S
        while incomplete and time.monotonic() < deadline_s:
            for job_id in list(incomplete):
                daemon = self.random.choice(self.daemons)
                answer = await self.call('GET', daemon, job_id)
                self.assertNotEqual(410, answer.status_code, job_id)
                if answer.status_code == 200:
                    state = answer.json()['state']
                    self.assertNotIn(state, ('failed', 'cancelled'), job_id)
                    if state == 'completed':
                        incomplete.discard(job_id)
            await asyncio.sleep(0.1)
        self.assertEqual(set(), incomplete, f'seed {seed}: jobs not completed')
        self.check_runs()
        self._check_refusals()
        self._check_capacity()

    def _check_refusals(self) -> None:
        ran = {
            row[2].partition('.')[0]
            for worker in self.workers
            for row in worker.history
        }
        only_refused = self.refused - self.accepted - self.unknown
        self.assertEqual(set(), ran & only_refused, 'refused jobs ran')

    def _check_capacity(self) -> None:
        for worker in self.workers:
            used: collections.Counter[str] = collections.Counter()
            for _, what, name, _ in sorted(worker.history):
                if what == 'forgotten':
                    continue
                used[name] += 1 if what == 'start' else -1
                self.assertLessEqual(
                    sum(used.values()) * 1_000, worker.capacity
                )
