"""Test tasks whose holder is cut off together with their workers."""

import unittest

from basilspindle import errors
from basilspindle.peer import messages
from tests.standins import site_rig


class CutHolderTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a task started again while another holder runs it."""

    async def asyncSetUp(self):
        self.rig = site_rig.SiteRig()
        await self.enterAsyncContext(self.rig)
        for number in range(4):
            self.rig.add_worker(f'w{number}')
        for member_id in ('a', 'b', 'c'):
            await self.rig.add(member_id)
        await self.rig.wait_until(self.is_ready)

    def is_ready(self):
        held = sum(
            daemon.fleet.free_capacity().workers
            for daemon in self.rig.daemons.values()
        )
        owner = self.rig.owner()
        return owner is not None and held == len(self.rig.workers)

    def split(self, **options):
        """Cut off the last daemon that owns nothing, and three workers.

        The owner keeps the worker that it holds, or any if it holds none.
        """
        owner = self.rig.owner()
        other = [d for d in self.rig.daemons.values() if d is not owner][-1]
        self.cut_workers = sorted(self.rig.workers)[:3]
        self.rig.split([other.member_id], self.cut_workers, **options)

    async def check_one_run(self, **options):
        await self.rig.submit(
            self.rig.owner(), self.rig.job('j', 90_000, tasks=12)
        )
        await self.rig.run_ms(1_000)
        self.split(**options)
        await self.rig.run_ms(60_000)
        self.rig.heal()
        await self.rig.run_ms(60_000)
        self.assertEqual([], self.rig.breaches())
        for index in range(12):
            runs = self.rig.runs(f'j/{index}')
            self.assertEqual(['succeeded'], [run.outcome for run in runs])

    async def test_holder_is_cut_off_without_the_log(self):
        """Guard against a lease that the former holder takes for run out."""
        await self.check_one_run(log=False)

    async def test_holder_is_cut_off_with_resets(self):
        """Guard against a lease that the former holder takes for run out."""
        await self.check_one_run(log=False, resets=True)

    async def test_end_told_right_after_a_cut(self):
        """Guard against a result that is told, lost and worked out again."""
        owner = self.rig.owner()
        job = self.rig.job('j', 1_500)
        await self.rig.submit(owner, job)
        await self.rig.wait_until(lambda: self.rig.runs('j/0'))
        [run] = self.rig.runs('j/0')
        inside = {owner.member_id} | {
            daemon.member_id
            for daemon in self.rig.daemons.values()
            for status in daemon.fleet.workers()
            if status.info.worker_id == run.worker_id and status.ready
        }
        await self.rig.wait_until(
            lambda: self.rig.clock.now_ms() >= run.due_ms - 200
        )
        self.rig.split(inside, [run.worker_id], log=False)
        await self.rig.run_ms(400)
        request = messages.View(
            partition=0, workspace=job.workspace, job_id='j', wait_ms=0
        )
        told = False
        try:
            reply = await self.rig.run_until_complete(
                owner.router.call(request, 500)
            )
            told = reply.view.state.final
        except errors.BasilspindleError:
            pass
        # The daemons and the worker are lost before the cut heals.
        for member_id in inside:
            await self.rig.daemons[member_id].kill()
            await self.rig.add(member_id)
        self.rig.workers[run.worker_id].restart()
        self.rig.heal()
        await self.rig.wait_until(
            lambda: self.rig.recorded_state('j').final, 120_000
        )
        if told:
            self.assertEqual(1, len(self.rig.runs('j/0')))
