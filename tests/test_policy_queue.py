"""Guard the order in which waiting tasks start."""

import unittest

from basilspindle import errors
from basilspindle import model
from basilspindle import policy

_SHAPE = model.Resources(1_000, 1_000, 0, 1)
_TOTAL = model.Resources(100_000, 100_000, 0, 100)
_BATCH = model.Priority.BATCH
_URGENT = model.Priority.URGENT


def _queue(workspaces=None, **options):
    queue = policy.FairQueue(**options)
    queue.set_fleet_resources(_TOTAL)
    queue.set_workspaces(
        workspaces
        or {'blue': policy.WorkspacePolicy(), 'red': policy.WorkspacePolicy()}
    )
    return queue


def _push(queue, job_id, workspace='blue', count=1, **fields):
    values = {
        'priority': _BATCH,
        'resources': _SHAPE,
        'gang': False,
        'now_ms': 0,
        'deadline_ms': 0,
    }
    queue.push(job_id, workspace, count=count, **(values | fields))


def _job_ids(picks):
    return [pick.job_id for pick in picks for _ in range(pick.count)]


class FairnessTest(unittest.TestCase):
    """Guard shares, priority classes and limits."""

    def test_equal_shares_alternate(self):
        """Guard against a flood that delays another workspace."""
        queue = _queue()
        _push(queue, 'flood', 'blue', 1_000)
        _push(queue, 'small', 'red', 5)
        first = _job_ids(queue.pop(0, 10))
        self.assertEqual(5, first.count('small'))

    def test_weights(self):
        """Guard against shares that ignore weights."""
        queue = _queue(
            {
                'blue': policy.WorkspacePolicy(share=3.0),
                'red': policy.WorkspacePolicy(share=1.0),
            }
        )
        _push(queue, 'a', 'blue', 100)
        _push(queue, 'b', 'red', 100)
        queue.pop(0, 40)
        self.assertEqual(30, queue.running_tasks('blue'))
        self.assertAlmostEqual(queue.share('red'), queue.share('blue'))

    def test_classes_are_strict(self):
        """Guard against urgent work behind batch work of a lower share."""
        queue = _queue()
        queue.add_running('blue', _SHAPE, 50)
        _push(queue, 'batch', 'red', 5)
        _push(queue, 'urgent', 'blue', 5, priority=_URGENT)
        self.assertEqual(['urgent'] * 5, _job_ids(queue.pop(0, 5)))

    def test_workspace_at_its_limit_does_not_block_others(self):
        """Guard against an exceeded limit, and one that blocks others."""
        limits = [
            policy.WorkspacePolicy(limit_tasks=3),
            policy.WorkspacePolicy(limit=model.Resources(3_000, -1, -1, -1)),
        ]
        for limit in limits:
            queue = _queue({'blue': limit, 'red': policy.WorkspacePolicy()})
            _push(queue, 'a', 'blue', 10)
            _push(queue, 'b', 'red', 10)
            with self.subTest(limit=limit):
                self.assertEqual(13, len(_job_ids(queue.pop(0, 99))))
                self.assertEqual(3, queue.running_tasks('blue'))
                queue.end_running('blue', _SHAPE)
                self.assertEqual(['a'], _job_ids(queue.pop(0, 99)))

    def test_lowered_limit_starts_nothing(self):
        """Guard against starts above a limit that was lowered."""
        queue = _queue()
        queue.add_running('blue', _SHAPE, 5)
        queue.set_workspaces({'blue': policy.WorkspacePolicy(limit_tasks=3)})
        _push(queue, 'a', 'blue', 5)
        for expected in (0, 0, 1):
            queue.end_running('blue', _SHAPE)
            self.assertEqual(expected, len(_job_ids(queue.pop(0, 9))))

    def test_above_one_limit_starts_nothing(self):
        """Guard against starts while any amount is above its limit."""
        queue = _queue()
        queue.add_running('blue', model.Resources(1_000, 0, 2, 1))
        limit = model.Resources(-1, -1, 1, -1)
        queue.set_workspaces({'blue': policy.WorkspacePolicy(limit=limit)})
        self.assertFalse(queue.is_within_limits('blue'))
        _push(queue, 'a')
        self.assertEqual([], queue.pop(0, 9))

    def test_unknown_workspace_starts_nothing(self):
        """Guard against starts in a workspace whose limits are unknown."""
        queue = _queue()
        _push(queue, 'a', 'green')
        self.assertEqual([], queue.pop(0, 9))
        queue.set_workspaces({'green': policy.WorkspacePolicy()})
        self.assertEqual(['a'], _job_ids(queue.pop(0, 9)))

    def test_waiting_shares(self):
        """Guard against a workspace at its limit that holds others back."""
        queue = _queue({'blue': policy.WorkspacePolicy(limit_tasks=1)})
        self.assertEqual([-1.0] * 3, queue.lowest_waiting_shares())
        _push(queue, 'a', count=2)
        self.assertEqual([-1.0, -1.0, 0.0], queue.lowest_waiting_shares())
        queue.pop(0, 1)
        self.assertEqual([-1.0] * 3, queue.lowest_waiting_shares())

    def test_floors_hold_back(self):
        """Guard against starts above the lowest waiting share elsewhere."""
        queue = _queue()
        _push(queue, 'a', 'blue', 100)
        queue.pop(0, 99, shares_elsewhere=[-1.0, -1.0, 0.2])
        # Tasks of 0.02 each start until the share is above 0.2 + 0.05.
        self.assertEqual(13, queue.running_tasks('blue'))

    def test_queue_full_is_a_refusal(self):
        """Guard against an unbounded queue, a refusal without a retry time."""
        queue = _queue({'blue': policy.WorkspacePolicy(max_queued_tasks=5)})
        _push(queue, 'a', 'blue', 4)
        with self.assertRaises(errors.QueueFull) as caught:
            _push(queue, 'b', 'blue', 2)
        self.assertEqual(errors.Ran.NO, caught.exception.ran)
        self.assertGreater(caught.exception.retry_after_ms, 0)
        _push(queue, 'c', 'blue', 2, accepted=True)
        self.assertEqual(6, queue.waiting('blue'))


