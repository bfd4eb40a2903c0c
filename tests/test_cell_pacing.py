"""Guard services against the tasks that fill beside them."""

from basilspindle.cell import pacing
from basilspindle.cell import speed
from tests import cell_case

_SERVICE = '00000000000000aa'
_FILL = '00000000000000bb'
_TARGET_MS = 200
# A service may be over its bound for this long; the shortest of the sites.
_HARM_MS = 4_000


class PacingTest(cell_case.CellCase):
    """One worker with a service, and a task that fills beside it."""

    def setUp(self):
        super().setUp()
        self.add_worker('w1', cpu=4_000)
        serve = cell_case.make_step(
            cpu=3_000, service=True, target_ms=_TARGET_MS
        )
        fill = cell_case.make_step(cpu=2_000, fills=True)
        self.submit(cell_case.make_definition(_SERVICE, serve))
        self.submit(cell_case.make_definition(_FILL, fill))
        starts = self.run_all(self.plan())
        self.assertEqual(2, len(starts))
        self.running = [(each.task.name, each.run) for each in starts]
        self.fill = self.state.table.tasks[f'{_FILL}.0.0.0']

    def pace(self, tail_ms):
        """Report once a second; returns the pace that is ordered."""
        self.now_ms += 1_000
        loads = {f'{_SERVICE}.0.0.0': tail_ms}
        self.report('w1', self.running, loads=loads)
        worker = self.state.workers['w1']
        pacing.pace(self.state, worker, self.now_ms)
        return [order.percent for order in self.state.take_orders().paces]

    def test_a_service_over_its_bound_stops_the_filling(self):
        """Guard against a service that is slow for longer than allowed."""
        self.assertEqual([], self.pace(100))
        began_ms = self.now_ms
        self.assertEqual([0], self.pace(_TARGET_MS))
        self.assertLess(self.now_ms - began_ms, _HARM_MS / 2)
        self.assertEqual([], self.pace(_TARGET_MS))

    def test_a_service_close_to_its_bound_slows_the_filling(self):
        """Guard against a bound that is met only after it was broken."""
        self.assertEqual([50], self.pace(170))
        self.assertEqual([25], self.pace(170))
        self.assertEqual([], self.pace(120))

    def test_the_filling_grows_again(self):
        """Guard against room that stays unused, and against swings."""
        self.pace(300)
        paces = [self.pace(20) for _ in range(12)]
        self.assertEqual([20, 40, 60, 80, 100], sum(paces, []))
        self.assertEqual([], paces[0])

    def test_what_an_earlier_leader_paced_is_decided_anew(self):
        """Guard against a task that stands still for good."""
        self.fill.pace_percent = None
        self.assertEqual([20], self.pace(20))

    def test_without_a_service_nothing_is_paced(self):
        """Guard against orders that serve nobody."""
        self.running = [row for row in self.running if _FILL in row[0]]
        self.state.end_job(
            self.state.table.jobs[_SERVICE],
            self.state.table.jobs[_FILL].state.CANCELLED,
        )
        self.state.requeue_worker_tasks(self.state.workers['w1'])
        self.assertEqual([], self.pace(0))

    def test_a_paced_task_makes_no_slow_worker(self):
        """Guard against a worker that is suspected for a pace of 0."""
        self.pace(300)
        for _ in range(8):
            self.pace(300)
            speed.check_progress(
                self.state, self.state.workers['w1'], self.now_ms
            )
        self.assertTrue(self.state.workers['w1'].accepts(self.now_ms))
