"""Test leases, takeover and task outcomes under faults."""

import asyncio

from basilspindle import fleet
from basilspindle import model
from basilspindle.peer import messages
from basilspindle import policy
from tests import fleet_case

_RUNS_UNTIL_MS = 33_000
_LOST_AFTER_MS = 36_000


class TakeoverTest(fleet_case.FleetCase):
    """Guard against two daemons that start tasks on one worker."""

    async def test_second_holder_adopts_after_expiry(self):
        """Guard against a takeover that loses track of running tasks."""
        first = await self.start_fleet()
        second = await self.open_fleet('d2')
        await self.place(
            first, self.order('a/0'), self.order('b/0', run_ms=2_500)
        )
        await self.assign(second)
        await self.clock.advance_ms(500)
        self.assertEqual(0, second.free_capacity().workers)
        self.isolated_members.add('d1')
        await self.clock.advance_ms(5_000)
        self.assertEqual(3, second.free_capacity().free.slots)
        found = [(t.task_id, t.worker_epoch) for t in self.found]
        self.assertEqual([('a/0', 2)], found)
        self.assertIs(model.State.SUCCEEDED, self.end_of('b/0').state)
        self.isolated_members.clear()
        await self.clock.advance_ms(40_000)
        # The first holder must not report a/0 as lost.
        ends = [(e.task_id, e.state) for e in self.ends]
        self.assertEqual(
            [
                ('b/0', model.State.SUCCEEDED),
                ('a/0', model.State.SUCCEEDED),
            ],
            ends,
        )
        self.assertEqual(0, first.free_capacity().workers)
        self.check_no_breaches()

    async def test_late_start_of_the_first_holder_is_refused(self):
        """Guard against running a start that arrives after a takeover."""
        first = await self.start_fleet()
        second = await self.open_fleet('d2')
        worker = self.workers['w0']
        worker.faults.late_starts = 1
        order = self.order('a/0', idempotent=False)
        (placed,) = await self.place(first, order, advance_ms=1_000)
        self.assertTrue(placed.unknown)
        self.isolated_members.add('d1')
        await self.assign(second)
        await self.clock.advance_ms(10_000)
        self.assertEqual(1, second.free_capacity().workers)
        self.assertEqual([], worker.runs)
        self.isolated_members.clear()
        await self.clock.advance_ms(5_000)
        end = self.end_of('a/0')
        self.assertIs(model.State.QUEUED, end.state)
        self.assertFalse(end.started)
        self.check_no_breaches()

    async def test_result_that_the_next_holder_released(self):
        """Guard against 'not run' for a task whose result was released."""
        first = await self.start_fleet()
        second = await self.open_fleet('d2')
        self.workers['w0'].faults.lose_starts = 1
        order = self.order('a/0', idempotent=False, run_ms=2_000)
        work = asyncio.ensure_future(
            self.place(first, order, advance_ms=3_000)
        )
        await self.clock.settle()
        self.isolated_members.add('d1')
        await self.assign(second)
        await work
        await self.clock.advance_ms(5_000)
        self.assertEqual([], self.workers['w0'].inventory()[1]['ended'])
        self.isolated_members.clear()
        await self.clock.advance_ms(9_000)
        self.assertEqual(
            [model.State.SUCCEEDED, model.State.UNKNOWN],
            [end.state for end in self.ends],
        )
        self.assertTrue(all(end.started for end in self.ends))

    async def test_paused_holder_starts_nothing(self):
        """Guard against a start after a process pause beyond the lease."""
        opened = await self.start_fleet()
        self.clock._now_ms += 2_900
        (placed,) = await self.place(opened, self.order('a/0'))
        self.assertEqual('no_room', placed.reason)
        await self.clock.advance_ms(2_000)
        # The refused attempt stays refused; a new attempt is placed.
        for attempt, worker_id in ((1, ''), (2, 'w0')):
            order = self.order('a/0', attempt=attempt)
            (placed,) = await self.place(opened, order)
            self.assertEqual(worker_id, placed.worker_id)

    async def test_last_moment_of_a_lease(self):
        """Guard against a start too close to the expiry of the lease.

        The margin is 5% of the lease for clock drift, plus ``send_ms``.
        """
        for paused_ms, worker_id in ((2_799, 'w0'), (2_800, '')):
            with self.subTest(paused_ms=paused_ms):
                await self.asyncTearDown()
                await self.asyncSetUp()
                opened = await self.start_fleet()
                self.clock._now_ms += paused_ms
                (placed,) = await self.place(opened, self.order('a/0'))
                self.assertEqual(worker_id, placed.worker_id)

    async def test_pause_between_decision_and_send(self):
        """Guard against a lease check only before the worker is chosen."""

        def choose(order, views):
            self.clock._now_ms += 2_900
            return policy.choose(order, views)

        opened = await self.start_fleet(choose=choose)
        (placed,) = await self.place(opened, self.order('a/0'))
        self.assertEqual('stale_epoch', placed.reason)
        self.assertEqual([], self.workers['w0'].runs)

    async def test_hand_back_waits_for_holds_and_reports(self):
        """Guard against a hand-back before holds and reports are done."""
        opened = await self.start_fleet()
        other = await self.open_fleet('d2')
        self.confirm_reports = False
        await self.place(opened, self.order('a/0', run_ms=10))
        await self.place(opened, self.order('b/0'))
        await self.place(opened, self.order('h/0'), hold=True, hold_ms=2_000)
        await self.clock.advance_ms(100)
        await opened.assign([])
        await self.assign(other)
        self.assertEqual(0, opened.free_capacity().workers)
        await self.clock.advance_ms(1_000)
        self.assertEqual(1, len(opened.workers()))
        self.confirm_reports = True
        await self.clock.advance_ms(3_000)
        self.assertEqual([], opened.workers())
        self.assertIs(model.State.SUCCEEDED, self.end_of('a/0').state)
        await self.clock.advance_ms(1_000)
        self.assertEqual(['b/0'], [t.task_id for t in self.found])
        self.assertEqual(3, other.free_capacity().free.slots)

    async def test_planned_hand_over_is_quick(self):
        """Guard against workers that stay unused after a planned stop."""
        self.settings = fleet.FleetSettings(
            worker_lease_ms=20_000, worker_poll_ms=10_000
        )
        opened = await self.start_fleet(workers=3)
        other = await self.open_fleet('d2')
        await self.assign(other)
        await self.clock.advance_ms(3_000)
        work = asyncio.ensure_future(opened.release_all())
        await self.clock.advance_ms(600)
        self.assertTrue(work.done())
        self.assertEqual(3, other.free_capacity().workers)

    async def test_order_repeated_after_the_hand_back(self):
        """Guard against a second run after the worker was handed back."""
        opened = await self.start_fleet(workers=2)
        order = self.order('a/0', idempotent=False)
        (placed,) = await self.place(opened, order)
        other = await self.open_fleet('d2')
        moved = self.workers[placed.worker_id].info()
        kept = [
            w.info()
            for w in self.workers.values()
            if w.worker_id != placed.worker_id
        ]
        await opened.assign(kept)
        await other.assign([moved])
        await self.clock.advance_ms(2_000)
        self.assertEqual([placed], await self.place(opened, order))
        self.check_no_breaches()

    async def test_release_all_is_bounded(self):
        """Guard against a planned stop that waits without limit."""
        opened = await self.start_fleet(workers=2)
        self.confirm_reports = False
        await self.place(opened, self.order('a/0', run_ms=10))
        await self.clock.advance_ms(100)
        work = asyncio.ensure_future(opened.release_all())
        await self.clock.advance_ms(8_000)
        self.assertTrue(work.done())
        self.assertEqual([], opened.workers())
        # The result stays at the worker for the next holder.
        self.assertEqual(1, len(self.workers['w0'].inventory()[1]['ended']))
        self.assertEqual([], self.workers['w1'].inventory()[1]['ended'])

    async def test_lost_answer_to_a_lease_call(self):
        """Guard against a holder that its own lost lease answer locks out."""
        self.add_workers(1)
        self.workers['w0'].faults.lose_leases = 1
        opened = await self.open_fleet()
        await self.assign(opened)
        await self.clock.advance_ms(6_000)
        self.assertEqual(1, opened.free_capacity().workers)


