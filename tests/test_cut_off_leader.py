"""Test leaders that are cut off together with a part of the workers."""

import asyncio
import signal

from tests import platform_case
from tests.standins import platform

_JOB_ID_FORMAT = '00000000000000{:02x}'
# Longer than a lease, shorter than a leader goes on without the store.
_CUT_S = 9.0
_LIFE_S = 60.0
_MAX_PLAYS = 3
# Longer than daemons take to read a change of the registry.
_REGISTRY_S = 1.5
# Longer than a leader that is cut off is without a successor.
_TAKEOVER_S = 3.0
# Tasks that the workspace may run, and the CPU of each.
_LIMIT_TASKS = 8
_TASK_CPU = 1_000


class CutOffLeaderCase(platform_case.PlatformCase):
    """Daemons and workers that can be cut off from each other."""

    worker_count = 4

    async def asyncSetUp(self) -> None:
        # All that daemons and workers exchange passes through this process,
        # and the debug mode of the event loop takes most of its time.
        asyncio.get_running_loop().set_debug(False)
        await super().asyncSetUp()

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

    async def submit(self, number: int, duration_ms: int, *counts: int) -> str:
        """Submit a job with a step of each count and return its id."""
        job_id = _JOB_ID_FORMAT.format(number)
        # With this estimate, a job may wait for the limit and be on time.
        body = platform_case.make_job(duration_ms, *counts, estimate_ms=20_000)
        self.assertEqual(200, await self.call_any('POST', job_id, body))
        return job_id

    def cut_off_leader(self, resets: bool = False) -> None:
        """Cut off the leader and a worker from all other machines."""
        leader = self.leader().node
        others = {daemon.node for daemon in self.daemons} - {leader}
        others |= {worker.worker_id for worker in self.workers[1:]}
        cut_off = (leader, self.workers[0].worker_id)
        self.network.cut(cut_off, {*others, platform.STORE}, resets)


class CutOffLeaderTest(CutOffLeaderCase):
    """Guard tasks against a leader that does not hear of its successor."""

    async def play_cut(self, number: int, resets: bool) -> bool:
        """Cut the leader off while two jobs run.

        Returns whether it led until the cut healed, while a successor saw
        tasks end. On a busy machine the leader may change for other reasons.
        """
        job_ids = [
            await self.submit(number + index, 1_500, 12) for index in range(2)
        ]
        for job_id in job_ids:
            await self.wait_state(job_id, 'running', 'completed')
        old = self.leader()
        before = self.read_logs()
        self.cut_off_leader(resets)
        await asyncio.sleep(_CUT_S)
        added = {
            node: text[len(before[node]) :]
            for node, text in self.read_logs().items()
        }
        await self.network.heal()
        for job_id in job_ids:
            await self.wait_state(job_id, 'completed')
        # Until the old leader has heard of its successor.
        await asyncio.sleep(1.0)
        self.check_runs()
        if '"name":"leader_lost"' in added[old.node]:
            return False
        return any(
            '"name":"leader_ready"' in text and '"how":"done"' in text
            for node, text in added.items()
            if node != old.node
        )

    def read_logs(self) -> dict[str, str]:
        """Return what the daemons have logged, by node."""
        return {
            daemon.node: daemon.log_path.read_text() for daemon in self.daemons
        }

    async def check_cut(self, resets: bool) -> None:
        for number in range(_MAX_PLAYS):
            if await self.play_cut(2 * number, resets):
                return
        self.fail('a leader and its successor never led at the same time')

    async def test_tasks_that_a_successor_has_seen_end_run_once(self):
        """Guard against leases that only a successor has renewed.

        The old leader took them for run out and started tasks again whose
        ends the successor had acknowledged (issue 35: TWICE).
        """
        await self.check_cut(resets=False)

    async def test_tasks_run_once_after_a_cut_with_resets(self):
        """Guard against the same where connections are refused."""
        await self.check_cut(resets=True)


