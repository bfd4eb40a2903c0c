"""Repeat a call that takes effect once until it is answered."""

import asyncio
import collections.abc
import typing

from basilspindle import clock as clock_module
from basilspindle import errors

# Bounds the calls that a silent store leaves open.
_MOST = 7
# Pause after an answer that says that nothing was done.
_RETRY_PAUSE_MS = 60
# Calls under way at once are at most this far apart.
_MAX_PAUSE_MS = 1_000

_T = typing.TypeVar('_T')
OnFailure = collections.abc.Callable[[errors.BasilspindleError], None]
Probe = collections.abc.Callable[[], collections.abc.Awaitable[object]]


class HedgedCall(typing.Generic[_T]):
    """Send a call again before the last try has failed.

    The store may lose an answer or take long. The first answer of several
    tries counts. Pauses between tries double, since repeats burden a store
    that is slow; once ``probe`` is answered they stay as they are, since the
    store is prompt then and answers were lost. Leaving the context cancels
    what is under way.
    """

    __slots__ = (
        '_clock',
        '_call',
        '_on_failure',
        '_probe',
        '_probing',
        '_running',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        call: collections.abc.Callable[[], collections.abc.Awaitable[_T]],
        on_failure: OnFailure,
        probe: Probe | None = None,
    ) -> None:
        self._clock = clock
        self._call = call
        self._on_failure = on_failure
        self._probe = probe
        self._probing: asyncio.Future[object] | None = None
        self._running: set[asyncio.Future[_T]] = set()

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *_: object) -> None:
        left: set[asyncio.Future[typing.Any]] = {*self._running}
        if self._probing is not None:
            left.add(self._probing)
        for future in left:
            future.cancel()
            # A try that fails meanwhile tells nothing that is still asked.
            future.add_done_callback(_discard)
        self._running.clear()

    async def first_answer(self, pause_ms: int) -> _T:
        """Return the first answer, repeating first after ``pause_ms``.

        Raises what the call raises, but for ``LogUnavailable`` and
        ``LogOutcomeUnknown``, after which it is repeated.
        """
        while True:
            if len(self._running) < _MOST:
                self._running.add(asyncio.ensure_future(self._call()))
            if self._probe is not None and self._probing is None:
                # Early enough to be answered before the first repeat.
                await self._wait(pause_ms // 2)
                if not any(future.done() for future in self._running):
                    self._probing = asyncio.ensure_future(self._probe())
                    await self._wait(pause_ms - pause_ms // 2)
            else:
                await self._wait(pause_ms)
            failed = False
            for future in [row for row in self._running if row.done()]:
                self._running.discard(future)
                try:
                    return future.result()
                except (
                    errors.LogUnavailable,
                    errors.LogOutcomeUnknown,
                ) as error:
                    self._on_failure(error)
                    failed = True
            if failed:
                await self._clock.sleep_ms(_RETRY_PAUSE_MS)
            if not self._is_prompt():
                pause_ms = min(2 * pause_ms, _MAX_PAUSE_MS)

    def _is_prompt(self) -> bool:
        probing = self._probing
        if probing is None or not probing.done():
            return False
        return not probing.cancelled() and probing.exception() is None

    async def _wait(self, pause_ms: int) -> None:
        timer = asyncio.ensure_future(self._clock.sleep_ms(pause_ms))
        try:
            await asyncio.wait(
                {*self._running, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()


def _discard(future: asyncio.Future[typing.Any]) -> None:
    if not future.cancelled():
        future.exception()
