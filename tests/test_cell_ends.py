"""Test how the ends of runs change jobs and workers."""

import msgspec

from basilspindle.cell import report as report_module
from basilspindle import workflow
from basilspindle.workflow import progress
from tests import cell_case

_FAILED = report_module.EndKind.FAILED
_JOB = '00000000000000aa'


class FailedRunsTest(cell_case.CellCase):
    """Guard the limit on failed runs of a task."""

    def setUp(self):
        super().setUp()
        for name in ('w1', 'w2'):
            self.add_worker(name)

    def recover(self, job):
        """Return the job as a later leader restores it from the log."""
        raw = msgspec.msgpack.encode(progress.capture(job))
        saved = msgspec.msgpack.decode(raw, type=progress.Progress)
        self.make_state(term=1)
        for name in ('w1', 'w2'):
            self.add_worker(name)
        restored = progress.restore(
            job.definition, saved, self.now_ms, self.now_ms
        )
        self.intake.adopt(restored, self.now_ms)
        self.record()
        return restored

    def test_ends_in_any_order_are_all_counted(self):
        """Guard against a later leader that misses an earlier failure.

        Two workers report one failed run each, the later run first. If the
        earlier one is ignored, the task starts more often than allowed. Seen
        on berceuse-partage, day trouble-2: a start after four failed runs.
        """
        definition = cell_case.make_definition(
            _JOB, cell_case.make_step(), max_attempts=2
        )
        job = self.recover(self.submit(definition))
        task = f'{_JOB}.0.0.0'
        self.report_end('w2', task, 102, _FAILED)
        self.assertFalse(job.state.is_final)
        self.report_end('w1', task, 101, _FAILED)
        self.assertEqual(workflow.JobState.FAILED, job.state)
        self.assertEqual([], self.plan().starts)

    def test_one_end_listed_twice_counts_once(self):
        """Guard against a job that fails before its attempts are used up."""
        definition = cell_case.make_definition(
            _JOB, cell_case.make_step(), max_attempts=2
        )
        job = self.submit(definition)
        [start] = self.start_all(self.plan())
        self.report_end(start.worker_id, start.task.name, start.run, _FAILED)
        job = self.recover(job)
        self.report_end(start.worker_id, start.task.name, start.run, _FAILED)
        self.assertFalse(job.state.is_final)

    def test_failed_gang_run_counts_once(self):
        """Guard against counting a failed run of a gang once per member."""
        step = cell_case.make_step(2, gang=True)
        job = self.submit(
            cell_case.make_definition(_JOB, step, max_attempts=2)
        )
        starts = self.start_all(self.plan())
        self.assertEqual(1, len({start.run for start in starts}))
        for start in starts:
            self.report_end(
                start.worker_id, start.task.name, start.run, _FAILED
            )
        self.assertFalse(job.state.is_final)
        self.assertEqual(2, len(self.plan().starts))


