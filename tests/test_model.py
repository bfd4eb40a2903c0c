"""Test the arithmetic of resources and the errors of other processes."""

import unittest

from basilspindle import errors
from basilspindle import model


class ResourcesTest(unittest.TestCase):
    """Guard against a task that fits although one amount is too small."""

    def test_fits_needs_every_amount(self):
        available = model.Resources(1000, 100, 1, 1)
        cases = [
            (model.Resources(1000, 100, 1, 1), True),
            (model.Resources(1001, 100, 1, 1), False),
            (model.Resources(1000, 101, 1, 1), False),
            (model.Resources(1000, 100, 2, 1), False),
            (model.Resources(1000, 100, 1, 2), False),
        ]
        for need, expected in cases:
            with self.subTest(need=need):
                self.assertEqual(expected, need.fits(available))

    def test_add_and_subtract_are_inverse(self):
        one = model.Resources(1500, 100, 0, 1)
        two = model.Resources(500, 50, 2, 1)
        self.assertEqual(one, one.add(two).subtract(two))


class ErrorTest(unittest.TestCase):
    """Guard against an error whose ``ran`` changes on the wire."""

    def test_build_keeps_kind_and_ran(self):
        error = errors.build('queue_full', 'full', errors.Ran.NO, 50)
        self.assertIsInstance(error, errors.QueueFull)
        self.assertEqual(50, error.retry_after_ms)
        unknown = errors.build('no_such', 'text', errors.Ran.UNKNOWN)
        self.assertEqual(errors.Ran.UNKNOWN, unknown.ran)
