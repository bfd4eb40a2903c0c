"""Follow a worker's clock and the end of its lease."""

# A worker's clock may run this much slower than others.
_SLOWEST_PART = 0.98


class LeaseClock:
    """Translate between the leader's clock and one worker's, in ms.

    The worker stamped ``clock_ms`` before its answer came, so its clock is
    at least that far on arrival.
    """

    __slots__ = ('_clock_ms', '_seen_ms', '_deadline_ms')

    def __init__(self) -> None:
        self._clock_ms: int | None = None
        self._seen_ms = 0
        self._deadline_ms = 0

    def observe(self, clock_ms: int, now_ms: int) -> None:
        """Take in the worker's clock from an answer that came now."""
        self._clock_ms = clock_ms
        self._seen_ms = now_ms

    def grant(self, lease_ms: int, now_ms: int) -> int | None:
        """Return a deadline on the worker's clock for a lease from now on.

        None while its clock is not known. Counts as granted even if the
        order is never answered.
        """
        if self._clock_ms is None:
            return None
        deadline_ms = self._clock_ms + (now_ms - self._seen_ms) + lease_ms
        self._deadline_ms = max(self._deadline_ms, deadline_ms)
        return deadline_ms

    def expiry_ms(self) -> int | None:
        """Return when every lease granted is over, on the leader's clock.

        None while the worker's clock is not known.
        """
        if self._clock_ms is None:
            return None
        left_ms = max(0, self._deadline_ms - self._clock_ms)
        return self._seen_ms + int(left_ms / _SLOWEST_PART) + 1

    def reset(self) -> None:
        """Forget the worker's clock: another life began."""
        self._clock_ms = None
        self._deadline_ms = 0
