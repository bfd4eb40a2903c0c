"""Tell since when a later leader may have taken over."""

from basilspindle import clock as clock_module

# The leader steps down after this time without a confirmed append. A later
# leader waits for this time and one lease before it restarts tasks that may
# still be running on workers that have not reported to it.
TIMEOUT_MS = 15_000


class Confirmation:
    """What the store has confirmed of this leadership.

    ``confirmed_ms`` is when the latest confirmed call to the store began. No
    later leader had fenced off this one by then: what had ended before has
    not been continued by a successor.
    """

    __slots__ = ('_clock', 'confirmed_ms')

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self.confirmed_ms = clock.now_ms()

    @property
    def age_ms(self) -> int:
        """Return the time since the latest confirmed call began."""
        return self._clock.now_ms() - self.confirmed_ms

    @property
    def has_expired(self) -> bool:
        """Tell whether this daemon must no longer act as the leader."""
        return self.age_ms > TIMEOUT_MS

    def extend(self, begun_ms: int) -> None:
        """Note that a call that began at a time is confirmed."""
        self.confirmed_ms = max(self.confirmed_ms, begun_ms)
