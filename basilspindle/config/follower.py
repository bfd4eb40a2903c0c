"""Read stream ``control`` and apply its records to a history."""

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
# Records have up to a few 100 KB each, which keeps a chunk below 32 MB. On a
# narrow link fewer are read at a time.
_MAX_RECORDS_PER_READ = 16
# Time that a read may take beyond the time that the log may hold it open.
_READ_GRACE_MS = 3_000


class Follower:
    """Keep a history up to date with the log.

    ``tail_read_at_ms`` is the monotonic time at which the latest read that
    reached the tail was sent, None if there was none.
    ``head_recorded_at_ms`` is when the newest record that contains the
    head was appended. ``gap_count`` counts how often records were trimmed
    before they were read. ``on_read`` is called after each chunk.
    """

    __slots__ = (
        'history',
        'tail_read_at_ms',
        'head_recorded_at_ms',
        'next_offset',
        'gap_count',
        '_clock',
        '_log',
        '_on_read',
        '_records_per_read',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        log: interfaces.ControlLog,
        on_read: collections.abc.Callable[[], None],
    ) -> None:
        self.history = history_module.History()
        self.tail_read_at_ms: int | None = None
        self.head_recorded_at_ms: int | None = None
        self.next_offset = FIRST_OFFSET
        self.gap_count = 0
        self._clock = clock
        self._log = log
        self._on_read = on_read
        self._records_per_read = _MAX_RECORDS_PER_READ

    async def read(self, wait_ms: int) -> bool:
        """Read one chunk; tell whether the tail was reached.

        Raises ``LogError``.
        """
        sent_at_ms = self._clock.now_ms()
        from_offset = self.next_offset
        try:
            chunk = await self._read_log(from_offset, wait_ms)
        except errors.LogTrimmed as error:
            if error.first_offset <= from_offset:
                raise
            self._skip_trimmed(error.first_offset)
            return False
        self._skip_trimmed(min(chunk.first, chunk.next))
        for record in chunk.records:
            self._apply_record(record)
        at_tail = self._check_tail(chunk, from_offset, sent_at_ms)
        self._on_read()
        return at_tail

    async def catch_up(self) -> None:
        """Read until the tail is reached; raises ``LogError``."""
        while not await self.read(0):
            pass

    async def _read_log(
        self, from_offset: int, wait_ms: int
    ) -> interfaces.Chunk:
        limit = self._records_per_read
        timeout_ms = wait_ms + _READ_GRACE_MS
        begun_ms = self._clock.now_ms()
        try:
            chunk = await self._clock.wait_for(
                self._log.read(STREAM, from_offset, limit, wait_ms),
                timeout_ms,
            )
        except errors.DeadlineExceeded as error:
            # The answer may have been too large for the link.
            self._records_per_read = max(1, limit // 2)
            raise errors.LogUnavailable(
                f'a read of stream {STREAM} was not answered within '
                f'{timeout_ms} ms; check the log service'
            ) from error
        took_ms = self._clock.now_ms() - begun_ms
        if len(chunk.records) == limit and 4 * took_ms < timeout_ms:
            self._records_per_read = min(2 * limit, _MAX_RECORDS_PER_READ)
        return chunk

    def _skip_trimmed(self, first: int) -> None:
        if first <= self.next_offset:
            return
        events.emit(
            config_events.CONTROL_TRIMMED, next=self.next_offset, first=first
        )
        self.gap_count += 1
        self.history.note_trimmed(range(self.next_offset, first))
        self.next_offset = first

    def _apply_record(self, record: interfaces.Record) -> None:
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
        self._note_head_record(record, publication)

    def _note_head_record(
        self,
        record: interfaces.Record,
        publication: publication_module.Publication,
    ) -> None:
        head = self.history.head
        offset = publication.accepted_offset or record.offset
        if head is not None and head.offset == offset:
            self.head_recorded_at_ms = self._clock.now_ms() - record.age_ms

    def _check_tail(
        self, chunk: interfaces.Chunk, from_offset: int, sent_at_ms: int
    ) -> bool:
        # Only an empty answer shows that the tail was reached: the log may
        # return fewer records than requested because of its own limits.
        if chunk.records:
            return False
        if chunk.next < from_offset:
            events.emit(
                config_events.CONTROL_REWOUND, next=from_offset, end=chunk.next
            )
            raise errors.LogUnavailable(
                f'stream {STREAM} ends at offset {chunk.next}, but was read '
                f'up to offset {from_offset} before; restart this daemon and '
                'check whether the log service lost records'
            )
        if from_offset < self.next_offset:
            return False
        self.tail_read_at_ms = max(
            self.tail_read_at_ms or sent_at_ms, sent_at_ms
        )
        self.history.settle()
        return True
