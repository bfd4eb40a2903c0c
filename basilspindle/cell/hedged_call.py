"""Send an idempotent call again while earlier attempts are unanswered."""

import asyncio
import collections.abc
import typing

from basilspindle import clock as clock_module
from basilspindle import errors

# Bounds the calls that are open while the store does not answer.
_MAX_IN_FLIGHT = 7
# Pause after an attempt that failed.
_ERROR_PAUSE_MS = 60
# Upper bound on the doubled delay between attempts.
_MAX_HEDGE_DELAY_MS = 1_000

_T = typing.TypeVar('_T')
OnFailure = collections.abc.Callable[[errors.BasilspindleError], None]
Probe = collections.abc.Callable[[], collections.abc.Awaitable[object]]


class HedgedCall(typing.Generic[_T]):
    """Hedged call: a new attempt starts before the last one has failed.

    The store may be slow or an answer may be lost, and the first answer to
    any of the attempts counts. The delay between attempts doubles, since
    repeated calls add load to a slow store. It stays the same once ``probe``
    is answered: the store is then fast, and answers were lost. While an
    answer is arriving, no attempt starts, as it would share the link with that
    answer. Leaving the context cancels all attempts.
    """

    __slots__ = (
        '_clock',
        '_call',
        '_on_failure',
        '_probe',
        '_probe_future',
        '_in_flight',
        '_has_progressed',
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
        self._probe_future: asyncio.Future[object] | None = None
        self._in_flight: set[asyncio.Future[_T]] = set()
        self._has_progressed = False

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *_: object) -> None:
        unfinished: set[asyncio.Future[typing.Any]] = {*self._in_flight}
        if self._probe_future is not None:
            unfinished.add(self._probe_future)
        for future in unfinished:
            future.cancel()
            # Nothing waits for the result or error of this attempt.
            future.add_done_callback(_ignore_result)
        self._in_flight.clear()

    def note_progress(self) -> None:
        """Note that a part of an answer has come."""
        self._has_progressed = True

    async def first_answer(self, delay_ms: int) -> _T:
        """Return the first answer; the second attempt is after ``delay_ms``.

        ``LogUnavailable`` and ``LogOutcomeUnknown`` lead to another attempt;
        any other error of the call is raised.
        """
        while True:
            is_arriving = self._has_progressed and bool(self._in_flight)
            self._has_progressed = False
            if not is_arriving and len(self._in_flight) < _MAX_IN_FLIGHT:
                self._in_flight.add(asyncio.ensure_future(self._call()))
            if self._probe is not None and self._probe_future is None:
                # Early enough to be answered before the second attempt.
                await self._wait(delay_ms // 2)
                if not any(future.done() for future in self._in_flight):
                    self._probe_future = asyncio.ensure_future(self._probe())
                    await self._wait(delay_ms - delay_ms // 2)
            else:
                await self._wait(delay_ms)
            failed = False
            for future in [call for call in self._in_flight if call.done()]:
                self._in_flight.discard(future)
                try:
                    return future.result()
                except (
                    errors.LogUnavailable,
                    errors.LogOutcomeUnknown,
                ) as error:
                    self._on_failure(error)
                    failed = True
            if failed:
                await self._clock.sleep_ms(_ERROR_PAUSE_MS)
            if not self._is_probe_answered():
                delay_ms = min(2 * delay_ms, _MAX_HEDGE_DELAY_MS)

    def _is_probe_answered(self) -> bool:
        probe = self._probe_future
        if probe is None or not probe.done():
            return False
        return not probe.cancelled() and probe.exception() is None

    async def _wait(self, delay_ms: int) -> None:
        timer = asyncio.ensure_future(self._clock.sleep_ms(delay_ms))
        try:
            await asyncio.wait(
                {*self._in_flight, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()


def _ignore_result(future: asyncio.Future[typing.Any]) -> None:
    if not future.cancelled():
        future.exception()
