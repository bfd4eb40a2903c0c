"""Test the errors of the worker client and what they guarantee."""

import asyncio
import unittest

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import fleet
from tests import fleet_case


class WorkerClientTest(fleet_case.FleetCase):
    """Guard against an error that is reported as another one."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        (self.worker,) = self.add_workers(1)
        self.api = await self.enterAsyncContext(
            self.client(self.worker.address)
        )

    async def call(self, work, advance_ms=0):
        task = asyncio.ensure_future(work)
        await self.clock.settle()
        await self.clock.advance_ms(advance_ms)
        return await task

    async def test_calls_of_a_holder(self):
        """Guard against a call that the worker interface does not know."""
        grant = await self.call(self.api.lease('d1', 3_000, 0))
        self.assertEqual(fleet_case.CAPACITY, grant.capacity.to_resources())
        renewed = await self.call(self.api.lease('d1', 3_000, grant.epoch))
        self.assertEqual(grant.epoch, renewed.epoch)
        await self.call(self.api.start(grant.epoch, self.order('a/0')))
        listed = await self.call(self.api.inventory())
        self.assertEqual(['a/0'], [t.task_id for t in listed.running])
        await self.call(self.api.checkpoint(grant.epoch, 'a/0'))
        await self.call(self.api.throttle(grant.epoch, 'a/0'))
        await self.call(self.api.stop(grant.epoch, 'a/0'))
        page = await self.call(self.api.events(grant.epoch, 0, 100, 30_000))
        self.assertEqual(
            [('a/0', fleet.Outcome.STOPPED)],
            [(e.task_id, e.outcome) for e in page.events],
        )
        await self.call(self.api.release_results(grant.epoch, page.next))
        listed = await self.call(self.api.inventory())
        self.assertEqual([], listed.ended)
        await self.call(self.api.return_lease(grant.epoch))
        with self.assertRaises(errors.StaleEpoch):
            await self.call(self.api.return_lease(grant.epoch))

    async def test_start_error_matches_the_fault(self):
        """Guard against an error that misstates whether a task was run."""
        cases = [
            ({}, 0, None, 1),
            ({'down': True}, 0, errors.WorkerUnavailable, 0),
            ({'refuse': 'full'}, 0, errors.WorkerRefused, 0),
            ({'lose_starts': 1}, 1_000, errors.WorkerOutcomeUnknown, 1),
            ({'late_starts': 1}, 1_000, errors.WorkerOutcomeUnknown, 0),
            ({'silent': 'all'}, 1_000, errors.WorkerOutcomeUnknown, 0),
            ({'slow_ms': 900}, 900, None, 1),
            ({'slow_ms': 1_100}, 1_100, errors.WorkerOutcomeUnknown, 0),
        ]
        for number, (faults, advance_ms, error, starts) in enumerate(cases):
            with self.subTest(faults=faults):
                self.worker.restart()
                self.worker.starts = 0
                grant = await self.call(self.api.lease('d1', 10_000, 0))
                self.worker._set_faults(dict(faults))
                start = self.api.start(grant.epoch, self.order(f't/{number}'))
                if error is None:
                    await self.call(start, advance_ms)
                else:
                    with self.assertRaises(error) as caught:
                        await self.call(start, advance_ms)
                    self.assertIs(error, type(caught.exception))
                self.assertEqual(starts, self.worker.starts)
                self.worker.faults = type(self.worker.faults)()

    async def test_second_holder_and_expired_epoch_are_refused(self):
        """Guard against a second holder and an expired epoch."""
        grant = await self.call(self.api.lease('d1', 3_000, 0))
        await self.clock.advance_ms(1_000)
        with self.assertRaises(errors.LeaseHeld) as caught:
            await self.call(self.api.lease('d2', 3_000, 0))
        self.assertEqual('d1', caught.exception.holder)
        self.assertEqual(2_000, caught.exception.remaining_ms)
        with self.assertRaises(errors.StaleEpoch):
            await self.call(self.api.start(grant.epoch + 1, self.order('a')))
        await self.clock.advance_ms(2_000)
        with self.assertRaises(errors.StaleEpoch):
            await self.call(self.api.start(grant.epoch, self.order('a')))
        self.assertEqual([], self.worker.runs)

    async def test_an_odd_address_is_not_called(self):
        """Guard against an entry of the VM list that no URL can hold."""
        for address in ('w:99999', 'w:-1', 'w:x', 'a\r\nb:1', '\ud800:1'):
            with self.subTest(address=address):
                api = fleet.WorkerClient(address, clock_module.Clock())
                with self.assertRaises(errors.WorkerUnavailable):
                    await self.call(api.lease('d1', 3_000, 0))

    async def test_guard_prevents_the_send(self):
        """Guard against sending a start that the guard has rejected."""
        grant = await self.call(self.api.lease('d1', 3_000, 0))

        def guard():
            raise errors.Fenced('new owner')

        with self.assertRaises(errors.Fenced):
            await self.call(
                self.api.start(grant.epoch, self.order('a'), guard)
            )
        self.assertEqual([], self.worker.runs)

    async def test_poll_leaves_silent_connections(self):
        """Guard against polling on a connection that no longer answers."""
        grant = await self.call(self.api.lease('d1', 9_000, 0))
        await self.call(self.api.events(grant.epoch, 0, 0, 30_000))
        self.worker.silence('old')
        poll = self.api.events(grant.epoch, 0, 100, 30_000)
        with self.assertRaises(errors.WorkerOutcomeUnknown):
            await self.call(poll, 1_100)
        await self.call(self.api.events(grant.epoch, 0, 0, 30_000))
        await self.call(self.api.inventory())


class TcpTest(unittest.IsolatedAsyncioTestCase):
    """Test behaviour that only TCP connections show."""

    async def asyncSetUp(self):
        self.seen = []
        self.open = 0
        self.max_open = 0
        self.server = await asyncio.start_server(self.accept, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.api = await self.enterAsyncContext(
            fleet.WorkerClient(
                f'127.0.0.1:{port}', clock_module.Clock(), call_ms=200
            )
        )

    async def asyncTearDown(self):
        self.server.close()

    async def accept(self, reader, writer):
        self.open += 1
        self.max_open = max(self.max_open, self.open)
        while data := await reader.read(65_536):
            self.seen.append(data)
        self.open -= 1
        writer.close()

    async def test_guard_runs_after_the_connection_is_open(self):
        """Guard against a fence check before a slow connection set-up."""
        opened = []

        def guard():
            opened.append(len(self.seen))
            raise errors.Fenced('new owner')

        with self.assertRaises(errors.Fenced):
            await self.api.start(1, fleet_case.build_order('a/0'), guard)
        self.assertEqual([0], opened)
        self.assertEqual([], self.seen)

    async def test_connections_are_bounded(self):
        """Guard against using up the connections of the next holder."""
        calls = [self.api.inventory() for _ in range(60)]
        polls = [self.api.events(1, 0, 0, 1) for _ in range(5)]
        results = await asyncio.gather(*calls, *polls, return_exceptions=True)
        self.assertLessEqual(self.max_open, 28)
        kinds = {type(result) for result in results}
        self.assertEqual(
            {errors.WorkerUnavailable, errors.WorkerOutcomeUnknown}, kinds
        )

    async def test_closed_port_is_certainly_not_reached(self):
        """Guard against an unknown outcome when nothing was sent."""
        self.server.close()
        with self.assertRaises(errors.WorkerUnavailable):
            await self.api.start(1, fleet_case.build_order('a/0'))
