"""Test what a leader answers that may have been replaced."""

import asyncio
import time
import unittest
from unittest import mock

from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import claim as claim_module
from basilspindle.cell import configuration_index
from basilspindle.cell import journal as journal_module
from basilspindle.cell import leader as leader_module
from basilspindle.cell import loss
from basilspindle.cell import messages
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle.workflow import task_state
from tests import cell_case

_JOB = '00000000000000aa'


class _Clock(clock_module.Clock):
    __slots__ = ('now',)

    def __init__(self):
        self.now = 100_000

    def now_ms(self):
        return self.now


class LeaderCase(unittest.TestCase):
    """A leader without workers or a store, and a clock set by the test."""

    def setUp(self):
        self.clock = _Clock()
        claim = claim_module.Claim('n', 'n:1', 'i', 0, epoch=1)
        self.leader = leader_module.Leader(
            claim,
            None,
            None,
            None,
            None,
            self.clock,
            bounds_module.Bounds(),
            configuration_index.ConfigurationIndex(
                cell_case.make_configuration()
            ),
            None,
        )
        self.leader.ready = True

    def ask(self, request):
        return asyncio.run(self.leader.handle(request))


class LostWorkerTest(LeaderCase):
    """Guard what the log tells of tasks that are started again."""

    def test_the_evidence_and_the_age_of_the_confirmation_are_logged(self):
        """Guard against losses of a worker whose cause cannot be told."""
        worker = worker_module.Worker(
            'w', 'w:1', '', '', '', frozenset(), state_module.NO_NEED
        )
        worker.tasks['t'] = mock.Mock()
        self.clock.now += 6_000
        with mock.patch.object(leader_module.events, 'emit') as emit:
            self.leader._log_loss(
                worker, list(worker.tasks.values()), loss.Evidence.LEASE
            )
        fields = emit.call_args.kwargs
        self.assertEqual('lease', fields['evidence'])
        self.assertEqual(1, fields['epoch'])
        self.assertEqual(6_000, fields['confirmed_age_ms'])

    def test_only_tasks_that_are_still_there_are_released(self):
        """Guard against a second start of a task that has moved meanwhile.

        The session waited for the store before it gave up the tasks.
        """
        state = self.leader.state
        workers = [
            worker_module.Worker(
                name,
                f'{name}:1',
                '',
                '',
                '',
                frozenset(),
                state_module.NO_NEED,
            )
            for name in ('w1', 'w2')
        ]
        for worker in workers:
            state.workers[worker.worker_id] = worker
        job = self.leader._intake.submit(
            cell_case.make_definition(_JOB, cell_case.make_step(2)), 0
        )
        moved, left = job.runs[0, 0].tasks
        state.occupy(moved, workers[1], 2, task_state.TaskState.RUNNING)
        state.occupy(left, workers[0], 1, task_state.TaskState.RUNNING)
        session = mock.Mock(worker=workers[0])
        with mock.patch.object(self.leader, '_schedule_plan'):
            self.leader.lose_tasks(session, [moved, left])
        self.assertEqual('w2', moved.worker_id)
        self.assertEqual('', left.worker_id)


class PassTest(LeaderCase):
    """Guard the other work of a leader against long scheduling passes."""

    def delay_after(self, took_ms):
        """Return the delay of the pass after one that took so long."""

        def plan(now_ms):
            self.clock.now += took_ms

        loop = mock.Mock()
        planner = mock.Mock(plan=plan, has_more=False)
        with (
            mock.patch.object(self.leader, '_planner', planner),
            mock.patch.object(
                leader_module.asyncio, 'get_running_loop', lambda: loop
            ),
        ):
            self.leader._plan()
            self.leader._schedule_plan()
        return round(loop.call_later.call_args.args[0] * 1000)

    def test_long_passes_leave_half_of_the_time(self):
        """Guard against reports and requests that wait behind passes.

        Passes of 60 ms followed each other within 4 to 20 ms.
        """
        for took_ms, delay_ms in ((0, 4), (60, 60), (900, 100), (1, 4)):
            self.assertEqual(delay_ms, self.delay_after(took_ms))


class LostLeadershipTest(LeaderCase):
    """Guard what follows the answer that a leader has stepped down.

    Its successor counts the last leases from that answer.
    """

    def test_nothing_is_ordered_or_answered_any_more(self):
        """Guard against orders and requests that were already waiting."""
        self.assertFalse(self.leader.end_if_expired())
        self.leader.lose_leadership('another daemon leads')
        self.assertTrue(self.leader.end_if_expired())
        request = messages.CountWaiting(cell_case.QUEUE)
        self.assertIsInstance(self.ask(request), messages.NotLeading)


