"""Test what the leader records before it acts on it."""

from unittest import mock

import msgspec

from basilspindle.cell import claim as claim_module
from basilspindle.cell import configuration_index
from basilspindle.cell import journal as journal_module
from basilspindle.cell import recorder as recorder_module
from basilspindle import decoding
from basilspindle import errors
from basilspindle.platform import store as store_module
from basilspindle import workflow
from basilspindle.workflow import progress as progress_module
from tests import cell_case

_JOB = '00000000000000aa'
_OTHER_JOB = '00000000000000bb'
_NEW = '00000000000000cc'


class Clock:
    """Clock that shows the time of a test case."""

    def __init__(self, case):
        self.case = case

    def now_ms(self):
        return self.case.now_ms

    def wall_ms(self):
        return self.case.now_ms


class WorkerRecordTest(cell_case.CellCase):
    """Guard tasks on workers that a later leader does not know."""

    def setUp(self):
        super().setUp()
        self.plans = 0
        self.recorder = recorder_module.Recorder(
            self.state, Clock(self), 0, self.intake, self.count_plan
        )
        self.worker = self.add_worker('w1')
        self.recorder.note_report(self.worker)
        self.submit(cell_case.make_definition(_JOB, cell_case.make_step()))

    def count_plan(self):
        self.plans += 1

    def test_a_worker_gets_tasks_once_the_log_names_it(self):
        """Guard against a run that the next leader does not wait for.

        It would start the task again on another worker (class of review/3).
        """
        self.assertEqual([], self.plan().starts)
        batch = self.recorder.collect()
        self.assertEqual([], self.plan().starts)
        self.recorder.apply(batch)
        self.assertEqual(1, self.plans)
        self.assertEqual(1, len(self.plan().starts))

    def test_a_cancelled_job_that_may_run_unseen_counts(self):
        """Guard the limit of a workspace after a change of the leader.

        Tasks of a cancelled job run on where no stop arrives, with leases of
        a predecessor that is cut off, or until these end.
        """
        limit = workflow.Need(cpu_millicores=3_000)
        self.state.configuration_index = (
            configuration_index.ConfigurationIndex(
                cell_case.make_configuration(limit=limit)
            )
        )
        self.recorder.apply(self.recorder.collect())
        self.start_all(self.plan())
        self.report_end('w1', f'{_JOB}.0.0.0', 1)
        job = self.submit(
            cell_case.make_definition(_OTHER_JOB, cell_case.make_step(2))
        )
        job.recovered = True
        self.state.awaited_workers.expect('w9', self.now_ms + 5_000)
        self.intake.cancel(_OTHER_JOB, cell_case.WORKSPACE)
        self.recorder.apply(self.recorder.collect())
        self.recorder.forget_ended()
        self.submit(cell_case.make_definition(_NEW, cell_case.make_step(4)))
        self.assertEqual(1, len(self.plan().starts))
        self.now_ms += 5_000
        self.report('w1')
        self.recorder.forget_ended()
        self.assertNotIn(_OTHER_JOB, self.state.table.jobs)
        self.assertEqual(2, len(self.plan().starts))

    def test_a_job_that_ended_under_the_predecessor_counts(self):
        """Guard the limit of a workspace while its tasks are being stopped.

        The record of the ended job did not tell how much they use.
        """
        self.recorder.apply(self.recorder.collect())
        self.start_all(self.plan())
        self.intake.cancel(_JOB, cell_case.WORKSPACE)
        batch = self.recorder.collect()
        limit = workflow.Need(cpu_millicores=3_000)
        self.make_state(
            configuration=cell_case.make_configuration(limit=limit)
        )
        successor = recorder_module.Recorder(
            self.state, Clock(self), 1, self.intake, self.count_plan
        )
        records = {key: value for key, value in batch.records if value}
        successor.recover(journal_module._decode(records))
        self.add_worker('w2')
        self.state.awaited_workers.expect('w1', self.now_ms + 5_000)
        self.submit(cell_case.make_definition(_NEW, cell_case.make_step(4)))
        self.assertEqual(2, len(self.plan().starts))
        self.now_ms += 5_000
        self.report('w2')
        self.assertEqual(1, len(self.plan().starts))

    def test_what_is_being_stopped_is_recorded_until_it_has_stopped(self):
        """Guard against workspaces that wait for room that is free."""
        self.recorder.apply(self.recorder.collect())
        [start] = self.start_all(self.plan())
        self.intake.cancel(_JOB, cell_case.WORKSPACE)
        record = self.take_stopping_record()
        need = record.usage[cell_case.WORKSPACE]
        self.assertEqual(1_000, need.cpu_millicores)
        # Nothing has changed.
        self.assertNotIn('stopping', dict(self.recorder.collect().records))
        self.report_end('w1', start.task.name, start.run)
        self.assertIsNone(self.take_stopping_record())

    def take_stopping_record(self):
        """Return the record of the next append, None if it is removed."""
        records = dict(self.recorder.collect().records)
        return journal_module._decode(
            {k: v for k, v in records.items() if v and k == 'stopping'}
        ).stopping

    def test_a_record_of_what_was_being_stopped_counts_for_a_while(self):
        """Guard against a record that a build which knows none leaves."""
        usage = {cell_case.WORKSPACE: workflow.Need(cpu_millicores=1_000)}
        for age_ms, expected in ((29_000, usage), (31_000, {})):
            recovered = journal_module.RecoveredState()
            recovered.stopping = journal_module.StoppingRecord(
                self.now_ms - age_ms, usage
            )
            self.make_state()
            successor = recorder_module.Recorder(
                self.state, Clock(self), 1, self.intake, self.count_plan
            )
            self.state.awaited_workers.expect('w1', self.now_ms + 5_000)
            successor.recover(recovered)
            self.assertEqual(expected, self.state.stopping_usage)
            # The next successor waits for the same workers.
            records = dict(successor.collect().records)
            self.assertEqual(
                age_ms > 30_000, records.get('stopping', b'') is None
            )

    def test_a_new_address_is_recorded_before_more_tasks(self):
        """Guard against a later leader that asks at the earlier address."""
        self.recorder.apply(self.recorder.collect())
        self.worker.answered_address = 'w1:2'
        self.recorder.note_report(self.worker)
        self.assertEqual([], self.plan().starts)
        self.recorder.apply(self.recorder.collect())
        self.assertEqual(1, len(self.plan().starts))

    def test_a_larger_capacity_is_recorded_before_more_tasks(self):
        """Guard against tasks that a later leader does not reckon with."""
        self.recorder.apply(self.recorder.collect())
        self.recorder.note_report(self.worker)
        self.recorder.apply(self.recorder.collect())
        self.assertEqual(
            {'w1': self.worker.capacity}, self.recorder.capacities
        )
        self.worker.capacity = self.worker.capacity.plus(self.worker.capacity)
        self.recorder.note_report(self.worker)
        self.assertEqual([], self.plan().starts)
        # Its lease is renewed all the same.
        self.assertTrue(self.worker.is_recorded)
        batch = self.recorder.collect()
        self.assertEqual({'w1': self.worker.capacity}, batch.capacities)
        self.recorder.apply(batch)
        self.assertEqual(1, len(self.plan().starts))

    def test_a_draining_worker_without_runs_is_not_named(self):
        """Guard against a later leader that waits for a worker that has left.

        Recovered work stood still for 10 s after a change of the leader
        (kwpa-refunds-grown, trouble-1).
        """
        self.recorder.apply(self.recorder.collect())
        [start] = self.start_all(self.plan())
        self.worker.ready = False
        self.recorder.note_report(self.worker)
        self.assertIn('w1', self.recorder.worker_addresses)
        self.report_end('w1', start.task.name, start.run)
        self.recorder.apply(self.recorder.collect())
        self.recorder.note_report(self.worker)
        self.recorder.collect()
        self.assertEqual({}, self.recorder.worker_addresses)
        # It is named again before it gets tasks again.
        self.worker.ready = True
        self.assertFalse(self.worker.accepts(self.now_ms))

    def test_a_worker_with_ends_that_the_log_lacks_is_named(self):
        """Guard against a second run of a task that has ended there.

        A batch that is full leaves out the ends of runs. A draining worker
        was no longer named then, so that the next leader did not wait for its
        report.
        """
        self.recorder.apply(self.recorder.collect())
        [start] = self.start_all(self.plan())
        self.worker.ready = False
        self.report_end('w1', start.task.name, start.run)
        self.recorder.note_report(self.worker)
        with mock.patch.object(journal_module, 'is_full', lambda batch: True):
            self.recorder.apply(self.recorder.collect())
        self.assertIn('w1', self.recorder.worker_addresses)

    def test_a_worker_with_ends_that_it_has_not_listed_is_named(self):
        """Guard against the same where a report lists the first ends only."""
        self.recorder.apply(self.recorder.collect())
        self.worker.ready = self.worker.reported = False
        self.report('w1', is_full=False)
        self.recorder.note_report(self.worker)
        self.assertIn('w1', self.recorder.worker_addresses)

    def test_a_worker_is_named_until_its_ends_are_recorded(self):
        """Guard against an end that the next leader does not wait for.

        An append that is full leaves ends for the next one (class of issue
        32, TWICE).
        """
        self.recorder.apply(self.recorder.collect())
        [start] = self.start_all(self.plan())
        self.submit(cell_case.make_definition('bb', cell_case.make_step()))
        self.worker.ready = False
        self.report_end('w1', start.task.name, start.run)
        self.recorder.note_report(self.worker)
        with mock.patch.object(journal_module, '_MAX_BATCH_BYTES', 1):
            batch = self.recorder.collect()
        self.assertEqual({}, batch.ends)
        self.assertIsNone(batch.worker_addresses)
        self.recorder.apply(batch)
        batch = self.recorder.collect()
        self.assertEqual(['w1'], list(batch.ends))
        self.assertIsNone(batch.worker_addresses)
        self.recorder.apply(batch)
        self.recorder.note_report(self.worker)
        self.assertEqual({}, self.recorder.collect().worker_addresses)


