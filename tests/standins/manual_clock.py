"""Provide a clock that only tests advance."""

import asyncio
import collections.abc
import heapq
import typing

from basilspindle import clock
from basilspindle import errors

_T = typing.TypeVar('_T')
# Event loop passes that run the ready callbacks and those they schedule.
_SETTLE_PASSES = 20


class ManualClock(clock.Clock):
    """Clock that stands still until a test advances it."""

    __slots__ = ('_now_ms', '_sleepers', '_sequence')

    def __init__(self, now_ms: int = 1_000_000) -> None:
        self._now_ms = now_ms
        self._sleepers: list[tuple[int, int, asyncio.Future[None]]] = []
        self._sequence = 0

    def now_ms(self) -> int:
        """Return the simulated monotonic time."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return a wall time at a fixed offset from the monotonic time."""
        return 1_700_000_000_000 + self._now_ms

    async def sleep_ms(self, duration_ms: int) -> None:
        """Wait until the test has advanced time by the duration."""
        future = asyncio.get_running_loop().create_future()
        self._sequence += 1
        due_ms = self._now_ms + max(0, duration_ms)
        heapq.heappush(self._sleepers, (due_ms, self._sequence, future))
        await future

    async def wait_for(
        self,
        awaitable: collections.abc.Awaitable[_T],
        timeout_ms: int,
    ) -> _T:
        """Wait for a result for at most ``timeout_ms`` of simulated time."""
        work = asyncio.ensure_future(awaitable)
        timer = asyncio.ensure_future(self.sleep_ms(timeout_ms))
        try:
            await asyncio.wait(
                {work, timer}, return_when=asyncio.FIRST_COMPLETED
            )
            if work.done():
                return work.result()
            raise errors.DeadlineExceeded(f'no result within {timeout_ms} ms')
        finally:
            timer.cancel()
            if not work.done():
                work.cancel()

    async def settle(self) -> None:
        """Run all ready callbacks without advancing time."""
        for _ in range(_SETTLE_PASSES):
            await asyncio.sleep(0)

    async def advance_ms(self, duration_ms: int) -> None:
        """Advance time and wake sleepers in the order of their due times."""
        target_ms = self._now_ms + duration_ms
        await self.settle()
        while self._sleepers and self._sleepers[0][0] <= target_ms:
            due_ms, _, future = heapq.heappop(self._sleepers)
            self._now_ms = max(self._now_ms, due_ms)
            if not future.done():
                future.set_result(None)
            await self.settle()
        self._now_ms = target_ms
        await self.settle()
