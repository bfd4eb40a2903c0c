"""Test the periodic checks of the leader."""

from basilspindle.cell import housekeeping
from basilspindle.cell import lease_clock
from basilspindle.cell import start_outcome
from basilspindle.cell import starts as starts_module
from tests import cell_case

_JOB = '00000000000000aa'


class EvacuationTest(cell_case.CellCase):
    """Guard tasks on workers that are withdrawn at short notice."""

    def setUp(self):
        super().setUp()
        self.worker = self.add_worker('w1', cpu=8_000)
        self.submit(
            cell_case.make_definition(
                _JOB,
                cell_case.make_step(1, estimate_ms=10_000),
                cell_case.make_step(1, estimate_ms=500),
            )
        )
        self.start_all(self.plan())
        self.worker.ready = False
        self.worker.drain_end_ms = self.now_ms + 2_000

    def stopped(self):
        housekeeping.evacuate(self.state, self.now_ms)
        return [stop.name for stop in self.state.take_orders().stops]

    def test_only_what_cannot_end_in_time_is_stopped(self):
        """Guard against lost tasks, and against needless restarts."""
        self.assertEqual([f'{_JOB}.0.0.0'], self.stopped())
        self.assertEqual([], self.stopped())

    def test_nothing_is_stopped_without_a_known_end(self):
        """Guard against stops on workers that remain for an unknown time."""
        self.worker.drain_end_ms = 0
        self.assertEqual([], self.stopped())


class GangTest(cell_case.CellCase):
    """Guard gangs with a member that does not start."""

    def test_partially_started_gang_is_stopped(self):
        """Guard against members that wait for one that never starts."""
        for name in ('w1', 'w2'):
            self.add_worker(name, cpu=1_000)
        step = cell_case.make_step(2, gang=True)
        self.submit(cell_case.make_definition(_JOB, step))
        first, _ = self.plan().starts
        self.apply_outcome(first)
        housekeeping.stop_partial_gangs(self.state, self.now_ms + 1_000)
        self.assertEqual([], self.state.take_orders().stops)
        housekeeping.stop_partial_gangs(self.state, self.now_ms + 2_000)
        self.assertEqual(2, len(self.state.take_orders().stops))

    def test_members_start_with_one_checkpoint(self):
        """Guard against members that resume from different points."""
        self.add_worker('w1', cpu=4_000)
        step = cell_case.make_step(3, gang=True, checkpoints=True)
        job = self.submit(cell_case.make_definition(_JOB, step))
        tasks = job.runs[0, 0].tasks
        for task, checkpoint in zip(tasks, ('', 'b', 'a'), strict=True):
            task.checkpoint = checkpoint
        starts = self.plan().starts
        self.assertEqual(3, len(starts))
        self.assertEqual({'b'}, {start.task.checkpoint for start in starts})

    def test_a_gang_starts_again_as_a_whole(self):
        """Guard against a gang that restarts while a member still runs."""
        for name in ('w1', 'w2', 'w3'):
            self.add_worker(name, cpu=1_000)
        step = cell_case.make_step(2, gang=True)
        self.submit(cell_case.make_definition(_JOB, step))
        first, second = self.plan().starts
        self.apply_outcome(first)
        self.apply_outcome(second, start_outcome.StartOutcome.NO_ROOM)
        orders = self.plan()
        self.assertEqual([], orders.starts)
        [stop] = orders.stops
        self.assertEqual(first.task.name, stop.name)
        starts_module.apply_stop_ack(self.state, stop, self.now_ms)
        self.now_ms += 400
        for name in ('w1', 'w2', 'w3'):
            self.report(name)
        starts = self.plan().starts
        self.assertEqual(2, len(starts))
        self.assertEqual({first.run + 1}, {start.run for start in starts})


class SupersededRunTest(cell_case.CellCase):
    """Guard the room of a run that is not needed any more."""

    def test_its_stop_is_ordered_until_it_is_accepted(self):
        """Guard against room that stays taken once the stop is lost.

        An earlier run of the task ended done; the worker that holds the
        later one then starts again, and lists it no more.
        """
        for name in ('w1', 'w2'):
            self.add_worker(name, cpu=1_000)
        self.submit(cell_case.make_definition(_JOB, cell_case.make_step()))
        [first] = self.start_all(self.plan())
        task = first.task
        self.state.requeue_worker_tasks(self.state.workers[first.worker_id])
        [second] = self.start_all(self.plan())
        self.report_end(first.worker_id, task.name, first.run)
        [stop] = self.state.take_orders().stops
        self.assertEqual(second.worker_id, stop.worker_id)
        for _ in range(2):
            self.now_ms += 3_000
            self.report(second.worker_id, born=cell_case.BORN_MS + 1)
            housekeeping.resend_stops(self.state, self.now_ms)
        [stop] = self.state.take_orders().stops
        starts_module.apply_stop_ack(self.state, stop, self.now_ms)
        self.now_ms += 1
        self.report(second.worker_id, born=cell_case.BORN_MS + 1)
        self.assertEqual({}, self.state.workers[second.worker_id].tasks)


