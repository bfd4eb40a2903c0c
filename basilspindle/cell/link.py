"""Exchange messages between two daemons over one connection.

A call through a general RPC library costs each side more CPU time than the
rest of the handling of a forwarded request. Here a frame is a length prefix
followed by msgpack, and many requests may be in flight in both directions.
"""

import asyncio
import collections.abc
import itertools
import socket
import struct
import typing

import msgspec

from basilspindle.cell import events as cell_events
from basilspindle.cell import messages
from basilspindle.cell import metrics
from basilspindle import decoding
from basilspindle import errors
from basilspindle import events

Handler = collections.abc.Callable[
    [messages.Request], collections.abc.Awaitable[messages.Reply]
]

_LENGTH_BYTES = 4
# Larger than the largest job definition with its payload.
_MAX_FRAME_BYTES = 4 * 1024 * 1024
# A connection with data unacknowledged for this long is taken for dead.
_TCP_USER_TIMEOUT_MS = 3_000
# On, for 0 s: the system sends a reset in place of what it holds.
_NO_LINGER = struct.pack('ii', 1, 0)
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(messages.Frame)
_REQUESTS = typing.get_args(messages.Request)


class Link(asyncio.Protocol):
    """One connection between two daemons; both ends may send requests.

    ``node`` is the name of the node at the other end and ``incarnation`` its
    process, empty until they are known; ``number`` orders the links that this
    process has opened. ``epoch`` is that of the leader at the other end, 0
    unless it is followed. ``answers_dry_runs`` tells whether it is known to
    answer them. ``received_bytes`` counts what the other end has
    sent. ``on_ping`` is called once the other end has named itself.
    ``pending_ms`` is for users of the link: the expected duration of the
    advice calls in flight at the other end.
    """

    def __init__(
        self,
        handler: Handler,
        on_open: collections.abc.Callable[['Link'], None] | None = None,
        on_close: collections.abc.Callable[['Link'], None] | None = None,
        on_ping: collections.abc.Callable[['Link'], None] | None = None,
    ) -> None:
        self._handler = handler
        self._on_open = on_open
        self._on_close = on_close
        self._on_ping = on_ping
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._request_numbers = itertools.count(1)
        self._pending_replies: dict[int, asyncio.Future[messages.Reply]] = {}
        self._handler_tasks: set[asyncio.Task[None]] = set()
        self.closed = asyncio.Event()
        self.received_bytes = 0
        self.node = ''
        self.incarnation = ''
        self.number = 0
        self.epoch = 0
        self.answers_dry_runs = False
        self.keeps_starts = False
        self.pending_ms = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the socket and report the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        configure_socket(transport)
        if self._on_open is not None:
            self._on_open(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail all requests without a reply and cancel running handlers."""
        self.closed.set()
        pending_replies, self._pending_replies = self._pending_replies, {}
        for future in pending_replies.values():
            if not future.done():
                future.set_exception(_connection_lost())
        for task in self._handler_tasks:
            task.cancel()
        if self._on_close is not None:
            self._on_close(self)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes and dispatch complete frames."""
        self.received_bytes += len(data)
        buffer = self._buffer
        buffer += data
        start = 0
        while len(buffer) - start >= _LENGTH_BYTES:
            length = int.from_bytes(
                buffer[start : start + _LENGTH_BYTES], 'big'
            )
            if length > _MAX_FRAME_BYTES:
                self._abort('frame too long')
                return
            end = start + _LENGTH_BYTES + length
            if len(buffer) < end:
                break
            with memoryview(buffer) as view:
                payload = bytes(view[start + _LENGTH_BYTES : end])
            start = end
            try:
                frame = _DECODER.decode(payload)
            except decoding.FAULTS as error:
                self._abort(str(error))
                return
            self._dispatch(frame, length)
        if start:
            del buffer[:start]

    def close(self) -> None:
        """Close the connection; the system still delivers what it holds.

        For a connection whose replies the other end may wait for.
        """
        if self._transport is not None:
            self._transport.abort()

    def discard(self) -> None:
        """Close the connection and drop what was not delivered.

        For a connection over which nothing sent is of use any more.
        """
        if self._transport is not None and not self.closed.is_set():
            abort_undelivered(self._transport)

    async def call(
        self, request: messages.Request, timeout_ms: int
    ) -> messages.Reply:
        """Send a request and return the reply.

        Raises ``PeerOutcomeUnknown`` if no reply comes and
        ``PeerUnavailable`` if the connection was closed before the call.
        """
        if (
            self.closed.is_set()
            or self._transport is None
            or self._transport.is_closing()
        ):
            raise errors.PeerUnavailable(
                'the connection to the daemon is closed; connect again',
                ran=errors.Ran.NO,
            )
        number = next(self._request_numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending_replies[number] = future
        self._send(number, request)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await future
        except TimeoutError:
            raise errors.PeerOutcomeUnknown(
                f'no reply from {self.node or "a daemon"} within '
                f'{timeout_ms} ms; ask again',
                ran=errors.Ran.UNKNOWN,
            ) from None
        finally:
            self._pending_replies.pop(number, None)

    def _send(
        self, number: int, message: messages.Request | messages.Reply
    ) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        payload = _ENCODER.encode(messages.Frame(number, message))
        self._transport.write(
            len(payload).to_bytes(_LENGTH_BYTES, 'big') + payload
        )

    def _dispatch(self, frame: messages.Frame, size_bytes: int) -> None:
        if isinstance(frame.message, _REQUESTS):
            task = asyncio.ensure_future(
                self._answer(frame.number, frame.message)
            )
            self._handler_tasks.add(task)
            task.add_done_callback(self._handler_tasks.discard)
            return
        future = self._pending_replies.get(frame.number)
        if future is not None and not future.done():
            future.set_result(frame.message)
        else:
            metrics.LATE_REPLY_BYTES.inc(size_bytes)

    async def _answer(self, number: int, request: messages.Request) -> None:
        if isinstance(request, messages.Ping):
            is_first = not self.node
            self.node = request.node
            self.incarnation = request.incarnation
            self.number = request.link_number
            self.keeps_starts = request.keeps_starts
            if is_first and self._on_ping is not None:
                self._on_ping(self)
        try:
            reply = await self._handler(request)
        except Exception as error:
            # The outcome is unknown, so the other end asks again.
            events.emit(
                cell_events.INTERNAL_FAULT,
                part=type(request).__qualname__,
                error=repr(error),
            )
            reply = messages.NotLeading()
        self._send(number, reply)

    def _abort(self, reason: str) -> None:
        events.emit(cell_events.LINK_BROKEN, node=self.node, reason=reason)
        self.close()


async def connect(address: str, handler: Handler, timeout_ms: int) -> Link:
    """Connect to a daemon and return the link.

    Raises ``ConnectionRefusedError`` if no process listens there and
    ``PeerUnavailable`` if the daemon cannot be reached.
    """
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            _, link = await asyncio.get_running_loop().create_connection(
                lambda: Link(handler), host, int(port)
            )
    except ConnectionRefusedError:
        raise
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        raise errors.PeerUnavailable(
            f'no connection to the daemon at {address}: {error!r}; check '
            'that it runs and is reachable'
        ) from error
    return link


def configure_socket(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm and detect peers that stop responding."""
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
    )


def abort_undelivered(transport: asyncio.Transport) -> None:
    """Close a connection and drop what the other end has not received.

    After a plain abort, the system goes on to send what it holds.
    """
    sock = transport.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()


def _connection_lost() -> errors.PeerOutcomeUnknown:
    return errors.PeerOutcomeUnknown(
        'the connection to the leading daemon was lost; ask again',
        ran=errors.Ran.UNKNOWN,
    )
