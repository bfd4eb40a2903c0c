"""Play workers that start again and are cut off soon after, as processes.

Usage: ``python -m tests.restarts_case [FIRST [COUNT [ROOT]]]``. FIRST is the
first seed, by default 0, and COUNT 10. ROOT is the source tree of the daemons,
by default this one. Seeds differ in times, clocks, late calls, the longest
lease, and in whether the leader is killed. Logs of seeds that fail are copied
to the folder in BASILSPINDLE_SOAK_LOGS, if that is set.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import sys
import time
import unittest

import httpx

from tests import platform_case
from tests.standins import platform

_LOGS_VARIABLE = 'BASILSPINDLE_SOAK_LOGS'
_ROUNDS = 2
_LONG_SHARE = 0.35
_LONG_RUN_MS = (5_000, 9_000, 12_000)
_SHORT_RUN_MS = (300, 1_000, 3_000)
_SUBMIT_PAUSE_S = (0.1, 0.5)
_BEFORE_S = (2.5, 4.5)
_DOWN_S = (0.2, 1.0)
_UP_S = (0.8, 2.5)
_CUT_S = (6.0, 9.0)
# From before the power loss until the cut holds.
_KILL_S = (0.0, 6.0)
# From a disruption of calls until the power loss, at most.
_LATE_CALLS_S = (0.3, 2.0)
_LATE_SHARE = 0.3
_LEASES_MS = (6_000, 10_000)
_LIFE_S = 60.0
_COMPLETION_TIMEOUT_S = 45.0
_ATTEMPTS = 5


class RestartsCase(platform_case.PlatformCase):
    """Daemons, and workers of which half lose power at the same time."""

    daemon_count = 4
    worker_count = 6
    # Source tree of the daemons, if not this one.
    root: pathlib.Path | None = None
    seed = 0

    async def asyncSetUp(self) -> None:
        # All that daemons and workers exchange passes through this process.
        asyncio.get_running_loop().set_debug(False)
        self.chance = random.Random(self.seed)
        self.kill_chance = random.Random(f'{self.seed}/kills')
        self.max_lease_ms = self.chance.choice(_LEASES_MS)
        self.accepted: list[str] = []
        await super().asyncSetUp()

    async def store_address(self, node: str) -> str:
        """Return the address at which one daemon reaches the store."""
        if self.store.network is None:
            self.store.network = await self.enterAsyncContext(
                platform.Network()
            )
            self.network = self.store.network
        door = await self.store.open_door(node)
        self.network.add(platform.STORE, door.address)
        return await self.network.path(node, door.address)

    def choose_builds(self) -> None:
        """Add daemons and workers to the network, and set the leases."""
        for daemon in self.daemons:
            self.network.add(daemon.node, daemon.link_address)
            daemon.root = self.root or daemon.root
            daemon.set_max_lease_ms(self.max_lease_ms)
        for number, worker in enumerate(self.workers):
            self.network.add(worker.worker_id, worker.server.address)
            worker.max_lease_ms = self.max_lease_ms
            worker.draw_clocks(f'{self.seed}/{number}')
            worker.age(_LIFE_S)

    async def play(self) -> None:
        """Play the rounds of one seed and check the runs."""
        try:
            submissions = asyncio.ensure_future(self._submit_jobs())
            for number in range(_ROUNDS):
                await asyncio.sleep(self.chance.uniform(*_BEFORE_S))
                await self._play_round(number)
            submissions.cancel()
            await self._wait_completed()
            self.check_runs()
        except BaseException:
            self._keep_logs()
            raise

    async def _play_round(self, number: int) -> None:
        chance = self.chance
        workers = self.workers[: len(self.workers) // 2]
        has_late_calls = chance.random() < 0.5
        killing = None
        if (self.seed + number) % 2:
            delay_s = self.kill_chance.uniform(*_KILL_S)
            killing = asyncio.ensure_future(self._kill_leader(delay_s))
        if has_late_calls:
            self._delay_calls(workers)
            await asyncio.sleep(chance.uniform(*_LATE_CALLS_S))
        await self._restart(workers)
        if chance.random() < 0.2:
            await asyncio.sleep(chance.uniform(*_DOWN_S))
            await self._restart(workers)
        if has_late_calls and chance.random() < 0.5:
            self._delay_calls(workers)
        await asyncio.sleep(chance.uniform(*_UP_S))
        cut = self.network.cut(
            [worker.worker_id for worker in workers],
            [platform.STORE, *(daemon.node for daemon in self.daemons)],
        )
        cut_s = chance.uniform(*_CUT_S)
        crash_s = cut_s * chance.random()
        crashes_again = chance.random() < 0.4
        await asyncio.sleep(crash_s)
        if crashes_again:
            await self._restart(workers)
        await asyncio.sleep(cut_s - crash_s)
        for worker in workers:
            worker.server.fault = lambda request: ''
        await self.network.heal(cut)
        if killing is not None:
            leader = await killing
            await leader.start()
            await self.wait_ready(leader)

    async def _kill_leader(self, delay_s: float) -> platform_case.Daemon:
        await asyncio.sleep(delay_s)
        leader = self.leader()
        await leader.kill()
        return leader

    async def _restart(self, workers: list[platform.StandinWorker]) -> None:
        for worker in workers:
            worker.lose_power()
        await asyncio.sleep(self.chance.uniform(*_DOWN_S))
        for worker in workers:
            worker.start_again()

    def _delay_calls(self, workers: list[platform.StandinWorker]) -> None:
        fate = random.Random(self.chance.random())
        kind = self.chance.choice(('late', 'lost'))
        for worker in workers:
            worker.server.fault = lambda request: (
                kind if fate.random() < _LATE_SHARE else ''
            )

    async def _submit_jobs(self) -> None:
        chance = random.Random(f'{self.seed}/jobs')
        number = 0
        async with httpx.AsyncClient(timeout=4.0) as session:
            while True:
                number += 1
                job_id = f'{self.seed % 0xFFFF:04x}{number:012x}'
                runs_ms = (
                    _LONG_RUN_MS
                    if chance.random() < _LONG_SHARE
                    else _SHORT_RUN_MS
                )
                body = platform_case.make_job(
                    chance.choice(runs_ms), chance.choice((1, 2, 4))
                )
                if await self._submit(session, chance, job_id, body):
                    self.accepted.append(job_id)
                await asyncio.sleep(chance.uniform(*_SUBMIT_PAUSE_S))

    async def _submit(
        self,
        session: httpx.AsyncClient,
        chance: random.Random,
        job_id: str,
        body: object,
    ) -> bool:
        for _ in range(_ATTEMPTS):
            port = chance.choice(self.daemons).frontend_port
            try:
                answer = await session.post(
                    f'http://127.0.0.1:{port}/jobs/{job_id}',
                    json=body,
                    headers={
                        'Host': platform_case.HOST,
                        'Authorization': 'Bearer key-a',
                        'X-Deadline-Ms': '3000',
                    },
                )
            except httpx.TransportError:
                # The daemon may be down; the next attempt asks another one.
                continue
            if answer.status_code == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def _wait_completed(self) -> None:
        left = set(self.accepted)
        end_s = time.monotonic() + _COMPLETION_TIMEOUT_S
        while left and time.monotonic() < end_s:
            for job_id in sorted(left):
                answer = await self.call('GET', self.daemons[0], job_id)
                self.assertNotEqual(410, answer.status_code, job_id)
                if answer.status_code != 200:
                    continue
                state = answer.json()['state']
                self.assertNotIn(state, ('failed', 'cancelled'), job_id)
                if state == 'completed':
                    left.discard(job_id)
            await asyncio.sleep(0.1)
        self.assertEqual(set(), left, 'jobs not completed')

    def _keep_logs(self) -> None:
        if _LOGS_VARIABLE not in os.environ:
            return
        name = f'restarts-{self.seed}'
        folder = pathlib.Path(os.environ[_LOGS_VARIABLE]) / name
        folder.mkdir(parents=True, exist_ok=True)
        for daemon in self.daemons:
            shutil.copy(daemon.log_path, folder)
        history = {worker.worker_id: worker.history for worker in self.workers}
        (folder / 'history.json').write_text(json.dumps(history))


def _make_case(number: int) -> unittest.TestCase:
    class Seed(RestartsCase):
        seed = number

        async def test(self) -> None:
            await self.play()

        def id(self) -> str:
            return f'seed {number}'

    return Seed('test')


def main() -> None:
    """Run the seeds one after the other; exit with 1 if one failed."""
    first = int(sys.argv[1]) if len(sys.argv) > 1 else 0
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 10
    if len(sys.argv) > 3:
        RestartsCase.root = pathlib.Path(sys.argv[3]).resolve()
    failed = []
    for seed in range(first, first + count):
        result = unittest.TextTestRunner(verbosity=0).run(_make_case(seed))
        print(f'seed {seed}: {"ok" if result.wasSuccessful() else "FAILED"}')
        sys.stdout.flush()
        if not result.wasSuccessful():
            failed.append(seed)
    print(f'{count - len(failed)} of {count} seeds passed; failed: {failed}')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
