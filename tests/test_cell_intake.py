"""Test acceptance and refusal of jobs, and the states callers see."""

import collections

from basilspindle.cell.decisions import admission
from basilspindle.cell import early_cancels
from basilspindle.cell import journal
from basilspindle import errors
from basilspindle import workflow
from basilspindle.workflow import progress
from tests import cell_case

_JOB = '00000000000000aa'


class AcceptanceTest(cell_case.CellCase):
    """Guard that a job id names one job of one workspace."""

    def definition(self, job_id=_JOB, **changes):
        return cell_case.make_definition(
            job_id, cell_case.make_step(), **changes
        )

    def test_the_same_id_is_the_same_job(self):
        """Guard against a job that runs twice if it is submitted twice."""
        first = self.submit(self.definition())
        self.assertIs(first, self.submit(self.definition()))

    def test_an_id_of_another_workspace_is_refused_and_not_shown(self):
        """Guard against jobs that are visible to another workspace."""
        self.submit(self.definition())
        with self.assertRaises(errors.KeyReused):
            self.submit(self.definition(workspace='beta'))
        self.assertIsNone(self.intake.find_state(_JOB, 'beta'))
        self.assertIsNone(self.intake.cancel(_JOB, 'beta'))

    def test_a_late_withdrawal_spares_the_same_job_submitted_again(self):
        """Guard against an accepted job that its leader forgets.

        Two requests wait for one job; the first one withdraws it, a third
        one submits it again, and the second one gives up then. Its caller
        must not be told that the job never runs.
        """
        first = self.intake.submit(self.definition(), self.now_ms)
        self.assertTrue(self.intake.withdraw(first))
        self.assertTrue(self.intake.withdraw(first))
        second = self.submit(self.definition())
        self.assertFalse(self.intake.withdraw(first))
        self.assertIs(second, self.submit(self.definition()))
        self.assertIsNotNone(self.intake.find_state(_JOB, cell_case.WORKSPACE))

    def test_a_job_is_shown_only_as_it_is_recorded(self):
        """Guard against showing a state that a later leader may revert."""
        job = self.intake.submit(self.definition(), self.now_ms)
        workspace = cell_case.WORKSPACE
        self.assertIsNone(self.intake.find_state(_JOB, workspace))
        self.record()
        found = self.intake.find_state(_JOB, workspace)
        self.assertEqual(workflow.JobState.PENDING, found)
        self.add_worker('w1')
        [start] = self.start_all(self.plan())
        self.report_end('w1', start.task.name, start.run)
        self.assertEqual(workflow.JobState.COMPLETED, job.state)
        found = self.intake.find_state(_JOB, workspace)
        self.assertEqual(workflow.JobState.RUNNING, found)
        self.record()
        found = self.intake.find_state(_JOB, workspace)
        self.assertEqual(workflow.JobState.COMPLETED, found)

    def test_a_recovered_job_is_never_withdrawn(self):
        """Guard against a cancellation that makes a recorded job unknown.

        While the store is silent, requests that wait for a record are refused
        and their new jobs withdrawn. A job recovered from an earlier leader is
        in no append of this leader, but in the store.
        """
        job = self.submit(
            cell_case.make_definition(_JOB, cell_case.make_step())
        )
        self.make_state(term=1)
        restored = progress.restore(job.definition, None, self.now_ms, 0)
        self.intake.adopt(restored, self.now_ms)
        self.state.changed_jobs.clear()
        cancelled = self.intake.cancel(_JOB, cell_case.WORKSPACE)
        self.assertFalse(self.intake.withdraw(cancelled))
        self.assertTrue(self.state.table.knows(_JOB))
        self.assertIn(_JOB, self.state.changed_jobs)

    def test_only_what_no_append_took_up_is_withdrawn(self):
        """Guard against refusing a job that is recorded nevertheless."""
        job = self.intake.submit(self.definition(), self.now_ms)
        batch = journal.Batch()
        journal.put_job(batch, job, 0)
        self.assertFalse(self.intake.withdraw(job))
        other = self.intake.submit(
            self.definition('00000000000000bb'), self.now_ms
        )
        self.assertTrue(self.intake.withdraw(other))
        self.assertFalse(self.state.table.knows(other.job_id))
        self.assertEqual([], self.plan().starts)

    def test_a_job_that_was_cancelled_before_it_arrived_is_refused(self):
        """Guard against a job that runs after its caller cancelled it.

        The submission was delayed on its way, and the cancellation had been
        answered already.
        """
        self.intake.note_early_cancel(_JOB, cell_case.WORKSPACE, self.now_ms)
        self.now_ms += 20_000
        with self.assertRaises(errors.AlreadyCancelled) as caught:
            self.intake.submit(self.definition(), self.now_ms)
        self.assertIs(errors.Ran.NO, caught.exception.ran)
        self.assertFalse(self.state.table.knows(_JOB))

    def test_an_early_cancellation_concerns_its_workspace_only(self):
        """Guard against a workspace that stops the jobs of another one."""
        self.intake.note_early_cancel(_JOB, 'beta', self.now_ms)
        self.submit(self.definition())
        self.assertTrue(self.state.table.knows(_JOB))

    def test_early_cancellations_are_bounded(self):
        """Guard against memory that grows with each unknown id."""
        cancels = early_cancels.EarlyCancels()
        for number in range(12_000):
            cancels.note(f'{number:016x}', 'alpha', self.now_ms)
        self.assertFalse(cancels.has(f'{0:016x}', 'alpha', self.now_ms))
        self.assertTrue(cancels.has(f'{11_999:016x}', 'alpha', self.now_ms))
        self.now_ms += 120_000
        self.assertFalse(cancels.has(f'{11_999:016x}', 'alpha', self.now_ms))

    def test_waiting_jobs_are_counted(self):
        """Guard against a count that omits accepted jobs."""
        for number in range(3):
            self.submit(self.definition(f'{number:016x}'))
        self.assertEqual(3, self.state.table.count_unstarted(cell_case.QUEUE))
        self.add_worker('w1', cpu=1_000)
        self.start_all(self.plan())
        self.assertEqual(2, self.state.table.count_unstarted(cell_case.QUEUE))


