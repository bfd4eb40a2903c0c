"""Provide a clock whose timers do not fire while a node is paused."""

import collections.abc
import typing

from basilspindle import clock
from tests.standins import manual_clock
from tests.standins import peer_network

_T = typing.TypeVar('_T')


class PausableClock(clock.Clock):
    """Clock of one node; its timers fire only while the node runs."""

    __slots__ = ('_base', '_node')

    def __init__(
        self, base: manual_clock.ManualClock, node: peer_network.Node
    ) -> None:
        self._base = base
        self._node = node

    def now_ms(self) -> int:
        """Return the shared time, which a pause does not stop."""
        return self._base.now_ms()

    def wall_ms(self) -> int:
        """Return the shared wall time."""
        return self._base.wall_ms()

    async def sleep_ms(self, duration_ms: int) -> None:
        """Wait for the duration and then for the end of a pause."""
        await self._base.sleep_ms(duration_ms)
        await self._node.resumed.wait()

    async def wait_for(
        self, awaitable: collections.abc.Awaitable[_T], timeout_ms: int
    ) -> _T:
        """Wait for a result or the timeout, then for the end of a pause."""
        try:
            return await self._base.wait_for(awaitable, timeout_ms)
        finally:
            await self._node.resumed.wait()
