"""Test the check of tasks that ran twice, which platform tests share."""

import types
import typing
import unittest

from tests import platform_case

_Row = tuple[float, str, str, int]


def check(*histories: list[_Row]) -> None:
    """Check the runs on workers with these histories."""
    case = platform_case.PlatformCase()
    case.workers = typing.cast(
        typing.Any,
        [
            types.SimpleNamespace(worker_id=f'w{number}', history=history)
            for number, history in enumerate(histories)
        ],
    )
    case.check_runs()


class CheckRunsTest(unittest.TestCase):
    """Guard against a check that lets a breach of TWICE pass."""

    def test_runs_at_the_same_time(self):
        """Guard against overlaps that pass."""
        with self.assertRaises(AssertionError):
            check([(1.0, 'start', 'a', 1)], [(2.0, 'start', 'a', 2)])

    def test_a_start_after_an_end(self):
        """Guard against repetitions that pass."""
        first = [(1.0, 'start', 'a', 1), (2.0, 'done', 'a', 1)]
        with self.assertRaises(AssertionError):
            check(first, [(3.0, 'start', 'a', 2)])
        with self.assertRaises(AssertionError):
            check(
                [*first, (4.0, 'forgotten', 'a', 1)], [(3.0, 'start', 'a', 2)]
            )

    def test_a_start_after_an_end_that_is_forgotten(self):
        """Guard against failures for what the rule allows."""
        first = [
            (1.0, 'start', 'a', 1),
            (2.0, 'done', 'a', 1),
            (3.0, 'forgotten', 'a', 1),
        ]
        check(first, [(4.0, 'start', 'a', 2)])

    def test_another_worker_forgets_an_earlier_run(self):
        """Guard against ends that count as forgotten with another run's.

        The lease of a worker lapses again while it still lists the end of a
        run that an earlier lapse ended.
        """
        earlier = [
            (1.0, 'start', 'a', 1),
            (2.0, 'lapsed', 'a', 1),
            (5.0, 'forgotten', 'a', 1),
        ]
        done = [(3.0, 'start', 'a', 2), (4.0, 'done', 'a', 2)]
        with self.assertRaises(AssertionError):
            check(earlier, done, [(6.0, 'start', 'a', 3)])
