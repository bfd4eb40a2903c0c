"""Play a leader and workers that start again, on virtual time."""

import asyncio
import unittest
from unittest import mock

from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import claim as claim_module
from basilspindle.cell import configuration_index
from basilspindle.cell import journal as journal_module
from basilspindle.cell import leader as leader_module
from basilspindle.cell import ports
from basilspindle import workflow
from tests import cell_case
from tests.standins import manual_clock
from tests.standins import worker_lives

_APPEND_MS = 20
_HOUSEKEEPING_MS = 100
# From the start of a worker until the leader has read its entry, at most.
_ENTRY_MS = 1_500
FIRST_CLOCK_MS = 5_000_000


class _Play:
    """A leader whose appends are all confirmed, and its workers."""

    def __init__(
        self,
        case: 'LivesCase',
        epoch: int = 1,
        predecessor: '_Play | None' = None,
    ) -> None:
        self._case = case
        self._predecessor = predecessor
        claim = claim_module.Claim('n', 'n:1', 'i', epoch - 1, epoch=epoch)
        self.leader = leader_module.Leader(
            claim,
            None,
            None,
            worker_lives.LivingWorkers(*case.workers),
            None,
            case.clock,
            bounds_module.Bounds(max_lease_ms=case.max_lease_ms),
            configuration_index.ConfigurationIndex(
                cell_case.make_configuration()
            ),
            None,
        )
        self.leader.ready = True
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> '_Play':
        leader, clock = self.leader, self._case.clock

        async def confirm(at_ms, timeout_ms):
            return True

        async def wait_for_ends(worker, timeout_ms):
            await clock.sleep_ms(_APPEND_MS)

        self._patches = [
            mock.patch.object(leader, '_schedule_plan'),
            mock.patch.object(leader, 'wait_confirmed', confirm),
            mock.patch.object(leader, 'wait_for_ends', wait_for_ends),
        ]
        for patch in self._patches:
            patch.start()
        leader._confirmation.extend(1 << 60)
        if self._predecessor is not None:
            self._recover(self._predecessor.leader._recorder)
        for worker in self._case.workers:
            leader._worker_tracker._apply(self._case.entry(worker))
        self._tasks.append(asyncio.ensure_future(self._append()))
        if self._case.entries_tell_lives:
            self._tasks.append(asyncio.ensure_future(self._follow_entries()))
        return self

    async def __aexit__(self, *_: object) -> None:
        self.leader.lost.set()
        self.leader._worker_tracker.close()
        for task in self._tasks:
            task.cancel()
        for patch in self._patches:
            patch.stop()

    def _recover(self, recorder) -> None:
        recovered = journal_module.RecoveredState()
        recovered.worker_addresses = dict(recorder._confirmed_addresses)
        recovered.settled_lives = dict(recorder.settled_lives)
        self.leader._recorder.recover(recovered)
        self.leader._worker_tracker.recover()

    def end(self) -> None:
        """Kill the daemon: it sends nothing any more."""
        self.leader.lost.set()
        self.leader._worker_tracker.close()

    async def _append(self) -> None:
        housekeeping_ms = 0
        while not self.leader.lost.is_set():
            await self._case.clock.sleep_ms(_APPEND_MS)
            recorder = self.leader._recorder
            recorder.apply(recorder.collect())
            now_ms = self._case.clock.now_ms()
            if now_ms - housekeeping_ms >= _HOUSEKEEPING_MS:
                housekeeping_ms = now_ms
                self.leader._run_housekeeping(now_ms)
            self.leader._plan()

    async def _follow_entries(self) -> None:
        while not self.leader.lost.is_set():
            await self._case.clock.sleep_ms(_ENTRY_MS)
            for worker in self._case.workers:
                if worker.life is not None:
                    entry = self._case.entry(worker)
                    self.leader._worker_tracker._apply(entry)

    def submit(self, job_id: str, count: int = 1, **changes: object) -> None:
        """Hand in a job of one step."""
        step = cell_case.make_step(count, **changes)
        self.leader._intake.submit(
            cell_case.make_definition(job_id, step),
            self._case.clock.now_ms(),
        )

    def task(self, job_id: str, index: int = 0):
        """Return a task of a job."""
        return self.leader.state.table.tasks[f'{job_id}.0.0.{index}']


class LivesCase(unittest.TestCase):
    """Workers whose lives have clocks that begin anywhere."""

    max_lease_ms = 10_000
    run_ms = 12_000
    # Whether registry entries name the start time of their worker.
    entries_tell_lives = False

    def setUp(self) -> None:
        self.clock = manual_clock.ManualClock()
        self.workers = [self.add_worker('w1')]

    def add_worker(self, worker_id: str) -> worker_lives.LivingWorker:
        """Return a worker that is up."""
        worker = worker_lives.LivingWorker(
            worker_id, self.clock, self.max_lease_ms, lambda name: self.run_ms
        )
        worker.begin_life(FIRST_CLOCK_MS)
        return worker

    def entry(
        self, worker: worker_lives.LivingWorker
    ) -> ports.RegisteredWorker:
        """Return the registry entry of a worker."""
        life = worker.life
        return ports.RegisteredWorker(
            worker.worker_id,
            worker.address,
            cell_case.POOL,
            'a',
            'r1',
            ('k', 'r1'),
            workflow.Need(8_000, 100_000),
            True,
            0,
            life.born_wall_ms if life and self.entries_tell_lives else 0,
            0,
        )

    def play(self, steps) -> None:
        """Run a coroutine function with a leader and all workers."""

        async def run():
            tasks = [
                asyncio.ensure_future(worker.run()) for worker in self.workers
            ]
            try:
                async with _Play(self) as play:
                    await self.clock.advance_ms(500)
                    await steps(play)
            finally:
                for task in tasks:
                    task.cancel()

        asyncio.run(run())

    def successor(self, predecessor: _Play) -> _Play:
        """Return a leader that has read the log of its predecessor."""
        return _Play(self, predecessor.leader.claim.epoch + 1, predecessor)

    def add_spare(self, play: _Play) -> None:
        """Add a second worker, for tasks that are started again."""
        spare = self.add_worker(f'w{len(self.workers) + 1}')
        self.workers.append(spare)
        orders = play.leader._worker_orders
        orders._workers[spare.address] = spare
        self.spare_loop = asyncio.ensure_future(spare.run())
        play.leader._worker_tracker._apply(self.entry(spare))

    def check_runs(self) -> None:
        """Check that no task ran twice."""
        self.assertEqual([], worker_lives.runs_twice(self.workers))
