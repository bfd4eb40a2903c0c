"""Test the journal on a store that is slow or loses answers."""

import asyncio
import unittest

import msgspec

from basilspindle.cell import confirmation
from basilspindle.cell import hedged_call
from basilspindle.cell import journal as journal_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import workflow
from tests import cell_case
from tests.standins import manual_clock

# A lost answer must not make a job miss its latency objective; the shortest
# objective on the users' sites is 250 ms.
_SHORTEST_OBJECTIVE_MS = 250
_LONG_READ_MS = confirmation.TIMEOUT_MS + 1_000


class _Store:
    """Store whose answers to successive appends are given by ``plan``.

    A step is a delay in seconds, None for a lost answer, or an exception to
    raise. Once the plan is used up, appends are answered at once.
    """

    def __init__(self, *plan):
        self.clock = clock_module.Clock()
        self.plan = list(plan)
        self.appended = {}
        self.in_flight = self.max_in_flight = 0
        self.values = {}
        self.later_records = []
        self.trimmed = False
        # Replaces the next answer to a read.
        self.odd_chunk = None

    async def append(self, stream, records, epoch, sequence, timeout_ms):
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            step = self.plan.pop(0) if self.plan else 0
            if isinstance(step, Exception):
                raise step
            if sequence not in self.appended:
                self.appended[sequence] = list(records)
            if step is None:
                await self.clock.sleep_ms(timeout_ms)
                raise errors.LogOutcomeUnknown('lost')
            await self.clock.sleep_ms(round(step * 1000))
        finally:
            self.in_flight -= 1

    async def probe_end(self, stream):
        delay_s = self.plan[0] if self.plan else 0
        await self.clock.sleep_ms(round((delay_s or 0) * 1000))
        return 0

    async def fence(self, stream, epoch):
        await asyncio.sleep(0.01)

    async def read_latest(self, stream, on_progress=None):
        return dict(self.values), 10

    async def read(self, stream, start, wait_ms):
        if self.trimmed:
            self.trimmed = False
            self.values.update(self.later_records)
            raise errors.LogTrimmed('gone', first_offset=20)
        if self.odd_chunk is not None:
            chunk, self.odd_chunk = self.odd_chunk, None
            self.values.update(self.later_records)
            return chunk
        records = self.later_records[start - 10 :]
        return _Chunk(records[:1], 10 + len(self.later_records))


class _Chunk:
    def __init__(self, records, end):
        self.records = records
        self.first = 0
        self.end = end


class JournalCase(unittest.IsolatedAsyncioTestCase):
    """Runs a journal on a store with planned delays and failures."""

    def open(self, store):
        self.confirmed = asyncio.Event()
        self.batches = 0

        def confirmed(batch):
            self.batches += 1
            self.confirmed.set()

        return journal_module.Journal(
            store,
            store.clock,
            1,
            confirmation.Confirmation(store.clock),
            journal_module.Batch,
            confirmed,
        )

    async def run_until_confirmed(self, store, limit_ms):
        """Check that an append is confirmed in time.

        Time is simulated, as a pause of the machine would count.
        """
        store.clock = manual_clock.ManualClock()
        journal = self.open(store)
        journal.request_append()
        running = asyncio.ensure_future(journal.run())
        try:
            await store.clock.advance_ms(limit_ms)
            self.assertTrue(self.confirmed.is_set())
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)


class AppendTest(JournalCase):
    """Guard how an unanswered append is sent again."""

    async def test_append_meets_objective_after_a_lost_response(self):
        """Guard against a delay of 400 ms for each lost answer."""
        store = _Store(None)
        await self.run_until_confirmed(store, _SHORTEST_OBJECTIVE_MS)
        self.assertEqual(1, len(store.appended))

    async def test_several_lost_responses_do_not_depose_leader(self):
        """Guard against replacing a leader because of a few lost answers.

        Another daemon takes over once an append is unanswered for 450 ms.
        With at most three attempts in flight and three answers in ten lost,
        that happens every two seconds (berceuse-partage, leave-and-return,
        seed 2).
        """
        store = _Store(None, None, None, None)
        await self.run_until_confirmed(store, 450)
        self.assertEqual(1, len(store.appended))

    async def test_append_succeeds_on_a_slow_store(self):
        """Guard against giving up an attempt before a slow store answers.

        If an attempt ends before the store answers, here after 0.5 s, no job
        is accepted. In one run, that lasted for 20 s.
        """
        store = _Store(*[0.5] * 9)
        await self.run_until_confirmed(store, 600)
        self.assertLessEqual(store.max_in_flight, 3)

    async def test_retry_interval_adapts_to_store_latency(self):
        """Guard against repeated calls that add load to a slow store."""
        store = _Store(*[0.5] * 40)
        journal = self.open(store)
        running = asyncio.ensure_future(journal.run())
        for _ in range(3):
            self.confirmed.clear()
            journal.request_append()
            await self.confirmed.wait()
        calls = len(store.plan)
        self.confirmed.clear()
        journal.request_append()
        await self.confirmed.wait()
        self.assertLessEqual(calls - len(store.plan), 2)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def test_a_refusal_is_repeated(self):
        """Guard against giving up an append that the store refused."""
        busy = errors.LogUnavailable('status 429')
        store = _Store(busy, busy)
        await self.run_until_confirmed(store, 1_000)
        self.assertEqual([1], list(store.appended))

    async def test_journal_stops_when_leader_is_deposed(self):
        """Guard against a leader that does not notice its replacement."""
        journal = self.open(_Store(errors.Deposed('fenced')))
        journal.request_append()
        with self.assertRaises(errors.Deposed):
            async with asyncio.timeout(1):
                await journal.run()