class PausedLeaderTest(CutOffLeaderCase):
    """Guard tasks against a leader whose process stood still."""

    async def test_workers_that_restarted_meanwhile(self):
        """Guard against lives that know nothing of the successor.

        The leader goes on beside workers that have restarted, and cut off
        from all else: no fence tells it of the successor, which has noted
        the ends of the lives before.
        """
        job_id = await self.submit(0, 1_500, 12)
        await self.wait_state(job_id, 'running')
        leader = self.leader()
        leader.send(signal.SIGSTOP)
        self.daemons.remove(leader)
        others = {daemon.node for daemon in self.daemons}
        # No announcement of the successor waits for it.
        self.network.cut({leader.node}, {*others, platform.STORE})
        await self.wait_state(job_id, 'completed')
        # Until the last ends are acknowledged.
        await asyncio.sleep(1.0)
        worker_ids = {worker.worker_id for worker in self.workers}
        self.network.cut(worker_ids, others)
        for worker in self.workers:
            worker.lose_power()
            worker.start_again()
        leader.send(signal.SIGCONT)
        await asyncio.sleep(_TAKEOVER_S)
        await self.network.heal()
        await asyncio.sleep(1.0)
        self.check_runs()


class TwoSidesLimitTest(CutOffLeaderCase):
    """Guard the limit of a workspace that two leaders keep at a time.

    One of them is cut off with a worker on which all its tasks run.
    """

    def choose_builds(self) -> None:
        """Add the machines to the network, and limit the workspace."""
        super().choose_builds()
        self.store.put(
            'keyed.op',
            'config',
            platform.make_configuration(
                2, cap_cpu=_LIMIT_TASKS * _TASK_CPU, advice=False
            ),
        )

    async def submit_to_cut_off_worker(
        self, duration_ms: int, *counts: int
    ) -> str:
        """Submit a job that starts on the worker that is to be cut off."""
        for worker in self.workers[1:]:
            worker.state = 'draining'
        await asyncio.sleep(_REGISTRY_S)
        job_id = await self.submit(0, duration_ms, *counts)
        await self.wait_state(job_id, 'running')
        for worker in self.workers[1:]:
            worker.state = 'ready'
        await asyncio.sleep(_REGISTRY_S)
        self.assertTrue(self.workers[0].history)
        for worker in self.workers[1:]:
            self.assertEqual([], worker.history)
        return job_id

    def most_running(self) -> int:
        """Return the highest number of tasks that ran at a time."""
        rows = sorted(
            (row for worker in self.workers for row in worker.history),
        )
        running = most = 0
        for _, what, _, _ in rows:
            if what != 'forgotten':
                running += 1 if what == 'start' else -1
            most = max(most, running)
        return most

    async def check_limit(self, job_id: str, is_cancelled: bool) -> None:
        self.cut_off_leader()
        await asyncio.sleep(_TAKEOVER_S)
        if is_cancelled:
            self.assertEqual(200, await self.call_any('DELETE', job_id))
        other_id = await self.submit(1, 1_000, _LIMIT_TASKS)
        await asyncio.sleep(_CUT_S - _TAKEOVER_S)
        await self.network.heal()
        await self.wait_state(other_id, 'completed')
        if not is_cancelled:
            await self.wait_state(job_id, 'completed')
        self.assertLessEqual(self.most_running(), _LIMIT_TASKS)
        self.check_runs()

    async def test_steps_that_only_the_leader_cut_off_can_start(self):
        """Guard against steps that the successor does not count (QUOTA)."""
        job_id = await self.submit_to_cut_off_worker(4_000, 1, _LIMIT_TASKS)
        await self.check_limit(job_id, is_cancelled=False)

    async def test_a_job_that_only_the_successor_has_cancelled(self):
        """Guard against tasks of it that no stop reaches (QUOTA)."""
        job_id = await self.submit_to_cut_off_worker(9_000, _LIMIT_TASKS)
        await self.check_limit(job_id, is_cancelled=True)
