"""Test how calls for advice are divided over daemons."""

import asyncio
import unittest
from unittest import mock

from basilspindle.cell import advice_calls
from basilspindle.cell import advisers
from basilspindle.cell import messages
from basilspindle.cell import orders as orders_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from tests import cell_case


def _make_advisers(count, busy=0):
    made = [advisers.Adviser(None) for _ in range(count)]
    for adviser in made[:busy]:
        adviser.pending_ms = 500.0
    return made


def _names(count):
    return [f'w{number}' for number in range(count)]


class SplitTest(unittest.TestCase):
    """Guard the time until a gang knows where it may run.

    On kwpa-refunds-large, day quiet-1, advice about all 270 workers came in
    three calls after one another, the last one after 4.3 s.
    """

    def split(self, count, idle, expected_ms=1_170.0):
        # Long calls use half of the daemons.
        return advisers.split(
            _make_advisers(2 * idle), _names(count), expected_ms
        )

    def test_a_large_request_is_divided(self):
        """Guard against calls about many workers one after another."""
        parts = self.split(100, 40)
        self.assertEqual(3, len(parts))
        self.assertEqual(9, len(self.split(270, 40)))

    def test_each_worker_is_named_once(self):
        """Guard against workers that are left out or asked about twice."""
        for count in (1, 29, 30, 61, 100, 270):
            parts = self.split(count, 40)
            named = sorted(name for part in parts for name in part)
            self.assertEqual(sorted(_names(count)), named)

    def test_a_small_request_is_one_call(self):
        """Guard against calls that cost more than they save."""
        self.assertEqual([_names(40)], self.split(40, 40))

    def test_calls_do_not_wait_behind_each_other(self):
        """Guard against parts that queue at the same daemon."""
        self.assertEqual(2, len(self.split(100, 2)))
        busy = advisers.split(_make_advisers(8, busy=4), _names(90), 1_170.0)
        self.assertEqual(1, len(busy))

    def test_no_call_names_too_many_workers(self):
        """Guard against a call that the advice service rejects."""
        parts = self.split(270, 0)
        self.assertLessEqual(max(map(len, parts)), 100)


class _FailingAdvice:
    """Raises an error for each call."""

    def __init__(self, error):
        self.error = error

    async def ask(self, step_key, worker_ids, timeout_ms):
        raise self.error


class _RefusingLink:
    """Answers each call with the refusal of the other daemon."""

    async def call(self, message, timeout_ms):
        return messages.Refused('overloaded', '33 calls are waiting', 0)


class CallTest(cell_case.CellCase):
    """Guard the steps that wait for a call."""

    def test_each_call_ends_with_a_result_or_a_failure(self):
        """Guard against a step that is never asked about again."""
        job = self.submit(
            cell_case.make_definition('aa', cell_case.make_step())
        )
        [run] = self.state.table.ready_steps.values()
        self.assertIs(job, run.job)
        for error in (errors.Overloaded('busy'), ValueError('odd')):
            run.advice_requested_ms = 1
            asyncio.run(self.ask(run, _FailingAdvice(error)))
            self.assertEqual(0, run.advice_requested_ms)

    def test_the_log_tells_why_another_daemon_got_no_advice(self):
        """Guard against failures whose reason only the other one knows."""
        self.submit(cell_case.make_definition('aa', cell_case.make_step()))
        [run] = self.state.table.ready_steps.values()
        lines = []

        async def ask():
            calls = advice_calls.AdviceCalls(
                self.state, clock_module.Clock(), None, lambda: None
            )
            calls.add_link(_RefusingLink())
            calls._local_adviser.pending_ms = 500.0
            calls.send(orders_module.AdviceRequest(run, ['w1']))
            await asyncio.gather(*calls._calls)

        with mock.patch.object(
            events, 'emit', lambda event, **fields: lines.append(fields)
        ):
            asyncio.run(ask())
        self.assertIn('33 calls are waiting', lines[0]['error'])

    async def ask(self, run, advice):
        calls = advice_calls.AdviceCalls(
            self.state, clock_module.Clock(), advice, lambda: None
        )
        calls.send(orders_module.AdviceRequest(run, ['w1']))
        await asyncio.gather(*calls._calls, return_exceptions=True)
