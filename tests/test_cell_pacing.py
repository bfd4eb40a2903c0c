"""Test the throttling of backfill tasks that run beside services."""

from basilspindle.cell.decisions import pacing
from basilspindle.cell.decisions import speed
from tests import cell_case

_SERVICE = '00000000000000aa'
_BACKFILL = '00000000000000bb'
_TARGET_MS = 200
# Shortest limit of any site on how long a service may be over its target.
_MAX_OVER_TARGET_MS = 4_000


class PacingTest(cell_case.CellCase):
    """One worker with a service and a backfill task."""

    def setUp(self):
        super().setUp()
        self.add_worker('w1', cpu=4_000)
        service = cell_case.make_step(
            cpu=3_000, service=True, target_ms=_TARGET_MS
        )
        backfill = cell_case.make_step(cpu=2_000, fills=True)
        self.submit(cell_case.make_definition(_SERVICE, service))
        self.submit(cell_case.make_definition(_BACKFILL, backfill))
        starts = self.start_all(self.plan())
        self.assertEqual(2, len(starts))
        self.running = [(start.task.name, start.run) for start in starts]
        self.backfill = self.state.table.tasks[f'{_BACKFILL}.0.0.0']

    def report_response_time(self, response_time_ms):
        """Report a second later and return the paces that are ordered."""
        self.now_ms += 1_000
        loads = {f'{_SERVICE}.0.0.0': response_time_ms}
        self.report('w1', self.running, loads=loads)
        worker = self.state.workers['w1']
        pacing.pace(self.state, worker, self.now_ms)
        return [order.percent for order in self.state.take_orders().paces]

    def test_service_over_target_stops_backfill(self):
        """Guard against a service over its target for longer than allowed."""
        self.assertEqual([], self.report_response_time(100))
        began_ms = self.now_ms
        self.assertEqual([0], self.report_response_time(_TARGET_MS))
        self.assertLess(self.now_ms - began_ms, _MAX_OVER_TARGET_MS / 2)
        self.assertEqual([], self.report_response_time(_TARGET_MS))

    def test_service_near_target_slows_backfill(self):
        """Guard against throttling only after the target is exceeded."""
        self.assertEqual([50], self.report_response_time(170))
        self.assertEqual([25], self.report_response_time(170))
        self.assertEqual([], self.report_response_time(120))

    def test_backfill_pace_recovers_gradually(self):
        """Guard against unused capacity, and against oscillation."""
        self.report_response_time(300)
        paces = [self.report_response_time(20) for _ in range(12)]
        self.assertEqual([20, 40, 60, 80, 100], sum(paces, []))
        self.assertEqual([], paces[0])

    def test_what_an_earlier_leader_paced_is_decided_anew(self):
        """Guard against a task that stays paused after a leader change."""
        self.backfill.pace_percent = None
        self.assertEqual([20], self.report_response_time(20))

    def test_without_a_service_nothing_is_paced(self):
        """Guard against pace orders without a service to protect."""
        self.running = [row for row in self.running if _BACKFILL in row[0]]
        self.state.end_job(
            self.state.table.jobs[_SERVICE],
            self.state.table.jobs[_BACKFILL].state.CANCELLED,
        )
        self.state.requeue_worker_tasks(self.state.workers['w1'])
        self.assertEqual([], self.report_response_time(0))

    def test_paused_task_does_not_mark_worker_suspect(self):
        """Guard against a worker that is suspect because of a pace of 0."""
        self.report_response_time(300)
        for _ in range(8):
            self.report_response_time(300)
            speed.check_progress(
                self.state, self.state.workers['w1'], self.now_ms
            )
        self.assertTrue(self.state.workers['w1'].accepts(self.now_ms))
