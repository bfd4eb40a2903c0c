"""Tell time in milliseconds and wait for it."""

import asyncio
import collections.abc
import time
import typing

from basilspindle import errors

_T = typing.TypeVar('_T')


class Clock:
    """Read monotonic and wall time in ms; tests replace it."""

    __slots__ = ()

    def now_ms(self) -> int:
        """Return monotonic time in ms; only differences have a meaning."""
        return time.monotonic_ns() // 1_000_000

    def wall_ms(self) -> int:
        """Return the time since 1970 in ms, for logs and views only."""
        return time.time_ns() // 1_000_000

    async def sleep_ms(self, duration_ms: int) -> None:
        """Wait for a duration in ms."""
        await asyncio.sleep(duration_ms / 1000)

    async def wait_for(
        self,
        awaitable: collections.abc.Awaitable[_T],
        timeout_ms: int,
    ) -> _T:
        """Wait for a result at most ``timeout_ms``.

        Cancels the awaitable and raises ``DeadlineExceeded`` at the
        timeout.
        """
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await awaitable
        except TimeoutError:
            raise errors.DeadlineExceeded(
                f'no result within {timeout_ms} ms; try again or allow '
                'more time'
            ) from None
