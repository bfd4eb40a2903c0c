"""Test refusals while leaders change and copies of submissions come late."""

import asyncio
import random
import unittest
from unittest import mock

from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import claim as claim_module
from basilspindle.cell import configuration_index
from basilspindle.cell import copies as copies_module
from basilspindle.cell import identity as identity_module
from basilspindle.cell import intake as intake_module
from basilspindle.cell import leader as leader_module
from basilspindle.cell import messages
from basilspindle.cell import node as node_module
from basilspindle.cell import ports
from basilspindle import errors
from tests import cell_case
from tests.standins import manual_clock

_PLAYS = 120
_RECONNECT_MS = 300
_STEPS = 80
_PROCESSES = 3
_TIMEOUTS_MS = (400, 1_200, 3_000)
_ACCEPT_MARGIN_MS = 200
# Longer than any request, append or held copy of a play.
_END_MS = 20_000


class _Log:
    """Log of the cell that may answer late, lose answers and act late."""

    def __init__(self, play):
        self.records = []
        self._play = play
        self._epoch = 0
        self._sequence = 0

    async def fence(self, stream, epoch):
        await self._play.pause()
        if epoch < self._epoch:
            raise errors.Deposed('fenced; another daemon leads')
        if epoch > self._epoch:
            self._epoch, self._sequence = epoch, 0

    async def append(self, stream, records, epoch, sequence, timeout_ms):
        fate = self._play.draw('prompt', 'prompt', 'slow', 'lost', 'late')
        if fate == 'late':
            self._play.later(lambda: self._apply(records, epoch, sequence))
            await self._play.clock.sleep_ms(timeout_ms)
            raise errors.LogOutcomeUnknown('lost; repeat it')
        if fate == 'slow':
            await self._play.pause()
        self._apply(records, epoch, sequence)
        if fate == 'lost':
            await self._play.clock.sleep_ms(timeout_ms)
            raise errors.LogOutcomeUnknown('lost; repeat it')

    def _apply(self, records, epoch, sequence):
        if epoch != self._epoch or sequence > self._sequence + 1:
            raise errors.Deposed('fenced; another daemon leads')
        if sequence == self._sequence + 1:
            self._sequence = sequence
            self.records += records

    async def read_latest(self, stream, on_progress=None):
        values = {}
        for key, value in self.records:
            values[key] = value
        end = len(self.records)
        await self._play.pause()
        return {key: raw for key, raw in values.items() if raw}, end

    async def read(self, stream, start, wait_ms):
        return ports.StoreChunk(self.records[start:], 0, len(self.records), 0)

    async def probe_end(self, stream):
        return len(self.records)


class _Process:
    """Daemon other than the one that is asked."""

    def __init__(self):
        self.leader = None
        self.newest_number = 0
        self.handlers = {}

    async def handle(self, request):
        if self.leader is None:
            return messages.NotLeading()
        return await self.leader.handle(request)

    def open_link(self, number):
        """Close the links before, as the first ping of this one does."""
        self.newest_number = number
        for task, other in list(self.handlers.items()):
            if other < number:
                task.cancel()


class _Link:
    """Connection that may hold copies back, lose them or their replies."""

    def __init__(self, play, process, number):
        self.node = 'leader'
        self.epoch = process.leader.claim.epoch
        self._play = play
        self._process = process
        self._number = number
        self._is_closed = False
        process.open_link(number)

    async def call(self, request, timeout_ms):
        fate = self._play.draw('prompt', 'prompt', 'late', 'no reply')
        if self._is_closed:
            raise errors.PeerUnavailable('closed; connect again')
        if fate == 'late':
            self._play.later(lambda: self._deliver(request))
        else:
            task = self._deliver(request)
            if fate == 'prompt' and task is not None:
                waiting = asyncio.wait({task})
                try:
                    await self._play.clock.wait_for(waiting, timeout_ms)
                except errors.DeadlineExceeded:
                    raise errors.PeerOutcomeUnknown('none; ask') from None
                if not task.cancelled():
                    return task.result()
        # A connection keeps its order, so what follows takes another one.
        self._is_closed = True
        self._play.replace(self)
        await self._play.clock.sleep_ms(
            min(timeout_ms, self._play.random.randrange(300))
        )
        raise errors.PeerOutcomeUnknown('no reply; ask again')

    def _deliver(self, request):
        process = self._process
        if process.newest_number != self._number:
            return None
        task = asyncio.ensure_future(process.handle(request))
        process.handlers[task] = self._number
        task.add_done_callback(process.handlers.pop)
        return task