class ConfirmedLeaderTest(LeaderCase):
    """Guard a leader that is cut off from the store (issue 35)."""

    def test_a_wait_for_a_confirmation_asks_for_an_append(self):
        """Guard against waits until the next heartbeat of the log."""

        async def wait():
            self.assertFalse(
                await self.leader.wait_confirmed(self.clock.now, 0)
            )

        self.assertFalse(self.leader._journal._wake.is_set())
        asyncio.run(wait())
        self.assertTrue(self.leader._journal._wake.is_set())

    def test_a_wait_for_workers_ends_with_a_confirmed_append(self):
        """Guard against waits that end by the clock of a leader cut off."""
        awaited = self.leader.state.awaited_workers
        awaited.expect('w', self.clock.now + 1_000)
        self.clock.now += 5_000
        self.leader._apply_append(journal_module.Batch())
        self.assertTrue(self.leader.awaits_workers)
        self.leader._confirmation.extend(self.clock.now)
        with mock.patch.object(self.leader, '_schedule_plan') as plan:
            self.leader._apply_append(journal_module.Batch())
        self.assertFalse(self.leader.awaits_workers)
        # Tasks that waited for it may start.
        plan.assert_called_once()


class PausedLeaderTest(LeaderCase):
    """Guard callers against a leader that was paused for some seconds."""

    def test_a_job_of_the_successor_is_not_said_to_be_unknown(self):
        """Guard against 410 for a job that another leader has accepted.

        The request waits in the buffer of the connection while the leader is
        paused, and is handled before anything tells of the successor.
        """
        request = messages.Find(_JOB, cell_case.WORKSPACE)
        self.assertIsInstance(self.ask(request), messages.Gone)
        self.clock.now += 5_000
        self.check_asked_again(self.ask(request))

    def check_asked_again(self, reply):
        # With NotLeading, daemons would ask again every 20 ms.
        self.assertIsInstance(reply, messages.Refused)
        self.assertEqual(errors.NotReady.kind, reply.kind)
        self.assertGreaterEqual(reply.retry_after_ms, 1_000)

    def test_a_cancellation_is_not_said_to_concern_no_job(self):
        """Guard against a cancelled job that runs at the successor."""
        self.clock.now += 5_000
        request = messages.Cancel(_JOB, cell_case.WORKSPACE)
        self.check_asked_again(self.ask(request))


class AddressedSubmissionTest(LeaderCase):
    """Guard refused jobs against copies for another leader (issue 38)."""

    def submit(self, epoch):
        definition = cell_case.make_definition(_JOB, cell_case.make_step())
        return self.ask(messages.Submit(definition, 1_000, epoch))

    def test_only_the_leader_that_a_copy_names_accepts_it(self):
        """Guard against a late copy that a process accepts as it leads again.

        A leader in between has refused a later copy, for this one as well.
        """
        for epoch in (3, 5):
            self.assertIsInstance(self.submit(epoch), messages.NotLeading)
        self.assertFalse(self.leader.state.table.knows(_JOB))

    def test_a_refusal_names_the_epoch_of_the_leader(self):
        """Guard against callers that are told less than is known."""
        with mock.patch.object(
            type(self.leader._intake),
            'submit',
            side_effect=errors.Overloaded('too much work', retry_after_ms=1),
        ):
            # Daemons of other builds name no epoch.
            for epoch in (0, 1):
                reply = self.submit(epoch)
                self.assertIsInstance(reply, messages.Refused)
                self.assertEqual(1, reply.epoch)


class CancelTest(LeaderCase):
    """Guard callers that cancel an ended job once more."""

    def test_a_repeated_cancellation_is_answered_at_once(self):
        """Guard against a DELETE that waits until its deadline.

        The job is recorded as cancelled and its tasks are being stopped.
        """
        intake = self.leader._intake
        job = intake.submit(
            cell_case.make_definition(_JOB, cell_case.make_step()), 0
        )
        intake.cancel(_JOB, cell_case.WORKSPACE)
        job.durable_state = job.state
        self.assertIsInstance(
            asyncio.run(
                asyncio.wait_for(
                    self.leader.handle(
                        messages.Cancel(_JOB, cell_case.WORKSPACE)
                    ),
                    1,
                )
            ),
            messages.Accepted,
        )


