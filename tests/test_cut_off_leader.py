"""Test leaders that are cut off together with a part of the workers."""

import asyncio

from tests import platform_case
from tests.standins import platform

_JOB_ID_FORMAT = '00000000000000{:02x}'
# Longer than a lease, shorter than a leader goes on without the store.
_CUT_S = 9.0
_LIFE_S = 60.0


class CutOffLeaderTest(platform_case.PlatformCase):
    """Guard tasks against a leader that does not hear of its successor."""

    worker_count = 4

    async def store_address(self, node: str) -> str:
        """Return the address at which one daemon reaches the store."""
        if self.store.network is None:
            self.store.network = await self.enterAsyncContext(
                platform.Network()
            )
        door = await self.store.open_door(node)
        self.network = self.store.network
        self.network.add(platform.STORE, door.address)
        return await self.network.path(node, door.address)

    def choose_builds(self) -> None:
        """Add the daemons and workers to the network."""
        for daemon in self.daemons:
            self.network.add(daemon.node, daemon.link_address)
        for worker in self.workers:
            self.network.add(worker.worker_id, worker.server.address)
            # The first seconds of a life allow for a longer lease.
            worker.age(_LIFE_S)

    async def submit(self, number: int, duration_ms: int, count: int) -> str:
        """Submit a job of one step and return its id."""
        job_id = _JOB_ID_FORMAT.format(number)
        body = platform_case.make_job(duration_ms, count)
        self.assertEqual(200, await self.call_any('POST', job_id, body))
        return job_id

    async def cut_off_leader(self, resets: bool) -> None:
        """Cut off the leader and a worker from all other machines."""
        leader = self.leader().node
        others = {daemon.node for daemon in self.daemons} - {leader}
        others |= {worker.worker_id for worker in self.workers[1:]}
        cut_off = (leader, self.workers[0].worker_id)
        self.network.cut(cut_off, {*others, platform.STORE}, resets)
        await asyncio.sleep(_CUT_S)
        await self.network.heal()

    async def check_cut(self, resets: bool) -> None:
        job_ids = [await self.submit(number, 1_500, 12) for number in range(2)]
        for job_id in job_ids:
            await self.wait_state(job_id, 'running', 'completed')
        await self.cut_off_leader(resets)
        for job_id in job_ids:
            await self.wait_state(job_id, 'completed')
        # Until the old leader has heard of its successor.
        await asyncio.sleep(1.0)
        self.check_runs()

    async def test_tasks_that_a_successor_has_seen_end_run_once(self):
        """Guard against leases that only a successor has renewed.

        The old leader took them for run out and started tasks again whose
        ends the successor had acknowledged (issue 35: TWICE).
        """
        await self.check_cut(resets=False)

    async def test_tasks_run_once_after_a_cut_with_resets(self):
        """Guard against the same where connections are refused."""
        await self.check_cut(resets=True)
