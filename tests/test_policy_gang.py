"""Guard that gangs start as a whole and are not starved."""

import unittest

from basilspindle import model
from basilspindle.peer import messages
from basilspindle import policy

_SHAPE = model.Resources(1_000, 1_000, 0, 1)
_TOTAL = model.Resources(10_000, 10_000, 0, 10)
_BATCH = model.Priority.BATCH


class _Fleet:
    """Simulated fleet of ten slots; tasks run for their declared time."""

    def __init__(self, **options):
        self.queue = policy.FairQueue(**options)
        self.queue.set_fleet_resources(_TOTAL)
        self.queue.set_workspaces(
            {'blue': policy.WorkspacePolicy(), 'red': policy.WorkspacePolicy()}
        )
        self.now_ms = 0
        self.run_time_ms = {}
        self.running = []
        self.started_ms = {}

    def push(
        self,
        job_id,
        workspace,
        count,
        run_time_ms,
        gang=False,
        priority=_BATCH,
    ):
        self.run_time_ms[job_id] = run_time_ms
        self.queue.push(
            job_id,
            workspace,
            priority,
            _SHAPE,
            count,
            gang,
            self.now_ms,
            0,
            run_time_ms=run_time_ms,
        )

    def room(self, shape=_SHAPE):
        return 10 - len(self.running)

    def step(self, step_ms=100):
        self.now_ms += step_ms
        for task in [t for t in self.running if t[0] <= self.now_ms]:
            self.running.remove(task)
            self.queue.end_running(task[1], _SHAPE)
        while self.room() > 0:
            picks = self.queue.pop(
                self.now_ms,
                1,
                is_blocked=lambda shape: self.room() <= 0,
                room_for=self.room,
            )
            if not picks:
                return
            for pick in picks:
                self.started_ms.setdefault(pick.job_id, self.now_ms)
                end_ms = self.now_ms + self.run_time_ms[pick.job_id]
                self.running += [(end_ms, pick.workspace)] * pick.count
        assert self.room() >= 0