class RecoveryTest(LeaderCase):
    """Guard the jobs of a leader against the record of one of them."""

    def test_a_job_that_cannot_be_restored_costs_no_other(self):
        """Guard against a record that ends the process of each daemon.

        The log of the cell keeps it, and each new leader reads it (class of
        issue 32).
        """
        recovered = journal_module.RecoveredState()
        step = cell_case.make_step(2)
        for number, after in enumerate(((), (7,), (-1,), ())):
            definition = cell_case.make_definition(
                f'{number:016x}', step, cell_case.make_step(after=after)
            )
            recovered.jobs.append((definition, []))
        self.leader._recorder.recover(recovered)
        table = self.leader.state.table
        readable = [f'{number:016x}' for number in (0, 3)]
        self.assertEqual(readable, list(table.jobs))
        self.assertEqual(readable, list(self.leader.state.due_times_ms))
        self.assertEqual(6, len(table.tasks))


class SuccessionTest(unittest.TestCase):
    """Guard runs that leaders before may keep alive, and their jobs."""

    def wait_ms(self, waits, resigned=True, is_gone=True):
        """Return how long a new leader waits for a worker that is silent."""
        clock = _Clock()
        previous = claim_module.Claim('a', 'a:1', 'i', 4, resigned=resigned)
        leader = leader_module.Leader(
            claim_module.Claim('n', 'n:1', 'i', 5, epoch=9),
            None,
            None,
            None,
            None,
            clock,
            bounds_module.Bounds(),
            None,
            previous,
        )
        recovered = journal_module.RecoveredState()
        recovered.worker_addresses = {'w1': 'w1:1'}
        if waits is not None:
            recovered.waits = journal_module.WaitsRecord(*waits)
        leader._recorder.recover(recovered)
        leader._await_workers()
        if is_gone and not resigned:
            leader.note_previous_leader_gone()
        [wait_ms] = leader.state.awaited_workers.remaining_ms(
            clock.now
        ).values()
        return wait_ms

    def test_a_lease_of_the_predecessor_is_awaited(self):
        """Guard against a task that a silent worker still runs.

        The longest lease is 10 s: a worker that has restarted may have taken
        one (soak seed 1017).
        """
        for resigned in (False, True):
            wait_ms = self.wait_ms((4, {}), resigned)
            self.assertGreater(wait_ms, 10_200)
            self.assertLess(wait_ms, 11_000)
        wait_ms = self.wait_ms((4, {}), resigned=False, is_gone=False)
        self.assertGreater(wait_ms, 25_000)

    def test_the_wait_of_the_predecessor_is_continued(self):
        """Guard against work that stands still from leader to leader."""
        for resigned in (False, True):
            self.assertEqual(
                700, self.wait_ms((4, {'w1': 700}), resigned, is_gone=False)
            )

    def test_a_recorded_wait_without_end_is_bounded(self):
        """Guard against a record that stops the starts of each leader."""
        longest_ms = self.wait_ms((3, {}))
        self.assertEqual(longest_ms, self.wait_ms((4, {'w1': 2**53 - 1})))

    def test_a_leader_before_a_predecessor_that_was_waiting_counts(self):
        """Guard against a task that the leader before it still runs.

        That one is cut off from the store together with a worker, and renews
        its lease for up to 15 s. The predecessor never reached the worker.
        """
        self.assertEqual(20_000, self.wait_ms((4, {'w1': 20_000})))
        # It may have ended before it recorded anything.
        for waits in (None, (3, {}), (3, {'w1': 700})):
            self.assertGreater(self.wait_ms(waits), 25_000)


class SuspendTest(unittest.TestCase):
    """Guard against permissions that outlast a suspended machine."""

    def test_suspended_time_counts(self):
        """Guard against a lease that seems to be valid after a suspend.

        The monotonic clock of the system stands still meanwhile.
        """
        clocks = {
            time.CLOCK_MONOTONIC: 1_000_000_000,
            time.CLOCK_BOOTTIME: 6_000_000_000,
        }
        with (
            mock.patch.object(time, 'clock_gettime_ns', clocks.get),
            mock.patch.object(time, 'monotonic_ns', lambda: 1_000_000_000),
        ):
            self.assertEqual(6_000, clock_module.Clock().now_ms())
