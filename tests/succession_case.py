"""Play leaders that follow each other, with one log, on virtual time."""

import asyncio
from unittest import mock

from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import claim as claim_module
from basilspindle.cell import configuration_index
from basilspindle.cell import journal as journal_module
from basilspindle.cell import leader as leader_module
from basilspindle.cell import messages
from basilspindle.cell import start_copies
from basilspindle import errors
from tests import cell_case
from tests import lives_case
from tests.standins import worker_lives

_APPEND_MS = 20
_HOUSEKEEPING_MS = 100
# As long as a session waits for a confirmation.
_POLL_MS = 20


class Daemon:
    """A daemon that may lead, and keeps starts while it follows."""

    def __init__(self, number: int) -> None:
        self.incarnation = f'i{number}'
        self.copies = start_copies.StartCopies()
        # Other daemons do not reach it, nor it them.
        self.is_cut = False


class _Link:
    """The connection of a follower to the leader."""

    number = 1
    keeps_starts = True

    def __init__(self, leader: Daemon, follower: Daemon) -> None:
        self._leader = leader
        self._follower = follower
        self.incarnation = follower.incarnation

    async def call(
        self, request: messages.KeepStarts, timeout_ms: int
    ) -> messages.Reply:
        if self._leader.is_cut or self._follower.is_cut:
            raise errors.PeerOutcomeUnknown('no reply; ask again')
        starts = [start_copies.Start(*start) for start in request.starts]
        if self._follower.copies.keep(request.epoch, request.number, starts):
            return messages.Accepted()
        return messages.NotLeading()


class Log:
    """What the leaders have recorded, and who may append."""

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.epoch = 0
        self.claim: claim_module.Claim | None = None
        # No daemon reaches the store.
        self.is_away = False

    def append(self, batch: journal_module.Batch) -> None:
        """Apply the records of an append."""
        for key, value in batch.records:
            if value is None:
                self.values.pop(key, None)
            else:
                self.values[key] = value


class _ReachedWorkers(worker_lives.LivingWorkers):
    """The workers as one leader reaches them."""

    def __init__(self, *workers: worker_lives.LivingWorker) -> None:
        super().__init__(*workers)
        self.unreached: set[str] = set()

    async def renew(self, address, worker_id, token, *values):
        """Renew a lease."""
        await self._check(worker_id, values[-1])
        return await super().renew(address, worker_id, token, *values)

    async def start(self, address, worker_id, token, *values):
        """Start a run."""
        await self._check(worker_id, values[-1])
        return await super().start(address, worker_id, token, *values)

    async def stop(self, address, worker_id, token, *values):
        """Stop a run."""
        await self._check(worker_id, values[-1])
        await super().stop(address, worker_id, token, *values)

    async def _check(self, worker_id: str, timeout_ms: int) -> None:
        if worker_id in self.unreached:
            [worker] = [
                worker
                for worker in self._workers.values()
                if worker.worker_id == worker_id
            ]
            await worker._clock.sleep_ms(timeout_ms)
            raise errors.WorkerOutcomeUnknown('no answer; ask again')


