"""Test how the bench of short leaders counts runs of a task."""

import types
import typing
import unittest

from bench import short_leaders

_Row = tuple[float, str, str, int]


def count(*histories: list[_Row]) -> tuple[int, int]:
    """Return tasks at the same time, and those after a noted end."""
    workers = [
        types.SimpleNamespace(worker_id=f'w{number}', history=history)
        for number, history in enumerate(histories)
    ]
    runs = short_leaders.find_runs(typing.cast(typing.Any, workers))
    at_once, after_end = short_leaders.find_doubles(runs, 0.0)
    return len(at_once), len(after_end)


class CountTest(unittest.TestCase):
    """Test what counts as a task that ran twice."""

    def test_runs_at_the_same_time(self):
        """Guard against overlaps that are counted as repetitions."""
        first = [(1.0, 'start', 'a', 1), (3.0, 'done', 'a', 1)]
        second = [(2.0, 'start', 'a', 2), (4.0, 'done', 'a', 2)]
        self.assertEqual((1, 0), count(first, second))
        self.assertEqual((1, 0), count(first[:1], second))

    def test_a_start_after_an_end_that_is_noted_later(self):
        """Guard against ends that count only if noted before the start."""
        first = [
            (1.0, 'start', 'a', 1),
            (2.0, 'done', 'a', 1),
            (5.0, 'noted', 'a', 1),
        ]
        second = [(3.0, 'start', 'a', 2), (4.0, 'done', 'a', 2)]
        self.assertEqual((0, 1), count(first, second))
        self.assertEqual((0, 0), count(first[:2], second))

    def test_a_start_after_an_end_that_nobody_can_know(self):
        """Guard against counts of repetitions that are allowed."""
        second = [(6.0, 'start', 'a', 2), (7.0, 'done', 'a', 2)]
        forgotten = [
            (1.0, 'start', 'a', 1),
            (2.0, 'done', 'a', 1),
            (5.0, 'forgotten', 'a', 1),
            (6.5, 'noted', 'a', 1),
        ]
        self.assertEqual((0, 0), count(forgotten, second))
        lapsed = [
            (1.0, 'start', 'a', 1),
            (2.0, 'lapsed', 'a', 1),
            (2.5, 'noted', 'a', 1),
        ]
        self.assertEqual((0, 0), count(lapsed, second))


class RefusalTest(unittest.TestCase):
    """Test what counts as a refused job that ran."""

    def find(self, *statuses: int) -> list[str]:
        """Return the job with these answers if it counts; a task ran."""
        job = short_leaders._Job('a', {}, 1)
        job.statuses = list(statuses)
        return short_leaders.find_refused([job], {'a.0.0.0': []})

    def test_only_jobs_whose_submissions_were_all_refused(self):
        """Guard against unknown outcomes that are counted as refusals."""
        self.assertEqual(['a'], self.find(429, 503))
        for statuses in ((), (200,), (429, 504), (503, 0), (429, 200)):
            self.assertEqual([], self.find(*statuses), statuses)
