"""Test how the speed of workers is learnt and used for placement."""

import math

from basilspindle.cell.decisions import packing
from basilspindle.cell.decisions import speed
from basilspindle.cell.decisions import speed_need
from basilspindle.cell import housekeeping
from basilspindle.cell import report as report_module
from basilspindle.cell import start_outcome
from tests import cell_case
from tests import speed_case

_JOB = 'ffffffffffffffff'


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
                changed = self.state.speed_classes.take_changed()
                found = {worker.worker_id for worker in changed}
                self.assertGreaterEqual(len(found & self.slow_ids), 6)

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

    def test_slow_seconds_leave_the_estimate_alone(self):
        """Guard against a worker that stays slow in the books after a fault.

        It is five times slower for two seconds. It gets no work meanwhile,
        and some again afterwards.
        """
        self.tail = 0.0
        self.make_fleet([1.0] * 8)
        self.play(6_000, self.keep_busy)
        worker = self.state.workers['w003']
        before = worker.speed.log_slowness
        self.speeds['w003'] = 0.2
        self.play(2_000, self.keep_busy)
        self.assertGreater(worker.suspect_until_ms, self.now_ms)
        names = set(worker.tasks)
        self.play(500, self.keep_busy)
        self.assertLessEqual(set(worker.tasks), names)
        self.speeds['w003'] = 1.0
        self.play(4_000, self.keep_busy)
        self.assertTrue(worker.accepts(self.now_ms))
        self.assertTrue(set(worker.tasks) - names)
        self.assertLess(worker.speed.log_slowness - before, 0.3)
        self.assertEqual(0, worker.speed_class)


