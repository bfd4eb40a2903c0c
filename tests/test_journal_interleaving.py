"""Guard that all readers agree after random interleavings."""

import asyncio
import contextlib
import unittest

import hypothesis
from hypothesis import strategies

from basilspindle import errors
from basilspindle import journal
from tests import journal_case
from tests import soak
from tests.standins import log_faults
from tests.standins import log_service
from tests.standins import manual_clock

_WRITERS = 3
# The batch size puts each record of a snapshot into a batch of its own; the
# timeout is shorter than a request, so that many outcomes are unknown.
_TIMING = journal.Timing(
    batch_bytes=200, linger_ms=20, append_timeout_ms=1_500
)
_NO_EFFECT_ERRORS = (errors.LogUnavailable, errors.Deposed, errors.NotOwner)

_FAULTS = (
    'lose_answers',
    'lose_requests',
    'late_effects',
    'hang_requests',
    'hang',
    'down',
)
# An operation is listed as often as it occurs in 24 operations on average.
_OPERATION_NAMES = (
    *['append'] * 9,
    *['claim'] * 2,
    *['snapshot'] * 2,
    *['release', 'sleep', 'wake'],
    *['fault'] * 3,
    *['heal', 'repeat'],
    *['advance'] * 3,
    'trim',
)
_ADVANCES_MS = (5, 60, 700, 4_000)
# The last field tells whether an operation's immediate effects are awaited
# before the next one.
_OPERATIONS = strategies.tuples(
    strategies.sampled_from(_OPERATION_NAMES),
    strategies.integers(0, 11),
    strategies.integers(0, 3).map(bool),
)


class JournalSimulation:
    """Run writers on one stream and record the outcomes of their calls."""

    def __init__(self, stack: contextlib.AsyncExitStack) -> None:
        self.stack = stack
        self.clock = manual_clock.ManualClock()
        self.service = log_service.LogService(clock=self.clock)
        self.history: dict[int, bytes] = {}
        self.append_tasks: dict[str, asyncio.Task] = {}
        self.tasks: list[asyncio.Task] = []
        self.writers: list[journal.PartitionJournal] = []

    async def open(self, name: str) -> journal.PartitionJournal:
        """Open a journal with a client of its own."""
        client = await self.stack.enter_async_context(
            journal.LogClient(
                'http://log',
                transport=self.service.transport(),
                clock=self.clock,
            )
        )
        return await self.stack.enter_async_context(
            journal.PartitionJournal(
                client,
                self.clock,
                0,
                member_id=name,
                writer=f'{name}-1',
                timing=_TIMING,
            )
        )

    async def run(self, operations: list[tuple]) -> None:
        """Start the operations without waiting for their ends."""
        for number in range(_WRITERS):
            self.writers.append(await self.open(f'w{number}'))
        await self.writers[0].claim()
        for name, number, settle in operations:
            await getattr(self, f'do_{name}')(number)
            await (self.clock.settle() if settle else asyncio.sleep(0))
        await self.do_heal(0)
        for _ in range(30):
            await self.clock.advance_ms(1_000)
        self.save_history()

    async def do_append(self, number: int) -> None:
        job_id = f'j{len(self.append_tasks)}'
        record = journal_case.accept(job_id)
        append = self.choose_writer(number).append(record)
        self.append_tasks[job_id] = asyncio.ensure_future(append)

    async def do_claim(self, number: int) -> None:
        self.start_task(self.writers[number % _WRITERS].claim())

    async def do_snapshot(self, number: int) -> None:
        self.start_task(self.choose_writer(number).snapshot())

    async def do_release(self, number: int) -> None:
        self.start_task(self.choose_writer(number).release())

    async def do_sleep(self, number: int) -> None:
        self.choose_writer(number).follow(False)

    async def do_wake(self, number: int) -> None:
        self.choose_writer(number).follow(True)

    def choose_writer(self, number: int) -> journal.PartitionJournal:
        """Return the owner for most numbers, so that appends succeed often."""
        owners = [one for one in self.writers if one.is_owner]
        if owners and number >= _WRITERS:
            return owners[0]
        return self.writers[number % _WRITERS]

    def start_task(self, coroutine) -> None:
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def do_advance(self, number: int) -> None:
        duration_ms = _ADVANCES_MS[number % len(_ADVANCES_MS)]
        await self.clock.advance_ms(duration_ms)

    async def do_fault(self, number: int) -> None:
        setattr(self.service.faults, _FAULTS[number % len(_FAULTS)], 1)

    async def do_heal(self, _: int) -> None:
        self.service.faults = log_faults.LogFaults()

    async def do_repeat(self, back: int) -> None:
        """Append an earlier batch once more, as a delayed duplicate."""
        stream_records = self.service.stream('work-0').records
        if back < len(stream_records):
            self.service._apply_append('work-0', stream_records[-1 - back][2])

    async def do_trim(self, _: int) -> None:
        """Drop everything before the last complete snapshot."""
        self.save_history()
        begin_offset = complete_offset = 1
        state = journal.PartitionState()
        for offset in sorted(self.history):
            batch = journal.decode(self.history[offset])
            previous_count = state.snapshot_count
            is_applied = state.apply(offset, batch)
            if is_applied and isinstance(
                batch.records[0], journal.SnapshotBegin
            ):
                begin_offset = offset
            if state.snapshot_count > previous_count:
                complete_offset = begin_offset
        self.service.trim('work-0', complete_offset)

    def save_history(self) -> None:
        for offset, _, data in self.service.stream('work-0').records:
            self.history[offset] = data

    def replay_history(self) -> journal.PartitionState:
        """Return the state of a reader of the whole history."""
        state = journal.PartitionState()
        for offset in sorted(self.history):
            state.apply(offset, journal.decode(self.history[offset]), True)
        return state


class InterleavingTest(unittest.TestCase):
    """Guard against readers that disagree and outcomes that don't hold."""

    @soak.settings(120)
    @hypothesis.given(strategies.lists(_OPERATIONS, min_size=10, max_size=50))
    def test_all_readers_agree(self, operations):
        """Guard against lost, duplicated and wrongly refused records."""
        asyncio.run(self.check(operations))

    async def check(self, operations: list[tuple]) -> None:
        async with contextlib.AsyncExitStack() as stack:
            simulation = JournalSimulation(stack)
            await simulation.run(operations)
            for number in range(_WRITERS):
                simulation.writers[number].follow(True)
            reader = await simulation.open('reader')
            await simulation.clock.advance_ms(3_000)
            states = [one.state for one in (*simulation.writers, reader)]
            expected = simulation.replay_history()
            for state in states:
                self.assertEqual(expected.dump(), state.dump())
            await self.check_outcomes(simulation, expected)

    async def check_outcomes(self, simulation, expected) -> None:
        owners = [one for one in simulation.writers if one.is_owner]
        self.assertLessEqual(len(owners), 1)
        for job_id, task in simulation.append_tasks.items():
            self.assertTrue(task.done(), job_id)
            error = task.exception()
            if error is None:
                self.assertIn(job_id, expected.jobs)
            elif isinstance(error, _NO_EFFECT_ERRORS):
                self.assertNotIn(job_id, expected.jobs, error)
            else:
                self.assertIsInstance(error, errors.LogOutcomeUnknown)
        for task in simulation.tasks:
            self.assertTrue(task.done())
            error = task.exception()
            if error is not None:
                self.assertIsInstance(error, errors.BasilspindleError)
