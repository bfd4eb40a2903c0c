"""Test orders of a holder that reach the next life of a worker."""

import httpx

from basilspindle import fleet
from basilspindle import model
from tests import fleet_case

_LATER_MS = 3_000


class _RecordingTransport(httpx.AsyncBaseTransport):
    """Keep each request, so that it can be delivered once more."""

    def __init__(self, case, inner):
        self._case = case
        self._inner = inner

    async def handle_async_request(self, request):
        body = await request.aread()
        self._case.sent.append((request.method, request.url, body))
        return await self._inner.handle_async_request(request)


class LateOrderTest(fleet_case.FleetCase):
    """Guard the tasks of a life against orders for the one before it.

    An epoch belongs to one life of a worker, as epochs rise over a restart.
    So the epoch of an order tells which life may take it (issue 43: there,
    orders name the worker only).
    """

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.sent = []

    def client(self, address, member_id=''):
        worker = self.workers[address.partition(':')[0]]
        return fleet.WorkerClient(
            address,
            self.clock,
            transport=lambda: _RecordingTransport(self, worker.transport()),
        )

    async def orders_of_first_life(self):
        """Return a fleet, and the orders that it sent to a life now over."""
        opened = await self.start_fleet()
        await self.place(
            opened,
            self.order('a/0', run_ms=500),
            self.order('b/0', run_ms=90_000),
            self.order('c/0', run_ms=90_000),
        )
        await self.clock.advance_ms(1_000)
        epoch = self.workers['w0'].epoch
        client = self.client('w0:80')
        for action in (client.checkpoint, client.throttle, client.stop):
            await action(epoch, 'c/0')
        await self.clock.advance_ms(1_000)
        sent = list(self.sent)
        self.workers['w0'].restart()
        await self.clock.advance_ms(2_000)
        return opened, sent

    async def deliver(self, sent, *paths):
        """Deliver orders once more; returns how many the worker refused."""
        refused = count = 0
        async with self.workers['w0'].transport() as transport:
            for method, url, body in sent:
                if not str(url.path).endswith(paths):
                    continue
                count += 1
                answer = await transport.handle_async_request(
                    httpx.Request(method, url, content=body)
                )
                refused += answer.status_code == 409
        self.assertTrue(count, paths)
        return count, refused

    async def test_a_start_is_refused(self):
        """Guard against a run that no holder has asked this life for."""
        opened, sent = await self.orders_of_first_life()
        starts = self.workers['w0'].starts
        count, refused = await self.deliver(
            [row for row in sent if row[0] == 'POST'], '/v1/tasks'
        )
        self.assertEqual(count, refused)
        self.assertEqual(starts, self.workers['w0'].starts)
        self.assertEqual(4, opened.free_capacity().free.slots)

    async def test_a_stop_is_refused(self):
        """Guard against the end of a task that was started again there."""
        opened, sent = await self.orders_of_first_life()
        await self.place(opened, self.order('c/0', attempt=2, run_ms=9_000))
        count, refused = await self.deliver(
            sent, '/stop', '/checkpoint', '/throttle'
        )
        self.assertEqual(count, refused)
        await self.clock.advance_ms(10_000)
        end = self.end_of('c/0', attempt=2)
        self.assertIs(model.State.SUCCEEDED, end.state)

    async def test_a_release_of_results_is_refused(self):
        """Guard against ends that are forgotten unread."""
        opened, sent = await self.orders_of_first_life()
        self.confirm_reports = False
        await self.place(opened, self.order('d/0', run_ms=500))
        await self.clock.advance_ms(1_000)
        count, refused = await self.deliver(sent, '/v1/release')
        self.assertEqual(count, refused)
        self.confirm_reports = True
        await self.clock.advance_ms(_LATER_MS)
        self.assertIs(model.State.SUCCEEDED, self.end_of('d/0').state)
        self.check_no_breaches()

    async def test_a_poll_renews_no_task_lease(self):
        """Guard against runs that a holder takes for over."""
        opened, sent = await self.orders_of_first_life()
        await self.place(opened, self.order('d/0', run_ms=90_000))
        [run] = [r for r in self.workers['w0'].runs if r.end_ms < 0]
        until_ms = run.lease_until_ms
        count, refused = await self.deliver(sent, '/v1/events')
        self.assertEqual(count, refused)
        self.assertEqual(until_ms, run.lease_until_ms)

    async def test_a_lease_call_costs_no_task(self):
        """Guard against a new epoch that the holder has not asked for.

        A call for a new lease may be carried out late. The epoch of the
        holder is refused from then on; it asks again and adopts the tasks.
        """
        opened, sent = await self.orders_of_first_life()
        await self.place(opened, self.order('d/0', run_ms=5_000))
        epoch = self.workers['w0'].epoch
        await self.deliver(sent, '/v1/lease')
        self.assertGreater(self.workers['w0'].epoch, epoch)
        await self.clock.advance_ms(10_000)
        self.assertIs(model.State.SUCCEEDED, self.end_of('d/0').state)
        self.check_no_breaches()

    async def test_a_start_that_the_next_life_acknowledges(self):
        """Guard against a run that counts as one of the life before.

        The worker restarts between the decision and the send.
        """
        opened = await self.start_fleet()
        self.workers['w0'].restart()
        await self.place(
            opened, self.order('a/0', run_ms=2_000), advance_ms=1_000
        )
        self.assertEqual([], self.workers['w0'].runs)
        await self.place(opened, self.order('a/0', attempt=2, run_ms=2_000))
        await self.clock.advance_ms(5_000)
        self.assertIs(
            model.State.SUCCEEDED, self.end_of('a/0', attempt=2).state
        )
        self.check_no_breaches()
