"""Test that a job whose record cannot be read is kept for another build."""

import msgspec

from basilspindle.cell import early_cancels
from basilspindle.cell import journal as journal_module
from basilspindle.cell import messages
from basilspindle.cell import recorder as recorder_module
from basilspindle import errors
from basilspindle import workflow
from basilspindle.workflow import progress as progress_module
from tests import cell_case
from tests import test_cell_leader
from tests import test_cell_recorder

_JOB = '00000000000000aa'
_TASK = f'{_JOB}.0.0.0'


class EndTest(cell_case.CellCase):
    """Guard tasks that ended under a leader that could not read their job."""

    def lead(self, term, values):
        """Return the recorder of a leader that has read these records."""
        self.make_state(term=term)
        recorder = recorder_module.Recorder(
            self.state,
            test_cell_recorder.Clock(self),
            term,
            self.intake,
            lambda: None,
        )
        recorder.recover(journal_module._decode(values))
        return recorder

    def append(self, recorder, values):
        """Return the records that the log holds after an append."""
        batch = recorder.collect()
        recorder.apply(batch)
        kept = {**values, **dict(batch.records)}
        return {key: value for key, value in kept.items() if value is not None}

    def setUp(self):
        super().setUp()
        definition = cell_case.make_definition(_JOB, cell_case.make_step(2))
        self.readable = {f'd{_JOB}': msgspec.msgpack.encode(definition)}

    def test_a_done_task_is_not_started_by_a_leader_that_reads_the_job(self):
        """Guard against a task that runs again after its end was noted.

        The end was acknowledged, and only the leader that could not read the
        job ever saw it.
        """
        for unreadable in ({f'd{_JOB}': b'?'}, self.damaged_progress()):
            with self.subTest(keys=sorted(unreadable)):
                recorder = self.lead(1, unreadable)
                worker = self.add_worker('w1')
                self.end_numbers.clear()
                self.report_end('w1', _TASK, 3)
                values = self.append(recorder, unreadable)
                # The worker may forget the end now.
                self.assertEqual(1, worker.recorded_end_number)
                values = {**values, **self.readable}
                values.pop(f'p{_JOB}', None)
                recorder = self.lead(2, values)
                self.add_worker('w1')
                [start] = self.plan().starts
                self.assertEqual(f'{_JOB}.0.0.1', start.task.name)
                values = self.append(recorder, values)
                self.assertFalse([key for key in values if key[0] == 'e'])
                self.lead(3, values)
                self.assertEqual(
                    1, self.state.table.jobs[_JOB].runs[0, 0].done
                )

    def damaged_progress(self):
        progress = progress_module.Progress(workflow.JobState.RUNNING, 7, ())
        return {
            **self.readable,
            f'p{_JOB}': msgspec.msgpack.encode(progress),
        }

    def test_ends_of_jobs_that_are_in_no_record_are_acknowledged(self):
        """Guard against a list of ends that is full for ever.

        The job was cancelled, and its record has expired.
        """
        recorder = self.lead(1, {})
        worker = self.add_worker('w1')
        self.report_end('w1', _TASK, 3)
        values = self.append(recorder, {})
        self.assertEqual(1, worker.recorded_end_number)
        self.assertFalse([key for key in values if key[0] == 'e'])

    def test_ends_that_do_not_fit_are_not_acknowledged(self):
        """Guard against an append that the store refuses for its size."""
        recorder = self.lead(1, {f'd{_JOB}': b'?'})
        worker = self.add_worker('w1')
        for number in range(20_000):
            self.report_end('w1', f'{_JOB}.0.0.{number}', 100_001)
        self.append(recorder, {})
        self.assertEqual(0, worker.recorded_end_number)
        values = {}
        for _ in range(3):
            values = self.append(recorder, values)
        self.assertEqual(20_000, worker.recorded_end_number)