class PlacementTest(speed_case.SpeedCase):
    """Guard which workers a step gets where they differ in speed."""

    def setUp(self):
        super().setUp()
        self.estimate_error = self.task_error = self.tail = 0.0
        self.make_fleet([speed_case.SLOW, speed_case.FAST] * 4)
        for name, worker in self.state.workers.items():
            is_slow = name in self.slow_ids
            worker.speed_class = int(is_slow)
            worker.class_slowness = 1.8 if is_slow else 0.8
        self.state.speed_classes.mixed_pools = {cell_case.POOL: 0.8}

    def occupy(self, names, cpu=3_000):
        """Reserve a part of some workers."""
        for name in names:
            worker = self.state.workers[name]
            worker.reserved = cell_case.workflow.Need(cpu)

    def place(self, count=1, definition=None, **changes):
        """Return the ids of the workers of a new step."""
        step = cell_case.make_step(count, **changes)
        job = cell_case.make_definition(_JOB, step, **(definition or {}))
        self.submit(job)
        return [start.worker_id for start in self.plan().starts]

    @property
    def fast_ids(self):
        return set(self.speeds) - self.slow_ids

    def test_urgent_work_goes_to_fast_workers(self):
        """Guard against short urgent jobs that are late on slow workers."""
        self.occupy(self.fast_ids)
        urgent = {'stretch': 1.5, 'target_latency_ms': 311}
        [name] = self.place(definition=urgent)
        self.assertIn(name, self.fast_ids)

    def test_work_with_slack_leaves_fast_workers_to_others(self):
        """Guard against fast workers full of work that has time."""
        self.occupy(self.fast_ids)
        slack = {'stretch': 5.0, 'target_latency_ms': 3_000}
        [name] = self.place(definition=slack)
        self.assertIn(name, self.slow_ids)

    def test_idle_fast_workers_are_used(self):
        """Guard against work on slow workers while fast ones are idle."""
        slack = {'stretch': 5.0, 'target_latency_ms': 3_000}
        [name] = self.place(definition=slack)
        self.assertIn(name, self.fast_ids)

    def test_a_wide_step_needs_faster_workers_than_a_narrow_one(self):
        """Guard against a wide step that waits for one task on a slow worker.

        The longest of many tasks takes longer than most.
        """
        self.occupy(self.fast_ids, 2_500)
        for count, wanted in ((1, self.slow_ids), (25, self.fast_ids)):
            with self.subTest(count=count):
                job_id = f'{count:016x}'
                step = cell_case.make_step(count, cpu=100)
                self.submit(
                    cell_case.make_definition(
                        job_id, step, stretch=3.5, target_latency_ms=1_000
                    )
                )
                names = {start.worker_id for start in self.plan().starts}
                self.assertLessEqual(names, wanted)

    def test_a_step_on_the_critical_path_gets_fast_workers(self):
        """Guard against a chain that is late for its first step."""
        self.occupy(self.fast_ids)
        chain = [
            cell_case.make_step(),
            cell_case.make_step(estimate_ms=200),
            cell_case.make_step(estimate_ms=4_000, after=(0,)),
        ]
        self.submit(
            cell_case.make_definition(
                _JOB, *chain, stretch=1.2, target_latency_ms=400
            )
        )
        workers = {
            start.task.step_run.index: start.worker_id
            for start in self.plan().starts
        }
        self.assertIn(workers[0], self.fast_ids)
        self.assertIn(workers[1], self.slow_ids)

    def test_a_step_starts_on_slow_workers_if_no_other_has_room(self):
        """Guard against idle slow workers beside a step that is late."""
        self.occupy(self.fast_ids, 4_000)
        urgent = {'stretch': 1.0, 'target_latency_ms': 200}
        [name] = self.place(definition=urgent)
        self.assertIn(name, self.slow_ids)

    def test_a_result_without_value_leaves_fast_workers_to_others(self):
        """Guard against fast workers that work for nobody."""
        self.occupy(self.fast_ids, 3_000)
        step = cell_case.make_step()
        self.submit(cell_case.make_definition(_JOB, step, stretch=1.0))
        self.now_ms += 10_000
        for worker in self.state.workers.values():
            worker.last_contact_ms = self.now_ms
        [start] = self.plan().starts
        self.assertIn(start.worker_id, self.slow_ids)

    def test_gang_has_members_of_one_class(self):
        """Guard against a gang of fast workers that waits for a slow one."""
        self.occupy(self.fast_ids, 2_000)
        for stretch in (1.5, 10.0):
            with self.subTest(stretch=stretch):
                changes = {'stretch': stretch}
                names = set(self.place(8, definition=changes, gang=True))
                wanted = self.fast_ids if stretch < 2 else self.slow_ids
                self.assertLessEqual(names, wanted)
                self.intake.cancel(_JOB, cell_case.WORKSPACE)
                self.state.table.ended_jobs.clear()
                self.state.table.jobs.clear()

    def test_gang_is_mixed_if_it_has_to_be(self):
        """Guard against a gang that waits although there is room."""
        names = self.place(32, definition={'stretch': 1.5}, gang=True)
        self.assertEqual(32, len(names))

    def test_best_fit_decides_within_a_class(self):
        """Guard against tasks spread over half-full workers."""
        self.occupy(['w003'], 3_000)
        urgent = {'stretch': 1.5, 'target_latency_ms': 311}
        self.assertEqual(['w003'], self.place(definition=urgent))

    def test_a_fast_worker_off_the_data_rack_beats_a_slow_one_on_it(self):
        """Guard against late work beside its data."""
        for name, worker in self.state.workers.items():
            worker.rack = 'r1' if name in self.slow_ids else 'r2'
        urgent = {'stretch': 1.5, 'target_latency_ms': 100}
        [name] = self.place(definition=urgent, data_rack='r1')
        self.assertIn(name, self.fast_ids)

    def test_without_classes_nothing_changes(self):
        """Guard the placement where all workers are alike."""
        self.state.speed_classes.mixed_pools = {}
        self.submit(cell_case.make_definition(_JOB, cell_case.make_step()))
        [run] = self.state.table.ready_steps.values()
        need = speed_need.speed_need(self.state, run, self.now_ms)
        self.assertIsNone(need)
        for worker in self.state.workers.values():
            worker.speed_class = 0
        self.occupy(['w004'], 3_000)
        workers = list(self.state.workers.values())
        self.assertEqual({'w004': 1}, packing.assign(run, workers, 1))


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

    def test_a_task_goes_on_at_its_own_pace(self):
        """Guard against the end of a long task that is expected too early.

        It takes seven times as long as the other tasks of its step.
        """
        self.submit_step(8)
        played = next(iter(self.runs.values()))
        played.work_ms *= 7
        self.play(3_000)
        rest_ms = (played.work_ms - played.done_ms) / self.speed_of(played)
        self.assertLess(
            abs(self.remaining_ms(played.task) - rest_ms), 0.15 * rest_ms
        )

    def test_a_task_of_an_earlier_leader_is_measured(self):
        """Guard against speeds that a new leader learns from new tasks only.

        It knows neither when the task started nor what was done by then.
        """
        step = cell_case.make_step(estimate_ms=10_000)
        job = self.submit(cell_case.make_definition(_JOB, step))
        job.recovered = True
        name = job.runs[0, 0].tasks[0].name
        self.report('w000', [(name, 3)])
        [task] = self.state.workers['w000'].tasks.values()
        self.assertEqual(50, task.percent)
        self.now_ms += 4_000
        task.percent = 70
        worker = self.state.workers['w000']
        worker.last_contact_ms = self.now_ms
        speed.check_progress(self.state, worker, self.now_ms)
        self.assertEqual(1, worker.speed.samples)
        self.assertGreater(worker.speed.slowness, 1.1)
        self.assertAlmostEqual(6_000, self.remaining_ms(task), delta=1)

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

    def test_a_slow_worker_that_leaves_needs_more_time(self):
        """Guard against tasks that are cut off at the end of their worker."""
        worker = self.state.workers['w000']
        worker.speed.update(math.log(1.8), 0.0)
        self.submit_step(8)
        self.state.take_orders()
        for other in self.state.workers.values():
            other.ready = False
            other.drain_end_ms = self.now_ms + 1_300
        housekeeping.evacuate(self.state, self.now_ms)
        stopped = {stop.worker_id for stop in self.state.take_orders().stops}
        self.assertEqual({'w000'}, stopped)


