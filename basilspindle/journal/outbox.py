"""Queue what waits to be appended to one stream."""

import asyncio
import collections
import collections.abc

from basilspindle.journal import append_item
from basilspindle.journal import records


class Outbox:
    """Queue records of callers, and snapshot records beside them.

    Snapshot records have a queue of their own and fill at most half a
    batch, so that callers don't wait for a whole snapshot.
    """

    __slots__ = ('snapshot_wanted', '_callers', '_parts', '_filled')

    def __init__(self) -> None:
        self.snapshot_wanted = False
        self._callers: collections.deque[append_item.AppendItem] = (
            collections.deque()
        )
        self._parts: collections.deque[append_item.AppendItem] = (
            collections.deque()
        )
        self._filled = asyncio.Event()

    def __len__(self) -> int:
        return len(self._callers)

    @property
    def in_snapshot(self) -> bool:
        """Tell whether snapshot records wait."""
        return bool(self._parts)

    async def wait(self) -> None:
        """Wait until there is something to append."""
        await self._filled.wait()

    def put(self, item: append_item.AppendItem) -> None:
        """Add the records of a caller."""
        self._callers.append(item)
        self._filled.set()

    def want_snapshot(self) -> None:
        """Ask for a snapshot with the next batch."""
        self.snapshot_wanted = True
        self._filled.set()

    def put_snapshot(
        self, entries: collections.abc.Iterable[records.Record]
    ) -> None:
        """Add the records of a snapshot."""
        self.snapshot_wanted = False
        self._parts.extend(
            append_item.AppendItem([record]) for record in entries
        )

    def take(self, limit_bytes: int) -> list[append_item.AppendItem]:
        """Remove and return the items of the next batch.

        A claim goes alone. Items whose callers gave up are dropped.
        """
        self._drop_abandoned()
        if self._callers and self._callers[0].is_claim:
            items = [self._callers.popleft()]
        else:
            items = self._take_from(self._parts, limit_bytes // 2)
            used = sum(item.size for item in items)
            items += self._take_from(self._callers, limit_bytes - used)
        self._update()
        return items

    def _drop_abandoned(self) -> None:
        while self._callers and self._callers[0].confirmed.done():
            self._callers.popleft()

    def _take_from(
        self,
        queue: collections.deque[append_item.AppendItem],
        limit_bytes: int,
    ) -> list[append_item.AppendItem]:
        taken: list[append_item.AppendItem] = []
        size = 0
        while queue and not queue[0].is_claim:
            if taken and size + queue[0].size > limit_bytes:
                break
            item = queue.popleft()
            if item.confirmed.done():
                continue
            taken.append(item)
            size += item.size
        return taken

    def put_back(self, items: list[append_item.AppendItem]) -> None:
        """Return the items of a batch that certainly had no effect."""
        for item in reversed(items):
            item.sent = False
            queue = self._parts if _is_snapshot(item) else self._callers
            queue.appendleft(item)
        self._update()

    def fail(self, error: Exception) -> None:
        """Refuse everything that waits."""
        for item in (*self._callers, *self._parts):
            item.fail(error)
        self._callers.clear()
        self._parts.clear()
        self.snapshot_wanted = False
        self._update()

    def _update(self) -> None:
        if self._callers or self._parts or self.snapshot_wanted:
            self._filled.set()
        else:
            self._filled.clear()


def _is_snapshot(item: append_item.AppendItem) -> bool:
    return isinstance(
        item.records[0],
        records.SnapshotBegin | records.SnapshotPart | records.SnapshotEnd,
    )