class OccurrenceTest(cell_case.CellCase):
    """Guard jobs with several occurrences."""

    def test_runs_open_when_they_are_due_and_not_before(self):
        """Guard against an occurrence that starts early or never."""
        self.add_worker('w1')
        job = self.submit(
            cell_case.make_definition(
                _JOB,
                cell_case.make_step(),
                max_runs=2,
                first_run_ms=5_000,
                interval_ms=1_000,
            )
        )
        housekeeping.open_due_occurrences(self.state, self.now_ms, 4_999)
        self.assertEqual([], self.plan().starts)
        for due_ms in (5_000, 6_000):
            self.assertFalse(job.state.is_final)
            housekeeping.open_due_occurrences(self.state, self.now_ms, due_ms)
            # A later leader knows only of recorded occurrences (review/3).
            self.assertEqual([], self.plan().starts)
            self.record()
            [start] = self.start_all(self.plan())
            self.report_end('w1', start.task.name, start.run)
        self.assertTrue(job.state.is_final)


class ServiceTest(cell_case.CellCase):
    """Guard services, which run until their job is cancelled."""

    def test_a_service_starts_again_however_it_ends(self):
        """Guard against a service that stays down."""
        self.add_worker('w1')
        job = self.submit(
            cell_case.make_definition(
                _JOB, cell_case.make_step(service=True), max_attempts=1
            )
        )
        for kind in cell_case.report_module.EndKind:
            with self.subTest(kind=kind):
                [start] = self.start_all(self.plan())
                self.report_end('w1', start.task.name, start.run, kind)
                self.assertFalse(job.state.is_final)


class LeaseClockTest(cell_case.CellCase):
    """Guard the time after which a worker runs no more tasks."""

    def test_a_slow_clock_is_allowed_for(self):
        """Guard against a second run while the first one still runs."""
        clock = lease_clock.LeaseClock()
        self.assertIsNone(clock.grant(5_000))
        clock.observe(1_000, 10_000)
        self.assertEqual(6_000, clock.grant(5_000))
        # The worker's clock may run 2% slow.
        self.assertGreaterEqual(clock.expiry_ms(), 10_000 + 5_102)
        clock.observe(2_000, 11_000)
        self.assertEqual(7_000, clock.grant(5_000))
        self.assertGreaterEqual(clock.expiry_ms(), 11_000 + 5_102)

    def test_a_grant_without_an_answer_counts(self):
        """Guard against a lease that was granted but not acknowledged.

        The worker may have taken each of the deadlines, at a time when its
        clock showed the latest reading or more.
        """
        clock = lease_clock.LeaseClock()
        clock.observe(100, 0)
        for _ in range(3):
            deadline_ms = clock.grant(5_000)
            self.assertGreaterEqual(
                clock.expiry_ms(), (deadline_ms - 100) / 0.98
            )

    def test_unanswered_grants_end(self):
        """Guard against a lease that lasts as long as it is renewed in vain.

        Seen in review/2: tasks of workers without power were never started
        again.
        """
        clock = lease_clock.LeaseClock()
        clock.observe(0, 0)
        for _ in range(20):
            clock.grant(5_000)
        self.assertLessEqual(clock.expiry_ms(), 5_000 / 0.98 + 1)

    def test_a_new_life_may_have_taken_a_deadline_of_the_old_one(self):
        """Guard against a lease that ends later than it seems to.

        A worker that has restarted shortens a deadline on the clock of its
        earlier life to its longest lease.
        """
        clock = lease_clock.LeaseClock()
        clock.observe(600_000, 0)
        clock.grant(5_000)
        # Where its clock begins tells nothing about its age.
        for clock_ms in (200, 300_000, 604_000, 7_000_000):
            clock.begin_life(clock_ms, 1_000, 10_000)
            clock.grant(5_000)
            self.assertGreaterEqual(clock.expiry_ms(), 1_000 + 10_000)
