"""Test the orders that a session sends to its worker."""

import asyncio
import unittest

from basilspindle.cell import first_calls
from basilspindle.cell import report as report_module
from basilspindle.cell import session as session_module
from basilspindle.cell import start_outcome
from basilspindle import clock as clock_module
from basilspindle import errors
from tests import cell_case

_Outcome = start_outcome.StartOutcome
_JOB = '00000000000000aa'
_UNKNOWN = errors.WorkerOutcomeUnknown('no answer; ask again')
_NOT_SENT = errors.WorkerUnavailable('no connection; try again')


# Of a worker that has been up for so long that no deadline of an earlier
# incarnation can remain.
_OLD_CLOCK_MS = 60_000


class _Worker:
    """Returns or raises the given answers to starts, one after another."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def start(self, *values):
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return start_outcome.StartAnswer(answer)


class _Owner(cell_case.ConfirmedOwner):
    def __init__(self):
        self.outcomes = []

    def handle_start_outcome(self, order, outcome):
        self.outcomes.append(outcome)


class StartTest(unittest.TestCase):
    """Guard the outcome derived from several attempts at a start."""

    def outcome(self, *answers):
        """Return the outcome that the session reports to its owner."""
        case = cell_case.CellCase()
        case.setUp()
        worker = case.add_worker('w1')
        case.submit(cell_case.make_definition(_JOB, cell_case.make_step()))
        [order] = case.plan().starts
        owner = _Owner()
        session = session_module.Session(
            worker,
            _Worker(*answers, *[_UNKNOWN] * 100_000),
            owner,
            _SteppingClock(),
            1,
            10_000,
            first_calls.FirstCalls(clock_module.Clock()),
        )
        session._lease.observe(0, 0)
        asyncio.run(session._start(order))
        return owner.outcomes[0]

    def test_a_try_without_an_answer_may_have_started_the_run(self):
        """Guard against a task that runs twice at the same time.

        The worker carries out the first attempt but its answer is lost, and
        the second attempt finds no connection (sweep of kwpa-refunds at 300
        machines: TWICE).
        """
        for repeated in (
            _NOT_SENT,
            _Outcome.UNHEALTHY,
            _Outcome.NO_ROOM,
            _Outcome.TICKET_REFUSED,
            _Outcome.DEADLINE_PASSED,
        ):
            with self.subTest(repeated=repeated):
                self.assertIs(
                    _Outcome.UNKNOWN, self.outcome(_UNKNOWN, repeated)
                )

    def test_a_repeat_that_is_answered_decides(self):
        """Guard against starts whose outcome stays unknown."""
        for repeated in (_Outcome.RUNS, _Outcome.RUN_TOO_LOW):
            with self.subTest(repeated=repeated):
                self.assertIs(repeated, self.outcome(_UNKNOWN, repeated))

    def test_a_first_answer_decides(self):
        """Guard against capacity held by a run that was never started."""
        self.assertIs(_Outcome.NOT_SENT, self.outcome(_NOT_SENT))
        self.assertIs(_Outcome.NO_ROOM, self.outcome(_Outcome.NO_ROOM))

    def test_an_unexpected_error_leaves_the_outcome_unknown(self):
        """Guard against a task that keeps its room and never ends.

        The error ended the task of the event loop that made the call, and
        the owner never heard of the outcome.
        """
        self.assertIs(
            _Outcome.UNKNOWN, self.outcome(ValueError('not a response'))
        )


class _Reporter:
    """Answers each renewal with the same report, and stops after a few."""

    def __init__(self, renewals):
        self.renewals = renewals
        self.calls = 0

    async def renew(self, *values):
        self.calls += 1
        if self.calls > self.renewals:
            await asyncio.Event().wait()
        return report_module.Report(0, cell_case.BORN_MS, (), ())


class _SilentWorker:
    """Answers a first renewal and then none."""

    def __init__(self, clock, error):
        self.clock = clock
        self.error = error
        self.deadlines_ms = []

    async def renew(self, address, worker_id, token, deadline_ms, *values):
        self.deadlines_ms.append(deadline_ms)
        if len(self.deadlines_ms) == 1:
            return report_module.Report(
                _OLD_CLOCK_MS, cell_case.BORN_MS, (), ()
            )
        if self.error is _UNKNOWN:
            await self.clock.sleep_ms(1_500)
        raise self.error


class _Losses(cell_case.ConfirmedOwner):
    def __init__(self, clock):
        self.clock = clock
        self.lost_ms = []

    def handle_report(self, session, report, sent_ms):
        return False

    def lose_worker(self, session, evidence):
        self.lost_ms.append(self.clock.now)


class SilenceTest(unittest.TestCase):
    """Guard the tasks of a worker that does not answer any more."""

    def play(self, error=_UNKNOWN, is_recorded=True):
        """Return the worker, and the times at which it counts as lost."""
        case = cell_case.CellCase()
        case.setUp()
        worker = case.add_worker('w1')
        worker.is_recorded = is_recorded
        clock = cell_case.ManualClock()
        silent = _SilentWorker(clock, error)
        owner = _Losses(clock)
        session = session_module.Session(
            worker,
            silent,
            owner,
            clock,
            1,
            10_000,
            first_calls.FirstCalls(clock_module.Clock()),
        )

        async def play():
            session.open()
            while clock.now < 60_000:
                await asyncio.sleep(0)
            session.close()

        asyncio.run(play())
        return silent, owner.lost_ms

    def test_a_lease_that_is_not_answered_ends(self):
        """Guard against tasks that wait for a worker without power for ever.

        Each renewal, answered or not, moved the expiry of the lease (review/2:
        LOST).
        """
        silent, lost_ms = self.play()
        self.assertTrue(lost_ms)
        # The last lease that the worker may have taken, on a slow clock, and
        # then at most one attempt and one pause.
        lease_ms = max(filter(None, silent.deadlines_ms)) - _OLD_CLOCK_MS
        taken_ms = lease_ms / 0.98
        self.assertGreater(lost_ms[0], taken_ms)
        self.assertLess(lost_ms[0], taken_ms + 2_100)

    def test_a_refused_connection_does_not_end_a_lease(self):
        """Guard against tasks that run on while they are started elsewhere.

        A cut with resets refused the connections of the leader; its workers
        went on (review/4: TWICE).
        """
        silent, lost_ms = self.play(_NOT_SENT)
        lease_ms = max(filter(None, silent.deadlines_ms)) - _OLD_CLOCK_MS
        taken_ms = lease_ms / 0.98
        self.assertGreater(lost_ms[0], taken_ms)
        self.assertLess(lost_ms[0], taken_ms + 2_100)

    def test_a_lease_of_the_predecessor_is_awaited(self):
        """Guard against tasks that run on while they are started elsewhere.

        The worker answers a new leader once, and stops answering before that
        leader has granted it a lease.
        """
        for error in (_UNKNOWN, _NOT_SENT):
            with self.subTest(error=error):
                silent, lost_ms = self.play(error, is_recorded=False)
                self.assertEqual([], list(filter(None, silent.deadlines_ms)))
                taken_ms = session_module.LEASE_MS / 0.98
                self.assertGreater(lost_ms[0], taken_ms)
                self.assertLess(lost_ms[0], taken_ms + 2_100)


class UnnamedWorkerTest(unittest.TestCase):
    """Guard leases of workers that the log does not name."""

    def test_no_lease_before_the_log_names_the_worker(self):
        """Guard against a lease that a later leader does not wait for."""
        case = cell_case.CellCase()
        case.setUp()
        worker = case.add_worker('w1')
        clock = cell_case.ManualClock()
        silent = _SilentWorker(clock, None)
        waits_ms = []

        async def renew(address, worker_id, token, deadline_ms, acked, *rest):
            silent.deadlines_ms.append(deadline_ms)
            waits_ms.append(rest[0])
            return report_module.Report(
                _OLD_CLOCK_MS, cell_case.BORN_MS, (), ()
            )

        silent.renew = renew
        session = session_module.Session(
            worker,
            silent,
            _Losses(clock),
            clock,
            1,
            10_000,
            first_calls.FirstCalls(clock_module.Clock()),
        )

        async def play():
            worker.is_recorded = False
            await session._renew_once()
            await session._renew_once()
            worker.is_recorded = True
            await session._renew_once()

        asyncio.run(play())
        self.assertEqual([None, None, 65_000], silent.deadlines_ms)
        self.assertTrue(all(waits_ms))


class OtherWorkerTest(unittest.TestCase):
    """Guard the tasks of a worker whose address is answered by another."""

    def lost(self, address):
        """Return how often the worker counts as lost."""
        case = cell_case.CellCase()
        case.setUp()
        worker = case.add_worker('w1')
        worker.address = address
        owner = _Losses(cell_case.ManualClock())
        session = session_module.Session(
            worker,
            _SilentWorker(owner.clock, None),
            owner,
            owner.clock,
            1,
            10_000,
            first_calls.FirstCalls(clock_module.Clock()),
        )

        async def renew(*values):
            raise errors.WorkerReplaced('another worker; look it up')

        session._orders.renew = renew
        asyncio.run(session._renew_once())
        return len(owner.lost_ms)

    def test_another_worker_at_its_address_shows_that_it_has_ended(self):
        """Guard against tasks that wait for the lease of an ended worker."""
        self.assertEqual(1, self.lost('w1:1'))

    def test_a_wrong_address_proves_nothing(self):
        """Guard against an entry that names the address of another worker.

        The worker that has the tasks runs on where it answered before.
        """
        self.assertEqual(0, self.lost('w2:1'))


class _RestartingWorker:
    """Records what each renewal acknowledges; one of them fails."""

    def __init__(self, failing_call):
        self.failing_call = failing_call
        self.acknowledged = []
        self.start_clock_ms = None

    async def renew(self, address, worker_id, token, deadline_ms, acked, *_):
        self.acknowledged.append(acked)
        if len(self.acknowledged) == self.failing_call:
            raise _UNKNOWN
        return report_module.Report(50_000, cell_case.BORN_MS, (), ())

    async def start(self, *values):
        return start_outcome.StartAnswer(_Outcome.RUNS, self.start_clock_ms)


class _RecordingOwner(cell_case.ConfirmedOwner):
    def handle_report(self, session, report, sent_ms):
        worker = session.worker
        worker.reported = True
        worker.born_wall_ms = report.born_wall_ms
        # One more end with each report.
        number = max(7, worker.recorded_end_number + 1)
        worker.applied_end_number = worker.recorded_end_number = number
        return False

    def handle_start_outcome(self, order, outcome):
        return


class AcknowledgementTest(unittest.TestCase):
    """Guard run ends of a worker that has restarted under its id.

    It numbers its ends anew and forgets those up to the number that a call
    names, also if the number belongs to the life before (review/5: TWICE).
    """

    def setUp(self):
        case = cell_case.CellCase()
        case.setUp()
        self.worker = case.add_worker('w1')
        case.submit(cell_case.make_definition(_JOB, cell_case.make_step()))
        [self.order] = case.plan().starts

    def session(self, orders):
        return session_module.Session(
            self.worker,
            orders,
            _RecordingOwner(),
            cell_case.ManualClock(),
            1,
            10_000,
            first_calls.FirstCalls(clock_module.Clock()),
        )

    def test_an_unanswered_renewal_is_followed_by_no_acknowledgement(self):
        """Guard against an acknowledgement that reaches the next life."""
        orders = _RestartingWorker(failing_call=3)
        session = self.session(orders)

        async def play():
            for _ in range(5):
                await session._renew_once()

        asyncio.run(play())
        self.assertEqual([0, 7, 8, 0, 9], orders.acknowledged)

    def test_another_clock_tells_of_another_life(self):
        """Guard against a restart that no renewal has noticed.

        The clock of the other life begins anywhere, so that it may also be
        far ahead.
        """
        for clock_ms, expected in (
            (50_001, 7),
            (300, 0),
            (49_999, 0),
            (60_000, 0),
            (7_000_000, 0),
            (None, 7),
        ):
            with self.subTest(clock_ms=clock_ms):
                self.setUp()
                orders = _RestartingWorker(failing_call=0)
                orders.start_clock_ms = clock_ms
                session = self.session(orders)

                async def play(session=session):
                    await session._renew_once()
                    await session._start(self.order)
                    await session._renew_once()

                asyncio.run(play())
                self.assertEqual([0, expected], orders.acknowledged)

    def test_an_acknowledged_end_is_not_acknowledged_again(self):
        """Guard against a repeat that reaches the next life late."""
        orders = _RestartingWorker(failing_call=0)
        session = self.session(orders)

        async def play():
            await session._renew_once()
            self.worker.recorded_end_number = 6
            await session._renew_once()
            self.worker.recorded_end_number = 6
            await session._renew_once()

        asyncio.run(play())
        self.assertEqual([0, 6, 0], orders.acknowledged)

    def test_a_start_in_flight_may_be_taken_by_another_life(self):
        """Guard against an acknowledgement that overtakes an answer."""
        orders = _RestartingWorker(failing_call=0)
        session = self.session(orders)

        async def play():
            await session._renew_once()
            session._open_starts += 1
            await session._renew_once()
            session._open_starts -= 1
            await session._renew_once()

        asyncio.run(play())
        self.assertEqual([0, 0, 8], orders.acknowledged)


class _FailingOwner(cell_case.ConfirmedOwner):
    def __init__(self):
        self.reports = 0
        self.lost = []

    def handle_report(self, session, report, sent_ms):
        self.reports += 1
        raise KeyError('unknown row')

    def lose_leadership(self, reason, cause=None):
        self.lost.append(reason)

    def lose_worker(self, session, evidence):
        return


class ReportTest(unittest.TestCase):
    """Guard the leadership against what one worker reports."""

    def test_a_report_that_cannot_be_applied_ends_no_leadership(self):
        """Guard against leaders that end one after another.

        The worker repeats its report to each new leader.
        """
        case = cell_case.CellCase()
        case.setUp()
        worker = case.add_worker('w1')
        owner = _FailingOwner()
        reporter = _Reporter(3)
        session = session_module.Session(
            worker,
            reporter,
            owner,
            _SteppingClock(),
            1,
            10_000,
            first_calls.FirstCalls(clock_module.Clock()),
        )

        async def play():
            session.open()
            while reporter.calls <= reporter.renewals and not owner.lost:
                await asyncio.sleep(0)
            session.close()

        asyncio.run(play())
        self.assertEqual([], owner.lost)
        self.assertEqual(3, owner.reports)
        self.assertFalse(worker.accepts(1_000))


class _SteppingClock(clock_module.Clock):
    """Advances by 100 ms whenever the time is read."""

    __slots__ = ('now',)

    def __init__(self):
        self.now = 0

    def now_ms(self):
        self.now += 100
        return self.now

    async def sleep_ms(self, duration_ms):
        return
