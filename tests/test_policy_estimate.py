"""Guard the estimates that replace declared resources."""

import random
import unittest

from basilspindle import model
from basilspindle import policy

_DECLARED = model.Resources(8_000, 16_000, 1, 1)


class EstimateTest(unittest.TestCase):
    """Guard against estimates that are too low or never change."""

    def test_declared_until_enough_seen(self):
        """Guard against an estimate from a handful of reports."""
        estimate = policy.UsageEstimate(min_observations=5)
        for _ in range(4):
            estimate.observe(model.Resources(100, 100), 100)
        self.assertEqual(_DECLARED, estimate.resources(_DECLARED))
        self.assertEqual(7, estimate.run_time_ms(7))

    def test_default_is_larger_of_declared_and_observed(self):
        """Guard against a default that estimates less than was declared."""
        estimate = policy.UsageEstimate()
        for _ in range(50):
            estimate.observe(model.Resources(12_000, 100))
        size = estimate.resources(_DECLARED)
        self.assertGreaterEqual(size.cpu_millicores, 12_000)
        self.assertEqual(16_000, size.memory_mb)

    def test_floor_and_unchanged_amounts(self):
        """Guard against an estimate far below the declaration."""
        estimate = policy.UsageEstimate(min_declared_fraction=0.5)
        for _ in range(50):
            estimate.observe(model.Resources(100, 100))
        expected = model.Resources(4_000, 8_000, 1, 1)
        self.assertEqual(expected, estimate.resources(_DECLARED))

    def test_larger_than_declared_within_worker(self):
        """Guard against estimates that ignore usage above declarations."""
        estimate = policy.UsageEstimate()
        for _ in range(50):
            estimate.observe(model.Resources(12_000, 60_000))
        unlimited = estimate.resources(_DECLARED)
        self.assertGreaterEqual(unlimited.cpu_millicores, 12_000)
        self.assertLessEqual(unlimited.cpu_millicores, 13_200)
        largest = model.Resources(64_000, 32_000, 4, 8)
        limited = estimate.resources(_DECLARED, largest)
        self.assertEqual(32_000, limited.memory_mb)

    def test_declaration_above_every_worker_stays(self):
        """Guard against an unschedulable task made to look schedulable."""
        estimate = policy.UsageEstimate()
        for _ in range(50):
            estimate.observe(model.Resources(1_000, 20_000))
        largest = model.Resources(4_000, 8_000, 1, 8)
        limited = estimate.resources(_DECLARED, largest)
        self.assertGreater(limited.memory_mb, largest.memory_mb)

    def test_high_quantile(self):
        """Guard against an estimate that half of the tasks exceed."""
        rng = random.Random(5)
        estimate = policy.UsageEstimate(min_declared_fraction=0.0)
        usage_mb = [rng.randint(1_000, 6_000) for _ in range(2_000)]
        for memory_mb in usage_mb:
            estimate.observe(model.Resources(memory_mb, memory_mb))
        size = estimate.resources(_DECLARED).memory_mb
        exceeding = sum(memory_mb > size for memory_mb in usage_mb)
        self.assertLess(exceeding, 0.02 * len(usage_mb))
        self.assertLess(size, 6_600)

    def test_jobs_of_different_sizes(self):
        """Guard against small jobs estimated like the largest of a kind."""
        estimate = policy.UsageEstimate(min_declared_fraction=0.5)
        for factor in list(range(1, 9)) * 5:
            declared = model.Resources(1_000, 1_000, 0, 1).scale(factor)
            used = model.Resources(800, 1_000, 0, 1).scale(factor)
            estimate.observe(used, declared=declared)
        small = estimate.resources(model.Resources(1_000, 1_000, 0, 1))
        large = estimate.resources(model.Resources(8_000, 8_000, 0, 1))
        self.assertLessEqual(small.memory_mb, 1_100)
        self.assertLessEqual(small.cpu_millicores, 880)
        self.assertGreaterEqual(large.memory_mb, 8_000)

    def test_correct_declarations_stay(self):
        """Guard against an estimate above correct declarations."""
        estimate = policy.UsageEstimate()
        for memory_mb in range(500, 550):
            declared = model.Resources(memory_mb, memory_mb)
            estimate.observe(declared, declared=declared)
        self.assertEqual(_DECLARED, estimate.resources(_DECLARED))

    def test_decay(self):
        """Guard against an estimate that never forgets old observations."""
        estimate = policy.UsageEstimate(
            min_declared_fraction=0.0, half_life=50
        )
        for _ in range(1_000):
            estimate.observe(model.Resources(8_000, 8_000), 60_000)
        for _ in range(500):
            estimate.observe(model.Resources(1_000, 1_000), 1_000)
        self.assertLess(estimate.resources(_DECLARED).memory_mb, 1_200)
        self.assertLess(estimate.run_time_ms(60_000), 1_200)

    def test_long_use_keeps_numbers_finite(self):
        """Guard against weights that overflow after many reports."""
        estimate = policy.UsageEstimate(min_declared_fraction=0.5, half_life=1)
        for _ in range(5_000):
            estimate.observe(model.Resources(6_000, 12_000), 500)
        size = estimate.resources(_DECLARED)
        self.assertGreaterEqual(size.memory_mb, 12_000)
        self.assertLess(size.memory_mb, 13_300)
