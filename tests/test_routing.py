"""Test calls to owners when partitions move or calls fail."""

import asyncio
import types
import unittest

import loguru

from basilspindle import errors
from basilspindle.peer import messages
from basilspindle import routing
from tests.standins import manual_clock

_TIMEOUT_MS = 10_000
_ReplyLost = errors.PeerOutcomeUnknown


def _submit(job_id='r1'):
    # The router reads no more of a job than its id.
    job = types.SimpleNamespace(job_id=job_id)
    return messages.Submit(partition=3, job=job)


class RouterCase(unittest.IsolatedAsyncioTestCase):
    """Let each call end with the next outcome of a list.

    An outcome is a reply, an error to raise, or a delay in ms after which
    the call fails because its reply was lost.
    """

    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.owner = 'a:1'
        self.outcomes = []
        self.calls = []
        self.retries_seen = 0
        self.handlers = {messages.Submit: self.handle_locally}
        self.router = routing.Router(self.clock, self, self, self.handlers)

    def partition_of(self, workspace):
        return 3

    def owner_address(self, partition):
        self.assertEqual(3, partition)
        return self.owner() if callable(self.owner) else self.owner

    async def handle_locally(self, request):
        return await self.call('', request, _TIMEOUT_MS)

    async def call(self, address, request, timeout_ms):
        self.calls.append((address, request.job.job_id))
        outcome = self.outcomes.pop(0) if self.outcomes else 'done'
        if isinstance(outcome, int):
            await self.clock.sleep_ms(min(outcome, timeout_ms))
            raise _ReplyLost('lost')
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    def count_retry(self):
        self.retries_seen += 1

    async def run_call(self, *outcomes, timeout_ms=_TIMEOUT_MS):
        """Run one call with these outcomes; return its reply or error."""
        self.outcomes = list(outcomes)
        self.calls.clear()
        self.retries_seen = 0
        task = asyncio.ensure_future(
            self.router.call(_submit(), timeout_ms, self.count_retry)
        )
        for _ in range(timeout_ms // 100 + 2):
            await self.clock.settle()
            if task.done():
                break
            await self.clock.advance_ms(100)
        self.assertTrue(task.done())
        return task.exception() or task.result()


class RetryTest(RouterCase):
    """Guard against wrong retries and wrong statements about the outcome."""

    async def test_calls_that_did_nothing_are_repeated(self):
        """Guard against errors returned to callers while a partition moves."""
        for address in ('a:1', ''):
            self.owner = address
            for error in (
                errors.PeerUnavailable('refused'),
                errors.NotOwner('not here'),
                errors.Deposed('claimed'),
                errors.NotReady('starting'),
            ):
                result = await self.run_call(error, error)
                self.assertEqual('done', result)
                self.assertEqual([(address, 'r1')] * 3, self.calls)
                self.assertEqual(0, self.retries_seen)

    async def test_waits_for_an_owner(self):
        """Guard against an error while a partition briefly has no owner."""
        until_ms = self.clock.now_ms() + 2_000
        self.owner = lambda: 'b:1' if self.clock.now_ms() >= until_ms else None
        self.assertEqual('done', await self.run_call())
        self.assertEqual([('b:1', 'r1')], self.calls)

    async def test_unreceived_request_reports_not_run(self):
        """Guard against ``ran: unknown`` for a request no owner received."""
        for owner, outcomes in (
            (None, ()),
            ('a:1', [errors.PeerUnavailable('refused')] * 200),
            ('a:1', [errors.NotOwner('not here')] * 200),
        ):
            self.owner = owner
            error = await self.run_call(*outcomes)
            self.assertEqual(
                ('not_ready', errors.Ran.NO), (error.kind, error.ran)
            )
            self.assertGreater(error.retry_after_ms, 0)

    async def test_lost_reply_is_repeated_under_the_same_id(self):
        """Guard against a job that is lost or submitted under two ids."""
        self.assertEqual('done', await self.run_call(300, 300))
        self.assertEqual([('a:1', 'r1')] * 3, self.calls)
        self.assertEqual(2, self.retries_seen)

    async def test_lost_until_the_deadline_is_unknown(self):
        """Guard against ``ran: no`` for a request that was received."""
        for outcomes in (
            [_TIMEOUT_MS] * 9,
            [3_000] * 9,
            [500, *[errors.PeerUnavailable('refused')] * 200],
        ):
            error = await self.run_call(*outcomes)
            self.assertEqual('outcome_unknown', error.kind)
            self.assertEqual(errors.Ran.UNKNOWN, error.ran)
            self.assertEqual('r1', error.job_id)

    async def test_call_without_an_answer_is_repeated_in_time(self):
        """Guard against waiting until the deadline on a dead connection."""
        self.assertEqual('done', await self.run_call(_TIMEOUT_MS))
        self.assertEqual([('a:1', 'r1')] * 2, self.calls)

    async def test_owner_changes_during_a_call(self):
        """Guard against waiting for a paused owner that was replaced."""
        moved_at_ms = self.clock.now_ms() + 1_000
        self.owner = lambda: (
            'b:1' if self.clock.now_ms() >= moved_at_ms else 'a:1'
        )
        self.assertEqual('done', await self.run_call(_TIMEOUT_MS))
        self.assertEqual([('a:1', 'r1'), ('b:1', 'r1')], self.calls)
        self.assertEqual(1, self.retries_seen)
        self.assertLess(self.clock.now_ms() - moved_at_ms, 1_000)

    async def test_local_owner_is_bounded_by_the_deadline(self):
        """Guard against a local handler that blocks a caller for ever."""

        async def hang(_):
            await asyncio.Event().wait()

        self.owner = ''
        self.handlers[messages.Submit] = hang
        error = await self.run_call(timeout_ms=1_000)
        self.assertEqual('outcome_unknown', error.kind)

    async def test_error_of_the_owner_passes_unchanged(self):
        """Guard against an error that loses its kind, id or retry delay."""
        for error in (
            errors.QueueFull('full', retry_after_ms=700),
            errors.NotFound('no such job'),
            errors.OutcomeUnknown('log', job_id='r9'),
        ):
            ran = error.ran
            self.assertIs(error, await self.run_call(error))
            self.assertIs(ran, error.ran)
            self.assertEqual(1, len(self.calls))

    async def test_refusal_after_a_lost_call_promises_nothing(self):
        """Guard against ``ran: no`` after an attempt that may have run."""
        moved = errors.NotOwner('moved while it ran', ran=errors.Ran.UNKNOWN)
        for first in (300, moved):
            error = await self.run_call(first, errors.QueueFull('full'))
            self.assertEqual('queue_full', error.kind)
            self.assertEqual(errors.Ran.UNKNOWN, error.ran)
            self.assertEqual('r1', error.job_id)

    async def test_reply_of_another_job_promises_nothing(self):
        """Guard against ``ran: no`` after a reply that tells of no outcome."""
        loguru.logger.disable('basilspindle')
        self.addCleanup(loguru.logger.enable, 'basilspindle')
        other = messages.Submitted(job_id='r2', repeated=False)
        error = await self.run_call(other, errors.QueueFull('full'))
        self.assertEqual(errors.Ran.UNKNOWN, error.ran)
        self.assertEqual(2, len(self.calls))

    async def test_local_call_that_timed_out_promises_nothing(self):
        """Guard against ``ran: no`` while the handler of this daemon runs."""

        async def time_out(_):
            raise errors.DeadlineExceeded('the log is slow')

        self.owner = ''
        self.handlers[messages.Submit] = time_out
        task = asyncio.ensure_future(self.router.call(_submit(), _TIMEOUT_MS))
        await self.clock.settle()
        self.owner = None
        await self.clock.advance_ms(_TIMEOUT_MS + 100)
        error = task.exception()
        self.assertEqual('outcome_unknown', error.kind)

    async def test_error_of_several_calls_is_changed_for_one(self):
        """Guard against the job id and the outcome of another caller.

        An owner refuses all records that wait for the log with one error.
        """
        shared = errors.LogUnavailable('down', retry_after_ms=700)
        error = await self.run_call(300, shared)
        self.assertEqual(
            (errors.Ran.UNKNOWN, 'r1', 700),
            (error.ran, error.job_id, error.retry_after_ms),
        )
        self.assertIsInstance(error, errors.LogUnavailable)
        self.assertIs(shared, await self.run_call(shared))
        self.assertEqual((errors.Ran.NO, ''), (shared.ran, shared.job_id))


class BudgetTest(RouterCase):
    """Guard against retries that multiply the load on slow owners."""

    async def test_spent_budget_ends_calls_at_once(self):
        loguru.logger.disable('basilspindle')
        self.addCleanup(loguru.logger.enable, 'basilspindle')
        for _ in range(10):
            self.assertEqual('done', await self.run_call(0))
        before_ms = self.clock.now_ms()
        # After 11 calls in this window the budget is 10 + 10% of 11 retries.
        self.assertEqual('done', await self.run_call(0))
        error = await self.run_call(0)
        self.assertEqual('outcome_unknown', error.kind)
        self.assertEqual(1, len(self.calls))
        self.assertLess(self.clock.now_ms() - before_ms, 1_000)
        # Retries of calls that reached no owner are not limited.
        refused = errors.PeerUnavailable('refused')
        self.assertEqual('done', await self.run_call(refused))
        await self.clock.advance_ms(10_000)
        self.assertEqual('done', await self.run_call(0))

    def test_share_and_window(self):
        """Guard against a budget that ignores the number of calls."""
        budget = routing.RetryBudget(self.clock)
        for calls, retries in ((0, 10), (99, 19), (1_000, 110)):
            for _ in range(calls):
                budget.count_call()
            spent = sum(budget.try_acquire() for _ in range(2_000))
            self.assertEqual(retries, spent)
            self.clock._now_ms += 9_999
            self.assertFalse(budget.try_acquire())
            self.clock._now_ms += 1
