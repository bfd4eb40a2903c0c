"""Guard the iterator over the records of one stream."""

import asyncio

from basilspindle import journal
from tests import journal_case


class StreamReaderTest(journal_case.JournalCase):
    """Guard against lost records and wrong assurance when the log fails."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        client = await self.stack.enter_async_context(
            journal.LogClient(
                'http://log',
                transport=self.service.transport(),
                clock=self.clock,
            )
        )
        self.reader = await self.stack.enter_async_context(
            journal.StreamReader(client, self.clock, 'control')
        )
        self.stream = self.service.stream('control')
        self.received: list[bytes] = []
        self.task = asyncio.ensure_future(self.collect())
        self.addCleanup(self.task.cancel)

    async def collect(self):
        """Keep the data of all records."""
        async for record in self.reader:
            self.received.append(record.data)

    def append_directly(self, data: bytes):
        """Append a record directly, without a client."""
        self.stream.append(data, self.clock.now_ms())

    def age_ms(self) -> int:
        """Return the age of the assurance."""
        return self.clock.now_ms() - self.reader.assured_at_ms

    async def test_yields_each_record_once_and_at_once(self):
        """Guard against skipped, repeated and delayed records."""
        self.append_directly(b'1')
        await self.run_ms(self.reader.wait_tail())
        await self.clock.advance_ms(100)
        self.append_directly(b'2')
        self.append_directly(b'3')
        await self.clock.settle()
        self.assertEqual([b'1', b'2', b'3'], self.received)
        self.assertEqual(4, self.reader.next_offset)

    async def test_assurance_under_faults(self):
        """Guard against an old assurance while the log answers.

        Keys are refused when the assurance of their stream is too old.
        """
        for fault, value, limit_ms in [
            ('hang_requests', 0, 1_650),
            ('hang_requests', 1, 2_500),
            ('delay_ms', 700, 2_500),
        ]:
            with self.subTest(fault=fault, value=value):
                setattr(self.service.faults, fault, value)
                await self.clock.advance_ms(3_000)
                for _ in range(60):
                    await self.clock.advance_ms(50)
                    self.assertLess(self.age_ms(), limit_ms)
                    delay_ms = self.service.faults.delay_ms
                    self.assertGreaterEqual(self.age_ms(), delay_ms)

    async def test_no_assurance_without_answers(self):
        """Guard against an assurance that is renewed without an answer.

        A daemon would accept keys that may have been revoked.
        """
        await self.clock.advance_ms(1_000)
        self.service.faults.down = True
        before_ms = self.clock.now_ms()
        await self.clock.advance_ms(20_000)
        self.assertLessEqual(self.reader.assured_at_ms, before_ms)
        self.service.faults.down = False
        self.append_directly(b'1')
        await self.clock.advance_ms(2_000)
        self.assertEqual([b'1'], self.received)
        self.assertLess(self.age_ms(), 2_000)

    async def test_continues_after_trimmed_records(self):
        """Guard against a reader that stops when records were trimmed."""
        await self.clock.advance_ms(1_000)
        self.service.faults.down = True
        await self.clock.advance_ms(1_000)
        for number in range(5):
            self.append_directly(b'%d' % number)
        self.stream.trim(4)
        self.service.faults.down = False
        await self.clock.advance_ms(2_000)
        self.assertEqual([b'3', b'4'], self.received)
        self.assertEqual(1, self.reader.gap_count)