class _Play:
    """Submissions to one daemon, and all else in an order drawn by a seed."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.clock = manual_clock.ManualClock()
        self.log = _Log(self)
        self.node = node_module.Node(
            identity_module.Identity('n', 'n:1', 'a'),
            node_module.Platform(*[mock.Mock()] * 5),
            bounds_module.Bounds(),
            self.clock,
        )
        self.processes = [_Process() for _ in range(_PROCESSES)]
        self.is_calm = False
        self.answers = {}
        self._epoch = 0
        self._link_number = 0
        # Each leader with the daemon that runs it, and its tasks.
        self._leading = []
        self._requests = []
        self._held = set()

    def draw(self, *fates):
        """Return one of some fates, the first once all is calm."""
        return fates[0] if self.is_calm else self.random.choice(fates)

    async def pause(self):
        """Let some time pass."""
        if not self.is_calm:
            await self.clock.sleep_ms(self.random.randrange(1_500))

    def later(self, act, longest_ms=4_000):
        """Do something after a while; errors then reach nobody."""

        async def wait():
            await self.clock.sleep_ms(self.random.randrange(longest_ms))
            try:
                act()
            except errors.Deposed:
                return

        task = asyncio.ensure_future(wait())
        self._held.add(task)
        task.add_done_callback(self._held.discard)

    def check_backlog(self, intake, definition, is_beyond_share, now_ms):
        """Refuse some new jobs."""
        if not self.is_calm and self.random.random() < 0.5:
            raise errors.Overloaded('full', retry_after_ms=1)

    async def run(self):
        """Play, then calm down and let all that is on its way arrive."""
        await self.claim()
        self.connect()
        steps = [self.submit] * 3 + [self.wait] * 2 + [self.connect]
        # Many copies are for one leader, or leaders change all the time.
        steps = steps * self.random.choice((1, 10))
        steps += [self.claim] * 2 + [self.step_down]
        for _ in range(_STEPS):
            done = self.random.choice(steps)()
            if done is not None:
                await done
            await self.clock.advance_ms(self.random.randrange(60))
        self.is_calm = True
        await self.clock.advance_ms(_END_MS)
        await self.claim()
        await self.clock.advance_ms(_END_MS)
        last = self._leading[-1][0]
        while self._leading:
            await self._end(self._leading[0])
        return last

    async def claim(self):
        """Have a daemon lead; the leaders before do not know of it."""
        daemon = self.random.choice([self.node, *self.processes])
        for row in list(self._leading):
            if row[1] is daemon:
                await self._end(row)
        self._epoch += 1
        leader = leader_module.Leader(
            claim_module.Claim('n', 'n:1', 'i', 0, epoch=self._epoch),
            self.log,
            None,
            None,
            None,
            self.clock,
            bounds_module.Bounds(),
            configuration_index.ConfigurationIndex(
                cell_case.make_configuration()
            ),
            None,
        )
        loading = asyncio.ensure_future(leader._journal.load())
        while not loading.done():
            await self.clock.advance_ms(50)
        leader._recorder.recover(loading.result())
        leader.ready = True
        daemon.leader = leader
        tasks = [
            asyncio.ensure_future(leader._run_guarded(work))
            for work in (leader._journal.run, lambda: self._tick(leader))
        ]
        self._leading.append((leader, daemon, tasks))

    async def _tick(self, leader):
        while True:
            await self.clock.sleep_ms(100)
            if leader.store_age_ms > leader_module._STORE_UNRESPONSIVE_MS:
                leader._recorder.withdraw_unsent()

    async def _end(self, row):
        # In the order of Leader.__aexit__.
        leader, daemon, tasks = row
        self._leading.remove(row)
        leader.lost.set()
        leader.ready = False
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        leader._recorder.close()
        daemon.leader = None
        await self.clock.settle()

    async def step_down(self):
        """End a leader, if there is one."""
        if self._leading:
            await self._end(self.random.choice(self._leading))

    def connect(self):
        """Follow a daemon that takes itself for the leader."""
        leading = [each for each in self.processes if each.leader is not None]
        if leading:
            self._link_number += 1
            process = self.random.choice(leading)
            self.node._election._set_link(
                _Link(self, process, self._link_number)
            )

    def replace(self, link):
        """Follow nobody any more, and soon a leader again."""
        if self.node._election.link is link:
            self.node._election._set_link(None)
            self.later(self.connect, _RECONNECT_MS)

    def submit(self):
        """Submit another job."""
        job_id = f'{len(self._requests):016x}'
        self._requests.append(asyncio.ensure_future(self._submit(job_id)))

    async def _submit(self, job_id):
        timeout_ms = self.random.choice(_TIMEOUTS_MS)
        request = messages.Submit(
            cell_case.make_definition(job_id, cell_case.make_step()),
            timeout_ms - _ACCEPT_MARGIN_MS,
        )
        copies = copies_module.Copies(self.clock)
        try:
            reply = await self.node.request(request, timeout_ms, copies)
        except errors.BasilspindleError as error:
            reply = error
        self.answers[job_id] = (reply, copies.describe())

    async def wait(self):
        """Let some time pass."""
        await self.clock.advance_ms(self.random.randrange(700))


class RefusalPlayTest(unittest.IsolatedAsyncioTestCase):
    """Guard refusals against all copies, leaders and appends on the way."""

    async def test_refused_jobs_are_never_recorded(self):
        """Guard against a refused job that runs (issue 38, REFUSED)."""
        # The debug mode of the event loop takes most of the time.
        asyncio.get_running_loop().set_debug(False)
        for seed in range(_PLAYS):
            play = _Play(seed)
            with mock.patch.object(
                intake_module.Intake,
                '_check_backlog',
                lambda *args, play=play: play.check_backlog(*args),
            ):
                last = await play.run()
            self.assertEqual(len(play._requests), len(play.answers))
            recorded = {key for key, _ in play.log.records}
            for job_id, (reply, copies) in play.answers.items():
                what = f'seed {seed}, {reply}, {copies}'
                if isinstance(reply, messages.Refused | errors.NotReady):
                    self.assertNotIn(f'd{job_id}', recorded, what)
                elif isinstance(reply, messages.Accepted):
                    self.assertTrue(last.state.table.knows(job_id), what)
                else:
                    self.assertIsInstance(reply, errors.OutcomeUnknown)