class FailingWorkerTest(cell_case.CellCase):
    """Guard the use of a worker that fails all its runs.

    With a steady stream of jobs, such a worker always has free capacity and
    would attract ever more of them.
    """

    def setUp(self):
        super().setUp()
        for name in ('w1', 'w2'):
            self.add_worker(name)

    def fail_all(self, starts):
        for start in starts:
            if start.worker_id == 'w1':
                self.report_end('w1', start.task.name, start.run, _FAILED)

    def submit_jobs(self, first, count):
        for number in range(first, first + count):
            step = cell_case.make_step()
            self.submit(cell_case.make_definition(f'{number:016x}', step))
        return self.start_all(self.plan())

    def test_it_gets_no_work_after_a_few_failures(self):
        """Guard against one job after another that fails on this worker."""
        self.fail_all(self.submit_jobs(1, 4))
        starts = self.submit_jobs(16, 8)
        self.assertEqual({'w2'}, {start.worker_id for start in starts})

    def test_it_is_tried_again(self):
        """Guard against never using the worker again after it recovers."""
        self.fail_all(self.submit_jobs(1, 4))
        self.submit_jobs(16, 8)
        self.now_ms += 2_500
        self.report('w1')
        starts = self.start_all(self.plan())
        self.assertIn('w1', {start.worker_id for start in starts})

    def test_single_task_failure_does_not_change_placement(self):
        """Guard against single task failures that change the placement."""
        first, second = self.submit_jobs(1, 2)
        self.assertEqual('w1', first.worker_id)
        self.report_end('w1', second.task.name, second.run, _FAILED)
        [again] = self.start_all(self.plan())
        self.assertEqual('w2', again.worker_id)
        # Both workers are equally full, so the first one is preferred.
        [start] = self.submit_jobs(16, 1)
        self.assertEqual('w1', start.worker_id)

    def test_jobs_that_fail_everywhere_count_against_no_worker(self):
        """Guard against a few broken jobs that make all workers suspect."""
        step = cell_case.make_step()
        for number in range(3):
            self.submit(cell_case.make_definition(f'{number:016x}', step))
        for _ in range(2):
            for start in self.start_all(self.plan()):
                self.report_end(
                    start.worker_id, start.task.name, start.run, _FAILED
                )
        for worker in self.state.workers.values():
            self.assertEqual(set(), worker.failed_job_ids)


class DoneTest(cell_case.CellCase):
    """Guard that completed work is never repeated or lost."""

    def test_steps_wait_for_all_earlier_tasks(self):
        """Guard against a step that starts before its dependencies."""
        self.add_worker('w1')
        job = self.submit(
            cell_case.make_definition(
                _JOB,
                cell_case.make_step(2),
                cell_case.make_step(1, after=(0,)),
            )
        )
        first, second = self.start_all(self.plan())
        self.report_end('w1', first.task.name, first.run)
        self.assertEqual([], self.plan().starts)
        self.report_end('w1', second.task.name, second.run)
        [last] = self.start_all(self.plan())
        self.assertEqual(f'{_JOB}.0.1.0', last.task.name)
        self.report_end('w1', last.task.name, last.run)
        self.assertEqual(workflow.JobState.COMPLETED, job.state)
        self.assertEqual(0, self.state.workers['w1'].used.cpu_millicores)

    def test_gang_capacity_is_freed_per_reported_end(self):
        """Guard against capacity that is used twice while members end."""
        for name in ('w1', 'w2'):
            self.add_worker(name, cpu=1_000)
        step = cell_case.make_step(2, gang=True)
        job = self.submit(cell_case.make_definition(_JOB, step))
        starts = self.start_all(self.plan())
        self.report_end(
            starts[0].worker_id, starts[0].task.name, starts[0].run
        )
        self.assertEqual(workflow.JobState.COMPLETED, job.state)
        other = self.state.workers[starts[1].worker_id]
        self.assertEqual(1_000, other.used.cpu_millicores)
        self.report_end(
            starts[1].worker_id, starts[1].task.name, starts[1].run
        )
        self.assertEqual(0, other.used.cpu_millicores)

    def test_a_later_run_that_is_not_needed_is_stopped(self):
        """Guard against a run that continues although it is not needed.

        The first run ends on a worker that was considered lost, after a
        second run has started elsewhere.
        """
        self.add_worker('w1')
        self.add_worker('w2')
        definition = cell_case.make_definition(_JOB, cell_case.make_step())
        self.submit(definition)
        [first] = self.start_all(self.plan())
        lost = self.state.workers[first.worker_id]
        self.state.requeue_worker_tasks(lost)
        lost.suspect_until_ms = self.now_ms + 10_000
        [second] = self.start_all(self.plan())
        self.report_end(first.worker_id, first.task.name, first.run)
        [stop] = self.state.take_orders().stops
        self.assertEqual(second.run, stop.run)
        self.assertEqual(second.worker_id, stop.worker_id)
