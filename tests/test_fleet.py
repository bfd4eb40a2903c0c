"""Test the placement, holds and stops of tasks on leased workers."""

import asyncio

from basilspindle import errors
from basilspindle import model
from basilspindle.peer import messages
from basilspindle import policy
from tests import fleet_case

_KEYS = [('g/0', 1), ('g/1', 1)]


def _reasons(placements):
    return [p.worker_id or p.reason for p in placements]


class PlaceTest(fleet_case.FleetCase):
    """Guard against tasks that are lost, run twice or overcommit a worker."""

    async def test_task_runs_and_its_end_is_reported_and_released(self):
        """Guard against a result that is never reported or never released."""
        opened = await self.start_fleet()
        order = self.order('a/0', run_ms=50, given={'echo': 'x'})
        (placed,) = await self.place(opened, order)
        self.assertEqual('w0', placed.worker_id)
        await self.clock.advance_ms(60)
        end = self.end_of('a/0')
        self.assertIs(model.State.SUCCEEDED, end.state)
        self.assertEqual(50, end.run_time_ms)
        self.assertIn(b'"echo":"x"', end.result)
        await self.clock.advance_ms(2_000)
        self.assertEqual([], self.workers['w0'].inventory()[1]['ended'])
        self.check_no_breaches()

    async def test_concurrent_places_never_overcommit(self):
        """Guard against concurrent requests that reserve the same capacity."""
        opened = await self.start_fleet(workers=3)
        for worker in self.workers.values():
            worker.faults.slow_ms = 20
        works = [
            self.place(
                opened,
                *[self.order(f'{job}/{i}') for i in range(5)],
                advance_ms=50,
            )
            for job in 'abcde'
        ]
        results = await asyncio.gather(*works)
        placed = [p for r in results for p in r if p.worker_id]
        refused = [p.reason for r in results for p in r if not p.worker_id]
        self.assertEqual(12, len(placed))
        self.assertEqual({'no_room'}, set(refused))
        again = await self.place(opened, self.order('e/4'))
        self.assertEqual([results[4][4]], again)
        self.assertEqual(0, opened.free_capacity().free.slots)
        self.check_no_breaches()

    async def test_repeated_order_is_answered_as_before(self):
        """Guard against a repeated Place that starts its task again."""
        opened = await self.start_fleet(workers=2)
        order = self.order('a/0', idempotent=False, run_ms=100)
        both = await asyncio.gather(
            self.place(opened, order), self.place(opened, order)
        )
        later = await self.place(opened, order)
        await self.clock.advance_ms(3_000)
        after_end = await self.place(opened, order)
        self.assertEqual([both[0]] * 4, [*both, later, after_end])
        self.assertEqual(1, sum(w.starts for w in self.workers.values()))
        self.check_no_breaches()

    async def test_other_attempt_waits_for_the_first(self):
        """Guard against two attempts of one task at the same time."""
        opened = await self.start_fleet(workers=2)
        await self.place(opened, self.order('a/0'))
        second = await self.place(opened, self.order('a/0', attempt=2))
        self.assertEqual(['other_attempt'], _reasons(second))

    async def test_cancelled_caller_does_not_lose_the_start(self):
        """Guard against losing a reservation whose caller is cancelled."""
        opened = await self.start_fleet()
        self.workers['w0'].faults.slow_ms = 100
        message = messages.Place(member_id='c', orders=[self.order('a/0')])
        work = asyncio.ensure_future(opened.place(message))
        await self.clock.settle()
        work.cancel()
        await self.clock.advance_ms(300)
        self.assertEqual(3, opened.free_capacity().free.slots)
        self.assertEqual(1, self.workers['w0'].starts)

    async def test_refused_start_goes_to_another_worker(self):
        """Guard against a refusal although another worker has capacity."""
        opened = await self.start_fleet(workers=2)
        for worker_id, fault in (('w0', 'refuse'), ('w1', 'refuse')):
            other = 'w1' if worker_id == 'w0' else 'w0'
            with self.subTest(worker_id=worker_id):
                setattr(self.workers[worker_id].faults, fault, 'full')
                name = f'{worker_id}/0'
                placed = await self.place(opened, self.order(name))
                self.assertEqual([other], _reasons(placed))
                self.workers[worker_id].faults.refuse = ''

    async def test_fence_stops_starts(self):
        """Guard against a start for an owner that has been replaced."""
        opened = await self.start_fleet()
        self.fences[0] = 2
        placed = await self.place(
            opened, self.order('a/0'), self.order('b/0', partition_epoch=2)
        )
        self.assertEqual(['fenced', 'w0'], _reasons(placed))

    async def test_fence_that_rises_after_the_decision(self):
        """Guard against a fence check only before the worker is chosen."""

        def choose(order, views):
            self.fences[0] = 2
            return policy.choose(order, views)

        opened = await self.start_fleet(choose=choose)
        placed = await self.place(opened, self.order('a/0'))
        self.assertEqual(['fenced'], _reasons(placed))
        self.assertEqual(0, self.workers['w0'].starts)
        self.assertEqual(4, opened.free_capacity().free.slots)

    async def test_policy_that_overcommits_is_not_followed(self):
        """Guard invariant I1 against a policy that overcommits a worker."""
        opened = await self.start_fleet(choose=lambda order, views: views[0])
        large = self.order('a/0', resources=model.Resources(5_000, 1, 0, 1))
        self.assertEqual(
            ['no_room'], _reasons(await self.place(opened, large))
        )

    async def test_usage_counts_beyond_the_declared_size(self):
        """Guard against placing by declared size where tasks use more."""
        opened = await self.start_fleet()
        use = {'cpu_millicores': 3_500, 'memory_mb': 10}
        order = self.order('a/0', run_ms=5_000, given={'use': use})
        await self.place(opened, order)
        self.assertEqual(3_000, opened.free_capacity().free.cpu_millicores)
        await self.clock.advance_ms(1_500)
        self.assertEqual(500, opened.free_capacity().free.cpu_millicores)
        self.assertEqual(7_000, opened.free_capacity().free.memory_mb)
        await self.clock.advance_ms(4_000)
        self.assertEqual(3_500, self.end_of('a/0').used.cpu_millicores)
        self.assertEqual(fleet_case.CAPACITY, opened.free_capacity().free)

    async def test_unconfirmed_report_is_repeated(self):
        """Guard against releasing a result before its owner confirmed it."""
        opened = await self.start_fleet()
        calls = []
        opened.on_capacity_freed = lambda: calls.append(self.clock.now_ms())
        self.confirm_reports = False
        await self.place(opened, self.order('a/0', run_ms=10))
        await self.clock.advance_ms(5_000)
        self.assertEqual(1, len(calls))
        self.assertEqual(1, len(self.workers['w0'].inventory()[1]['ended']))
        listed = await opened.inventory(_inventory())
        self.assertEqual(['a/0'], [e.task_id for e in listed.ends])
        self.confirm_reports = True
        await self.clock.advance_ms(7_000)
        self.assertEqual(1, len(self.ends))
        self.assertEqual([], self.workers['w0'].inventory()[1]['ended'])


