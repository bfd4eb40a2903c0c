"""Write log lines without waiting for the process that reads them."""

import collections
import os
import select
import time
import typing

_MAX_BUFFER_BYTES = 256 * 1024
# After a gap, lines are taken again once there is room for this much, so that
# a slow reader gets some lines between two reports of a gap.
_MIN_ROOM_BYTES = 16 * 1024


class Sink:
    """Write lines to a file descriptor; drop lines while the buffer is full.

    ``dropped`` counts the lines dropped since it was last reset.
    """

    __slots__ = (
        'dropped',
        '_fd',
        '_lines',
        '_size_bytes',
        '_dropped_since_take',
        '_is_full',
    )

    def __init__(self, stream: typing.TextIO) -> None:
        self.dropped = 0
        self._is_full = False
        # Lines dropped since the last call of take_dropped().
        self._dropped_since_take = 0
        self._fd = stream.fileno()
        self._lines: collections.deque[bytes] = collections.deque()
        self._size_bytes = 0
        os.set_blocking(self._fd, False)

    def has_room(self) -> bool:
        """Tell whether the next lines are written or buffered."""
        if self._is_full:
            free_bytes = _MAX_BUFFER_BYTES - self._size_bytes
            self._is_full = free_bytes < _MIN_ROOM_BYTES
        return not self._is_full

    def write(self, message: str) -> None:
        """Write a line, or buffer it until the reader catches up."""
        line = str(message).encode()
        if self._size_bytes + len(line) > _MAX_BUFFER_BYTES:
            self.flush()
        is_too_long = self._size_bytes + len(line) > _MAX_BUFFER_BYTES
        if is_too_long or not self.has_room():
            self._is_full = True
            self._count_dropped(1)
            return
        self._lines.append(line)
        self._size_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as the reader takes."""
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so buffered lines cannot be delivered.
                self._count_dropped(len(self._lines))
                self._lines.clear()
                self._size_bytes = 0
                return
            self._size_bytes -= written
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()

    def drain(self, timeout_s: float) -> None:
        """Wait for the reader until all buffered lines are written."""
        until_s = time.monotonic() + timeout_s
        poll = select.poll()
        poll.register(self._fd, select.POLLOUT)
        self.flush()
        while self._lines:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                return
            poll.poll(left_s * 1_000)
            self.flush()

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the last call."""
        taken, self._dropped_since_take = self._dropped_since_take, 0
        return taken

    def _count_dropped(self, lines: int) -> None:
        self.dropped += lines
        self._dropped_since_take += lines