class AnswerTest(test_cell_leader.LeaderCase):
    """Guard callers whose job this leader cannot read."""

    def setUp(self):
        super().setUp()
        self.leader._recorder.recover(
            journal_module._decode({f'd{_JOB}': b'?'})
        )

    def test_it_is_not_said_to_be_unknown(self):
        """Guard against 410 for a job that was accepted."""
        for kind in (messages.Find, messages.Cancel):
            reply = self.ask(kind(_JOB, cell_case.WORKSPACE))
            self.assertIsInstance(reply, messages.Refused)
            self.assertEqual(errors.NotReady.kind, reply.kind)

    def test_it_is_not_accepted_as_a_new_job(self):
        """Guard against a second job under the id of the first."""
        definition = cell_case.make_definition(_JOB, cell_case.make_step())
        reply = self.ask(messages.Submit(definition, 1_000))
        self.assertIsInstance(reply, messages.Accepted)
        self.assertEqual({}, self.leader.state.table.jobs)


class EarlyCancelTest(test_cell_leader.LeaderCase):
    """Guard callers whose cancellation this leader cannot read."""

    def test_the_job_is_refused_until_the_cancellation_expires(self):
        """Guard against a job that runs after 410 to its cancellation."""
        recorder = self.leader._recorder
        recovered = journal_module._decode({f'c{_JOB}': b'?'})
        recorder.recover(recovered)
        definition = cell_case.make_definition(_JOB, cell_case.make_step())
        reply = self.ask(messages.Submit(definition, 1_000))
        self.assertIsInstance(reply, messages.Refused)
        self.assertEqual(errors.AlreadyCancelled.kind, reply.kind)
        # Another cancellation of the id is recorded beside it.
        cancels = self.leader._intake.early_cancels
        now_ms = self.leader._clock.now_ms()
        cancels.note(_JOB, 'beta', now_ms)
        records = dict(recorder.collect().records)
        recovered = journal_module._decode(records)
        self.assertEqual(
            {_JOB: [early_cancels.ANY_WORKSPACE, 'beta']},
            recovered.early_cancels,
        )
        cancels.expire(now_ms + 61_000)
        records = dict(recorder.collect().records)
        self.assertIsNone(records[f'c{_JOB}'])


class TaskCountTest(cell_case.CellCase):
    """Guard the memory of each new leader against a single record."""

    def check_is_unreadable(self, definition, progress=None):
        with self.assertRaises(errors.RecordUnreadable):
            progress_module.restore(definition, progress, self.now_ms, 0)

    def test_a_definition_with_too_many_tasks(self):
        """Guard against a count that no caller can have submitted."""
        step = cell_case.make_step(1)
        for counts in ((10_001,), (5_000, 5_001), (20_000, -10_001)):
            with self.subTest(counts=counts):
                steps = [
                    msgspec.structs.replace(step, count=count)
                    for count in counts
                ]
                self.check_is_unreadable(
                    cell_case.make_definition(_JOB, *steps)
                )

    def test_a_progress_with_too_many_open_occurrences(self):
        """Guard against occurrences that no leader can have opened."""
        definition = cell_case.make_definition(
            _JOB,
            cell_case.make_step(100),
            max_runs=1_000,
            first_run_ms=0,
            interval_ms=1,
        )
        state = workflow.JobState.PENDING
        self.check_is_unreadable(
            definition, progress_module.Progress(state, 201, ())
        )
        job = progress_module.restore(
            definition,
            progress_module.Progress(state, 200, ()),
            self.now_ms,
            0,
        )
        self.assertEqual(200, job.next_occurrence)

    def test_the_largest_job_is_read(self):
        """Guard against a job that is accepted and then not read."""
        definition = cell_case.make_definition(
            _JOB, cell_case.make_step(10_000)
        )
        job = progress_module.restore(definition, None, self.now_ms, 0)
        self.assertEqual(10_000, len(job.runs[0, 0].tasks))
