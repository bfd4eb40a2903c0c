"""Test how the speed of workers is learnt and used for placement."""

import math

from basilspindle.cell.decisions import speed
from basilspindle.cell import report as report_module
from tests import speed_case


class LearningTest(speed_case.SpeedCase):
    """Guard the estimates of the speed of workers."""

    def keep_busy(self, gang=False, **changes):
        slots = 4 * len(self.speeds)
        while len(self.runs) < 0.85 * slots:
            if self.state.table.ready_steps:
                return
            sizes = (2, 4) if gang else (1, 1, 2, 6)
            count = self.random.choice(sizes)
            self.submit_step(count, gang=gang, **changes)

    def count_right(self):
        """Return the part of workers that are told apart correctly."""
        workers = self.state.workers
        right = sum(
            (workers[name].speed_class > 0) == (name in self.slow_ids)
            for name in workers
        )
        return right / len(workers)

    def assert_slow_are_known(self, least_log_ratio=0.4):
        """Assert that slow workers are estimated as slower than fast ones."""
        means = []
        for is_slow in (True, False):
            logs = [
                worker.speed.log_slowness
                for name, worker in self.state.workers.items()
                if (name in self.slow_ids) == is_slow and worker.speed.samples
            ]
            means.append(sum(logs) / len(logs))
        self.assertGreater(means[0] - means[1], least_log_ratio)

    def test_speeds_are_known_after_a_few_ends(self):
        """Guard against dozens of tasks placed on workers of unknown speed.

        The durations of tasks are off by 0.6 from the estimate, differ by
        0.25 within a step, and 3 in 100 take seven times as long.
        """
        for seed in range(3):
            with self.subTest(seed=seed):
                self.setUp()
                self.make_mixed_fleet(40, seed=seed)
                self.play(5_000, self.keep_busy)
                # About twelve tasks have ended on each worker.
                self.assertLess(len(self.ended), 16 * 40)
                self.assertGreater(self.count_right(), 0.9)

    def test_equal_workers_are_of_one_class(self):
        """Guard against placement by the noise of the estimates."""
        for seed in range(3):
            self.setUp()
            self.make_fleet([speed_case.FAST] * 60, seed=seed)
            for _ in range(24):
                self.play(250, self.keep_busy)
                with self.subTest(seed=seed, now_ms=self.now_ms):
                    classes = {
                        worker.speed_class
                        for worker in self.state.workers.values()
                    }
                    self.assertEqual({0}, classes)
                    self.assertEqual({}, self.state.speed_classes.mixed_pools)

    def test_gangs_tell_the_speed_of_their_slowest_member(self):
        """Guard against a fleet of gangs whose speeds stay unknown."""
        self.make_mixed_fleet(24)
        self.play(12_000, lambda: self.keep_busy(gang=True))
        self.assert_slow_are_known(0.3)

    def test_progress_tells_before_the_first_end(self):
        """Guard against long tasks placed without knowledge of the speed."""
        self.make_mixed_fleet(24)
        self.play(
            4_000,
            lambda: self.keep_busy(estimate_ms=20_000),
        )
        done = report_module.EndKind.DONE
        ends = [kind for _, kind in self.ended if kind is done]
        self.assertLess(len(ends), len(self.speeds) / 4)
        self.assert_slow_are_known(0.2)

    def test_tasks_outside_the_data_rack_make_no_worker_slow(self):
        """Guard against taking the distance of the data for a slow worker."""
        self.make_fleet([1.0] * 24)

        def submit():
            self.keep_busy(data_rack='r1')

        self.play(8_000, submit)
        logs = {True: [], False: []}
        for worker in self.state.workers.values():
            logs[worker.rack == 'r1'].append(worker.speed.log_slowness)
        near, far = (sum(row) / len(row) for row in logs.values())
        self.assertLess(abs(near - far), math.log(1.5) / 2)
        self.assertEqual({}, self.state.speed_classes.mixed_pools)

    def test_one_long_task_makes_no_worker_slow(self):
        """Guard against a slow class of one task that took longer."""
        self.task_error = self.estimate_error = 0.0
        self.tail = 0.0
        self.make_fleet([1.0] * 8)
        self.play(3_000, self.keep_busy)
        self.submit_step(1)
        [long_run] = [
            played
            for played in self.runs.values()
            if played.task.step_run.job.job_id == f'{self.jobs:016x}'
        ]
        long_run.work_ms *= 7
        self.play(8_000, self.keep_busy)
        worker = self.state.workers[long_run.worker_id]
        self.assertEqual(0, worker.speed_class)

    def test_a_resumed_task_tells_nothing(self):
        """Guard against a worker that looks fast for a part of a task."""
        self.make_fleet([1.0] * 2)
        job = self.submit_step(1, checkpoints=True)
        [played] = self.runs.values()
        played.task.checkpoint = 'half'
        played.task.percent = 50
        self.state.request_stop(played.task)
        self.play(300)
        [again] = self.runs.values()
        self.report_end(again.worker_id, again.task.name, again.run)
        self.assertEqual(1, job.runs[0, 0].done)
        samples = self.state.workers[again.worker_id].speed.samples
        self.assertEqual(0, samples)


class ExpectedEndTest(speed_case.SpeedCase):
    """Guard the expected end of a running task."""

    def setUp(self):
        super().setUp()
        self.estimate_error = self.task_error = self.tail = 0.0
        self.make_fleet([speed_case.SLOW, speed_case.FAST], rack='r1')

    def remaining_ms(self, task):
        return speed.remaining_ms(self.state, task, self.now_ms)

    def test_progress_and_speed_tell_the_end(self):
        """Guard against ends that are expected too early on slow workers."""
        self.submit_step(8, estimate_ms=2_000)
        self.play(1_000)
        for played in self.runs.values():
            rest_ms = played.work_ms - played.done_ms
            actual_ms = rest_ms / self.speeds[played.worker_id]
            expected_ms = self.remaining_ms(played.task)
            self.assertLess(abs(expected_ms - actual_ms), 250)

    def test_a_task_that_has_just_started_takes_as_long_as_its_worker(self):
        """Guard against ends by the mean speed of the fleet."""
        worker = self.state.workers['w000']
        worker.speed.update(math.log(1.8), 0.0)
        self.submit_step(8)
        for task in worker.tasks.values():
            expected_ms = self.remaining_ms(task)
            self.assertAlmostEqual(1_800, expected_ms, delta=1)
            run = task.step_run
            here_ms = speed.expected_ms(self.state, run, worker)
            self.assertAlmostEqual(1_800, here_ms, delta=1)
            normal_ms = speed.expected_ms(self.state, run)
            self.assertAlmostEqual(1_000, normal_ms, delta=1)

    def test_distance_of_the_data_counts(self):
        """Guard against ends that are expected too early off the rack."""
        self.submit_step(1, data_rack='r2')
        [played] = self.runs.values()
        self.assertAlmostEqual(
            1_000 * self.state.bounds.remote_factor,
            self.remaining_ms(played.task),
        )