class HoldTest(fleet_case.FleetCase):
    """Guard against holds that leak capacity or start too late."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.fleet = await self.start_fleet()
        orders = [self.order(name) for name, _ in _KEYS]
        held = await self.place(self.fleet, *orders, hold=True, hold_ms=2_000)
        self.assertEqual(['w0', 'w0'], _reasons(held))
        self.assertEqual(2, self.fleet.free_capacity().free.slots)
        self.assertEqual(0, self.workers['w0'].starts)

    async def commit(self, keys=_KEYS, epoch=1):
        message = messages.Commit(
            partition=0, partition_epoch=epoch, tasks=list(keys)
        )
        work = asyncio.ensure_future(self.fleet.commit(message))
        await self.clock.settle()
        return (await work).placements

    async def test_commit_starts_once(self):
        """Guard against a repeated Commit that starts the tasks again."""
        for _ in range(2):
            self.assertEqual(['w0', 'w0'], _reasons(await self.commit()))
        self.assertEqual(2, self.workers['w0'].starts)

    async def test_hold_expires(self):
        """Guard against a start after the hold, and a leak of its capacity."""
        await self.clock.advance_ms(1_999)
        self.assertEqual(2, self.fleet.free_capacity().free.slots)
        await self.clock.advance_ms(1)
        self.assertEqual(4, self.fleet.free_capacity().free.slots)
        self.assertEqual(['hold_gone'] * 2, _reasons(await self.commit()))
        self.assertEqual(0, self.workers['w0'].starts)

    async def test_drop_frees_and_a_late_commit_is_refused(self):
        """Guard against a Commit that arrives after its Drop."""
        await self.fleet.drop(messages.Drop(tasks=_KEYS))
        self.assertEqual(4, self.fleet.free_capacity().free.slots)
        self.assertEqual(['hold_gone'] * 2, _reasons(await self.commit()))

    async def test_drop_and_stop_overtake_their_order(self):
        """Guard against a start when the Drop or Stop arrived first."""
        await self.fleet.drop(messages.Drop(tasks=[('x/0', 1)]))
        await self.fleet.stop(
            messages.Stop(partition=0, partition_epoch=1, tasks=[('y/0', 1)])
        )
        placed = await self.place(
            self.fleet, self.order('x/0'), self.order('y/0')
        )
        self.assertEqual(['hold_gone'] * 2, _reasons(placed))

    async def test_drop_of_started_task_has_unknown_outcome(self):
        """Guard against confirming the Drop of a task that was started."""
        await self.commit(_KEYS[:1])
        with self.assertRaises(errors.BadRequest) as caught:
            await self.fleet.drop(messages.Drop(tasks=_KEYS))
        self.assertIs(errors.Ran.UNKNOWN, caught.exception.ran)
        self.assertEqual(3, self.fleet.free_capacity().free.slots)

    async def test_inventory_of_a_new_owner_drops_holds(self):
        """Guard against capacity that stays held for a replaced owner."""
        self.fences[0] = 2
        listed = await self.fleet.inventory(_inventory(epoch=2))
        self.assertEqual([], listed.running)
        self.assertEqual(['w0'], listed.workers)
        self.assertEqual(4, self.fleet.free_capacity().free.slots)
        with self.assertRaises(errors.Fenced):
            await self.fleet.inventory(_inventory(epoch=1))

    async def test_listed_start_that_fails_is_reported(self):
        """Guard against a new owner that waits without end for a task."""
        worker = self.workers['w0']
        worker.faults.slow_ms = 500
        message = messages.Place(member_id='c', orders=[self.order('a/0')])
        work = asyncio.ensure_future(self.fleet.place(message))
        await self.clock.settle()
        self.fences[0] = 2
        listed = await self.fleet.inventory(_inventory(epoch=2))
        self.assertEqual(['a/0'], [t.task_id for t in listed.running])
        worker.faults.refuse = 'full'
        await self.clock.advance_ms(600)
        placed = (await work).placements
        self.assertEqual(['worker_refused'], _reasons(placed))
        self.assertIs(model.State.QUEUED, self.end_of('a/0').state)
        self.assertFalse(self.end_of('a/0').started)


class StopTest(fleet_case.FleetCase):
    """Guard against a stop that is lost."""

    def message(self, *keys):
        return messages.Stop(partition=0, partition_epoch=1, tasks=list(keys))

    async def test_running_task_is_stopped_and_reported(self):
        """Guard against a stop that is not repeated after a failed call."""
        opened = await self.start_fleet()
        await self.place(opened, self.order('a/0'))
        self.isolated_members.add('d1')
        stopping = await opened.stop(self.message(('a/0', 1), ('b/0', 1)))
        self.assertEqual([('b/0', 1)], stopping.unknown_tasks)
        await self.clock.settle()
        self.isolated_members.clear()
        await self.clock.advance_ms(1_000)
        self.assertIs(model.State.CANCELLED, self.end_of('a/0').state)

    async def test_stop_before_and_during_the_start(self):
        """Guard against a task that runs although it was stopped first."""
        opened = await self.start_fleet()
        await self.place(opened, self.order('h/0'), hold=True, hold_ms=2_000)
        await opened.stop(self.message(('h/0', 1)))
        await self.clock.settle()
        self.assertFalse(self.end_of('h/0').started)
        self.workers['w0'].faults.slow_ms = 100
        message = messages.Place(member_id='c', orders=[self.order('a/0')])
        work = asyncio.ensure_future(opened.place(message))
        await self.clock.settle()
        await opened.stop(self.message(('a/0', 1)))
        await self.clock.advance_ms(100)
        await work
        await self.clock.advance_ms(1_000)
        self.assertIs(model.State.CANCELLED, self.end_of('a/0').state)
        self.assertEqual(4, opened.free_capacity().free.slots)


def _inventory(epoch=1):
    return messages.Inventory(
        partition=0, partition_epoch=epoch, member_id='c1'
    )
