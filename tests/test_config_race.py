"""Guard against daemons that diverge after races and lost answers."""

import asyncio
import json
import random
import unittest

import hypothesis
from hypothesis import strategies

from basilspindle import config
from basilspindle import errors
from tests import soak
from tests.standins import manual_clock
from tests import test_config_store


_MAX_STORES = 4
_MAX_FINAL_ROUNDS = 400
# Outcomes of a call. An append succeeds, is refused, succeeds with its answer
# lost, is lost, or takes effect later. A read that neither succeeds nor is
# refused returns at most one record.
_SUCCESS, _REFUSED, _ANSWER_LOST, _LOST, _LATE = range(5)
_OUTCOMES = (
    *(_SUCCESS,) * 7,
    *(_REFUSED, _REFUSED, _ANSWER_LOST, _ANSWER_LOST, _LOST, _LATE),
)
_ACTIONS = ('answer', 'publish', 'wait', 'offer', 'add', 'refresh')
_WEIGHTS = (30, 3, 6, 3, 1, 1)


def make_base(number):
    """Return a small valid base that is unique to a publish."""
    value = {
        'cell': 'c',
        'regions': ['r'],
        'workspaces': {},
        'kinds': {},
        'workers': {'drained': [f'w{number}']},
        'timing': {'log_retention_ms': 3_000},
    }
    return json.dumps(value).encode()


class ScheduledLog(test_config_store.MemoryLog):
    """Hold each call until the schedule picks it and its outcome."""

    def __init__(self, clock):
        super().__init__(clock)
        self.calls = []

    async def append(self, stream, data):
        return await self._wait_for_answer(data, 0)

    async def read(self, stream, from_offset, limit, wait_ms):
        return await self._wait_for_answer(None, from_offset)

    async def _wait_for_answer(self, data, from_offset):
        answer = asyncio.get_running_loop().create_future()
        self.calls.append((answer, data, from_offset))
        return await answer

    def pick(self, index, outcome):
        """Answer a waiting call, or delay the effect of an append."""
        answer, data, from_offset = self.calls.pop(index % len(self.calls))
        if data is None:
            self._answer_read(answer, from_offset, outcome)
        else:
            self._answer_append(answer, data, outcome)

    def _answer_read(self, answer, from_offset, outcome):
        if answer.done():
            return
        if outcome == _REFUSED:
            answer.set_exception(errors.LogUnavailable('down'))
        else:
            limit = 16 if outcome == _SUCCESS else 1
            answer.set_result(self.chunk(from_offset, limit))

    def _answer_append(self, answer, data, outcome):
        appended = outcome in (_SUCCESS, _ANSWER_LOST)
        offset = self.put(data) if appended else 0
        if outcome == _LATE:
            late = asyncio.get_running_loop().create_future()
            late.cancel()
            self.calls.append((late, data, 0))
        if answer.done():
            return
        if outcome == _SUCCESS:
            answer.set_result(offset)
        elif outcome == _REFUSED:
            answer.set_exception(errors.LogUnavailable('down'))
        else:
            answer.set_exception(errors.LogOutcomeUnknown('lost'))


class Scenario:
    """Run several stores through random steps."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.clock = manual_clock.ManualClock()
        self.log = ScheduledLog(self.clock)
        self.stores = []
        self.highest_versions = []
        self.publishes = []
        self.offers = []

    async def run(self, steps):
        """Take random steps, let all calls end and check the result."""
        try:
            await self._add()
            await self._add()
            for _ in range(steps):
                await self._step()
                await self.clock.settle()
                self._check_versions()
            await self._end()
            self._check()
        finally:
            for store in self.stores:
                await store.__aexit__()

    async def _step(self):
        action = self.random.choices(_ACTIONS, _WEIGHTS)[0]
        store = self.random.choice(self.stores)
        if action == 'answer' and self.log.calls:
            index = self.random.randrange(len(self.log.calls))
            self.log.pick(index, self.random.choice(_OUTCOMES))
        elif action == 'publish':
            self._publish(store)
        elif action == 'wait':
            await self.clock.advance_ms(self.random.randrange(700))
        elif action == 'offer':
            self._offer(store)
        elif action == 'add' and len(self.stores) < _MAX_STORES:
            await self._add()
        elif action == 'refresh':
            task = asyncio.ensure_future(store.refresh_if_due(True))
            self.publishes.append((b'', task))

    def _offer(self, store):
        # A record may also be an old one that was delayed.
        peer = self.random.choice(self.stores)
        self.offers.append(peer.record_if_newer(0))
        store.adopt_if_newer(self.random.choice(self.offers))

    async def _add(self):
        store = config.ConfigStore(
            self.clock,
            self.log,
            member_id=f'entry-{len(self.stores)}',
            peers=test_config_store.StubPeers(),
        )
        self.stores.append(await store.__aenter__())
        self.highest_versions.append(0)

    def _publish(self, store):
        base = make_base(len(self.publishes))
        call = store.publish(base, b'{}', store.version, 'ops')
        self.publishes.append((base, asyncio.ensure_future(call)))

    async def _end(self):
        for _ in range(_MAX_FINAL_ROUNDS):
            await self._answer_all()
            if all(task.done() for _, task in self.publishes):
                break
        else:
            raise AssertionError('a publish does not end')
        # One round per record, and some more for reads to be retried.
        for _ in range(len(self.log.records) + 8):
            await self._answer_all()

    async def _answer_all(self):
        for _ in range(len(self.log.calls)):
            self.log.pick(0, _SUCCESS)
            await self.clock.settle()
        self._check_versions()
        await self.clock.advance_ms(100)

    def _check_versions(self):
        for index, store in enumerate(self.stores):
            assert store.version >= self.highest_versions[index], (
                'version decreased'
            )
            self.highest_versions[index] = store.version

    def _check(self):
        accepted = self._expected_history()
        for store in self.stores:
            assert store.version == len(accepted), 'a store is behind'
            if accepted:
                assert store.current.publication.base == accepted[-1]
        for base, task in self.publishes:
            self._check_publish(base, task, accepted)

    def _check_publish(self, base, task, accepted):
        error = task.exception()
        if not base:
            assert error is None, error
        elif error is None:
            assert accepted.count(base) == 1, 'not accepted exactly once'
            assert accepted[task.result() - 1] == base, 'wrong version'
        elif error.ran is errors.Ran.NO:
            assert base not in accepted, f'{error.kind}, but accepted'
        else:
            assert isinstance(error, errors.OutcomeUnknown), repr(error)

    def _expected_history(self):
        # The rule of the design, implemented independently of the code under
        # test: a publish is accepted if its from_version is the number of
        # publishes accepted before.
        accepted = []
        for data, _ in self.log.records:
            publication = config.decode(data)
            if publication.refresh:
                continue
            if publication.from_version == len(accepted):
                accepted.append(publication.base)
        return accepted


class RaceTest(unittest.TestCase):
    """Guard against failures under random schedules."""

    @soak.settings(100)
    @hypothesis.given(
        strategies.integers(0, 1_000_000), strategies.integers(50, 400)
    )
    def test_random_schedules(self, seed, steps):
        """Guard against lost, doubled, diverged or misreported publishes."""
        asyncio.run(Scenario(seed).run(steps))
