"""Test daemon processes after the loss of a worker and of the leader."""

import asyncio
import json

from tests import platform_case
from tests.standins import platform

_JOB_ID_FORMAT = '00000000000000{:02x}'
_LONG_JOB_ID = _JOB_ID_FORMAT.format(0)
_LONG_MS = 60_000
_RUN_MS = 4_000
# With the long task, the first jobs take almost all the room, and the others
# wait.
_TASKS_PER_JOB = 6
_RUNNING_JOB_IDS = tuple(_JOB_ID_FORMAT.format(1 + n) for n in range(5))
_WAITING_JOB_IDS = tuple(_JOB_ID_FORMAT.format(9 + n) for n in range(4))
# With this estimate, a job may wait for room and be on time.
_ESTIMATE_MS = 20_000
# An election and two runs take some 11 s. Leases that a leader may have
# granted last longer if it cannot be asked.
_PROMPT_S = 14.0
# Between the two losses; tasks run for longer.
_GAP_S = 1.5


class LostMachinesTest(platform_case.PlatformCase):
    """Guard work that cannot be on a lost worker (review/7, issue 55)."""

    worker_count = 4

    async def asyncSetUp(self) -> None:
        # The debug mode of the event loop takes most of this process' time.
        asyncio.get_running_loop().set_debug(False)
        await super().asyncSetUp()

    def choose_builds(self) -> None:
        """Let the workspace hand in all jobs at once."""
        configuration = json.loads(
            platform.make_configuration(2, advice=False)
        )
        configuration['tenants'][0]['weight'] = 100
        self.store.put(
            'keyed.op', 'config', json.dumps(configuration).encode()
        )

    async def submit(self, job_id: str, duration_ms: int, count: int) -> None:
        """Submit a job of one step and wait until it is accepted."""
        body = platform_case.make_job(
            duration_ms, count, estimate_ms=_ESTIMATE_MS
        )
        self.assertEqual(200, await self.call_any('POST', job_id, body))

    async def play(self, is_leader_first: bool) -> None:
        """Lose a worker and the leader's machine while jobs wait."""
        await self.submit(_LONG_JOB_ID, _LONG_MS, 1)
        await self.wait_state(_LONG_JOB_ID, 'running')
        for job_id in _RUNNING_JOB_IDS:
            await self.submit(job_id, _RUN_MS, _TASKS_PER_JOB)
        for job_id in _RUNNING_JOB_IDS:
            await self.wait_state(job_id, 'running')
        for job_id in _WAITING_JOB_IDS:
            await self.submit(job_id, _RUN_MS, _TASKS_PER_JOB)
        lost = next(
            worker
            for worker in self.workers
            if self.started_tasks((_LONG_JOB_ID,), worker)
        )
        leader = self.leader()
        if not is_leader_first:
            lost.lose_power()
            await asyncio.sleep(_GAP_S)
        await leader.kill()
        self.daemons.remove(leader)
        if is_leader_first:
            # Before the successor has heard of it.
            lost.lose_power()
        lost_tasks = self.started_tasks(_WAITING_JOB_IDS, lost)
        expected = len(_WAITING_JOB_IDS) * _TASKS_PER_JOB - len(lost_tasks)
        self.assertGreater(expected, _TASKS_PER_JOB)
        await asyncio.sleep(_PROMPT_S)
        others = [worker for worker in self.workers if worker is not lost]
        started = self.started_tasks(_WAITING_JOB_IDS, *others)
        self.assertEqual(expected, len(started - lost_tasks))
        self.check_runs()

    def started_tasks(
        self, job_ids: tuple[str, ...], *workers: platform.StandinWorker
    ) -> set[str]:
        """Return the names of the tasks of jobs that workers started."""
        return {
            name
            for worker in workers
            for _, what, name, _ in worker.history
            if what == 'start' and name.startswith(job_ids)
        }

    async def test_a_worker_and_then_the_leader(self):
        """Guard against tasks that wait for a worker that never had them."""
        await self.play(is_leader_first=False)

    async def test_the_leader_and_then_a_worker(self):
        """Guard against the same in the other order."""
        await self.play(is_leader_first=True)
