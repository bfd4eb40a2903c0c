"""Test what a leader does before the store confirms that it still leads."""

import asyncio
import unittest

from basilspindle.cell import awaited
from basilspindle.cell import confirmation
from basilspindle.cell import first_calls
from basilspindle.cell import report as report_module
from basilspindle.cell import session as session_module
from basilspindle.cell import start_outcome
from basilspindle import clock as clock_module
from basilspindle import errors
from tests import cell_case
from tests.standins import manual_clock

_JOB = '00000000000000aa'
_OLD_CLOCK_MS = 60_000
_LATE_ANSWER_MS = 5_000
# When the store last confirmed the leader, unless it does so once more.
_CONFIRMED_MS = 0
_UNKNOWN = errors.WorkerOutcomeUnknown('no answer; ask again')
_REPLACED = errors.WorkerReplaced('another worker; look it up')
_Outcome = start_outcome.StartOutcome


class _Worker:
    """Gives the answers of a list to renewals and starts."""

    def __init__(self, clock, renewals, starts=()):
        self.clock = clock
        self.renewals = list(renewals)
        self.starts = list(starts)
        self.deadlines_ms = []
        self.start_count = 0

    async def renew(self, address, worker_id, token, deadline_ms, *values):
        self.deadlines_ms.append(deadline_ms)
        answer = self.renewals.pop(0) if self.renewals else _UNKNOWN
        if answer is _UNKNOWN:
            await self.clock.sleep_ms(1_500)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def start(self, *values):
        self.start_count += 1
        answer = self.starts.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return start_outcome.StartAnswer(answer)


class _Owner:
    """Owner of a session that the store may no longer answer."""

    def __init__(self, is_confirmed, is_over=False):
        self.is_confirmed = is_confirmed
        self.is_over = is_over
        self.confirmed_ms = _CONFIRMED_MS
        self.asked_ms = []
        self.reports = []
        self.losses = []
        self.outcomes = []

    def end_if_expired(self):
        return self.is_over

    def withholds_start(self, order):
        return False

    async def wait_confirmed(self, at_ms, timeout_ms):
        if at_ms < _CONFIRMED_MS:
            return True
        self.asked_ms.append(at_ms)
        return self.is_confirmed

    def handle_report(self, session, report, sent_ms):
        self.reports.append(report)
        session.worker.born_wall_ms = report.born_wall_ms
        session.worker.reported = True
        return False

    def lose_worker(self, session, evidence):
        self.losses.append(evidence.value)

    def handle_start_outcome(self, order, outcome):
        self.outcomes.append(outcome)


class _SlowOwner(_Owner):
    """Owner whose appends take longer than a session waits for one."""

    def __init__(self, clock):
        super().__init__(is_confirmed=False)
        self.clock = clock

    async def wait_confirmed(self, at_ms, timeout_ms):
        await self.clock.sleep_ms(timeout_ms)
        return at_ms < self.clock.now - 2 * timeout_ms


def _report(born_ms, clock_ms=_OLD_CLOCK_MS):
    return report_module.Report(clock_ms, born_ms, (), ())


