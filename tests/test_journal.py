"""Guard the journal of a partition against the faults of the log."""

import contextlib
import unittest

from basilspindle import errors
from basilspindle import journal
from basilspindle import model
from tests.standins import log_service
from tests.standins import manual_clock


def make_job(job_id: str, tasks: int = 1) -> model.Job:
    """Return a small durable job."""
    return model.Job(
        job_id=job_id,
        team='team-1',
        queue='queue-1',
        kind='kind-1',
        priority=model.Priority.BATCH,
        tasks=tasks,
        resources=model.Resources(1000, 100, 0, 1),
        run_time_ms=1000,
        deadline_ms=0,
        gang=False,
        service=False,
        idempotent=False,
        durable=True,
        max_attempts=1,
        input=b'{}',
        key_id='k1',
        body_hash='h',
        submitted_wall_ms=1,
    )


class JournalCase(unittest.IsolatedAsyncioTestCase):
    """Open journals on one stand-in under a manual clock."""

    timing = journal.Timing()

    async def asyncSetUp(self):
        self.clock = manual_clock.ManualClock()
        self.service = log_service.LogService(clock=self.clock)
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)

    async def open(self, name: str, **options) -> journal.PartitionJournal:
        client = await self.stack.enter_async_context(
            journal.LogClient(
                'http://log',
                transport=self.service.transport(),
                clock=self.clock,
            )
        )
        opened = await self.stack.enter_async_context(
            journal.PartitionJournal(
                client,
                self.clock,
                3,
                member_id=name,
                writer=f'{name}-1',
                timing=self.timing,
                **options,
            )
        )
        opened.client = client
        return opened

    async def run_ms(self, awaitable, limit_ms: int = 30_000, step_ms=10):
        """Advance time until a result is there."""
        import asyncio

        task = asyncio.ensure_future(awaitable)
        for _ in range(limit_ms // step_ms):
            await self.clock.settle()
            if task.done():
                break
            await self.clock.advance_ms(step_ms)
        self.assertTrue(task.done(), f'no result within {limit_ms} ms')
        return task.result()


class AppendTest(JournalCase):
    """Guard against a record that is lost, doubled or wrongly refused."""

    async def test_append_is_in_state_of_writer_and_reader(self):
        """Guard against a reader that derives another state."""
        owner = await self.open('a')
        reader = await self.open('b')
        await self.run_ms(owner.claim())
        await self.run_ms(owner.append(journal.JobAccepted(make_job('j1'))))
        self.assertIn('j1', owner.state.jobs)
        await self.clock.advance_ms(2000)
        self.assertEqual(owner.state.dump(), reader.state.dump())

    async def test_refused_without_claim(self):
        """Guard against a write by a member that owns nothing."""
        other = await self.open('a')
        with self.assertRaises(errors.NotOwner):
            await other.append(journal.JobCancelled('j1'))
