"""Test what callers see when workers are cut off, crash or restart."""

import asyncio

from tests import platform_case

_JOB_ID_FORMAT = '00000000000000{:02x}'


class WorkerFaultTest(platform_case.PlatformCase):
    """Test that faults of workers lose and double nothing."""

    async def submit(self, number: int, duration_ms: int, count: int) -> str:
        """Submit a job of one step, wait until it runs, return its id."""
        job_id = _JOB_ID_FORMAT.format(number)
        body = platform_case.make_job(duration_ms, count)
        self.assertEqual(200, await self.call_any('POST', job_id, body))
        await self.wait_state(job_id, 'running', 'completed')
        return job_id

    async def test_workers_that_refuse_connections_may_run_on(self):
        """Guard against tasks that are started again while they run.

        A cut with resets refuses the connections of the leader (review/4:
        TWICE).
        """
        job_id = await self.submit(1, 3_000, 9)
        for worker in self.workers[:2]:
            worker.server.refuse()
        await asyncio.sleep(2.0)
        for worker in self.workers[:2]:
            await worker.server.listen()
        await self.wait_state(job_id, 'completed')
        self.check_runs()

    async def test_tasks_of_a_worker_that_is_lost_are_started_again(self):
        """Guard against jobs that wait for a worker without power for ever.

        The same leader leads all the time (review/2: LOST).
        """
        job_id = await self.submit(2, 2_000, 9)
        self.workers[0].lose_power()
        await self.wait_state(job_id, 'completed')
        self.check_runs()

    async def test_a_worker_that_is_back_at_once_doubles_nothing(self):
        """Guard against tasks that the new life of a worker accepted.

        The leader's renewal hangs on a dead connection meanwhile, and starts
        go to the new life (review/5: TWICE).
        """
        await self.submit(16, 50, 9)
        job_ids = []
        for number in range(4):
            worker = self.workers[number % len(self.workers)]
            worker.lose_power()
            await asyncio.sleep(0.3)
            worker.start_again()
            await asyncio.sleep(0.1)
            duration_ms = 50 if number % 2 else 1_500
            job_ids.append(await self.submit(32 + number, duration_ms, 18))
            await asyncio.sleep(2.5)
        for job_id in job_ids:
            await self.wait_state(job_id, 'completed')
        self.check_runs()
