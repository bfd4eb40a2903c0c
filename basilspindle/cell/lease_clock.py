"""Track a worker's clock and the expiry of its lease."""

# An order without an answer may be carried out until this long after it was
# sent, also by a later incarnation. The platform says "seconds". Tasks that a
# lost worker may run wait for this time and its longest lease, 10 s.
LATE_ORDER_MS = 4_000
# Lowest rate of a worker's clock relative to the leader's.
_MIN_CLOCK_RATE = 0.98
# A reading may be further ahead than the time since the last one by as much as
# an answer was on its way, or this process stood still.
_MAX_AHEAD_MS = 2_000


def duration_ms(lease_ms: int) -> int:
    """Return how long a lease may last on the leader's clock."""
    return int(lease_ms / _MIN_CLOCK_RATE) + 1


def lease_within_ms(duration_ms: int) -> int:
    """Return the longest lease that ends within a time on any clock."""
    return max(0, int((duration_ms - 1) * _MIN_CLOCK_RATE))


class LeaseClock:
    """Translate between the leader's clock and that of one worker, in ms.

    A worker reads ``clock_ms`` before it sends its answer, so on arrival its
    clock shows at least that time. A lease counts from that reading: orders
    that are never answered do not extend it any further.
    """

    __slots__ = ('_clock_ms', '_observed_ms', '_deadline_ms')

    def __init__(self) -> None:
        self._clock_ms: int | None = None
        self._observed_ms = 0
        self._deadline_ms = 0

    def observe(self, clock_ms: int, now_ms: int) -> None:
        """Note the worker's clock reading from an answer received now."""
        self._clock_ms = clock_ms
        self._observed_ms = now_ms

    def expected_ms(self, now_ms: int) -> int | None:
        """Return what the worker's clock shows now if it has not restarted.

        None while that clock is not known.
        """
        if self._clock_ms is None:
            return None
        return self._clock_ms + now_ms - self._observed_ms

    def grant(self, lease_ms: int) -> int | None:
        """Return the deadline, on the worker's clock, of a lease.

        None while that clock is not known. The lease counts as granted even
        if the order that carries it is never answered.
        """
        if self._clock_ms is None:
            return None
        deadline_ms = self._clock_ms + lease_ms
        self._deadline_ms = max(self._deadline_ms, deadline_ms)
        return deadline_ms

    def expiry_ms(self) -> int | None:
        """Return when all granted leases have expired, on the leader's clock.

        None while the worker's clock is not known.
        """
        if self._clock_ms is None:
            return None
        return self.expiry_on_ms(self._clock_ms, self._observed_ms)

    def expiry_on_ms(self, clock_ms: int, now_ms: int) -> int:
        """Return when all granted deadlines have passed on another clock.

        That clock was read in an answer received at ``now_ms``.
        """
        return now_ms + duration_ms(max(0, self._deadline_ms - clock_ms))

    def begin_life(self, clock_ms: int, now_ms: int, held_ms: int) -> None:
        """Note the first answer of an incarnation, which any leader may get.

        Orders that this clock knows nothing of may have given it a lease, or
        may still give it one, that lasts up to ``held_ms`` from now. Where
        its clock begins tells nothing about its age.
        """
        self.observe(clock_ms, now_ms)
        self._deadline_ms = clock_ms + held_ms

    def agrees(self, clock_ms: int, now_ms: int) -> bool:
        """Tell whether a reading received now can be of this incarnation.

        Its clock never goes back, and runs on with this one.
        """
        if self._clock_ms is None:
            return True
        elapsed_ms = now_ms - self._observed_ms + _MAX_AHEAD_MS
        return 0 <= clock_ms - self._clock_ms <= elapsed_ms
