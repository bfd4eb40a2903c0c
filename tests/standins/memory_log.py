"""Simulate the log and the partition journals in memory.

Only claims and releases are stored, in the same order for all readers.
"""

import asyncio
import types
import typing

from basilspindle import clock as clock_module
from basilspindle import errors

_ONE_WAY_DELAY_MS = 5
_NEVER_MS = -(1 << 62)


class Entry(typing.NamedTuple):
    """A claim or a release of a partition.

    ``epoch`` is the writer's epoch, 0 for a claim: the epoch of a claim is
    its offset.
    """

    is_claim: bool
    member_id: str
    epoch: int


class MemoryLog:
    """Log with one stream of entries for each partition.

    ``lost_answers`` is the number of next appends that are applied but not
    answered.
    """

    __slots__ = ('_root', 'down', 'lost_answers', 'streams')

    def __init__(self, root: 'MemoryLog | None' = None) -> None:
        self._root = root
        self.streams: dict[int, list[Entry]] = root.streams if root else {}
        self.down = False
        self.lost_answers = 0

    def share(self) -> 'MemoryLog':
        """Return the same log, which may be down for one daemon only."""
        return MemoryLog(self)

    @property
    def is_down(self) -> bool:
        """Tell whether the log is down, here or for all."""
        return self.down or self._root is not None and self._root.is_down

    def lose_answer(self) -> bool:
        """Tell whether the answer to the current append is lost."""
        if self._root is not None:
            return self._root.lose_answer()
        if not self.lost_answers:
            return False
        self.lost_answers -= 1
        return True

    def append(self, partition: int, entry: Entry) -> int:
        """Append an entry and return its offset."""
        stream = self.streams.setdefault(partition, [])
        stream.append(entry)
        return len(stream)

    def count_claims(self) -> int:
        """Return the number of claims in all streams."""
        return sum(
            entry.is_claim
            for stream in self.streams.values()
            for entry in stream
        )

    def read(self, partition: int) -> list[Entry]:
        """Return all entries of a partition."""
        return list(self.streams.get(partition, []))


class _PartitionState:
    __slots__ = ('released',)

    def __init__(self) -> None:
        self.released = False


class MemoryJournal:
    """Journal that claims, polls and releases one partition.

    ``assured_at_ms`` is the send time of the last read that confirmed the
    ownership.
    """

    __slots__ = (
        '_clock',
        '_log',
        '_member_id',
        '_partition',
        '_poll_ms',
        '_replayed',
        '_poll_task',
        'assured_at_ms',
        'epoch',
        'latest_claimant',
        'latest_epoch',
        'on_deposed',
        'state',
    )

    def __init__(
        self,
        log: MemoryLog,
        clock: clock_module.Clock,
        member_id: str,
        partition: int,
        assurance_ms: int,
    ) -> None:
        self._log = log
        self._clock = clock
        self._member_id = member_id
        self._partition = partition
        self._poll_ms = assurance_ms // 3
        self._replayed = asyncio.Event()
        self._poll_task: asyncio.Task[None] | None = None
        self.assured_at_ms = _NEVER_MS
        self.epoch = 0
        self.latest_epoch = 0
        self.latest_claimant = ''
        self.on_deposed: typing.Callable[[], None] | None = None
        self.state = _PartitionState()

    async def __aenter__(self) -> 'MemoryJournal':
        self._poll_task = asyncio.ensure_future(self._poll())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        assert self._poll_task is not None
        self._poll_task.cancel()
        await asyncio.gather(self._poll_task, return_exceptions=True)

    @property
    def is_owner(self) -> bool:
        """Tell whether the latest claim read is this journal's."""
        return 0 < self.epoch == self.latest_epoch

    def follow(self, on: bool) -> None:
        """Do nothing: this journal always polls."""

    async def wait_replayed(self) -> None:
        """Wait for the first answered read."""
        await self._replayed.wait()

    async def claim(self) -> int:
        """Append a claim, read up to it and return its offset as epoch."""
        offset = await self._append(Entry(True, self._member_id, 0))
        self.epoch = offset
        await self._read()
        if self.latest_epoch != offset:
            raise errors.Deposed(
                'another member claimed the partition; send the request to it'
            )
        return offset

    async def release(self) -> None:
        """Append a release."""
        await self._append(Entry(False, self._member_id, self.epoch))
        self.epoch = 0

    async def _append(self, entry: Entry) -> int:
        await self._clock.sleep_ms(_ONE_WAY_DELAY_MS)
        if self._log.is_down:
            raise errors.LogUnavailable('the log is down; try again')
        offset = self._log.append(self._partition, entry)
        await self._clock.sleep_ms(_ONE_WAY_DELAY_MS)
        if self._log.lose_answer():
            raise errors.LogOutcomeUnknown(
                'no answer to the append; read the stream'
            )
        return offset

    async def _poll(self) -> None:
        while True:
            await self._read()
            await self._clock.sleep_ms(self._poll_ms)

    async def _read(self) -> None:
        sent_ms = self._clock.now_ms()
        await self._clock.sleep_ms(_ONE_WAY_DELAY_MS)
        if self._log.is_down:
            return
        entries = self._log.read(self._partition)
        await self._clock.sleep_ms(_ONE_WAY_DELAY_MS)
        self._replayed.set()
        self._apply(entries)
        if self.is_owner:
            self.assured_at_ms = max(self.assured_at_ms, sent_ms)

    def _apply(self, entries: list[Entry]) -> None:
        owned = self.is_owner
        for offset, entry in enumerate(entries, 1):
            if entry.is_claim and offset > self.latest_epoch:
                self.latest_epoch = offset
                self.latest_claimant = entry.member_id
                self.state.released = False
            elif not entry.is_claim and entry.epoch == self.latest_epoch:
                self.state.released = True
        if owned and not self.is_owner and self.on_deposed is not None:
            self.on_deposed()