class LostStartTest(fleet_case.FleetCase):
    """Guard against a wrong outcome when the answer to a start is lost."""

    async def lose(self, fault, idempotent=False):
        opened = await self.start_fleet()
        setattr(self.workers['w0'].faults, fault, 1)
        order = self.order('a/0', idempotent=idempotent, run_ms=20_000)
        (placed,) = await self.place(opened, order, advance_ms=1_000)
        self.assertTrue(placed.unknown)
        return opened

    async def test_start_took_effect(self):
        """Guard against starting a running task a second time."""
        opened = await self.lose('lose_starts')
        await self.clock.advance_ms(1_000)
        self.assertEqual(['a/0'], [t.task_id for t in self.found])
        self.assertEqual(3, opened.free_capacity().free.slots)
        await self.clock.advance_ms(20_000)
        self.assertIs(model.State.SUCCEEDED, self.end_of('a/0').state)
        self.check_no_breaches()

    async def test_start_is_still_on_its_way(self):
        """Guard against 'not run' while the start may still arrive."""
        opened = await self.lose('late_starts')
        await self.clock.advance_ms(10_000)
        end = self.end_of('a/0')
        self.assertIs(model.State.QUEUED, end.state)
        self.assertFalse(end.started)
        self.assertEqual([], self.workers['w0'].runs)
        self.assertEqual(4, opened.free_capacity().free.slots)

    async def test_capacity_stays_reserved_until_resolved(self):
        """Guard against reusing the capacity of a task that may run."""
        opened = await self.start_fleet()
        self.workers['w0'].faults.lose_starts = 1
        work = asyncio.ensure_future(
            self.place(opened, self.order('a/0'), advance_ms=3_000)
        )
        await self.clock.settle()
        self.isolated_members.add('d1')
        await work
        (status,) = opened.workers()
        self.assertEqual(3, status.free.slots)
        self.assertEqual({'uncertain': 1}, status.tasks)
        self.assertIsNone(self.end_of('a/0'))

    async def test_worker_restarted_before_the_answer(self):
        """Guard against 'not run' for a task that may have run."""
        for idempotent, state in (
            (True, model.State.QUEUED),
            (False, model.State.UNKNOWN),
        ):
            with self.subTest(idempotent=idempotent):
                await self.asyncTearDown()
                await self.asyncSetUp()
                opened = await self.start_fleet()
                worker = self.workers['w0']
                worker.faults.lose_starts = 1
                order = self.order('a/0', idempotent=idempotent)
                work = asyncio.ensure_future(
                    self.place(opened, order, advance_ms=1_000)
                )
                await self.clock.settle()
                worker.restart()
                await work
                await self.clock.advance_ms(2_000)
                end = self.end_of('a/0')
                self.assertIs(state, end.state)
                self.assertTrue(end.started)
                self.assertEqual(4, opened.free_capacity().free.slots)


