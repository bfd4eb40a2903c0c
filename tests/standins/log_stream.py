"""Store one stream of the stand-in log service."""

import asyncio
import base64
import collections


class LogStream:
    """Records with consecutive offsets from 1.

    A record is stored with its offset and the time it was appended at.
    ``changed`` is set, and replaced by a new event, at each append.
    """

    __slots__ = ('records', 'first_offset', 'next_offset', 'changed')

    def __init__(self) -> None:
        self.records: collections.deque[tuple[int, int, bytes]] = (
            collections.deque()
        )
        self.first_offset = 1
        self.next_offset = 1
        self.changed = asyncio.Event()

    def append(self, data: bytes, now_ms: int) -> int:
        """Append a record, wake waiting readers and return its offset."""
        offset = self.next_offset
        self.records.append((offset, now_ms, data))
        self.next_offset = offset + 1
        changed = self.changed
        self.changed = asyncio.Event()
        changed.set()
        return offset

    def trim(self, first_offset: int) -> None:
        """Drop the records below an offset."""
        self.first_offset = min(
            max(self.first_offset, first_offset), self.next_offset
        )
        while self.records and self.records[0][0] < self.first_offset:
            self.records.popleft()

    def expire(self, oldest_ms: int) -> None:
        """Drop the records appended before ``oldest_ms``."""
        while self.records and self.records[0][1] < oldest_ms:
            self.first_offset = self.records.popleft()[0] + 1

    def read(self, from_offset: int, limit: int, now_ms: int) -> dict:
        """Return the response body of a read."""
        skip = from_offset - self.first_offset
        rows = [
            self.records[index]
            for index in range(skip, min(len(self.records), skip + limit))
        ]
        return {
            'first': self.first_offset,
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
