"""Open journals on one stand-in log service under a manual clock."""

import asyncio
import collections.abc
import contextlib
import typing
import unittest

from basilspindle import journal
from basilspindle import model
from tests.standins import log_service
from tests.standins import manual_clock


def make_job(job_id: str, tasks: int = 1, input: bytes = b'{}') -> model.Job:
    """Return a durable job that is not idempotent."""
    return model.Job(
        job_id=job_id,
        workspace='workspace-1',
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
        input=input,
        key_id='k1',
        body_hash='h',
        submitted_wall_ms=1,
    )


def accept(job_id: str, **fields: typing.Any) -> journal.JobAccepted:
    """Return the record that accepts a job."""
    return journal.JobAccepted(make_job(job_id, **fields))


def end_task(
    job_id: str,
    index: int = 0,
    state: model.State = model.State.SUCCEEDED,
    result: bytes = b'1',
) -> journal.TaskEnded:
    """Return the record that ends the first attempt of a task."""
    return journal.TaskEnded(job_id, index, 1, state, 'w1', result, '')


class JournalCase(unittest.IsolatedAsyncioTestCase):
    """Open journals by member name; each has a client of its own."""

    timing = journal.Timing()

    async def asyncSetUp(self):
        # Debug mode records a stack per callback, which takes 18 s instead
        # of 2 s.
        asyncio.get_running_loop().set_debug(False)
        self.clock = manual_clock.ManualClock()
        self.service = log_service.LogService(
            clock=self.clock, retention_ms=self.timing.log_retention_ms
        )
        self.stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.open_count = 0

    async def open(
        self, name: str, **options: typing.Any
    ) -> journal.PartitionJournal:
        """Open the journal of partition 3 as a member."""
        self.open_count += 1
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
                3,
                member_id=name,
                writer=f'{name}-{self.open_count}',
                timing=options.pop('timing', self.timing),
                **options,
            )
        )

    async def open_owner(
        self, name: str, **options: typing.Any
    ) -> journal.PartitionJournal:
        """Open a journal that has claimed the partition."""
        owner = await self.open(name, **options)
        await self.run_ms(owner.claim())
        return owner

    async def replay(self) -> journal.PartitionJournal:
        """Open a new reader and return it once it reached the tail."""
        reader = await self.open('reader')
        await self.run_ms(reader.wait_replayed())
        return reader

    async def run_ms(
        self,
        awaitable: collections.abc.Awaitable[typing.Any],
        limit_ms: int = 30_000,
        step_ms: int = 10,
    ) -> typing.Any:
        """Advance time until an awaitable ends; fail at the limit."""
        task = asyncio.ensure_future(awaitable)
        for _ in range(limit_ms // step_ms):
            await self.clock.settle()
            if task.done():
                return task.result()
            await self.clock.advance_ms(step_ms)
        task.cancel()
        self.fail(f'no result within {limit_ms} ms')
