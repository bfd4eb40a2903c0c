"""Test workers that start again under their ids and are cut off soon after.

``python -m tests.restarts_case`` runs other seeds.
"""

from tests import restarts_case


class RestartedWorkersTest(restarts_case.RestartsCase):
    """Guard against runs on lives that the leader has not heard of."""

    seed = 0

    async def test_tasks_run_once_as_their_workers_start_again(self):
        """Guard against two runs of a task at once (issues 43 and 45)."""
        await self.play()