class SuccessorTest(unittest.TestCase):
    """Guard tasks whose ends a successor may have acknowledged.

    The leader is cut off with a part of the workers (issue 35: TWICE).
    """

    def session(self, owner, renewals, starts=()):
        """Open nothing; return the session of a worker with its orders."""
        case = cell_case.CellCase()
        case.setUp()
        worker = case.add_worker('w1')
        case.submit(cell_case.make_definition(_JOB, cell_case.make_step()))
        [self.order] = case.plan().starts
        self.clock = cell_case.ManualClock()
        self.worker = _Worker(self.clock, renewals, starts)
        return session_module.Session(
            worker,
            self.worker,
            owner,
            self.clock,
            1,
            10_000,
            first_calls.FirstCalls(clock_module.Clock()),
        )

    def play_silence(self, owner):
        """Play a worker that answers once and then no more."""
        session = self.session(owner, [_report(cell_case.BORN_MS)])
        # The first answer comes before the last confirmation.
        self.clock.now = _CONFIRMED_MS - 1

        async def play():
            session.open()
            while self.clock.now < 20_000:
                await asyncio.sleep(0)
            session.close()

        asyncio.run(play())

    def test_a_lease_that_a_successor_may_have_renewed(self):
        """Guard against leases taken for run out by a leader cut off."""
        owner = _Owner(is_confirmed=False)
        self.play_silence(owner)
        self.assertEqual([], owner.losses)
        # An append has to begin after the lease has run out.
        self.assertTrue(owner.asked_ms)
        self.assertGreater(min(owner.asked_ms), session_module.LEASE_MS)

    def test_a_lease_that_no_successor_has_renewed(self):
        """Guard against tasks that wait for a lost worker for ever."""
        owner = _Owner(is_confirmed=True)
        self.play_silence(owner)
        self.assertEqual('lease', owner.losses[0])

    def test_another_worker_that_took_the_place_of_one(self):
        """Guard against ends noted by a successor before the worker ended."""
        for is_confirmed, losses in ((False, []), (True, ['replaced'])):
            with self.subTest(is_confirmed=is_confirmed):
                owner = _Owner(is_confirmed)
                session = self.session(owner, [_REPLACED])
                session.worker.answered_address = session.worker.address
                asyncio.run(session._renew_once())
                self.assertEqual(losses, owner.losses)

    def test_a_later_life_of_a_worker(self):
        """Guard against ends noted by a successor before a restart.

        The new life knows no fence and lists nothing.
        """
        owner = _Owner(is_confirmed=True)
        later = _report(cell_case.BORN_MS + 9_000, 500)
        session = self.session(
            owner, [_report(cell_case.BORN_MS), later, later, later]
        )
        session.worker.is_recorded = True

        async def play():
            await session._renew_once()
            owner.is_confirmed = False
            self.clock.now += 9_000
            await session._renew_once()
            self.assertEqual(1, len(owner.reports))
            await session._start(self.order)
            await session._renew_once()
            owner.is_confirmed = True
            await session._renew_once()

        asyncio.run(play())
        self.assertEqual(2, len(owner.reports))
        # It takes part in nothing until then.
        self.assertEqual(0, self.worker.start_count)
        self.assertEqual([_Outcome.NOT_SENT], owner.outcomes)
        self.assertEqual([None, None], self.worker.deadlines_ms[2:])

    def test_the_lease_of_a_later_life_that_is_not_confirmed(self):
        """Guard against tasks that the later life has accepted.

        It may have taken the longest lease, and its report waits for the
        store for longer than the lease of the earlier life.
        """
        owner = _Owner(is_confirmed=False)
        later = [
            _report(cell_case.BORN_MS + 9_000, clock_ms)
            for clock_ms in (500, 1_500)
        ]
        session = self.session(owner, [_report(cell_case.BORN_MS), *later])
        session.worker.is_recorded = True
        self.clock.now = _OLD_CLOCK_MS

        async def play():
            await session._renew_once()
            await session._renew_once()
            seen_ms = self.clock.now
            self.clock.now += 1_000
            await session._renew_once()
            self.assertGreater(session.lease_expiry_ms, seen_ms + 10_000)
            # The evidence is as old as the first answer of the later life.
            self.assertEqual([seen_ms] * 2, owner.asked_ms[1:])

        asyncio.run(play())

    def test_a_life_that_this_leader_hears_for_the_first_time(self):
        """Guard against a new leader that is cut off while it waits.

        Its own successor has noted ends of the life before, and the report
        of the next one ended the wait for the worker.
        """
        # Where its clock begins tells nothing about when the life began.
        for clock_ms in (0, 9_000, 11_000, 7_000_000):
            for is_confirmed in (False, True):
                owner = _Owner(is_confirmed)
                session = self.session(owner, [])
                session.worker.born_wall_ms = 0
                self.clock.now = 10_000
                self.worker.renewals = [_report(cell_case.BORN_MS, clock_ms)]
                asyncio.run(session._renew_once())
                self.assertEqual([10_000], owner.asked_ms)
                self.assertEqual(is_confirmed, bool(owner.reports))

    def test_a_worker_that_restarts_while_the_store_is_slow(self):
        """Guard against a worker that gets no lease until an append is fast.

        Each answer asked for an append that began after it.
        """
        owner = _SlowOwner(None)
        session = self.session(owner, [_report(cell_case.BORN_MS)])
        owner.clock = self.clock

        async def play():
            await session._renew_once()
            began_ms = self.clock.now
            for _ in range(4):
                self.worker.renewals = [
                    _report(
                        cell_case.BORN_MS + 9_000, self.clock.now - began_ms
                    )
                ]
                await session._renew_once()

        asyncio.run(play())
        self.assertGreater(len(owner.reports), 1)

    def test_a_worker_that_is_replaced_while_the_store_is_slow(self):
        """Guard against tasks that wait until an append is fast."""
        owner = _SlowOwner(None)
        session = self.session(owner, [_REPLACED] * 4)
        owner.clock = self.clock
        session.worker.answered_address = session.worker.address

        async def play():
            for _ in range(4):
                await session._renew_once()

        asyncio.run(play())
        self.assertIn('replaced', owner.losses)

    def test_no_start_while_another_worker_answers_at_the_address(self):
        """Guard against a start whose task is about to be released.

        The entry of the worker may name a new address by then.
        """
        owner = _Owner(is_confirmed=False)
        session = self.session(owner, [_REPLACED])
        session.worker.answered_address = session.worker.address
        session._lease.observe(0, 0)

        async def play():
            await session._renew_once()
            await session._start(self.order)

        asyncio.run(play())
        self.assertEqual(0, self.worker.start_count)
        self.assertEqual([_Outcome.NOT_SENT], owner.outcomes)

    def test_a_start_without_an_answer_and_then_another_worker(self):
        """Guard against a run that a successor has seen end."""
        for is_confirmed, outcome in (
            (False, _Outcome.UNKNOWN),
            (True, _Outcome.WORKER_REPLACED),
        ):
            with self.subTest(is_confirmed=is_confirmed):
                owner = _Owner(is_confirmed)
                session = self.session(owner, [], [_UNKNOWN, _REPLACED])
                session._lease.observe(0, 0)
                asyncio.run(session._start(self.order))
                self.assertEqual([outcome], owner.outcomes)

    def test_a_wait_for_a_worker_that_a_successor_may_have_heard(self):
        """Guard against a new leader that is cut off while it waits."""
        workers = awaited.AwaitedWorkers()
        workers.expect('w1', 1_000)
        workers.confirmed_ms = 900
        self.assertTrue(workers.any(5_000))
        self.assertTrue(workers.awaits('w1', 5_000))
        workers.confirmed_ms = 1_000
        self.assertFalse(workers.any(5_000))
        self.assertFalse(workers.awaits('w1', 5_000))


