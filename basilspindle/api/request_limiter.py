"""Bound the requests that wait on this daemon at the same time."""

import contextlib
import typing

from basilspindle import errors

_RETRY_AFTER_MS = 1_000


class RequestLimiter:
    """Admit at most ``most`` requests at a time."""

    __slots__ = ('_most', '_inside')

    def __init__(self, most: int) -> None:
        self._most = most
        self._inside = 0

    @contextlib.contextmanager
    def enter(self) -> typing.Iterator[None]:
        """Count a request while it waits; raises ``Overloaded``."""
        if self._inside >= self._most:
            raise errors.Overloaded(
                f'{self._most} requests wait on this daemon already; try '
                'again later, or submit to /v1/jobs and ask for the result',
                retry_after_ms=_RETRY_AFTER_MS,
            )
        self._inside += 1
        try:
            yield
        finally:
            self._inside -= 1
