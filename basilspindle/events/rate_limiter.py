"""Limit how many lines of each event are written per second."""

import time

_MAX_LINES_PER_SECOND = 400


class RateLimiter:
    """Limit lines by event number in fixed windows of one second."""

    __slots__ = ('_max_lines', '_window_s', '_counts', 'suppressed')

    def __init__(self, max_lines: int = _MAX_LINES_PER_SECOND) -> None:
        self._max_lines = max_lines
        self._window_s = 0
        self._counts: dict[int, int] = {}
        # Number of lines not written, by event number.
        self.suppressed: dict[int, int] = {}

    def allows(self, number: int, now_s: float | None = None) -> bool:
        """Count a line and tell whether it is within the limit."""
        second = int(time.monotonic() if now_s is None else now_s)
        if second != self._window_s:
            self._window_s = second
            self._counts.clear()
        count = self._counts.get(number, 0) + 1
        self._counts[number] = count
        if count <= self._max_lines:
            return True
        self.suppressed[number] = self.suppressed.get(number, 0) + 1
        return False

    def take_suppressed(self) -> dict[int, int]:
        """Return the suppressed lines by event since the last call."""
        taken, self.suppressed = self.suppressed, {}
        return taken
