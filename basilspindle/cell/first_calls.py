"""Bound the calls to workers that have not answered this leader yet."""

import asyncio
import collections.abc
import heapq

from basilspindle import clock as clock_module

# 3,000 entries at silent addresses, all called at once, took the leader's
# whole processor core and half of its file descriptors.
_MAX_CALLS = 64
# A call that fails sooner occupies its place for this long, which bounds the
# failing calls to 128 per second.
_MIN_FAILED_CALL_MS = 500

# Returns the error message of a call that failed.
Call = collections.abc.Callable[[], collections.abc.Awaitable[str | None]]


class FirstCalls:
    """Run a limited number of calls at once, those with few failures first.

    Of the calls that have never failed, the latest comes first, so that a
    worker that joins does not wait for thousands of silent addresses.
    """

    __slots__ = ('_clock', '_open_calls', '_waiting', '_arrivals')

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._open_calls = 0
        # Number of failures, rank among those with as many, and what ends
        # the wait.
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrivals = 0

    async def run(self, failures: int, call: Call) -> str | None:
        """Run a call once there is room; returns its error message."""
        await self._begin(failures)
        begun_ms = self._clock.now_ms()
        occupied_ms = _MIN_FAILED_CALL_MS
        try:
            fault = await call()
            if fault is None:
                occupied_ms = 0
            return fault
        finally:
            remaining_ms = begun_ms + occupied_ms - self._clock.now_ms()
            if remaining_ms > 0:
                asyncio.get_running_loop().call_later(
                    remaining_ms / 1000, self._end
                )
            else:
                self._end()

    async def _begin(self, failures: int) -> None:
        if self._open_calls < _MAX_CALLS:
            self._open_calls += 1
            return
        future = asyncio.get_running_loop().create_future()
        self._arrivals += 1
        rank = self._arrivals if failures else -self._arrivals
        heapq.heappush(self._waiting, (failures, rank, future))
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self._end()
            raise

    def _end(self) -> None:
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return
        self._open_calls -= 1