class WorkerFaultTest(fleet_case.FleetCase):
    """Guard against losing or repeating the tasks of a failed worker."""

    async def test_restart_ends_its_tasks_at_once(self):
        """Guard against waiting for tasks that ended with a restart."""
        opened = await self.start_fleet()
        await self.place(
            opened, self.order('a/0'), self.order('b/0', idempotent=False)
        )
        self.workers['w0'].restart()
        await self.clock.advance_ms(1_000)
        self.assertIs(model.State.QUEUED, self.end_of('a/0').state)
        self.assertIs(model.State.UNKNOWN, self.end_of('b/0').state)
        self.assertEqual(4, opened.free_capacity().free.slots)

    async def test_dead_worker_counts_until_the_task_lease_is_over(self):
        """Guard against a second run while the first may continue."""
        opened = await self.start_fleet(workers=1)
        worker = self.workers['w0']
        await self.place(opened, self.order('a/0', run_ms=90_000))
        await self.clock.advance_ms(1_500)
        self.isolated_members.add('d1')
        await self.clock.advance_ms(29_000)
        self.assertIsNone(self.end_of('a/0'))
        listed = await opened.inventory(
            messages.Inventory(partition=0, partition_epoch=1, member_id='c1')
        )
        self.assertEqual(['a/0'], [t.task_id for t in listed.running])
        self.assertEqual([], listed.workers)
        await self.clock.advance_ms(_RUNS_UNTIL_MS - 29_000)
        self.assertIsNone(self.end_of('a/0'))
        await self.clock.advance_ms(_LOST_AFTER_MS - _RUNS_UNTIL_MS)
        self.assertIs(model.State.QUEUED, self.end_of('a/0').state)
        self.assertEqual('expired', worker.runs[0].outcome)
        self.isolated_members.clear()
        await self.clock.advance_ms(10_000)
        self.assertEqual(4, opened.free_capacity().free.slots)

    async def test_silent_worker_renews_no_task_lease_for_ever(self):
        """Guard against tasks that count as running for ever.

        Polls that are sent but never answered must not extend the task
        leases.
        """
        opened = await self.start_fleet()
        await self.place(opened, self.order('a/0', run_ms=90_000))
        self.workers['w0'].silence('all')
        await self.clock.advance_ms(5_000)
        self.assertTrue(opened.workers()[0].suspect)
        await self.clock.advance_ms(40_000)
        self.assertIs(model.State.QUEUED, self.end_of('a/0').state)

    async def test_worker_silent_on_old_connections_is_kept(self):
        """Guard against losing a worker that answers on new connections."""
        opened = await self.start_fleet()
        await self.place(opened, self.order('a/0', run_ms=20_000))
        await self.clock.advance_ms(500)
        self.workers['w0'].silence('old')
        await self.clock.advance_ms(4_000)
        (placed,) = await self.place(opened, self.order('b/0'))
        self.assertEqual('w0', placed.worker_id)
        await self.clock.advance_ms(20_000)
        self.assertIs(model.State.SUCCEEDED, self.end_of('a/0').state)
        self.check_no_breaches()

    async def test_suspect_worker_gets_nothing(self):
        """Guard against starts on a worker that does not answer."""
        self.settings = fleet.FleetSettings(
            worker_lease_ms=20_000, worker_poll_ms=1_000
        )
        opened = await self.start_fleet(workers=2)
        self.workers['w0'].silence('all')
        await self.clock.advance_ms(6_000)
        self.assertEqual(1, opened.free_capacity().workers)
        self.workers['w0'].silence('')
        await self.clock.advance_ms(3_000)
        self.assertEqual(2, opened.free_capacity().workers)

    async def test_leaving_and_drained_workers_get_nothing(self):
        """Guard invariant I8: no new tasks there, running ones continue."""
        opened = await self.start_fleet()
        await self.place(opened, self.order('a/0', run_ms=5_000))
        for change in ('leaving', 'drained'):
            with self.subTest(change=change):
                await self.assign(opened, **{change: True})
                placed = await self.place(opened, self.order(change))
                self.assertEqual('no_room', placed[0].reason)
                await self.assign(opened)
                self.assertEqual(1, opened.free_capacity().workers)
        await self.clock.advance_ms(5_000)
        self.assertIs(model.State.SUCCEEDED, self.end_of('a/0').state)

    async def test_worker_that_fails_everything_is_quarantined(self):
        """Guard against a worker that empties the queue by failing tasks."""
        opened = await self.start_fleet(workers=3)
        self.workers['w1'].faults.fail_all = True
        for number in range(6):
            orders = [
                self.order(f'{number}-{i}/0', run_ms=10) for i in range(12)
            ]
            await self.place(opened, *orders)
            await self.clock.advance_ms(50)
        failed = self.workers['w1'].starts
        self.assertLessEqual(failed, 12)
        self.assertEqual(2, opened.free_capacity().workers)
        self.workers['w1'].faults.fail_all = False
        await self.clock.advance_ms(30_000)
        for number in range(12):
            orders = [
                self.order(f'z{number}-{i}/0', run_ms=10) for i in range(12)
            ]
            await self.place(opened, *orders)
            await self.clock.advance_ms(50)
        self.assertEqual(-1, opened.workers()[1].allowance)
        self.check_no_breaches()

    async def test_moved_worker_keeps_or_loses_its_tasks(self):
        """Guard against calls to the old address of a moved worker."""
        opened = await self.start_fleet()
        await self.place(opened, self.order('a/0', run_ms=4_000))
        worker = self.workers['w0']
        worker.address = 'w0:81'
        await self.assign(opened)
        await self.clock.advance_ms(6_000)
        self.assertIs(model.State.SUCCEEDED, self.end_of('a/0').state)
        self.assertEqual('w0:81', opened.workers()[0].info.address)
        self.assertIn('w0', str(opened.dump()))


