"""Provide fleets and stand-in workers that share a manual clock."""

import asyncio
import unittest

import httpx
import loguru
import msgspec

from basilspindle import errors
from basilspindle import fleet
from basilspindle import model
from basilspindle.peer import messages
from basilspindle import policy
from tests.standins import fleet_record
from tests.standins import manual_clock
from tests.standins import worker as worker_module

CAPACITY = model.Resources(4_000, 8_000, 0, 4)
NEED = model.Resources(1_000, 1_000, 0, 1)


def build_order(name, attempt=1, idempotent=True, **changes):
    """Build a start order for the task ``<job id>/<index>``."""
    given = {'run_ms': changes.pop('run_ms', 10_000)}
    given.update(changes.pop('given', {}))
    job_id, _, index = name.partition('/')
    fields = {
        'task_id': name,
        'attempt': attempt,
        'job_id': job_id,
        'index': int(index or 0),
        'workspace': 'workspace1',
        'kind': 'kind1',
        'priority': model.Priority.BATCH,
        'resources': NEED,
        'run_time_ms': 0,
        'idempotent': idempotent,
        'service': False,
        'input': msgspec.json.encode(given),
        'partition': 0,
        'partition_epoch': 1,
    }
    return model.TaskOrder(**(fields | changes))


class _IsolatableTransport(httpx.AsyncBaseTransport):
    """Refuse connections while a member is isolated from all workers."""

    def __init__(self, inner, isolated_members, member_id):
        self._inner = inner
        self._isolated_members = isolated_members
        self._member_id = member_id

    async def handle_async_request(self, request):
        if self._member_id in self._isolated_members:
            raise httpx.ConnectError('member is isolated')
        return await self._inner.handle_async_request(request)


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """Provide a clock, workers and a record of reports to each test."""

    @classmethod
    def setUpClass(cls):
        loguru.logger.disable('basilspindle')

    @classmethod
    def tearDownClass(cls):
        loguru.logger.enable('basilspindle')

    async def asyncSetUp(self):
        self.clock = manual_clock.ManualClock()
        self.settings = fleet.FleetSettings()
        self.workers = {}
        self.ends = []
        self.found = []
        self.fences = {}
        self.confirm_reports = True
        # Members that cannot reach any worker.
        self.isolated_members = set()

    async def asyncTearDown(self):
        for worker in self.workers.values():
            await worker.close()

    def add_workers(self, count, capacity=CAPACITY, failure_domain='fd1'):
        for _ in range(count):
            worker_id = f'w{len(self.workers)}'
            self.workers[worker_id] = worker_module.StandinWorker(
                worker_id,
                self.clock,
                capacity,
                failure_domain=failure_domain,
            )
        return list(self.workers.values())

    def client(self, address, member_id=''):
        worker = self.workers[address.partition(':')[0]]
        return fleet.WorkerClient(
            address,
            self.clock,
            transport=lambda: _IsolatableTransport(
                worker.transport(), self.isolated_members, member_id
            ),
        )

    async def open_fleet(self, member_id='d1', choose=None):
        opened = fleet.Fleet(
            self.clock,
            member_id,
            settings=self.settings,
            check_fence=self.check_fence,
            choose=choose or policy.choose,
            report=self.report,
            client_factory=lambda address: self.client(address, member_id),
        )
        return await self.enterAsyncContext(opened)

    async def start_fleet(self, workers=1, **options):
        self.add_workers(workers)
        opened = await self.open_fleet(**options)
        await self.assign(opened)
        return opened

    async def assign(self, opened, **changes):
        await opened.assign([w.info(**changes) for w in self.workers.values()])
        await self.clock.settle()

    def check_fence(self, partition, epoch):
        if epoch < self.fences.get(partition, 0):
            raise errors.Fenced(f'partition {partition} has a new owner')

    async def report(self, partition, ends, found):
        if not self.confirm_reports:
            return False
        self.ends.extend(ends)
        self.found.extend(found)
        return True

    def order(self, name, **changes):
        return build_order(name, **changes)

    async def place(self, opened, *orders, advance_ms=0, **options):
        """Place orders and return the answer.

        The clock advances by ``advance_ms`` after the orders were sent.
        """
        message = messages.Place(
            member_id='c1', orders=list(orders), **options
        )
        work = asyncio.ensure_future(opened.place(message))
        await self.clock.settle()
        if advance_ms:
            await self.clock.advance_ms(advance_ms)
        return (await work).placements

    def end_of(self, name, attempt=1):
        found = [
            e for e in self.ends if (e.task_id, e.attempt) == (name, attempt)
        ]
        return found[-1] if found else None

    def check_no_breaches(self):
        record = fleet_record.FleetRecord(list(self.workers.values()))
        self.assertEqual([], record.breaches())
