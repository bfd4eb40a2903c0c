"""Read the body of a request within a limit."""

import collections.abc
import typing

from basilspindle import errors

Receive = collections.abc.Callable[
    [], collections.abc.Awaitable[dict[str, typing.Any]]
]


async def read(receive: Receive, max_bytes: int) -> bytes:
    """Return a whole body; raises ``TooLarge`` or ``CallerGone``."""
    chunks = []
    size = 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise errors.CallerGone(
                'the caller disconnected before the end of the body'
            )
        chunk = message.get('body', b'')
        size += len(chunk)
        if size > max_bytes:
            raise errors.TooLarge(
                f'the body is longer than {max_bytes} bytes; shorten it'
            )
        chunks.append(chunk)
        if not message.get('more_body'):
            return b''.join(chunks)
