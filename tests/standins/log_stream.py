"""Keep one stream of the stand-in log service."""

import asyncio
import base64
import collections


class LogStream:
    """Hold records with dense offsets from 1 and wake waiting readers."""

    __slots__ = ('records', 'first', 'next', 'changed')

    def __init__(self) -> None:
        self.records: collections.deque[tuple[int, int, bytes]] = (
            collections.deque()
        )
        self.first = 1
        self.next = 1
        self.changed = asyncio.Event()

    def append(self, data: bytes, now_ms: int) -> int:
        """Add a record and return its offset."""
        offset = self.next
        self.records.append((offset, now_ms, data))
        self.next = offset + 1
        changed = self.changed
        self.changed = asyncio.Event()
        changed.set()
        return offset

    def trim(self, first: int) -> None:
        """Drop the records below an offset."""
        self.first = min(max(self.first, first), self.next)
        while self.records and self.records[0][0] < self.first:
            self.records.popleft()

    def expire(self, oldest_ms: int) -> None:
        """Drop the records appended before a time."""
        while self.records and self.records[0][1] < oldest_ms:
            self.first = self.records.popleft()[0] + 1

    def read(self, from_offset: int, limit: int, now_ms: int) -> dict:
        """Return the body of an answer to a read."""
        skip = from_offset - self.first
        rows = [
            self.records[index]
            for index in range(skip, min(len(self.records), skip + limit))
        ]
        return {
            'first': self.first,
            'next': rows[-1][0] + 1 if rows else from_offset,
            'records': [
                {
                    'offset': offset,
                    'data': base64.b64encode(data).decode(),
                    'age_ms': now_ms - appended_ms,
                }
                for offset, appended_ms, data in rows
            ],
        }