class BlockingTest(unittest.TestCase):
    """Guard against head-of-line blocking."""

    def test_blocked_shape_blocks_nothing_else(self):
        large = model.Resources(50_000, 1_000, 0, 1)
        queue = _queue()
        _push(queue, 'large', 'blue', resources=large)
        _push(queue, 'small', 'blue')
        _push(queue, 'other', 'red')
        picks = queue.pop(0, 9, is_blocked=lambda shape: shape == large)
        self.assertEqual({'small', 'other'}, set(_job_ids(picks)))
        self.assertEqual(['large'], _job_ids(queue.pop(0, 9)))

    def test_fifo_within_a_shape(self):
        """Guard against a later job that overtakes, also after give_back."""
        queue = _queue()
        for job_id in 'abcd':
            _push(queue, job_id)
        self.assertEqual(['a', 'b'], _job_ids(queue.pop(0, 2)))
        queue.requeue('b', 1, 0)
        queue.requeue('a', 1, 0)
        self.assertEqual(0, queue.running_tasks('blue'))
        self.assertEqual(['a', 'b', 'c', 'd'], _job_ids(queue.pop(0, 9)))


class RemovalTest(unittest.TestCase):
    """Guard cancellation and deadlines."""

    def _operations_to_remove(self, jobs, waiting):
        queue = _queue()
        for number in range(waiting):
            _push(queue, f'j{number}', deadline_ms=1_000)
        before = queue.operations
        for number in range(0, 2 * jobs, 2):
            queue.remove(f'j{number}')
        queue.pop(0, 1)
        return queue.operations - before

    def test_bulk_removal_cost_is_independent_of_queue_length(self):
        """Guard against a removal whose cost grows with the queue."""
        operations = self._operations_to_remove(1_000, 2_000)
        self.assertLessEqual(operations, 8 * 1_000)
        self.assertLessEqual(self._operations_to_remove(100, 20_000), 8 * 100)

    def test_cancel_in_flight(self):
        """Guard against a cancelled task that is queued again."""
        queue = _queue()
        _push(queue, 'a', count=3)
        queue.pop(0, 2)
        self.assertEqual(1, queue.remove('a'))
        self.assertEqual(0, queue.requeue('a', 2, 0))
        self.assertEqual(0, queue.running_tasks('blue'))
        self.assertEqual([], queue.pop(0, 9))
        with self.assertRaises(errors.NotFound):
            queue.requeue('a', 1, 0)

    def test_expired(self):
        """Guard against work that starts after its deadline."""
        queue = _queue()
        _push(queue, 'a', count=2, deadline_ms=100)
        _push(queue, 'b')
        self.assertEqual([], queue.remove_expired(99))
        self.assertEqual([('a', 2)], queue.remove_expired(100))
        self.assertEqual(['b'], _job_ids(queue.pop(100, 9)))
