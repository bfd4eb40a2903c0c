"""Test when a worker counts as gone."""

import asyncio
import io
import json
from unittest import mock

import loguru

from basilspindle.cell import ports
from basilspindle.cell import worker_tracker as worker_tracker_module
from basilspindle import clock as clock_module
from basilspindle import events
from basilspindle.workflow import task_state
from tests import cell_case

_JOB = '00000000000000aa'
_HEARTBEAT_MS = 1_500
# A registry entry expires after three heartbeats.
_EXPIRY_MS = 3 * _HEARTBEAT_MS


class _Clock(clock_module.Clock):
    __slots__ = ('case',)

    def __init__(self, case):
        self.case = case

    def now_ms(self):
        return self.case.now_ms


class _Registry:
    def __init__(self):
        self.entries = {}

    async def refresh(self):
        return dict(self.entries)


class _Recorder:
    def __init__(self):
        self.worker_addresses = {}
        self.worker_addresses_changed = False
        self.settled_lives = {}
        self.capacities = {}
        self.placements = mock.Mock()

    def is_awaited_in_log(self, worker_id):
        return False

    def forget_worker(self, worker):
        del self.worker_addresses[worker.worker_id]
        self.worker_addresses_changed = True


class _Session:
    def open(self):
        return

    def close(self):
        return


class ForeignEntryTest(cell_case.CellCase):
    """Guard a worker whose id another writer uses."""

    def test_an_entry_of_a_pool_that_is_not_configured_changes_nothing(self):
        """Guard against a worker that leaves its pool without a reason."""
        registry = _Registry()
        tracker = worker_tracker_module.WorkerTracker(
            self.state,
            _Clock(self),
            registry,
            _Recorder(),
            lambda worker: _Session(),
        )
        for pool, address, is_ready in (
            (cell_case.POOL, 'w1:1', True),
            ('another', 'other:1', False),
        ):
            registry.entries['w1'] = ports.RegisteredWorker(
                'w1',
                address,
                pool,
                'r1',
                'a',
                ('k', 'r1'),
                cell_case.workflow.Need(4_000, 100_000),
                is_ready,
                0,
                cell_case.BORN_MS,
                0,
            )
            asyncio.run(tracker.refresh())
        worker = self.state.workers['w1']
        self.assertEqual(
            (cell_case.POOL, 'w1:1', True, True),
            (worker.pool, worker.address, worker.ready, worker.listed),
        )

    def test_a_recovered_worker_keeps_the_address_of_the_log(self):
        """Guard against the lease of a sound worker that is not renewed.

        A new leader knows no pool of a worker yet, and took the address of
        the foreign entry (soak seed 202).
        """
        registry = _Registry()
        recorder = _Recorder()
        recorder.worker_addresses['w1'] = 'w1:1'
        tracker = worker_tracker_module.WorkerTracker(
            self.state,
            _Clock(self),
            registry,
            recorder,
            lambda worker: _Session(),
        )
        tracker.recover()
        self.state.awaited_workers.expect('w1', self.now_ms + 1_000)
        registry.entries['w1'] = ports.RegisteredWorker(
            'w1',
            'other:1',
            'another',
            'r1',
            'a',
            ('k', 'r1'),
            cell_case.workflow.Need(4_000, 100_000),
            True,
            0,
            cell_case.BORN_MS,
            0,
        )
        asyncio.run(tracker.refresh())
        worker = self.state.workers['w1']
        self.assertEqual(('', 'w1:1'), (worker.pool, worker.address))


