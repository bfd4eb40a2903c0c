"""Bound how many lines one kind of event writes."""

import time

# Lines of one event a second; beyond it they are counted.
_LINES_A_SECOND = 400


class RateLimiter:
    """Count events by number in windows of one second."""

    __slots__ = ('_most', '_window_s', '_seen', 'suppressed')

    def __init__(self, most: int = _LINES_A_SECOND) -> None:
        self._most = most
        self._window_s = 0
        self._seen: dict[int, int] = {}
        # Events that were counted instead of written, by number.
        self.suppressed: dict[int, int] = {}

    def allows(self, number: int, now_s: float | None = None) -> bool:
        """Tell whether an event may be written; the first always may."""
        second = int(time.monotonic() if now_s is None else now_s)
        if second != self._window_s:
            self._window_s = second
            self._seen.clear()
        seen = self._seen.get(number, 0) + 1
        self._seen[number] = seen
        if seen <= self._most:
            return True
        self.suppressed[number] = self.suppressed.get(number, 0) + 1
        return False

    def take_suppressed(self) -> dict[int, int]:
        """Return the counts since the last call."""
        taken, self.suppressed = self.suppressed, {}
        return taken
