"""Test the calls to workers that have not answered yet."""

import asyncio
import unittest

from basilspindle.cell import first_calls
from basilspindle.cell import report as report_module
from basilspindle.cell import session as session_module
from basilspindle.cell import worker as worker_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import workflow
from tests import cell_case

_SILENT_WORKERS = 600
_MAX_CALLS = 64
_MAX_FAILING_CALLS_PER_S = 128
_CALL_TIMEOUT_S = 0.5
_POOL_WORKERS = 300
# A pool that joins at once must be in use within this time.
_IN_USE_LIMIT_S = 2.0
# At 128 calls per second, each of the silent workers has been called in 5 s.
_ALL_CALLED_LIMIT_S = 10.0


class _Orders:
    """Answers the workers in ``answering`` and no others."""

    def __init__(self, refuses=False):
        self.answering = set()
        self.open_calls = 0
        self.most_open_calls = 0
        self.failed_calls = 0
        self._refuses = refuses

    async def renew(self, address, worker_id, *values):
        if worker_id in self.answering:
            await asyncio.sleep(0.02)
            return report_module.Report(1, cell_case.BORN_MS, (), ())
        self.open_calls += 1
        self.most_open_calls = max(self.most_open_calls, self.open_calls)
        try:
            if not self._refuses:
                await asyncio.sleep(_CALL_TIMEOUT_S)
        finally:
            self.open_calls -= 1
        self.failed_calls += 1
        raise errors.WorkerUnavailable('no connection; try again')


class _Owner(cell_case.ConfirmedOwner):
    def __init__(self):
        self.reports = {}

    def handle_report(self, session, report, sent_ms):
        name = session.worker.worker_id
        self.reports[name] = self.reports.get(name, 0) + 1
        return False

    def lose_worker(self, session, evidence):
        raise AssertionError('a worker without a lease is lost')


class ManyWorkersTest(unittest.IsolatedAsyncioTestCase):
    """Guard the leader's time against entries that name no worker."""

    def setUp(self):
        self.owner = _Owner()
        self.sessions = []
        self.clock = clock_module.Clock()
        self.calls = first_calls.FirstCalls(self.clock)

    def tearDown(self):
        for session in self.sessions:
            session.close()

    def join(self, orders, name, is_named=False):
        """Open a session with a worker; the log may name it already."""
        worker = worker_module.Worker(
            name,
            'h:1',
            cell_case.POOL,
            'r1',
            'a',
            frozenset(),
            workflow.Need(4_000, 100_000),
        )
        if is_named:
            worker.answered_address = worker.address
        session = session_module.Session(
            worker, orders, self.owner, self.clock, 1, 10_000, self.calls
        )
        self.sessions.append(session)
        session.open()

    async def test_silent_addresses_are_not_all_called_at_once(self):
        """Guard against a leader that has no time for its own workers.

        3,000 entries at silent addresses cost 3,000 connection attempts per
        second and, with them, six changes of the leader in a trial.
        """
        orders = _Orders()
        orders.answering.add('good')
        self.join(orders, 'good')
        for number in range(_SILENT_WORKERS):
            self.join(orders, f'silent-{number}')
        await asyncio.sleep(1.0)
        # Those that have not been called yet wait for a worker that joins.
        await self.join_new(orders, 'new')
        async with asyncio.timeout(_ALL_CALLED_LIMIT_S):
            while orders.failed_calls <= _SILENT_WORKERS:
                await asyncio.sleep(0.05)
        # So do those that have failed.
        await self.join_new(orders, 'newer')
        self.assertLessEqual(orders.most_open_calls, _MAX_CALLS)
        self.assertGreater(self.owner.reports['good'], 20)

    async def join_new(self, orders, name):
        """Open a session with a sound worker and wait until it is in use."""
        orders.answering.add(name)
        self.join(orders, name)
        async with asyncio.timeout(_IN_USE_LIMIT_S):
            while name not in self.owner.reports:
                await asyncio.sleep(0.02)

    async def test_refusing_addresses_are_called_at_a_limited_rate(self):
        """Guard against calls that fail at once and are soon repeated."""
        orders = _Orders(refuses=True)
        for number in range(_SILENT_WORKERS):
            self.join(orders, f'refusing-{number}')
        await asyncio.sleep(2.0)
        self.assertLessEqual(
            orders.failed_calls, _MAX_CALLS + 2 * _MAX_FAILING_CALLS_PER_S
        )

    async def test_a_pool_that_joins_at_once_is_soon_in_use(self):
        """Guard against workers of a sound pool that wait for their turn."""
        orders = _Orders()
        names = {f'w{number}' for number in range(_POOL_WORKERS)}
        orders.answering |= names
        for name in names:
            self.join(orders, name)
        async with asyncio.timeout(_IN_USE_LIMIT_S):
            while set(self.owner.reports) != names:
                await asyncio.sleep(0.02)

    async def test_workers_that_the_log_names_do_not_wait(self):
        """Guard against a longer wait for workers after a leader change."""
        orders = _Orders()
        for number in range(_SILENT_WORKERS):
            self.join(orders, f'silent-{number}')
        for number in range(_POOL_WORKERS):
            self.join(orders, f'w{number}', is_named=True)
        await asyncio.sleep(0.1)
        self.assertEqual(_MAX_CALLS + _POOL_WORKERS, orders.open_calls)

    async def test_a_closed_session_leaves_its_place(self):
        """Guard against places that no call gives back."""
        orders = _Orders()
        for number in range(2 * _MAX_CALLS):
            self.join(orders, f'silent-{number}')
        await asyncio.sleep(0.1)
        self.tearDown()
        await asyncio.sleep(_CALL_TIMEOUT_S + 0.1)
        orders.answering.add('new')
        self.join(orders, 'new')
        await asyncio.sleep(0.1)
        self.assertEqual(0, orders.open_calls)
        self.assertIn('new', self.owner.reports)
