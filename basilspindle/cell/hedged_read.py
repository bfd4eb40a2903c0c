"""Read again on another connection if an answer does not begin in time."""

import asyncio
import collections.abc
import typing

_T = typing.TypeVar('_T')
OnProgress = collections.abc.Callable[[], None]
Read = collections.abc.Callable[
    [OnProgress], collections.abc.Coroutine[typing.Any, typing.Any, _T]
]


class HedgedRead(typing.Generic[_T]):
    """Read with at most one more attempt, unless an answer is arriving."""

    __slots__ = ('_read', '_has_progressed')

    def __init__(self, read: Read[_T]) -> None:
        self._read = read
        self._has_progressed = False

    async def first_answer(self, delay_ms: int) -> _T:
        """Return the first answer, or raise the error that comes first.

        The second attempt starts after ``delay_ms`` without a part of an
        answer.
        """
        attempts = [self._start()]
        try:
            done, _ = await asyncio.wait(attempts, timeout=delay_ms / 1000)
            if not done and not self._has_progressed:
                attempts.append(self._start())
            await asyncio.wait(attempts, return_when=asyncio.FIRST_COMPLETED)
            ended = [attempt for attempt in attempts if attempt.done()]
            answered = [each for each in ended if each.exception() is None]
            return (answered or ended)[0].result()
        finally:
            for attempt in attempts:
                attempt.cancel()

    def _start(self) -> asyncio.Task[_T]:
        return asyncio.ensure_future(self._read(self._note_progress))

    def _note_progress(self) -> None:
        self._has_progressed = True
