"""Test the rule that quarantines failing workers."""

import unittest

from basilspindle import fleet


class HealthTest(unittest.TestCase):
    """Guard against quarantining the wrong worker, or none."""

    def setUp(self):
        self.health = fleet.Health()
        for worker_id in ('w0', 'w1', 'w2', 'w3'):
            domain = 'fd2' if worker_id == 'w3' else 'fd1'
            self.health.track(worker_id, domain, 'boot1')

    def record_outcomes(self, worker_id, count, now_ms=0, failed=True):
        return [
            self.health.record(
                worker_id, f'{worker_id}-{now_ms}-{n}', failed, now_ms
            )
            for n in range(count)
        ]

    def test_thresholds(self):
        """Guard against a wrong minimum of outcomes or failure rate."""
        cases = [
            # Successes, failures, failures of each of the other workers of
            # the failure domain out of 10, whether it is quarantined.
            (0, 4, 0, False),
            (0, 5, 0, True),
            (5, 5, 0, False),
            (5, 6, 0, True),
            (0, 20, 3, True),
            (0, 20, 4, False),
        ]
        for good, bad, near, expected in cases:
            with self.subTest(good=good, bad=bad, near=near):
                self.setUp()
                for other in ('w1', 'w2'):
                    self.record_outcomes(other, 10 - near, failed=False)
                    self.record_outcomes(other, near)
                self.record_outcomes('w0', good, failed=False)
                self.record_outcomes('w0', bad, now_ms=1)
                self.assertIs(expected, self.health.limited('w0'))

    def test_stepwise_readmission(self):
        """Guard against full load on a worker that may still fail."""
        self.record_outcomes('w0', 5)
        seen = [self.health.task_limit('w0', 29_999)]
        for _ in range(5):
            allowed = self.health.task_limit('w0', 30_000)
            seen.append(allowed)
            self.record_outcomes('w0', allowed or 0, 30_000, failed=False)
        self.assertEqual([0, 1, 2, 4, 8, None], seen)

    def test_failure_during_recovery_extends_quarantine(self):
        """Guard against a failing worker that is retried at a fixed rate."""
        self.record_outcomes('w0', 5)
        self.assertEqual([True], self.record_outcomes('w0', 1, 30_000))
        self.assertEqual(0, self.health.task_limit('w0', 89_999))
        self.assertEqual(1, self.health.task_limit('w0', 90_000))

    def test_incarnation_starts_anew(self):
        """Guard against a quarantine that outlives a worker restart."""
        self.record_outcomes('w0', 5)
        self.health.track('w0', 'fd1', 'boot1')
        self.assertTrue(self.health.limited('w0'))
        self.health.track('w0', 'fd1', 'boot2')
        self.assertFalse(self.health.limited('w0'))

    def test_job_failing_on_many_workers_quarantines_none(self):
        """Guard against quarantining workers for a bad job."""
        for worker_id in ('w1', 'w2'):
            self.health.record(worker_id, 'bad', True, 0)
        for _ in range(20):
            self.health.record('w0', 'bad', True, 0)
        self.assertFalse(self.health.limited('w0'))
        self.assertEqual(0.0, self.health.penalty('w1'))
        for _ in range(20):
            self.health.record('w3', 'other', True, 0, other_failed_workers=2)
        self.assertFalse(self.health.limited('w3'))
