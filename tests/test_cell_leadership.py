"""Test what logs and metrics tell of leaders and of jobs that stand still."""

import io
import json
import unittest

import loguru

from basilspindle.cell import leadership
from basilspindle.cell import stalled_work
from basilspindle import events
from basilspindle.workflow import progress as progress_module
from tests import cell_case
from tests import test_cell_leader

_JOB = '00000000000000aa'
_OTHER_JOB = '00000000000000bb'


class ClaimRateTest(cell_case.CellCase):
    """Guard the number of leaders in the last minute (issue 32)."""

    def test_claims_of_other_daemons_count(self):
        """Guard against a count of those claims only that one daemon saw."""
        rate = leadership.ClaimRate()
        self.assertEqual(0, rate.count(0))
        rate.observe(746, 1_000)
        self.assertEqual(0, rate.count(1_000))
        rate.observe(754, 2_800)
        rate.observe(754, 3_000)
        rate.observe(766, 5_500)
        self.assertEqual(20, rate.count(5_500))

    def test_older_claims_do_not_count(self):
        """Guard against an alarm that stays after the leaders do."""
        rate = leadership.ClaimRate()
        for number in range(100):
            rate.observe(number, 1_000 + 100 * number)
        self.assertEqual(99, rate.count(11_000))
        self.assertEqual(50, rate.count(65_950))
        self.assertEqual(0, rate.count(71_000))
        rate.observe(100, 200_000)
        self.assertEqual(1, rate.count(200_000))


class PlannedEndTest(unittest.TestCase):
    """Guard against an alarm after a rolling restart of all daemons."""

    def test_planned_ends_do_not_count(self):
        rate = leadership.ClaimRate()
        rate.observe(3, 1_000)
        rate.note_planned_end(5)
        rate.note_planned_end(5)
        rate.observe(5, 2_000)
        self.assertEqual(1, rate.count(2_000))


class StalledWorkTest(cell_case.CellCase):
    """Guard the time for which accepted jobs have had nothing running."""

    def setUp(self):
        super().setUp()
        self.stalled = stalled_work.StalledWork()

    def update(self, after_ms=0):
        self.now_ms += after_ms
        self.stalled.update(self.state.table.ready_steps.values(), self.now_ms)
        return self.stalled.longest_ms(self.now_ms)

    def restart(self, *jobs):
        """Begin the state of a later leader with what the log holds."""
        recorded = [
            (job.definition, progress_module.capture(job)) for job in jobs
        ]
        self.make_state(term=self.state.term + 1)
        return [
            self.adopt(progress_module.restore(*row, self.now_ms, self.now_ms))
            for row in recorded
        ]

    def adopt(self, job):
        self.intake.adopt(job, self.now_ms)
        return job

    def test_the_time_goes_on_under_later_leaders(self):
        """Guard against a time that begins anew with each leader.

        None of 766 leaders lasted for a second (issue 32).
        """
        job = self.submit(
            cell_case.make_definition(_JOB, cell_case.make_step())
        )
        self.update()
        for _ in range(50):
            self.now_ms += 100
            [job] = self.restart(job)
            longest_ms = self.update()
        self.assertEqual(5_000, longest_ms)
        self.assertEqual((1, _JOB), (self.stalled.count, self.stalled.job_id))

    def test_a_running_task_ends_it(self):
        """Guard against an alarm for jobs that run."""
        job = self.submit(
            cell_case.make_definition(_JOB, cell_case.make_step(2))
        )
        self.assertEqual(0, self.update())
        self.assertEqual(3_000, self.update(3_000))
        self.add_worker('w1', cpu=1_000)
        self.start_all(self.plan())
        self.assertEqual(1, len(job.occupying_tasks))
        self.assertEqual(0, self.update(1_000))
        self.assertEqual(0, self.stalled.count)

    def test_progress_under_another_leader_begins_it_anew(self):
        """Guard against a time in which another daemon led and tasks ran."""
        job = self.submit(
            cell_case.make_definition(_JOB, cell_case.make_step())
        )
        self.update()
        self.now_ms += 60_000
        [task] = job.runs[0, 0].tasks
        task.run = 101
        self.restart(job)
        self.assertEqual(0, self.update())
        self.assertEqual(2_000, self.update(2_000))

    def test_a_step_without_tasks_is_passed_over(self):
        """Guard against a job of an earlier build that ends each leader."""
        self.submit(
            cell_case.make_definition(
                _JOB, cell_case.make_step(), cell_case.make_step(0)
            )
        )
        self.update()
        self.assertEqual(1, self.stalled.count)

    def test_the_longest_stall_is_named(self):
        """Guard against a log line that names a job that has just come."""
        definition = cell_case.make_definition(_JOB, cell_case.make_step())
        self.submit(definition)
        self.update()
        self.now_ms += 1_000
        self.submit(
            cell_case.make_definition(_OTHER_JOB, cell_case.make_step())
        )
        self.assertEqual(1_500, self.update(500))
        self.assertEqual((2, _JOB), (self.stalled.count, self.stalled.job_id))


class EndTest(test_cell_leader.LeaderCase):
    """Guard what the log says of the end of a leadership."""

    def test_the_cause_is_named(self):
        """Guard against leaders that follow each other for no known cause."""
        stream = io.StringIO()
        events.configure_logging(stream)
        self.addCleanup(loguru.logger.remove)
        self.clock.now += 39
        self.leader._step_down_on_error(RecursionError('too deep'))
        line = json.loads(stream.getvalue())
        self.assertEqual(
            ('leader_lost', 'fault', 39, False),
            (
                line['name'],
                line['cause'],
                line['led_ms'],
                line['workers_read'],
            ),
        )

    def test_stalled_work_is_logged_once_in_a_while(self):
        """Guard against jobs that stand still without a line in the log."""
        stream = io.StringIO()
        events.configure_logging(stream)
        self.addCleanup(loguru.logger.remove)
        self.leader._intake.submit(
            cell_case.make_definition(_JOB, cell_case.make_step()), 0
        )
        for _ in range(120):
            self.leader._check_stalls(self.clock.now)
            self.clock.now += 100
        rows = [
            (line['job'], line['stalled_ms'], line['workers_read'])
            for line in map(json.loads, stream.getvalue().splitlines())
            if line['name'] == 'work_stalled'
        ]
        self.assertEqual([(_JOB, 5_000, False), (_JOB, 10_000, False)], rows)