class FaultyWorkerTest(speed_case.SpeedCase):
    """Guard that faulty workers lose their work, and get some again."""

    def keep_busy(self):
        slots = 4 * len(self.speeds)
        while len(self.runs) < 0.85 * slots:
            if self.state.table.ready_steps:
                return
            self.submit_step(self.random.choice((1, 1, 2, 6)))

    def count_starts(self, name, duration_ms):
        """Play the load and return how many runs a worker was given."""
        seen = {key for key, run in self.runs.items() if run.worker_id == name}
        before = len(seen)

        def submit():
            self.keep_busy()
            seen.update(
                key for key, run in self.runs.items() if run.worker_id == name
            )

        self.play(duration_ms, submit)
        return len(seen) - before

    def test_wrong_estimates_make_no_worker_suspect(self):
        """Guard against healthy workers without work, and needless restarts.

        The durations of steps are off by 0.9.
        """
        self.tail = 0.0
        self.estimate_error = 0.9
        self.make_fleet([1.0] * 24)
        suspect = 0
        for _ in range(40):
            self.play(250, self.keep_busy_with_any)
            suspect += sum(
                worker.suspect_until_ms > self.now_ms
                for worker in self.state.workers.values()
            )
        self.assertLess(suspect, 0.02 * 40 * 24)
        stopped = [
            kind
            for _, kind in self.ended
            if kind is report_module.EndKind.STOPPED
        ]
        self.assertLess(len(stopped), 0.02 * len(self.ended))

    def keep_busy_with_any(self):
        """Keep 85% of the slots busy with tasks of different lengths."""
        slots = 4 * len(self.speeds)
        while len(self.runs) < 0.85 * slots:
            if self.state.table.ready_steps:
                return
            self.submit_step(
                self.random.choice((1, 1, 2, 6)),
                estimate_ms=self.random.choice((800, 2_200, 5_000)),
            )

    def test_a_worker_that_is_slow_now_and_then(self):
        """Guard against work for a worker in each of its slow times."""
        self.tail = 0.0
        self.make_fleet([1.0] * 8)
        self.play(6_000, self.keep_busy)
        for _ in range(3):
            self.speeds['w003'] = 0.2
            self.play(2_000, self.keep_busy)
            # It may be tried again once, with as much as fits on it.
            self.assertLessEqual(self.count_starts('w003', 750), 4)
            self.speeds['w003'] = 1.0
            self.assertGreater(self.count_starts('w003', 4_000), 0)

    def test_a_worker_that_answers_no_start(self):
        """Guard against a start each 300 ms that is lost for seconds."""
        self.make_fleet([1.0])
        worker = self.state.workers['w000']
        lost = []
        for _ in range(0, 10_000, 50):
            self.now_ms += 50
            worker.last_contact_ms = self.now_ms
            housekeeping.clear_expired_suspicions(self.state, self.now_ms)
            if not self.state.table.ready_steps:
                self.jobs += 1
                step = cell_case.make_step()
                self.submit(
                    cell_case.make_definition(f'{self.jobs:016x}', step)
                )
            for start in self.plan().starts:
                self.apply_outcome(start, start_outcome.StartOutcome.UNKNOWN)
                self.report_end(
                    'w000',
                    start.task.name,
                    start.run,
                    report_module.EndKind.STOPPED,
                )
                lost.append(self.now_ms)
        # Four short pauses, then one start in 1,200 ms.
        self.assertLess(len(lost), 13)
        self.assertLess(lost[-2], lost[-1] - 1_000)
        for _ in range(20):
            worker.record_success()
        worker.suspect_until_ms = 0
        step = cell_case.make_step()
        self.submit(cell_case.make_definition(_JOB, step))
        start = self.plan().starts[0]
        self.apply_outcome(start, start_outcome.StartOutcome.UNKNOWN)
        self.assertEqual(self.now_ms + 300, worker.suspect_until_ms)

    def test_a_worker_that_fails_all_runs(self):
        """Guard against a stream of jobs that fail on one worker."""
        self.make_fleet([1.0] * 8)
        self.play(3_000, self.keep_busy)
        failed = []

        def submit():
            for key, played in list(self.runs.items()):
                if played.worker_id == 'w003' and played.done_ms >= 150:
                    del self.runs[key]
                    failed.append(self.now_ms)
                    self.report_end('w003', *key, report_module.EndKind.FAILED)
            self.keep_busy()

        self.play(10_000, submit)
        # Each trial costs at most what fits on the worker.
        self.assertLess(len(failed), 4 * 6)
        self.assertGreater(self.count_starts('w003', 4_000), 0)
