"""Tell since when a later leader may have taken over."""

import asyncio

from basilspindle.cell import lease_clock
from basilspindle import clock as clock_module

# The leader steps down after this time without a confirmed append, and grants
# no lease that lasts longer. A later leader waits for this time before it
# restarts tasks that may still be running on workers that have not reported.
TIMEOUT_MS = 15_000
# A leader sends orders to any life of a worker for at least this long without
# a confirmed append.
_MIN_UNKNOWN_LIFE_MS = 2_000


def unknown_life_ms(max_lease_ms: int) -> int:
    """Return how long orders may be sent that any life may take.

    A life that the leader has not heard of may take each as its longest
    lease. Counts from the begin of the latest confirmed call.
    """
    longest_ms = lease_clock.duration_ms(max_lease_ms)
    return max(_MIN_UNKNOWN_LIFE_MS, TIMEOUT_MS - longest_ms)


def lease_limit_ms(max_lease_ms: int) -> int:
    """Return how long leases may last after the latest confirmed call."""
    longest_ms = lease_clock.duration_ms(max_lease_ms)
    return max(TIMEOUT_MS, unknown_life_ms(max_lease_ms) + longest_ms)


class Confirmation:
    """What the store has confirmed of this leadership.

    ``confirmed_ms`` is when the latest confirmed call to the store began. No
    later leader had fenced off this one by then: what had ended before has
    not been continued by a successor. Before the fence of this leader is
    confirmed, it is when the leader began, which acts on nothing until then.
    """

    __slots__ = ('_clock', '_waiters', 'confirmed_ms')

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self.confirmed_ms = clock.now_ms()

    @property
    def age_ms(self) -> int:
        """Return the time since the latest confirmed call began."""
        return self._clock.now_ms() - self.confirmed_ms

    @property
    def has_expired(self) -> bool:
        """Tell whether this daemon must no longer act as the leader."""
        return self.age_ms > TIMEOUT_MS

    def extend(self, begun_ms: int) -> bool:
        """Note that a call that began at a time is confirmed.

        Returns whether some wait for a call that begins later.
        """
        self.confirmed_ms = max(self.confirmed_ms, begun_ms)
        waiters, self._waiters = self._waiters, []
        for at_ms, waiter in waiters:
            if waiter.done():
                continue
            if self.covers(at_ms):
                waiter.set_result(None)
            else:
                self._waiters.append((at_ms, waiter))
        return bool(self._waiters)

    def covers(self, at_ms: int) -> bool:
        """Tell whether a call that began after a time is confirmed."""
        return at_ms < self.confirmed_ms

    async def wait(self, at_ms: int, timeout_ms: int) -> bool:
        """Wait until a time is covered, or for the timeout; tell which."""
        if self.covers(at_ms):
            return True
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append((at_ms, waiter))
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await waiter
        except TimeoutError:
            return False
        finally:
            waiter.cancel()
        return True
