"""Iterate over the records of a stream as they are appended."""

import asyncio
import types
import typing

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.journal import chunk as chunk_module
from basilspindle.journal import events as journal_events
from basilspindle.journal import log_client
from basilspindle.journal import log_record

_NEVER_MS = -(1 << 62)
# A read is overdue this long after its wait; another one is then started.
_OVERDUE_MS = 500
_MAX_CONCURRENT_READS = 4
_READ_LIMIT_RECORDS = 500
_MIN_BACKOFF_MS = 50
_MAX_BACKOFF_MS = 1_000


class StreamReader:
    """Iterate over the records of a stream in order, without end.

    ``assured_at_ms`` is the monotonic send time of the last read that was
    answered without a record: all records appended before then have been
    yielded. ``gap_count`` counts how often records were trimmed before
    they were read; reading continues at the first record kept.
    """

    __slots__ = (
        'stream',
        'assured_at_ms',
        'gap_count',
        '_client',
        '_clock',
        '_wait_ms',
        '_next_offset',
        '_buffered',
        '_sent_ms_by_read',
        '_at_tail',
        '_backoff_ms',
        '_tail_reached',
    )

    def __init__(
        self,
        client: log_client.LogClient,
        clock: clock_module.Clock,
        stream: str,
        *,
        from_offset: int = 1,
        wait_ms: int = 800,
    ) -> None:
        self.stream = stream
        self.assured_at_ms = _NEVER_MS
        self.gap_count = 0
        self._client = client
        self._clock = clock
        self._wait_ms = wait_ms
        self._next_offset = from_offset
        self._buffered: list[log_record.LogRecord] = []
        self._sent_ms_by_read: dict[asyncio.Task[chunk_module.Chunk], int] = {}
        self._at_tail = False
        self._backoff_ms = _MIN_BACKOFF_MS
        self._tail_reached = asyncio.Event()

    async def __aenter__(self) -> typing.Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        reads = list(self._sent_ms_by_read)
        for read in reads:
            read.cancel()
        await asyncio.gather(*reads, return_exceptions=True)
        self._sent_ms_by_read.clear()

    @property
    def next_offset(self) -> int:
        """Return the offset after the last record yielded."""
        return (
            self._buffered[0].offset if self._buffered else self._next_offset
        )

    async def wait_tail(self) -> None:
        """Wait until another task has iterated to the tail once."""
        await self._tail_reached.wait()

    def __aiter__(self) -> typing.Self:
        return self

    async def __anext__(self) -> log_record.LogRecord:
        while not self._buffered:
            await self._wait_for_read()
        return self._buffered.pop(0)

    async def _wait_for_read(self) -> None:
        wait_ms = self._wait_ms if self._at_tail else 0
        self._start_read(wait_ms)
        timer = asyncio.ensure_future(
            self._clock.sleep_ms(wait_ms + _OVERDUE_MS)
        )
        try:
            # An overdue read may be slow or on a dead connection: it
            # keeps running, and another one is started.
            await asyncio.wait(
                {*self._sent_ms_by_read, timer},
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            timer.cancel()
        done = [read for read in self._sent_ms_by_read if read.done()]
        for read in done:
            await self._process_read(read)
        if not done:
            self._at_tail = False

    def _start_read(self, wait_ms: int) -> None:
        if len(self._sent_ms_by_read) >= _MAX_CONCURRENT_READS:
            return
        read = asyncio.create_task(
            self._client.read(
                self.stream, self._next_offset, _READ_LIMIT_RECORDS, wait_ms
            )
        )
        self._sent_ms_by_read[read] = self._clock.now_ms()

    async def _process_read(
        self, read: asyncio.Task[chunk_module.Chunk]
    ) -> None:
        sent_ms = self._sent_ms_by_read.pop(read)
        try:
            chunk = read.result()
        except errors.LogTrimmed as error:
            self._skip_trimmed(error.first_offset)
            return
        except errors.LogError:
            self._at_tail = False
            await self._clock.sleep_ms(self._backoff_ms)
            self._backoff_ms = min(2 * self._backoff_ms, _MAX_BACKOFF_MS)
            return
        self._backoff_ms = _MIN_BACKOFF_MS
        self._apply_chunk(chunk, sent_ms)

    def _skip_trimmed(self, first: int) -> None:
        if first <= self._next_offset:
            return
        self.gap_count += 1
        self._at_tail = False
        events.emit(
            journal_events.STREAM_TRIMMED,
            stream=self.stream,
            next=self._next_offset,
            first=first,
        )
        self._next_offset = first

    def _apply_chunk(self, chunk: chunk_module.Chunk, sent_ms: int) -> None:
        new_records = [
            record
            for record in chunk.records
            if record.offset >= self._next_offset
        ]
        self._buffered.extend(new_records)
        if new_records:
            self._next_offset = new_records[-1].offset + 1
        self._at_tail = not chunk.records and chunk.next == self._next_offset
        if self._at_tail and not self._buffered:
            self.assured_at_ms = max(self.assured_at_ms, sent_ms)
            self._tail_reached.set()