class GangTest(unittest.TestCase):
    """Guard reservations and backfill."""

    def _start_gang_in_flood(self, until_ms, **options):
        fleet = _Fleet(**options)
        fleet.push('flood', 'red', 10_000, 1_500)
        fleet.step(0)
        # Staggered ends, so that eight slots are never free at once.
        for index, task in enumerate(fleet.running):
            fleet.running[index] = (150 * (index + 1), task[1])
        fleet.push('gang', 'blue', 8, 1_000, gang=True)
        while fleet.now_ms < until_ms and 'gang' not in fleet.started_ms:
            fleet.step()
        return fleet

    def test_gang_is_not_starved(self):
        """Guard against a gang starved by a flood of single tasks."""
        starved = self._start_gang_in_flood(60_000, gang_wait_ms=10**9)
        self.assertNotIn('gang', starved.started_ms)
        served = self._start_gang_in_flood(60_000, gang_wait_ms=5_000)
        self.assertLess(served.started_ms['gang'], 5_000 + 2 * 1_500)

    def test_whole_or_not_at_all(self):
        """Guard against the start of a part of a gang."""
        fleet = _Fleet()
        fleet.push('long', 'red', 5, 60_000)
        fleet.step()
        fleet.push('gang', 'blue', 8, 1_000, gang=True)
        fleet.push('single', 'blue', 2, 1_000)
        fleet.step()
        self.assertNotIn('gang', fleet.started_ms)
        self.assertIn('single', fleet.started_ms)

    def _fleet_with_reservation(self, gang_tasks, **options):
        # Six slots are free, the other four are expected to be free at 10 s.
        fleet = _Fleet(gang_wait_ms=1_000, **options)
        fleet.push('base', 'red', 4, 10_000)
        fleet.step()
        fleet.push('gang', 'blue', gang_tasks, 1_000, gang=True)
        for _ in range(15):
            fleet.step()
        return fleet

    def test_backfill_ends_before_the_gang(self):
        """Guard against slots left idle, and backfill that delays a gang."""
        fleet = self._fleet_with_reservation(10)
        fleet.push('short', 'red', 6, 2_000)
        fleet.push('long', 'red', 2, 60_000)
        fleet.push('urgent', 'red', 1, 500, priority=model.Priority.URGENT)
        for _ in range(120):
            fleet.step()
        self.assertLess(fleet.started_ms['short'], 2_000)
        self.assertLess(fleet.started_ms['urgent'], 3_000)
        self.assertLess(fleet.started_ms['gang'], 10_500)
        self.assertGreaterEqual(
            fleet.started_ms['long'], fleet.started_ms['gang']
        )

    def test_slots_not_reserved_for_the_gang_are_used(self):
        """Guard against slots left idle that the gang does not need."""
        fleet = self._fleet_with_reservation(8)
        fleet.push('beside', 'red', 3, 60_000)
        for _ in range(90):
            fleet.step()
        # The gang leaves two slots for tasks that run past its start.
        self.assertEqual(2 + 8, len(fleet.running))
        self.assertLess(fleet.started_ms['beside'], 2_000)
        self.assertLess(fleet.started_ms['gang'], 10_500)

    def test_reservation_ends(self):
        """Guard against a gang that never fits and blocks all others."""
        fleet = self._fleet_with_reservation(10, gang_reserve_ms=5_000)
        # The tasks run far longer than declared.
        fleet.running = [(10**9, workspace) for _, workspace in fleet.running]
        fleet.push('long', 'red', 6, 60_000)
        fleet.step()
        self.assertNotIn('long', fleet.started_ms)
        for _ in range(60):
            fleet.step()
        self.assertIn('long', fleet.started_ms)

    def test_requeued_gang_members_start_individually(self):
        """Guard against the rest of a gang that waits to start as a whole."""
        fleet = _Fleet()
        fleet.push('gang', 'blue', 6, 1_000, gang=True)
        self.assertEqual(6, fleet.queue.pop(0, 1)[0].count)
        fleet.queue.requeue('gang', 2, 0)
        pick = fleet.queue.pop(0, 1, room_for=lambda shape: 1)[0]
        self.assertEqual((1, False), (pick.count, pick.gang))

    def test_backoff(self):
        """Guard against a gang that is retried without a backoff."""
        fleet = _Fleet()
        fleet.push('gang', 'blue', 6, 1_000, gang=True)
        fleet.queue.pop(0, 9)
        fleet.queue.requeue('gang', 6, 0, wait_ms=500)
        self.assertEqual([], fleet.queue.pop(499, 9))
        self.assertEqual(6, fleet.queue.pop(500, 9)[0].count)


class GangPlanTest(unittest.TestCase):
    """Guard the choice of the members that are asked for holds."""

    def _plan(self, count, **free):
        room = {
            name: messages.Room(
                workers=4,
                free=_SHAPE.scale(slots),
                largest=_SHAPE.scale(min(slots, 4)),
            )
            for name, slots in free.items()
        }
        return policy.GangPlan(_SHAPE, count, room)

    def test_few_members(self):
        """Guard against holds on more members than needed."""
        plan = self._plan(10, a=4, b=12, c=8)
        self.assertEqual({'b': 10}, plan.holds_to_request())

    def test_short_member_is_replaced(self):
        """Guard against giving up a gang while other members have room."""
        plan = self._plan(10, a=4, b=12, c=8)
        plan.record_hold('b', 10, 3)
        self.assertEqual({'c': 7}, plan.holds_to_request())
        plan.record_hold('c', 7, 7)
        self.assertTrue(plan.complete)
        self.assertEqual({'b': 3, 'c': 7}, plan.held)

    def test_hopeless_asks_nobody(self):
        """Guard against holds for a gang that cannot be completed."""
        self.assertEqual({}, self._plan(30, a=4, b=12).holds_to_request())

    def test_room_of_one_worker_counts(self):
        """Guard against an estimate from the sum of small free amounts."""
        room = messages.Room(
            workers=2,
            free=model.Resources(10_000, 10_000, 0, 10),
            largest=model.Resources(7_000, 5_000, 0, 5),
        )
        cases = [(_SHAPE, 10), (_SHAPE.scale(3), 2), (_SHAPE.scale(6), 0)]
        for need, expected in cases:
            with self.subTest(need=need):
                self.assertEqual(expected, policy.max_tasks_in(need, room))
