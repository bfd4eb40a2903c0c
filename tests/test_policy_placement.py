"""Guard the choice of workers for tasks."""

import math
import random
import unittest

from basilspindle import model
from basilspindle import policy


def _order(resources, priority=model.Priority.BATCH, **fields):
    values = {
        'task_id': 'job/0',
        'attempt': 1,
        'job_id': 'job',
        'index': 0,
        'workspace': 'blue',
        'kind': 'kind',
        'priority': priority,
        'resources': resources,
        'run_time_ms': 0,
        'idempotent': True,
        'service': priority == model.Priority.SERVICE,
        'input': b'',
        'partition': 0,
        'partition_epoch': 1,
    }
    return model.TaskOrder(**(values | fields))


def _worker(worker_id, free, total=None, domain='one', rack='one-1'):
    return policy.WorkerView(worker_id, domain, rack, free, total or free)


class PlacementTest(unittest.TestCase):
    """Guard choose and Placer, which must agree on small fleets."""

    def _choose(self, order, workers):
        placer = policy.Placer()
        for view in workers:
            placer.add(view)
        chosen = placer.choose(order)
        self.assertIs(policy.choose(order, workers), chosen)
        return chosen.worker_id if chosen else None

    def test_best_fit(self):
        """Guard against batch work that fragments an empty worker."""
        total = model.Resources(16_000, 32_000, 0, 8)
        workers = [
            _worker('empty', total),
            _worker('fits', model.Resources(5_000, 9_000, 0, 3), total),
            _worker('short', model.Resources(3_000, 9_000, 0, 3), total),
        ]
        order = _order(model.Resources(4_000, 8_000, 0, 1))
        self.assertEqual('fits', self._choose(order, workers))

    def test_large_tasks_leave_small_workers_usable(self):
        """Guard against free slots without CPU or memory."""
        small = model.Resources(16_000, 32_000, 0, 8)
        large = model.Resources(64_000, 256_000, 0, 8)
        for order, expected in (
            (_order(model.Resources(8_000, 16_000, 0, 1)), 'large'),
            (_order(model.Resources(500, 1_000, 0, 1)), 'small'),
        ):
            with self.subTest(order=order.resources):
                workers = [_worker('small', small), _worker('large', large)]
                # Each runs a task, so that neither is empty.
                for view in workers:
                    used = model.Resources(1_000, 2_000, 0, 1)
                    view.free = view.free.subtract(used)
                workers[1].free = workers[1].free.subtract(
                    model.Resources(0, 0, 0, 1)
                )
                chosen = self._choose(order, workers)
                self.assertEqual(expected, chosen)

    def test_accelerators_are_kept(self):
        """Guard against other work on the only worker with accelerators."""
        plain = model.Resources(64_000, 256_000, 0, 8)
        special = model.Resources(8_000, 32_000, 4, 8)
        workers = [_worker('plain', plain), _worker('special', special)]
        batch = _order(model.Resources(4_000, 8_000, 0, 1))
        self.assertEqual('plain', self._choose(batch, workers))
        training = _order(model.Resources(4_000, 8_000, 1, 1))
        self.assertEqual('special', self._choose(training, workers))

    def test_services_spread_over_domains_then_racks(self):
        """Guard against a service that fails with one rack or domain."""
        size = model.Resources(16_000, 32_000, 0, 8)
        workers = [
            _worker('a', size, domain='one', rack='one-1'),
            _worker('b', size, domain='two', rack='two-1'),
            _worker('c', size, domain='two', rack='two-2'),
        ]
        need = model.Resources(1_000, 1_000, 0, 1)
        cases = [
            ({'one': 2, 'one-1': 2, 'two': 1, 'two-1': 1}, 'c'),
            ({'one': 1, 'one-1': 1, 'two': 2, 'two-1': 1, 'two-2': 1}, 'a'),
        ]
        for siblings, expected in cases:
            with self.subTest(siblings=siblings):
                order = _order(need, model.Priority.SERVICE, siblings=siblings)
                self.assertEqual(expected, self._choose(order, workers))

    def test_urgent_takes_least_loaded(self):
        """Guard against urgent work on an almost full worker."""
        total = model.Resources(16_000, 32_000, 0, 8)
        workers = [
            _worker('busy', model.Resources(2_000, 30_000, 0, 7), total),
            _worker('idle', model.Resources(15_000, 30_000, 0, 7), total),
        ]
        order = _order(
            model.Resources(1_000, 1_000, 0, 1), model.Priority.URGENT
        )
        self.assertEqual('idle', self._choose(order, workers))

    def test_avoid_and_penalty(self):
        """Guard against a retry on the worker where the task failed."""
        size = model.Resources(16_000, 32_000, 0, 8)
        workers = [_worker('a', size), _worker('b', size)]
        need = model.Resources(1_000, 1_000, 0, 1)
        self.assertEqual('b', self._choose(_order(need, avoid=['a']), workers))
        workers[1].penalty = math.inf
        self.assertEqual('a', self._choose(_order(need, avoid=['a']), workers))
        workers[0].penalty = math.inf
        self.assertIsNone(self._choose(_order(need), workers))

    def test_failing_worker_attracts_nothing(self):
        """Guard against a worker that attracts work by failing it fast."""
        total = model.Resources(16_000, 32_000, 0, 8)
        busy = model.Resources(2_000, 4_000, 0, 1)
        need = model.Resources(1_000, 1_000, 0, 1)
        for priority in model.Priority:
            workers = [_worker('failing', total), _worker('busy', busy, total)]
            workers[0].penalty = 0.3
            workers[1].penalty = 0.05
            with self.subTest(priority=priority):
                chosen = self._choose(_order(need, priority), workers)
                self.assertEqual('busy', chosen)

    def test_spread_avoids_failing_worker(self):
        """Guard against a service spread onto a failing worker."""
        size = model.Resources(16_000, 32_000, 0, 8)
        workers = [
            _worker('failing', size, domain='two', rack='two-1'),
            _worker('healthy', size),
        ]
        workers[0].penalty = 0.6
        need = model.Resources(1_000, 1_000, 0, 1)
        siblings = {'one': 1, 'one-1': 1}
        order = _order(need, model.Priority.SERVICE, siblings=siblings)
        self.assertEqual('healthy', self._choose(order, workers))

    def test_take_and_give_keep_the_index(self):
        """Guard against an index that disagrees with the free amounts."""
        size = model.Resources(4_000, 8_000, 0, 8)
        placer = policy.Placer()
        placer.add(_worker('a', size))
        placer.add(_worker('b', size))
        need = model.Resources(3_000, 1_000, 0, 1)
        taken = []
        while (view := placer.choose(_order(need))) is not None:
            placer.allocate(view.worker_id, need, 'job')
            taken.append(view.worker_id)
        self.assertEqual(['a', 'b'], sorted(taken))
        self.assertEqual(1_000, placer.room().largest.cpu_millicores)
        placer.release('a', need, 'job')
        self.assertEqual('a', placer.choose(_order(need)).worker_id)
        self.assertEqual({}, placer.views['a'].running_by_job)
        placer.remove('a')
        self.assertIsNone(placer.choose(_order(need)))
        self.assertEqual(1, placer.room().workers)