class Leadership:
    """One daemon that leads until it is ended, or has to step down."""

    def __init__(self, case: 'SuccessionCase', daemon: Daemon) -> None:
        self._case = case
        self._log = case.log
        self.daemon = daemon
        previous, self._log.epoch = self._log.claim, self._log.epoch + 1
        term = self._log.epoch - 1
        self.claim = self._log.claim = claim_module.Claim(
            daemon.incarnation,
            f'{daemon.incarnation}:1',
            daemon.incarnation,
            term,
            epoch=self._log.epoch,
            first_recording_term=claim_module.first_recording_term(
                previous, term
            ),
        )
        self.orders = _ReachedWorkers(*case.workers)
        self.leader = leader_module.Leader(
            self.claim,
            None,
            None,
            self.orders,
            None,
            case.clock,
            bounds_module.Bounds(max_lease_ms=case.max_lease_ms),
            configuration_index.ConfigurationIndex(
                cell_case.make_configuration()
            ),
            previous,
            copies=daemon.copies,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def begin(self) -> None:
        """Read the log and lead."""
        leader, clock = self.leader, self._case.clock

        async def wait_confirmed(at_ms, timeout_ms):
            until_ms = clock.now_ms() + timeout_ms
            while not leader._confirmation.covers(at_ms):
                if clock.now_ms() >= until_ms:
                    return False
                await clock.sleep_ms(_POLL_MS)
            return True

        async def wait_for_ends(worker, timeout_ms):
            await clock.sleep_ms(_APPEND_MS)

        for name, replacement in (
            ('_schedule_plan', lambda: None),
            ('wait_confirmed', wait_confirmed),
            ('wait_for_ends', wait_for_ends),
        ):
            patch = mock.patch.object(leader, name, replacement)
            patch.start()
            self._case.addCleanup(patch.stop)
        leader._confirmation.extend(clock.now_ms())
        leader.state.awaited_workers.confirmed_ms = clock.now_ms()
        recovered = journal_module._decode(dict(self._log.values))
        leader._recorder.recover(
            recovered, leader._previous, leader._take_copies(recovered)
        )
        leader._await_workers()
        leader._worker_tracker.recover()
        leader.ready = True
        for other in self._case.daemons:
            if other is not self.daemon:
                leader._copy_keepers.add_link(_Link(self.daemon, other))
        for worker in self._case.workers:
            if worker.life is not None:
                leader._worker_tracker._apply(self._case.entry(worker))
        self._tasks = [asyncio.ensure_future(self._run())]

    def end(self) -> None:
        """Remove the machine: it sends nothing any more."""
        self.leader.lost.set()
        self.leader._worker_tracker.close()
        for task in self._tasks:
            task.cancel()
        if self.leader._copying is not None:
            self.leader._copying.cancel()

    async def _run(self) -> None:
        leader, clock = self.leader, self._case.clock
        journal = leader._journal
        housekeeping_ms = 0
        while not leader.lost.is_set():
            now_ms = clock.now_ms()
            if self._log.is_away or self.daemon.is_cut:
                if journal.pending_since_ms is None:
                    journal.pending_since_ms = now_ms
                if leader.end_if_expired():
                    break
                leader._plan()
            elif self._log.epoch != self.claim.epoch:
                leader.lose_leadership('fenced')
                break
            else:
                journal.pending_since_ms = None
                leader._plan()
                batch = leader._recorder.collect()
                self._log.append(batch)
                leader._confirmation.extend(now_ms)
                leader._apply_append(batch)
            if now_ms - housekeeping_ms >= _HOUSEKEEPING_MS:
                housekeeping_ms = now_ms
                leader._run_housekeeping(now_ms)
            await clock.sleep_ms(self._case.append_ms)
        leader._worker_tracker.close()


class SuccessionCase(lives_case.LivesCase):
    """Workers, and daemons that lead one after the other."""

    daemon_count = 3
    append_ms = _APPEND_MS

    def setUp(self) -> None:
        super().setUp()
        self.log = Log()
        self.daemons = [Daemon(number) for number in range(self.daemon_count)]
        self.leaderships: list[Leadership] = []

    def lead(self, number: int) -> Leadership:
        """Let a daemon lead."""
        leadership = Leadership(self, self.daemons[number])
        self.leaderships.append(leadership)
        leadership.begin()
        return leadership

    def submit(
        self, leadership: Leadership, job_id: str, count: int, **changes
    ) -> None:
        """Hand in a job of one step."""
        step = cell_case.make_step(count, **changes)
        leadership.leader._intake.submit(
            cell_case.make_definition(job_id, step), self.clock.now_ms()
        )

    def play_steps(self, steps) -> None:
        """Run a coroutine function beside all workers."""

        async def run():
            tasks = [
                asyncio.ensure_future(worker.run()) for worker in self.workers
            ]
            try:
                await steps()
            finally:
                for leadership in self.leaderships:
                    leadership.end()
                for task in tasks:
                    task.cancel()

        asyncio.run(run())

    def starts(self, since_ms: int = 0) -> set[str]:
        """Return the names of the tasks that have started since a time."""
        return {
            name
            for worker in self.workers
            for at_ms, what, name, _, _ in worker.history
            if what == 'start' and at_ms >= since_ms
        }