class EarlyCancelTest(cell_case.CellCase):
    """Guard callers that cancel a job before it arrives."""

    def test_a_successor_knows_of_it_until_it_expires(self):
        """Guard against a cancelled job that a later leader starts."""
        recorder = recorder_module.Recorder(
            self.state, Clock(self), 0, self.intake, lambda: None
        )
        for workspace in ('alpha', 'beta'):
            self.intake.note_early_cancel(_JOB, workspace, self.now_ms)
        records = dict(recorder.collect().records)
        recovered = journal_module._decode(records)
        self.assertEqual({_JOB: ['alpha', 'beta']}, recovered.early_cancels)
        self.make_state()
        successor = recorder_module.Recorder(
            self.state, Clock(self), 1, self.intake, lambda: None
        )
        successor.recover(recovered)
        with self.assertRaises(errors.AlreadyCancelled):
            self.intake.submit(
                cell_case.make_definition(_JOB, cell_case.make_step()),
                self.now_ms,
            )
        self.now_ms += 61_000
        self.intake.early_cancels.expire(self.now_ms)
        records = dict(successor.collect().records)
        self.assertIn(None, records.values())


class WaitRecordTest(cell_case.CellCase):
    """Guard leases that a successor would not wait for."""

    def setUp(self):
        super().setUp()
        self.recorder = recorder_module.Recorder(
            self.state, Clock(self), 3, self.intake, lambda: None
        )
        self.worker = self.add_worker('w1', reported=False)
        self.recorder.worker_addresses = {'w1': 'w1:1'}
        self.recorder._confirmed_addresses = {'w1': 'w1:1'}
        self.state.awaited_workers.expect('w1', self.now_ms + 9_000)

    def append(self):
        batch = self.recorder.collect()
        self.recorder.apply(batch)
        return batch.waits

    def test_a_successor_learns_how_long_a_worker_is_still_awaited(self):
        """Guard against a wait that each leader begins anew.

        Recovered work stood still from change to change (kwpa-refunds,
        deploy/days/leave-and-return.toml, seed 382907315450: LOST).
        """
        self.assertEqual({'w1': 9_000}, self.append().remaining_ms)
        self.now_ms += 2_000
        waits = self.append()
        self.assertEqual((3, {'w1': 7_000}), (waits.term, waits.remaining_ms))

    def test_an_awaited_worker_gets_no_lease_before_the_log_names_it(self):
        """Guard against a lease that a successor does not wait for."""
        self.append()
        in_flight = self.recorder.collect()
        self.report('w1')
        self.assertFalse(self.worker.is_recorded)
        self.assertTrue(self.recorder.has_worker_changes(self.worker))
        self.recorder.apply(in_flight)
        self.assertFalse(self.worker.is_recorded)
        self.assertEqual({}, self.append().remaining_ms)
        self.assertTrue(self.worker.is_recorded)
        self.assertIsNone(self.append())