class UnplaceableShapesTest(unittest.TestCase):
    """Guard the cache of unplaceable shapes against stale entries."""

    def test_agrees_with_a_scan(self):
        rng = random.Random(7)
        size = model.Resources(8_000, 16_000, 0, 4)
        placer = policy.Placer()
        for number in range(12):
            placer.add(_worker(f'w{number}', size, rack=f'r{number % 3}'))
        shapes = [
            model.Resources(cpu, memory, 0, 1)
            for cpu in (1_000, 3_000, 6_000)
            for memory in (2_000, 9_000)
        ]
        running = []
        for _ in range(4_000):
            need = rng.choice(shapes)
            views = list(placer.views.values())
            room = policy.choose(_order(need), views) is not None
            self.assertEqual(room, placer.fits(need))
            view = placer.choose(_order(need))
            self.assertEqual(room, view is not None)
            if view is not None:
                placer.allocate(view.worker_id, need, 'job')
                running.append((view.worker_id, need))
            if running and rng.random() < 0.6:
                index = rng.randrange(len(running))
                placer.release(*running.pop(index), 'job')
            penalised = rng.choice(views)
            penalised.penalty = rng.choice([0.0, 0.0, 0.5, math.inf])


class FitTest(unittest.TestCase):
    """Guard against tasks that wait although no worker can hold them."""

    def test_reason_names_amount_and_largest(self):
        totals = [
            model.Resources(64_000, 16_000, 0, 8),
            model.Resources(16_000, 256_000, 0, 8),
        ]
        cases = [
            (model.Resources(64_000, 16_000, 0, 1), []),
            (
                model.Resources(1_000, 300_000, 0, 1),
                ['300000 MB of memory', '256000 MB'],
            ),
            (
                model.Resources(32_000, 32_000, 0, 1),
                ['no single worker', 'memory', '16000 MB'],
            ),
        ]
        for need, words in cases:
            reason = policy.unschedulable_reason(need, iter(totals))
            with self.subTest(need=need):
                self.assertEqual(bool(words), bool(reason))
                for word in words:
                    self.assertIn(word, reason)
