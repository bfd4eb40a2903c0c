"""Limit the concurrent requests that wait for a result."""

import contextlib
import typing

from basilspindle import errors

_RETRY_AFTER_MS = 1_000


class RequestLimiter:
    """Admit at most ``max_requests`` requests at a time."""

    __slots__ = ('_max_requests', '_active')

    def __init__(self, max_requests: int) -> None:
        self._max_requests = max_requests
        self._active = 0

    @contextlib.contextmanager
    def admit(self) -> typing.Iterator[None]:
        """Count a request as active; raise ``Overloaded`` at the limit."""
        if self._active >= self._max_requests:
            raise errors.Overloaded(
                f'{self._max_requests} requests are already waiting on this '
                'daemon, which is its limit; try again later, or submit to '
                '/v1/jobs and fetch the result afterwards',
                retry_after_ms=_RETRY_AFTER_MS,
            )
        self._active += 1
        try:
            yield
        finally:
            self._active -= 1
