"""Guard how the ends of runs count for their jobs."""

import msgspec

from basilspindle.cell import report as report_module
from basilspindle import workflow
from basilspindle.workflow import progress
from tests import cell_case

_FAILED = report_module.EndKind.FAILED
_JOB = '00000000000000aa'


class FailedRunsTest(cell_case.CellCase):
    """Guard the bound on failed runs of a task."""

    def setUp(self):
        super().setUp()
        for name in ('w1', 'w2'):
            self.add_worker(name)

    def recover(self, job):
        """Return the job as a later leader reads it from the log."""
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

        Two workers list one failed run each; the one with the later run
        answers first (berceuse-partage trouble-2, a start after four
        failed runs).
        """
        definition = cell_case.make_definition(
            _JOB, cell_case.make_step(), max_attempts=2
        )
        job = self.recover(self.submit(definition))
        task = f'{_JOB}.0.0.0'
        self.end('w2', task, 102, _FAILED)
        self.assertFalse(job.state.is_final)
        self.end('w1', task, 101, _FAILED)
        self.assertEqual(workflow.JobState.FAILED, job.state)
        self.assertEqual([], self.plan().starts)

    def test_one_end_listed_twice_counts_once(self):
        """Guard against a job that fails before its attempts are used."""
        definition = cell_case.make_definition(
            _JOB, cell_case.make_step(), max_attempts=2
        )
        job = self.submit(definition)
        [start] = self.run_all(self.plan())
        self.end(start.worker_id, start.task.name, start.run, _FAILED)
        job = self.recover(job)
        self.end(start.worker_id, start.task.name, start.run, _FAILED)
        self.assertFalse(job.state.is_final)

    def test_a_gang_fails_once_a_run(self):
        """Guard against one failed run of a gang that counts per member."""
        step = cell_case.make_step(2, gang=True)
        job = self.submit(
            cell_case.make_definition(_JOB, step, max_attempts=2)
        )
        starts = self.run_all(self.plan())
        self.assertEqual(1, len({start.run for start in starts}))
        for start in starts:
            self.end(start.worker_id, start.task.name, start.run, _FAILED)
        self.assertFalse(job.state.is_final)
        self.assertEqual(2, len(self.plan().starts))


class DoneTest(cell_case.CellCase):
    """Guard that work which is done stays done."""

    def test_steps_wait_for_all_earlier_tasks(self):
        """Guard against a step that starts before those it follows."""
        self.add_worker('w1')
        job = self.submit(
            cell_case.make_definition(
                _JOB,
                cell_case.make_step(2),
                cell_case.make_step(1, after=(0,)),
            )
        )
        first, second = self.run_all(self.plan())
        self.end('w1', first.task.name, first.run)
        self.assertEqual([], self.plan().starts)
        self.end('w1', second.task.name, second.run)
        [last] = self.run_all(self.plan())
        self.assertEqual(f'{_JOB}.0.1.0', last.task.name)
        self.end('w1', last.task.name, last.run)
        self.assertEqual(workflow.JobState.COMPLETED, job.state)
        self.assertEqual(0, self.state.workers['w1'].used.cpu_millicores)

    def test_room_of_a_gang_frees_as_its_ends_are_listed(self):
        """Guard against room that is used twice while members end."""
        for name in ('w1', 'w2'):
            self.add_worker(name, cpu=1_000)
        step = cell_case.make_step(2, gang=True)
        job = self.submit(cell_case.make_definition(_JOB, step))
        starts = self.run_all(self.plan())
        self.end(starts[0].worker_id, starts[0].task.name, starts[0].run)
        self.assertEqual(workflow.JobState.COMPLETED, job.state)
        other = self.state.workers[starts[1].worker_id]
        self.assertEqual(1_000, other.used.cpu_millicores)
        self.end(starts[1].worker_id, starts[1].task.name, starts[1].run)
        self.assertEqual(0, other.used.cpu_millicores)
