"""Write log lines without ever waiting for their reader."""

import collections
import os
import typing

_BUFFER_BYTES = 256 * 1024


class Sink:
    """Write lines to a descriptor; drop new ones while its buffer is full.

    ``dropped`` counts the lines lost since the last one that was written.
    """

    __slots__ = ('dropped', '_fd', '_lines', '_size_bytes', '_lost')

    def __init__(self, stream: typing.TextIO) -> None:
        self.dropped = 0
        # Lines lost since the last call of take_lost().
        self._lost = 0
        self._fd = stream.fileno()
        self._lines: collections.deque[bytes] = collections.deque()
        self._size_bytes = 0
        os.set_blocking(self._fd, False)

    @property
    def is_empty(self) -> bool:
        """Tell whether all lines are written."""
        return not self._lines

    def write(self, message: str) -> None:
        """Write a line now or keep it until the reader goes on."""
        line = str(message).encode()
        if self._size_bytes + len(line) > _BUFFER_BYTES:
            self.flush()
        if self._size_bytes + len(line) > _BUFFER_BYTES:
            self._lose(1)
            return
        self._lines.append(line)
        self._size_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes."""
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # Without a reader there is nobody to tell.
                self._lose(len(self._lines))
                self._lines.clear()
                self._size_bytes = 0
                return
            self._size_bytes -= written
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()

    def take_lost(self) -> int:
        """Return the lines lost since the last call."""
        taken, self._lost = self._lost, 0
        return taken

    def _lose(self, lines: int) -> None:
        self.dropped += lines
        self._lost += lines
