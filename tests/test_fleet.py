"""Guard placement, leases and the fate of tasks on held workers."""

from basilspindle import model
from tests import fleet_case


class PlaceTest(fleet_case.FleetCase):
    """Guard against lost, repeated and overcommitted tasks."""

    async def test_task_runs_and_its_end_is_reported_and_released(self):
        """Guard against a result that never arrives or is never freed."""
        opened = await self.start_fleet()
        order = self.order('a/0', run_ms=50, given={'echo': 'x'})
        (placed,) = await self.place(opened, order)
        self.assertEqual('w0', placed.worker_id)
        await self.clock.advance_ms(60)
        end = self.end_of('a/0')
        self.assertIs(model.State.SUCCEEDED, end.state)
        self.assertIn(b'"echo":"x"', end.result)
        await self.clock.advance_ms(2_000)
        self.assertEqual([], self.workers['w0'].inventory()[1]['ended'])
        self.check_record()
