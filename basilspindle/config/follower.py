"""Read stream ``control`` into a history."""

import collections.abc

from basilspindle import clock as clock_module
from basilspindle.config import events as config_events
from basilspindle.config import history as history_module
from basilspindle.config import interfaces
from basilspindle.config import publication as publication_module
from basilspindle import errors
from basilspindle import events

STREAM = 'control'
FIRST_OFFSET = 1
# A record is up to a few 100 KB, so that a chunk stays below 32 MB.
_READ_LIMIT = 16
# Time for the answer of a read beyond the time that the log may hold it.
_ANSWER_MS = 3_000


class Follower:
    """Keep a history up to date with the log.

    ``tail_at_ms`` is the monotonic time at which the latest read that
    proved to reach the tail was sent, None if there was none.
    ``carried_at_ms`` is when the log took the newest record that carries
    the head. ``skips`` counts the times that records were trimmed unread.
    """

    __slots__ = (
        'history',
        'tail_at_ms',
        'carried_at_ms',
        'next_offset',
        'skips',
        '_clock',
        '_log',
        '_changed',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        log: interfaces.ControlLog,
        changed: collections.abc.Callable[[], None],
    ) -> None:
        self.history = history_module.History()
        self.tail_at_ms: int | None = None
        self.carried_at_ms: int | None = None
        self.next_offset = FIRST_OFFSET
        self.skips = 0
        self._clock = clock
        self._log = log
        self._changed = changed

    async def read(self, wait_ms: int) -> bool:
        """Read once; tell whether the tail was reached.

        Raises ``LogError``.
        """
        sent_at_ms = self._clock.now_ms()
        from_offset = self.next_offset
        try:
            chunk = await self._request(from_offset, wait_ms)
        except errors.LogTrimmed as error:
            if error.first <= from_offset:
                raise
            self._skip(error.first)
            return False
        self._skip(min(chunk.first, chunk.next))
        for record in chunk.records:
            self._take(record)
        at_tail = self._note_tail(chunk, from_offset, sent_at_ms)
        self._changed()
        return at_tail

    async def catch_up(self) -> None:
        """Read until the tail; raises as ``read``."""
        while not await self.read(0):
            pass

    async def _request(
        self, from_offset: int, wait_ms: int
    ) -> interfaces.Chunk:
        try:
            return await self._clock.wait_ms(
                self._log.read(STREAM, from_offset, _READ_LIMIT, wait_ms),
                wait_ms + _ANSWER_MS,
            )
        except errors.DeadlineExceeded as error:
            raise errors.LogUnavailable(
                f'no answer to a read of stream {STREAM} within '
                f'{wait_ms + _ANSWER_MS} ms; check the log service'
            ) from error

    def _skip(self, first: int) -> None:
        if first <= self.next_offset:
            return
        events.emit(config_events.TRIMMED, next=self.next_offset, first=first)
        self.skips += 1
        self.history.skip(range(self.next_offset, first))
        self.next_offset = first

    def _take(self, record: interfaces.Record) -> None:
        if record.offset < self.next_offset:
            return
        self.next_offset = record.offset + 1
        try:
            publication = publication_module.decode(record.data)
        except errors.RecordUnreadable as error:
            events.emit(
                config_events.RECORD_SKIPPED,
                offset=record.offset,
                error=error.message,
            )
            return
        self.history.apply(record.offset, publication)
        self._note_carried(record, publication)

    def _note_carried(
        self,
        record: interfaces.Record,
        publication: publication_module.Publication,
    ) -> None:
        head = self.history.head
        offset = publication.accepted_offset or record.offset
        if head is not None and head.offset == offset:
            self.carried_at_ms = self._clock.now_ms() - record.age_ms

    def _note_tail(
        self, chunk: interfaces.Chunk, from_offset: int, sent_at_ms: int
    ) -> bool:
        # Only an empty answer proves the tail: a log may answer with fewer
        # records than the limit for a bound of its own.
        if chunk.records:
            return False
        if chunk.next < from_offset:
            events.emit(
                config_events.REWOUND, next=from_offset, end=chunk.next
            )
            raise errors.LogUnavailable(
                f'stream {STREAM} ends at {chunk.next}, before offset '
                f'{from_offset} that was read; restart this daemon'
            )
        if from_offset < self.next_offset:
            return False
        self.tail_at_ms = max(self.tail_at_ms or sent_at_ms, sent_at_ms)
        self.history.settle()
        return True
