"""Test the detection of slow and stalled workers."""

from basilspindle.cell.decisions import speed
from tests import cell_case

_JOB = '00000000000000aa'


class SpeedCase(cell_case.CellCase):
    """Tasks that make progress at given rates."""

    def setUp(self):
        super().setUp()
        self.add_worker('w1')
        self.add_worker('w2')

    def start(self, count, **changes):
        step = cell_case.make_step(count, **changes)
        self.submit(cell_case.make_definition(_JOB, step))
        return self.start_all(self.plan())

    def run_tasks(self, rates_percent_s, starts, duration_ms):
        """Run all tasks at the rate of their worker, in percent per second."""
        step_ms = 700
        for _ in range(0, duration_ms, step_ms):
            self.now_ms += step_ms
            for start in starts:
                rate_percent_s = rates_percent_s[start.worker_id]
                task = start.task
                if task.worker_id == start.worker_id:
                    task.percent = min(99, task.percent + rate_percent_s * 0.7)
            for worker in self.state.workers.values():
                worker.last_contact_ms = self.now_ms
                speed.check_progress(self.state, worker, self.now_ms)


class StalledTaskTest(SpeedCase):
    """Guard tasks on workers that stall but pass their health checks."""

    def test_tasks_of_a_stalled_worker_restart_elsewhere(self):
        """Guard against jobs that wait for a worker that hangs."""
        starts = self.start(6, estimate_ms=2_000)
        rates_percent_s = {'w1': 0, 'w2': 50}
        self.run_tasks(rates_percent_s, starts, 2_800)
        stopped = {stop.name for stop in self.state.take_orders().stops}
        hung = {s.task.name for s in starts if s.worker_id == 'w1'}
        self.assertEqual(hung, stopped)
        accepts = self.state.workers['w1'].accepts(self.now_ms, 10_000)
        self.assertFalse(accepts)
        self.assertTrue(self.state.workers['w2'].accepts(self.now_ms, 10_000))

    def test_work_that_ends_soon_is_left_alone(self):
        """Guard against needless restarts of tasks that are almost done."""
        starts = self.start(1, estimate_ms=1_000)
        name = starts[0].worker_id
        starts[0].task.percent = 90
        self.run_tasks({name: 25}, starts, 1_400)
        self.assertEqual([], self.state.take_orders().stops)

    def test_underestimated_run_time_causes_no_restart(self):
        """Guard against restarts that are due to a wrong estimate.

        Estimates are often off by half or more. Seen on the grown
        berceuse-partage, day scale-1: 786 runs were stopped, most of them for
        this reason.
        """
        starts = self.start(4, estimate_ms=1_000)
        self.run_tasks({'w1': 10, 'w2': 10}, starts, 3_500)
        self.assertEqual([], self.state.take_orders().stops)

    def test_normal_speed_differences_cause_no_restart(self):
        """Guard against moves due to normal differences in speed."""
        starts = self.start(6, estimate_ms=4_000)
        self.run_tasks({'w1': 18, 'w2': 25}, starts, 2_800)
        self.assertEqual([], self.state.take_orders().stops)


class SlownessTest(SpeedCase):
    """Guard the preference for fast workers."""

    def test_fast_workers_come_first(self):
        """Guard against tasks on slow workers while faster ones are idle."""
        for number in range(120):
            starts = self.start_job(number)
            self.now_ms += 1_300 if starts[0].worker_id == 'w1' else 1_000
            self.report_end(
                starts[0].worker_id, starts[0].task.name, starts[0].run
            )
            self.record()
        slowness = self.state.workers['w1'].speed.slowness
        self.assertGreater(slowness, self.state.workers['w2'].speed.slowness)
        [start] = self.start_job(999)
        self.assertEqual('w2', start.worker_id)

    def start_job(self, number):
        job_id = f'{number:016x}'
        # Only one worker is ready at a time, so that both are used.
        name = 'w1' if number % 2 else 'w2'
        for worker in self.state.workers.values():
            worker.ready = number == 999 or worker.worker_id == name
            worker.last_contact_ms = self.now_ms
        self.submit(cell_case.make_definition(job_id, cell_case.make_step()))
        return self.start_all(self.plan())
