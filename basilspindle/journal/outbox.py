"""Queue the records that wait to be appended to one stream."""

import asyncio
import collections
import collections.abc

from basilspindle.journal import append_item
from basilspindle.journal import records


class Outbox:
    """Two queues: one for the records of callers, one for snapshots.

    Snapshot records fill at most half of a batch, so that callers don't
    wait until a whole snapshot is written.
    """

    __slots__ = (
        'snapshot_requested',
        '_caller_items',
        '_snapshot_items',
        '_not_empty',
    )

    def __init__(self) -> None:
        self.snapshot_requested = False
        self._caller_items: collections.deque[append_item.AppendItem] = (
            collections.deque()
        )
        self._snapshot_items: collections.deque[append_item.AppendItem] = (
            collections.deque()
        )
        self._not_empty = asyncio.Event()

    def __len__(self) -> int:
        return len(self._caller_items)

    @property
    def has_snapshot_records(self) -> bool:
        """Tell whether snapshot records are queued."""
        return bool(self._snapshot_items)

    async def wait(self) -> None:
        """Wait until a record is queued or a snapshot is requested."""
        await self._not_empty.wait()

    def put(self, item: append_item.AppendItem) -> None:
        """Queue the records of a caller."""
        self._caller_items.append(item)
        self._not_empty.set()

    def request_snapshot(self) -> None:
        """Request a snapshot, to start with the next batch."""
        self.snapshot_requested = True
        self._not_empty.set()

    def put_snapshot(
        self, new_records: collections.abc.Iterable[records.Record]
    ) -> None:
        """Queue the records of the requested snapshot."""
        self.snapshot_requested = False
        self._snapshot_items.extend(
            append_item.AppendItem([record]) for record in new_records
        )

    def take(self, limit_bytes: int) -> list[append_item.AppendItem]:
        """Remove and return the items of the next batch.

        A claim is a batch of its own. Items whose callers have stopped
        waiting are dropped.
        """
        self._drop_abandoned()
        if self._caller_items and self._caller_items[0].is_claim:
            items = [self._caller_items.popleft()]
        else:
            items = self._take_up_to(self._snapshot_items, limit_bytes // 2)
            used_bytes = sum(item.size_bytes for item in items)
            items += self._take_up_to(
                self._caller_items, limit_bytes - used_bytes
            )
        self._update_not_empty()
        return items

    def _drop_abandoned(self) -> None:
        while self._caller_items and self._caller_items[0].confirmed.done():
            self._caller_items.popleft()

    def _take_up_to(
        self,
        queue: collections.deque[append_item.AppendItem],
        limit_bytes: int,
    ) -> list[append_item.AppendItem]:
        items: list[append_item.AppendItem] = []
        size_bytes = 0
        while queue and not queue[0].is_claim:
            if items and size_bytes + queue[0].size_bytes > limit_bytes:
                break
            item = queue.popleft()
            if item.confirmed.done():
                continue
            items.append(item)
            size_bytes += item.size_bytes
        return items

    def put_back(self, items: list[append_item.AppendItem]) -> None:
        """Queue the items of a batch without effect again, at the front."""
        for item in reversed(items):
            item.sent = False
            queue = (
                self._snapshot_items
                if _is_snapshot_item(item)
                else self._caller_items
            )
            queue.appendleft(item)
        self._update_not_empty()

    def fail(self, error: Exception) -> None:
        """Empty the queues and raise an error in all callers."""
        for item in (*self._caller_items, *self._snapshot_items):
            item.fail(error)
        self._caller_items.clear()
        self._snapshot_items.clear()
        self.snapshot_requested = False
        self._update_not_empty()

    def _update_not_empty(self) -> None:
        if (
            self._caller_items
            or self._snapshot_items
            or self.snapshot_requested
        ):
            self._not_empty.set()
        else:
            self._not_empty.clear()


def _is_snapshot_item(item: append_item.AppendItem) -> bool:
    return isinstance(
        item.records[0],
        records.SnapshotBegin | records.SnapshotPart | records.SnapshotEnd,
    )