class DepartureTest(cell_case.CellCase):
    """Guard tasks of a worker that is silent, not gone."""

    def setUp(self):
        super().setUp()
        self.registry = _Registry()
        self.tracker = worker_tracker_module.WorkerTracker(
            self.state,
            _Clock(self),
            self.registry,
            _Recorder(),
            lambda worker: _Session(),
        )
        self.list('w1', is_ready=True)
        self.refresh()
        self.report('w1')
        self.state.workers['w1'].is_recorded = True
        job = self.submit(
            cell_case.make_definition(_JOB, cell_case.make_step())
        )
        [start] = self.start_all(self.plan())
        self.task = start.task
        self.assertEqual({'w1'}, {start.worker_id})
        self.assertEqual(1, len(job.occupying_tasks))
        self.list('w1', is_ready=False)
        self.refresh()

    def list(self, name, is_ready):
        self.registry.entries[name] = ports.RegisteredWorker(
            name,
            f'{name}:1',
            cell_case.POOL,
            'r1',
            'a',
            ('k', 'r1'),
            cell_case.workflow.Need(4_000, 100_000),
            is_ready,
            0,
            cell_case.BORN_MS,
            len(self.registry.entries),
        )

    def refresh(self):
        asyncio.run(self.tracker.refresh())

    def advance(self, duration_ms, answers):
        """Refresh every 700 ms, with reports of the worker if it answers."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms = min(self.now_ms + 700, until_ms)
            if answers:
                self.report('w1', [(self.task.name, self.task.run)])
            self.refresh()

    def test_a_draining_worker_that_is_cut_off_keeps_its_tasks(self):
        """Guard against a task that is started again while it runs.

        The worker was cut off from the store and the leader at once. Its
        registry entry expired before its lease did.
        """
        for delay_ms in (0, 500, 1_000, _HEARTBEAT_MS):
            with self.subTest(delay_ms=delay_ms):
                self.setUp()
                # The latest heartbeat came before the worker was cut off.
                self.advance(_EXPIRY_MS - delay_ms, answers=False)
                del self.registry.entries['w1']
                self.advance(2_000, answers=False)
                self.assertIs(task_state.TaskState.RUNNING, self.task.state)

    def test_a_worker_that_answered_until_its_entry_went_may_run_on(self):
        """Guard against a task that is started again while it runs.

        The worker was cut off from the store and its entry expired; then it
        was cut off from the leader as well. Its lease decides, as after any
        silence (class of review/4).
        """
        self.advance(3_000, answers=True)
        del self.registry.entries['w1']
        self.advance(4_900, answers=False)
        self.assertIs(task_state.TaskState.RUNNING, self.task.state)

    def test_an_entry_that_cannot_be_applied_costs_no_other(self):
        """Guard against workers that no leader learns of (class of review/1).

        Each refresh ended at the entry that could not be applied.
        """
        open_session = self.tracker._open_session

        def fail(worker):
            if worker.worker_id == 'odd':
                raise KeyError('odd')
            return open_session(worker)

        self.tracker._open_session = fail
        stream = io.StringIO()
        events.configure_logging(stream)
        self.addCleanup(loguru.logger.remove)
        self.list('odd', is_ready=True)
        self.list('w2', is_ready=True)
        for _ in range(2):
            self.refresh()
        self.assertIn('w2', self.state.workers)
        self.assertNotIn('odd', self.state.workers)
        [line] = [
            json.loads(line)
            for line in stream.getvalue().splitlines()
            if 'registry_entry_failed' in line
        ]
        self.assertEqual(('odd', 1), (line['key'], line['offset']))

    def test_a_draining_worker_that_answers_keeps_its_tasks(self):
        """Guard against trust in an entry that expired with the store."""
        self.advance(3_000, answers=True)
        del self.registry.entries['w1']
        self.advance(6_000, answers=True)
        self.assertIs(task_state.TaskState.RUNNING, self.task.state)

    def test_a_recovered_worker_that_answered_keeps_its_tasks(self):
        """Guard against a second run while the registry is incomplete.

        The entry expired with the store; the leader knows the worker from
        its predecessor.
        """
        self.tracker._recorder.worker_addresses['w2'] = 'w2:1'
        self.tracker.recover()
        self.report('w2', [(self.task.name, self.task.run + 1)])
        self.now_ms += 700
        self.report('w2')
        worker = self.state.workers['w2']
        worker.add_task(self.task)
        self.advance(3_000, answers=False)
        self.assertIn(self.task.name, worker.tasks)

    def test_a_worker_that_is_awaited_in_vain_is_dropped(self):
        """Guard against each later leader that waits for the same worker.

        The log named a worker that was lost for good as long as it existed.
        """
        recorder = self.tracker._recorder
        recorder.worker_addresses['w2'] = 'w2:1'
        self.tracker.recover()
        self.state.awaited_workers.expect('w2', self.now_ms + 5_000)
        self.advance(4_900, answers=True)
        self.assertIn('w2', self.state.workers)
        self.advance(800, answers=True)
        self.assertNotIn('w2', self.state.workers)
        self.assertNotIn('w2', recorder.worker_addresses)
        self.assertTrue(recorder.worker_addresses_changed)