class RefusalTest(cell_case.CellCase):
    """Guard the handling of jobs that arrive at an overloaded fleet.

    Submits a burst of jobs of four one-second tasks each to one worker with
    capacity for four tasks.
    """

    def burst(self, count):
        refused = []
        for number in range(count):
            definition = cell_case.make_definition(
                f'{number:016x}', cell_case.make_step(4)
            )
            try:
                self.submit(definition)
            except errors.Overloaded as error:
                refused.append(error)
        return refused

    def test_what_cannot_be_served_is_refused_at_once(self):
        """Guard against jobs that wait until their result has no value."""
        self.add_worker('w1', cpu=4_000)
        refused = self.burst(30)
        # The objective is 3 s, which is time for three jobs of one second
        # each, one after another.
        self.assertEqual(27, len(refused))
        for error in refused:
            self.assertIs(errors.Ran.NO, error.ran)
            self.assertGreaterEqual(error.retry_after_ms, 1_000)

    def test_a_job_that_no_worker_can_hold_refuses_no_other(self):
        """Guard against refusals for work that never starts.

        The worker that could hold it has left since it was accepted.
        """
        self.add_worker('w1', cpu=4_000)
        self.add_worker('w2', cpu=8_000)
        self.submit(
            cell_case.make_definition('aa', cell_case.make_step(20, cpu=8_000))
        )
        del self.state.workers['w2']
        self.submit(cell_case.make_definition('bb', cell_case.make_step()))

    def test_a_job_that_no_worker_can_hold_is_refused(self):
        """Guard against accepted jobs that never start."""
        self.add_worker('w1', cpu=4_000)
        with self.assertRaises(errors.Overloaded):
            self.submit(
                cell_case.make_definition('aa', cell_case.make_step(cpu=8_000))
            )

    def test_retry_times_are_spread(self):
        """Guard against refused callers that all retry at the same time."""
        self.add_worker('w1', cpu=4_000)
        times = collections.Counter(
            error.retry_after_ms for error in self.burst(40)
        )
        # Callers see whole seconds. The results have value for 9 s, of which
        # the jobs themselves take one.
        self.assertTrue(all(ms % 1_000 == 0 for ms in times))
        self.assertGreaterEqual(len(times), 6)
        self.assertLessEqual(max(times.values()), 12)

    def test_no_refusals_before_workers_are_known(self):
        """Guard against refusals while no workers are known yet."""
        self.assertEqual([], self.burst(5))

    def test_the_pause_in_an_outage_follows_the_objective(self):
        """Guard against retries that are used up during an outage."""
        self.assertEqual(1_000, admission.outage_retry_ms(1_500))
        self.assertEqual(2_750, admission.outage_retry_ms(11_000))
        self.assertEqual(5_000, admission.outage_retry_ms(60_000))


class RecordTest(cell_case.CellCase):
    """Guard that the log contains all that a later leader needs."""

    def test_a_job_survives_with_its_progress(self):
        """Guard against progress that is lost when the leader changes."""
        self.add_worker('w1')
        job = self.submit(
            cell_case.make_definition(
                _JOB, cell_case.make_step(2), cell_case.make_step(after=(0,))
            )
        )
        first, second = self.start_all(self.plan())
        self.report_end('w1', first.task.name, first.run)
        second.task.checkpoint = 'c1'
        saved = progress.capture(job)
        self.make_state(term=1)
        restored = progress.restore(job.definition, saved, self.now_ms, 0)
        self.intake.adopt(restored, self.now_ms)
        self.record()
        self.add_worker('w1')
        [start] = self.plan().starts
        self.assertEqual(second.task.name, start.task.name)
        self.assertEqual('c1', start.task.checkpoint)
        self.assertGreater(start.run, second.run)

    def test_progress_of_another_job_is_unreadable(self):
        """Guard against a record that ends each new leader.

        A leader that cannot recover steps down, and the next one reads the
        same record.
        """
        definition = cell_case.make_definition(_JOB, cell_case.make_step(2))
        good = progress.StepProgress(0, 0, b'', (), ())
        task = progress.TaskProgress(7, 1, 0, (), '')
        pending = workflow.JobState.PENDING
        for saved in (
            progress.Progress(pending, 2, (good,)),
            progress.Progress(pending, -1, (good,)),
            progress.Progress(
                pending, 1, (progress.StepProgress(0, 3, b'', (), ()),)
            ),
            progress.Progress(
                pending, 1, (progress.StepProgress(0, 0, b'', (), (task,)),)
            ),
        ):
            with self.subTest(saved=saved):
                with self.assertRaises(errors.RecordUnreadable):
                    progress.restore(definition, saved, self.now_ms, 0)
