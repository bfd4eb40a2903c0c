"""Count the verdicts of a run, as a plugin of nose2.

Tests listed in KNOWN-RED.txt run. Their failures are printed and counted
as skipped; a listed test that passes fails the run, so that its entry is
removed.
"""

import pathlib
import sys
import unittest

from nose2 import events

_KNOWN_RED = pathlib.Path(__file__).resolve().parent.parent / 'KNOWN-RED.txt'
_PREFIX = 'test: '
_BAD = ('failed', 'error')


def read_known_red() -> frozenset[str]:
    """Return the ids of the tests that fail for a recorded fault."""
    if not _KNOWN_RED.exists():
        return frozenset()
    lines = _KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.removeprefix(_PREFIX).strip()
        for line in lines
        if line.startswith(_PREFIX)
    )


def _test_id(test: unittest.TestCase) -> str:
    # The id of a subtest is that of its test, a space and its parameters.
    return test.id().split(' ')[0].splitlines()[0]


class Verdict(events.Plugin):
    """Print ``N passed, N failed, N skipped`` at the end of a run."""

    configSection = 'verdict'
    alwaysOn = True

    def __init__(self) -> None:
        self._known_red = read_known_red()
        self._red: set[str] = set()
        self._verdicts: dict[str, str] = {}

    def setTestOutcome(self, event: events.TestOutcomeEvent) -> None:
        """Turn a known failure into a skip and a known pass into a failure."""
        test_id = _test_id(event.test)
        failed = event.outcome in _BAD or bool(event.exc_info)
        failed = failed and event.outcome != 'skipped' and not event.expected
        if test_id in self._known_red:
            self._mark_known(event, test_id, failed)
            failed = test_id not in self._red and event.outcome == 'failed'
        self._count(test_id, event.outcome, failed)

    def _mark_known(
        self, event: events.TestOutcomeEvent, test_id: str, failed: bool
    ) -> None:
        if failed:
            event.outcome = 'skipped'
            event.reason = 'listed in KNOWN-RED.txt'
            self._red.add(test_id)
        elif event.outcome == 'passed' and test_id not in self._red:
            event.outcome = 'failed'
            event.reason = 'passes: remove it from KNOWN-RED.txt'

    def _count(self, test_id: str, outcome: str, failed: bool) -> None:
        # A subtest reports apart from its test; the worst verdict counts.
        if failed:
            self._verdicts[test_id] = 'failed'
        elif outcome == 'skipped':
            self._verdicts.setdefault(test_id, 'skipped')
        else:
            self._verdicts.setdefault(test_id, 'passed')

    def afterSummaryReport(self, event: events.ReportSummaryEvent) -> None:
        """Print the known failures and the counts."""
        for test_id in sorted(self._red):
            print(f'known red: {test_id}')
        counts = dict.fromkeys(('passed', 'failed', 'skipped'), 0)
        for verdict in self._verdicts.values():
            counts[verdict] += 1
        print(', '.join(f'{n} {name}' for name, n in counts.items()))
        sys.stdout.flush()
