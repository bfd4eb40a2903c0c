"""Test orders that are repeated while the answer lacks a task."""

import msgspec

from basilspindle import coordinator
from basilspindle.peer import messages
from tests import coordinator_case

# How long a holder keeps the answer to an order once its attempt is over, as
# ``FleetSettings.remember_ms``.
_REMEMBER_MS = 60_000


class _Holders(coordinator_case.HoldersStandIn):
    """Leave a task out of each answer; forget old attempts as a fleet does."""

    def __init__(self, slots, clock, left_out):
        super().__init__(slots)
        self.clock = clock
        self.left_out = left_out
        self.kept_until_ms = {}

    async def place(self, holder_id, request):
        now_ms = self.clock.now_ms()
        new = [
            order
            for order in request.orders
            if self.kept_until_ms.get((order.task_id, order.attempt), 0)
            <= now_ms
        ]
        reply = await super().place(
            holder_id, msgspec.structs.replace(request, orders=new)
        )
        kept = [
            messages.Placement(
                task_id=order.task_id,
                attempt=order.attempt,
                worker_id='worker-1',
            )
            for order in request.orders
            if order not in new
        ]
        placements = [
            placement
            for placement in (*reply.placements, *kept)
            if placement.task_id != self.left_out
        ]
        return msgspec.structs.replace(reply, placements=placements)


class RepeatedOrderTest(coordinator_case.CoordinatorCase):
    """Guard tasks against the odd answer about another one."""

    async def check_one_start(self, left_out):
        await self.coordinator.__aexit__()
        self.holders = _Holders(8, self.clock, left_out)
        self.coordinator = coordinator.Coordinator(
            self.clock,
            self.holders,
            self.timing,
            lambda partition, since_ms=0: True,
            lambda job: True,
        )
        self.set_limit(-1)
        await self.coordinator.__aenter__()
        self.activate()
        await self.submit(self.job('j1', tasks=2, durable=True))
        await self.step(1_000)
        [key] = [key for key in self.holders.started if key[0] == 'j1/0']
        await self.end(key)
        self.holders.kept_until_ms[key] = self.clock.now_ms() + _REMEMBER_MS
        await self.step(2 * _REMEMBER_MS)
        self.assertEqual(1, self.holders.started.count(key))

    async def test_complete_answers(self):
        """Guard against a check that no coordinator could pass."""
        await self.check_one_start('')

    async def test_an_answer_that_lacks_a_task(self):
        """Guard against a second run of a task whose end is recorded.

        The whole batch is ordered again for as long as the answer lacks one
        of its tasks, longer than the holder keeps the answers to the others.
        """
        await self.check_one_start('j1/1')