class LoadTest(JournalCase):
    """Guard that a new leader reads every acknowledged record."""

    def setUp(self):
        job = cell_case.make_definition('aa', cell_case.make_step())
        self.record = msgspec.msgpack.encode(job)
        final = journal_module.EndedJobRecord(
            'alpha', 'queue', workflow.JobState.COMPLETED, 0
        )
        self.final = msgspec.msgpack.encode(final)

    async def test_load_reads_records_up_to_the_fence(self):
        """Guard against losing a job accepted between read and fence."""
        store = _Store()
        store.values = {'daa': self.record}
        store.later_records = [
            ('daa', None),
            ('faa', self.final),
            ('dbb', self.record),
        ]
        recovered = await self.open(store).load()
        self.assertEqual(['aa'], list(recovered.ended_jobs))
        self.assertEqual(1, len(recovered.jobs))

    async def test_load_restarts_after_trimmed_records(self):
        """Guard against missing records that were dropped before the read."""
        store = _Store()
        store.values = {'dcc': self.record}
        store.later_records = [('dbb', self.record)]
        store.trimmed = True
        recovered = await self.open(store).load()
        self.assertEqual(2, len(recovered.jobs))

    async def test_load_reads_on_after_an_answer_without_records(self):
        """Guard against a refusal of a job that the log holds.

        An answer that is cut off within its first record has none.
        """
        store = _Store()
        store.later_records = [('dbb', self.record)]
        store.odd_chunk = _Chunk([], 11)
        recovered = await self.open(store).load()
        self.assertEqual(1, len(recovered.jobs))

    async def test_load_restarts_if_the_log_ends_before_what_was_read(self):
        """Guard against the same after an answer with a lower end."""
        store = _Store()
        store.values = {'dcc': self.record}
        store.later_records = [('dbb', self.record)]
        store.odd_chunk = _Chunk([], 9)
        recovered = await self.open(store).load()
        self.assertEqual(2, len(recovered.jobs))


class _AbsentStore(_Store):
    """Store that is down until a time."""

    def __init__(self, clock, until_ms):
        super().__init__()
        self.clock = clock
        self.until_ms = until_ms

    def _check(self):
        if self.clock.now_ms() < self.until_ms:
            raise errors.LogUnavailable('the store is down; retry')

    async def fence(self, stream, epoch):
        self._check()

    async def read_latest(self, stream, on_progress=None):
        self._check()
        return {}, 10


class OutageTest(unittest.IsolatedAsyncioTestCase):
    """Guard a new leader whose store was down when it began."""

    async def test_it_does_not_step_down_once_the_store_is_back(self):
        """Guard against another change of the leader after an outage.

        Its time counted from before the outage.
        """
        clock = manual_clock.ManualClock()
        until_ms = clock.now_ms() + confirmation.TIMEOUT_MS + 5_000
        confirmed = confirmation.Confirmation(clock)
        journal = cell_case.make_journal(
            _AbsentStore(clock, until_ms), clock, confirmed
        )
        loading = asyncio.ensure_future(journal.load())
        await clock.advance_ms(confirmation.TIMEOUT_MS + 7_000)
        self.assertTrue(loading.done())
        self.assertGreaterEqual(confirmed.confirmed_ms, until_ms)
        self.assertFalse(confirmed.has_expired)


class _NarrowStore(_Store):
    """Store whose records take long to read."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock

    async def fence(self, stream, epoch):
        return

    async def read_latest(self, stream, on_progress=None):
        await self.clock.sleep_ms(_LONG_READ_MS)
        return {}, 10


class LongReadTest(unittest.IsolatedAsyncioTestCase):
    """Guard a new leader that has much to read."""

    async def test_it_does_not_step_down_once_it_has_read(self):
        """Guard against leaders that each end when they have recovered."""
        clock = manual_clock.ManualClock()
        confirmed = confirmation.Confirmation(clock)
        journal = cell_case.make_journal(_NarrowStore(clock), clock, confirmed)
        loading = asyncio.ensure_future(journal.load())
        await clock.advance_ms(_LONG_READ_MS + 500)
        self.assertTrue(loading.done())
        self.assertLess(confirmed.age_ms, 1_000)


class ArrivingAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Test attempts beside an answer that is arriving."""

    async def read(self, pause_s, pauses):
        attempts = []

        async def call():
            attempts.append(None)
            for _ in range(pauses):
                await asyncio.sleep(pause_s)
                hedged.note_progress()
            return len(attempts)

        hedged = hedged_call.HedgedCall(
            clock_module.Clock(), call, lambda error: None
        )
        with hedged:
            return await hedged.first_answer(40)

    async def test_no_attempt_starts_while_an_answer_arrives(self):
        """Guard against attempts that share a narrow link with an answer."""
        self.assertEqual(1, await self.read(0.01, 40))

    async def test_an_attempt_starts_beside_a_silent_one(self):
        """Guard against waiting for an answer that was lost."""
        self.assertGreater(await self.read(0.3, 1), 1)