class _PromptStore:
    """Store that answers at once."""

    async def append(self, *values):
        return

    async def probe_end(self, stream):
        return


class _LateStore:
    """Store whose answers to appends are long on their way."""

    def __init__(self, clock):
        self.clock = clock

    async def append(self, *values):
        await self.clock.sleep_ms(_LATE_ANSWER_MS)

    async def probe_end(self, stream):
        await self.clock.sleep_ms(_LATE_ANSWER_MS)


class TermTest(unittest.IsolatedAsyncioTestCase):
    """Guard the time for which a successor waits for this leader."""

    async def test_an_answer_counts_from_its_call(self):
        """Guard against a leader that leads on after its successor's wait.

        The answer of the store was on its way for long, or the process stood
        still before it read it.
        """
        clock = manual_clock.ManualClock()
        begun_ms = clock.now_ms()
        confirmed = confirmation.Confirmation(clock)
        journal = cell_case.make_journal(_LateStore(clock), clock, confirmed)
        running = asyncio.ensure_future(journal.run())
        journal.request_append()
        await clock.advance_ms(_LATE_ANSWER_MS + 100)
        self.assertLessEqual(confirmed.confirmed_ms, begun_ms + 100)
        self.assertGreaterEqual(confirmed.age_ms, _LATE_ANSWER_MS)
        running.cancel()

    async def test_a_wait_ends_with_an_append_of_the_next_millisecond(self):
        """Guard against waits of 300 ms for a store that answers at once.

        The append that a wait asks for begins in the same millisecond.
        """
        clock = manual_clock.ManualClock()
        confirmed = confirmation.Confirmation(clock)
        journal = cell_case.make_journal(_PromptStore(), clock, confirmed)
        running = asyncio.ensure_future(journal.run())
        await clock.advance_ms(50)
        at_ms = clock.now_ms()
        journal.request_append()
        waiting = asyncio.ensure_future(confirmed.wait(at_ms, 60_000))
        await clock.advance_ms(100)
        self.assertTrue(waiting.done())
        running.cancel()

    async def test_only_a_call_that_began_later_covers_a_time(self):
        """Guard against a confirmation that was under way before."""
        clock = manual_clock.ManualClock()
        at_ms = clock.now_ms()
        confirmed = confirmation.Confirmation(clock)
        waiting = asyncio.ensure_future(confirmed.wait(at_ms, 60_000))
        await asyncio.sleep(0)
        # The journal has to append once more.
        self.assertTrue(confirmed.extend(at_ms))
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        self.assertFalse(confirmed.extend(at_ms + 1))
        self.assertTrue(await waiting)
        self.assertFalse(await confirmed.wait(at_ms + 2, 0))

    async def test_a_leader_whose_time_is_over_orders_nothing(self):
        """Guard against orders of a process that stood still.

        They went out before the periodic check noticed.
        """
        owner = _Owner(is_confirmed=False, is_over=True)
        case = cell_case.CellCase()
        case.setUp()
        worker = case.add_worker('w1')
        case.submit(cell_case.make_definition(_JOB, cell_case.make_step()))
        [order] = case.plan().starts
        silent = _Worker(cell_case.ManualClock(), [])
        session = session_module.Session(
            worker,
            silent,
            owner,
            silent.clock,
            1,
            10_000,
            first_calls.FirstCalls(clock_module.Clock()),
        )
        session._lease.observe(0, 0)
        self.assertIsNotNone(await session._renew_once())
        await session._start(order)
        self.assertEqual([], silent.deadlines_ms)
        self.assertEqual(0, silent.start_count)
