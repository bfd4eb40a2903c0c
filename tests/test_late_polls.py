"""Test task leases that polls renew which arrive late."""

import asyncio

import httpx

from basilspindle import fleet
from tests import fleet_case

_LATE_MS = 1_900


class _LateTransport(httpx.AsyncBaseTransport):
    """Deliver requests late and lose their answers while ``case.late``."""

    def __init__(self, case, inner):
        self._case = case
        self._inner = inner

    async def handle_async_request(self, request):
        if not self._case.late:
            return await self._inner.handle_async_request(request)
        if request.url.path == '/v1/events':
            self._case.spawn(self._deliver(request))
        await asyncio.get_running_loop().create_future()

    async def _deliver(self, request):
        await self._case.clock.sleep_ms(_LATE_MS)
        await self._inner.handle_async_request(request)


class LatePollTest(fleet_case.FleetCase):
    """Guard against a loss that is reported while the task runs."""

    late = False

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.deliveries = []

    def spawn(self, work):
        self.deliveries.append(asyncio.ensure_future(work))

    def client(self, address, member_id=''):
        worker = self.workers[address.partition(':')[0]]
        return fleet.WorkerClient(
            address,
            self.clock,
            transport=lambda: _LateTransport(self, worker.transport()),
        )

    async def test_polls_that_arrive_within_the_placement_lease(self):
        opened = await self.start_fleet()
        await self.place(opened, self.order('a/0', run_ms=200_000))
        await self.clock.advance_ms(5_000)
        self.late = True
        for _ in range(1_000):
            if self.end_of('a/0') is not None:
                break
            await self.clock.advance_ms(100)
        self.assertIsNotNone(self.end_of('a/0'))
        [run] = self.workers['w0'].runs
        self.assertEqual('expired', run.outcome)
