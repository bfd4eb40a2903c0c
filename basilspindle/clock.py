"""Read the time and wait, in milliseconds."""

import asyncio
import collections.abc
import time
import typing

from basilspindle import errors

_T = typing.TypeVar('_T')
# Only Linux has a steady clock that counts suspended time.
_STEADY_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


class Clock:
    """Monotonic and wall clock in ms; tests substitute their own."""

    __slots__ = ()

    def now_ms(self) -> int:
        """Return monotonic time in ms; only differences are meaningful.

        Counts the time in which the machine is suspended: leases and
        timeouts at other machines run on meanwhile.
        """
        return time.clock_gettime_ns(_STEADY_CLOCK) // 1_000_000

    def wall_ms(self) -> int:
        """Return the Unix time in ms; use it for logs and display only."""
        return time.time_ns() // 1_000_000

    async def sleep_ms(self, duration_ms: int) -> None:
        """Wait for a duration in ms."""
        await asyncio.sleep(duration_ms / 1000)

    async def wait_for(
        self,
        awaitable: collections.abc.Awaitable[_T],
        timeout_ms: int,
    ) -> _T:
        """Return the result of an awaitable within ``timeout_ms``.

        At the timeout, cancels the awaitable and raises
        ``DeadlineExceeded``.
        """
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await awaitable
        except TimeoutError:
            raise errors.DeadlineExceeded(
                f'no result within {timeout_ms} ms; try again or allow a '
                'longer timeout'
            ) from None
