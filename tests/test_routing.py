"""Guard the calls to owners through moves, losses and refusals."""

import asyncio
import types
import unittest

import loguru

from basilspindle import errors
from basilspindle.peer import messages
from basilspindle import routing
from tests.standins import manual_clock

_TIMEOUT_MS = 10_000
_LOST = errors.PeerOutcomeUnknown


def _submit(job_id='r1'):
    # The router reads no more of a job than its id.
    job = types.SimpleNamespace(job_id=job_id)
    return messages.Submit(partition=3, job=job)


class RouterCase(unittest.IsolatedAsyncioTestCase):
    """Answer each call by the next step of a list.

    A step is a reply, an error, or a duration in ms that passes before
    the caller reports a lost reply.
    """

    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.owner = 'a:1'
        self.steps = []
        self.calls = []
        self.repeats = 0
        self.handlers = {messages.Submit: self.answer_here}
        self.router = routing.Router(self.clock, self, self, self.handlers)

    def partition_of(self, workspace):
        return 3

    def owner_address(self, partition):
        self.assertEqual(3, partition)
        return self.owner() if callable(self.owner) else self.owner

    async def answer_here(self, request):
        return await self.call('', request, _TIMEOUT_MS)

    async def call(self, address, request, timeout_ms):
        self.calls.append((address, request.job.job_id))
        step = self.steps.pop(0) if self.steps else 'done'
        if isinstance(step, int):
            await self.clock.sleep_ms(min(step, timeout_ms))
            raise _LOST('lost')
        if isinstance(step, Exception):
            raise step
        return step

    def note_repeat(self):
        self.repeats += 1

    async def run_call(self, *steps, timeout_ms=_TIMEOUT_MS):
        """Run one call until its timeout; return its reply or error."""
        self.steps = list(steps)
        self.calls.clear()
        self.repeats = 0
        task = asyncio.ensure_future(
            self.router.call(_submit(), timeout_ms, self.note_repeat)
        )
        for _ in range(timeout_ms // 100 + 2):
            await self.clock.settle()
            if task.done():
                break
            await self.clock.advance_ms(100)
        self.assertTrue(task.done())
        return task.exception() or task.result()


class RetryTest(RouterCase):
    """Guard which calls are repeated, and what their end says."""

    async def test_calls_that_did_nothing_are_repeated(self):
        """Guard against refusals while a partition moves."""
        for here in ('a:1', ''):
            self.owner = here
            for error in (
                errors.PeerUnavailable('refused'),
                errors.NotOwner('not here'),
                errors.Deposed('claimed'),
                errors.NotReady('starting'),
            ):
                found = await self.run_call(error, error)
                self.assertEqual('done', found)
                self.assertEqual([(here, 'r1')] * 3, self.calls)
                self.assertEqual(0, self.repeats)

    async def test_waits_for_an_owner(self):
        """Guard against a refusal in the moment without an owner."""
        until_ms = self.clock.now_ms() + 2_000
        self.owner = lambda: 'b:1' if self.clock.now_ms() >= until_ms else None
        self.assertEqual('done', await self.run_call())
        self.assertEqual([('b:1', 'r1')], self.calls)

    async def test_never_received_says_not_run(self):
        """Guard against a promise that is weaker than it could be."""
        for owner, steps in (
            (None, ()),
            ('a:1', [errors.PeerUnavailable('refused')] * 200),
            ('a:1', [errors.NotOwner('not here')] * 200),
        ):
            self.owner = owner
            error = await self.run_call(*steps)
            self.assertEqual(
                ('not_ready', errors.Ran.NO), (error.kind, error.ran)
            )
            self.assertGreater(error.retry_after_ms, 0)

    async def test_lost_reply_is_repeated_under_the_same_id(self):
        """Guard against a job lost with a reply, or submitted twice."""
        self.assertEqual('done', await self.run_call(300, 300))
        self.assertEqual([('a:1', 'r1')] * 3, self.calls)
        self.assertEqual(2, self.repeats)

    async def test_lost_until_the_deadline_is_unknown(self):
        """Guard against ``ran: no`` for a call that was received."""
        for steps in (
            [_TIMEOUT_MS] * 9,
            [3_000] * 9,
            [500, *[errors.PeerUnavailable('refused')] * 200],
        ):
            error = await self.run_call(*steps)
            self.assertEqual('outcome_unknown', error.kind)
            self.assertEqual(errors.Ran.UNKNOWN, error.ran)
            self.assertEqual('r1', error.job_id)

    async def test_call_without_an_answer_is_repeated_in_time(self):
        """Guard against a connection that went silent during a call."""
        self.assertEqual('done', await self.run_call(_TIMEOUT_MS))
        self.assertEqual([('a:1', 'r1')] * 2, self.calls)

    async def test_owner_changes_during_a_call(self):
        """Guard against a wait for an owner that is paused for ever."""
        moved_ms = self.clock.now_ms() + 1_000
        self.owner = lambda: (
            'b:1' if self.clock.now_ms() >= moved_ms else 'a:1'
        )
        self.assertEqual('done', await self.run_call(_TIMEOUT_MS))
        self.assertEqual([('a:1', 'r1'), ('b:1', 'r1')], self.calls)
        self.assertEqual(1, self.repeats)
        self.assertLess(self.clock.now_ms() - moved_ms, 1_000)

    async def test_local_owner_is_bounded_by_the_deadline(self):
        """Guard against a handler that holds a caller for ever."""

        async def hang(_):
            await asyncio.Event().wait()

        self.owner = ''
        self.handlers[messages.Submit] = hang
        error = await self.run_call(timeout_ms=1_000)
        self.assertEqual('outcome_unknown', error.kind)

    async def test_error_of_the_owner_passes_unchanged(self):
        """Guard against a refusal that loses its advice."""
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
        """Guard against ``ran: no`` for work that the first call started."""
        moved = errors.NotOwner('moved while it ran', ran=errors.Ran.UNKNOWN)
        for first in (300, moved):
            error = await self.run_call(first, errors.QueueFull('full'))
            self.assertEqual('queue_full', error.kind)
            self.assertEqual(errors.Ran.UNKNOWN, error.ran)
            self.assertEqual('r1', error.job_id)


class BudgetTest(RouterCase):
    """Guard against retries that multiply the load of slow owners."""

    async def test_spent_budget_ends_calls_at_once(self):
        loguru.logger.disable('basilspindle')
        self.addCleanup(loguru.logger.enable, 'basilspindle')
        for _ in range(10):
            self.assertEqual('done', await self.run_call(0))
        before_ms = self.clock.now_ms()
        # 11 calls in this window: 10 free retries and 10% of 11.
        self.assertEqual('done', await self.run_call(0))
        error = await self.run_call(0)
        self.assertEqual('outcome_unknown', error.kind)
        self.assertEqual(1, len(self.calls))
        self.assertLess(self.clock.now_ms() - before_ms, 1_000)
        # Calls that reached nobody cost nothing.
        refused = errors.PeerUnavailable('refused')
        self.assertEqual('done', await self.run_call(refused))
        await self.clock.advance_ms(10_000)
        self.assertEqual('done', await self.run_call(0))

    def test_share_and_window(self):
        """Guard against a budget that does not follow the load."""
        budget = routing.RetryBudget(self.clock)
        for calls, retries in ((0, 10), (99, 19), (1_000, 110)):
            for _ in range(calls):
                budget.count_call()
            spent = sum(budget.try_acquire() for _ in range(2_000))
            self.assertEqual(retries, spent)
            self.clock._now_ms += 9_999
            self.assertFalse(budget.try_acquire())
            self.clock._now_ms += 1