class ContradictionTest(fleet_case.FleetCase):
    """Guard a daemon against a worker whose answers do not agree.

    Each case repeated its calls without a pause.
    """

    _HELD_MS = 3_000
    # Four calls in 250 ms.
    _MAX_CALLS = _HELD_MS * 4 // 250

    async def count_calls(self, change):
        self.add_workers(1)
        [worker] = self.workers.values()
        route = worker._route
        calls = 0

        async def changed_route(*request):
            nonlocal calls
            calls += 1
            if calls > 20 * self._MAX_CALLS:
                # Ends the repetition, which would block the event loop.
                return None
            return change(request[1], await route(*request))

        worker._route = changed_route
        opened = await self.open_fleet()
        await self.assign(opened)
        await self.clock.advance_ms(self._HELD_MS)
        return calls

    async def test_lease_without_duration(self):
        def change(path, answer):
            if path == '/v1/lease':
                answer[1]['ttl_ms'] = 0
            return answer

        self.assertLess(await self.count_calls(change), self._MAX_CALLS)

    async def test_held_lease_without_duration(self):
        def change(path, answer):
            if path == '/v1/lease':
                return 409, {'kind': 'held', 'holder': 'd9', 'remaining_ms': 0}
            return answer

        most = self._HELD_MS // self.settings.send_ms
        self.assertLess(await self.count_calls(change), most + 2)

    async def test_inventory_of_another_epoch(self):
        def change(path, answer):
            if path == '/v1/tasks':
                answer[1]['epoch'] += 1
            return answer

        self.assertLess(await self.count_calls(change), self._MAX_CALLS)

    async def test_events_of_another_incarnation(self):
        def change(path, answer):
            if path == '/v1/events':
                answer[1]['incarnation'] = 'other'
            return answer

        self.assertLess(await self.count_calls(change), self._MAX_CALLS)