class SilenceRecordTest(cell_case.CellCase):
    """Guard the note that a worker gets no leases (issue 55)."""

    def setUp(self):
        super().setUp()
        self.recorder = recorder_module.Recorder(
            self.state, Clock(self), 3, self.intake, lambda: None
        )
        self.worker = self.add_worker('w1')
        self.recorder.note_report(self.worker)
        self.recorder.apply(self.recorder.collect())
        self.assertTrue(self.worker.is_recorded)

    def note_silence(self):
        self.worker.is_recorded = False
        self.worker.silent_until_ms = self.now_ms + 5_000

    def test_a_successor_learns_until_when_leases_last(self):
        """Guard against the longest wait for a worker known to be silent."""
        self.note_silence()
        self.now_ms += 1_000
        batch = self.recorder.collect()
        self.assertEqual({'w1': 4_000}, batch.waits.remaining_ms)
        self.recorder.apply(batch)
        self.assertFalse(self.worker.is_recorded)
        # It answers.
        self.worker.silent_until_ms = 0
        self.assertTrue(self.recorder.has_worker_changes(self.worker))
        self.recorder.apply(self.recorder.collect())
        self.assertTrue(self.worker.is_recorded)

    def test_an_append_in_flight_gives_no_lease_back(self):
        """Guard against a lease that the note does not reckon with."""
        in_flight = self.recorder.collect()
        self.note_silence()
        self.recorder.apply(in_flight)
        self.assertFalse(self.worker.is_recorded)


class OneRecordTest(cell_case.CellCase):
    """Guard the appends of a cell against the record of one job."""

    def lead(self, term, values):
        self.make_state(term=term)
        recorder = recorder_module.Recorder(
            self.state,
            Clock(self),
            term,
            self.intake,
            lambda: None,
        )
        recorder.recover(journal_module._decode(values))
        return recorder

    def definition(self, job_id=_JOB):
        return cell_case.make_definition(job_id, cell_case.make_step())

    def check_other_job_is_recorded(self, recorder):
        self.intake.submit(self.definition(_OTHER_JOB), self.now_ms)
        batch = recorder.collect()
        for key, value in batch.records:
            store_module._encode_record(key, value)
        self.assertIn(f'd{_OTHER_JOB}', dict(batch.records))

    def test_a_run_number_that_cannot_be_counted_on(self):
        """Guard against a job whose next progress cannot be encoded.

        Each leader starts its task and fails with its next append.
        """
        highest = 2**64 - 1
        task = progress_module.TaskProgress(0, highest, highest, (), '')
        step = progress_module.StepProgress(0, 0, b'', (), (task,))
        progress = progress_module.Progress(
            workflow.JobState.RUNNING, 1, (step,)
        )
        recorder = self.lead(
            1,
            {
                f'd{_JOB}': msgspec.msgpack.encode(self.definition()),
                f'p{_JOB}': msgspec.msgpack.encode(progress),
            },
        )
        self.add_worker('w1')
        self.start_all(self.plan())
        for job in self.state.table.jobs.values():
            self.state.mark_changed(job)
        self.check_other_job_is_recorded(recorder)

    def test_a_long_name_of_an_end_of_an_unreadable_job(self):
        """Guard against a key that the store cannot take."""
        recorder = self.lead(1, {f'd{_JOB}': b'?'})
        self.add_worker('w1')
        self.report_end('w1', f'{_JOB}.{"x" * 300}', 3)
        self.check_other_job_is_recorded(recorder)

    def test_runs_of_a_worker_that_cannot_be_counted_on(self):
        """Guard against a worker that makes a job unreadable."""
        self.lead(1, {f'd{_JOB}': msgspec.msgpack.encode(self.definition())})
        highest = decoding.MAX_INTEGER
        self.add_worker('w1', reported=False)
        self.report('w1', running=[(f'{_JOB}.0.0.0', highest)])
        self.report_end('w1', f'{_JOB}.0.0.0', highest)
        task = self.state.table.tasks[f'{_JOB}.0.0.0']
        self.assertLess(self.state.next_run(task), highest)

    def test_a_job_that_cannot_be_encoded(self):
        """Guard against one job whose records end each leadership."""
        recorder = self.lead(1, {})
        worker = self.add_worker('w1')
        job = self.intake.submit(self.definition(), self.now_ms)
        recorder.apply(recorder.collect())
        [order] = self.start_all(self.plan())
        self.report_end('w1', order.task.name, order.run)
        worker.applied_end_number = 1
        job.next_occurrence = 2**64
        job.state = workflow.JobState.RUNNING
        self.state.mark_changed(job)
        self.check_other_job_is_recorded(recorder)
        for _ in range(3):
            # Not acknowledged, and not tried with each append.
            batch = recorder.collect()
            self.assertEqual({}, batch.ends)
            self.assertEqual({}, self.state.changed_jobs)
            self.assertNotIn(f'p{_JOB}', dict(batch.records))
        job.next_occurrence = 1
        self.now_ms += 1_000
        batch = recorder.collect()
        self.assertIn(f'p{_JOB}', dict(batch.records))
        self.assertEqual(['w1'], list(batch.ends))

    def test_a_tombstone_for_a_key_that_is_no_text(self):
        """Guard against a deletion that cannot be encoded."""
        recorder = self.lead(1, {})
        recorder.expired_job_ids = ['\udcff', 'x' * 300]
        self.check_other_job_is_recorded(recorder)

    def test_an_expired_job_id_that_is_used_again(self):
        """Guard against a late deletion that takes the new job's end."""
        recorder = self.lead(1, {})
        recorder.expired_job_ids = [_JOB]
        self.intake.submit(self.definition(), self.now_ms)
        self.intake.cancel(_JOB, cell_case.WORKSPACE)
        batch = recorder.collect()
        self.assertIsNotNone(dict(batch.records)[f'f{_JOB}'])

    def test_a_wait_that_is_longer_than_any(self):
        """Guard against a record that stops all starts for ever."""
        waits = journal_module.WaitsRecord(
            0, {'w1': decoding.MAX_INTEGER, 'w2': 5}
        )
        recorder = self.lead(1, {'waits': msgspec.msgpack.encode(waits)})
        previous = claim_module.Claim('n1', 'n1:1', 'i1', 0)
        self.assertEqual(
            {'w1': 9_000, 'w2': 5},
            recorder.recovered_waits_ms(previous, 9_000),
        )
