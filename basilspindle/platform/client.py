"""Send HTTP/1.1 requests over kept connections."""

import asyncio
import collections
import typing

import httptools

from basilspindle.cell import link as link_module
from basilspindle.cell import metrics
from basilspindle import errors

_CONNECT_MS = 800
# Servers close idle connections; an older one is opened anew instead.
_IDLE_MS = 20_000
# Connections of one process where the settings name no limit.
_CONNECTIONS = 3_000


class Answer(typing.NamedTuple):
    """Status and body of a response."""

    status: int
    body: bytes


class CallFailed(errors.BasilspindleError):
    """Report a call without an answer.

    ``sent`` tells that it may have arrived, ``refused`` that no process
    listens at the address.
    """

    kind = 'call_failed'
    status = 503

    def __init__(
        self, message: str, *, sent: bool, refused: bool = False
    ) -> None:
        super().__init__(
            message, ran=errors.Ran.UNKNOWN if sent else errors.Ran.NO
        )
        self.sent = sent
        self.refused = refused


class _Connection(asyncio.Protocol):
    """One connection with at most one request under way."""

    __slots__ = (
        'transport',
        'idle_since_s',
        'made_s',
        'closed',
        '_opened',
        '_parser',
        '_waiter',
        '_chunks',
    )

    def __init__(self, opened: 'set[_Connection]') -> None:
        # The set that lists this connection while it is open.
        self._opened = opened
        self.transport: asyncio.Transport | None = None
        self.idle_since_s = 0.0
        self.made_s = 0.0
        self.closed = False
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[Answer] | None = None
        self._chunks: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._opened.add(self)
        link_module.configure_socket(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._opened.discard(self)
        self._fail(f'the connection ended: {exc or "closed"}')

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f'the response is no HTTP: {error}')
            self.close()

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body."""
        self._chunks.append(body)

    def on_message_complete(self) -> None:
        """Deliver a whole response."""
        answer = Answer(self._parser.get_status_code(), b''.join(self._chunks))
        self._chunks = []
        keep = self._parser.should_keep_alive()
        self._parser = httptools.HttpResponseParser(self)
        if not keep:
            self.close()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(answer)

    def send(self, data: bytes) -> asyncio.Future[Answer]:
        """Send a request and return the future of its response."""
        assert self.transport is not None
        self._waiter = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self._waiter

    def close(self) -> None:
        """End the connection at once."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, reason: str) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(CallFailed(reason, sent=True))


class Client:
    """Keep connections to many servers; the one client of the platform."""

    __slots__ = (
        '_idle',
        '_loop',
        '_silent_s',
        '_names',
        '_limit',
        '_open',
        '_oldest',
    )

    def __init__(
        self,
        names: dict[str, str] | None = None,
        limit: int = _CONNECTIONS,
    ) -> None:
        # Beyond this many connections, the one idle for longest is closed.
        self._limit = limit
        self._open: set[_Connection] = set()
        self._oldest: dict[_Connection, None] = {}
        # Names of dependencies by address, for metrics.
        self._names = names or {}
        self._idle: dict[str, collections.deque[_Connection]] = {}
        self._loop: asyncio.AbstractEventLoop | None = None
        # When a server last left a request unanswered.
        self._silent_s: dict[str, float] = {}

    async def __aenter__(self) -> typing.Self:
        self._loop = asyncio.get_running_loop()
        return self

    async def __aexit__(self, *_: object) -> None:
        for kept in self._idle.values():
            for connection in kept:
                connection.close()
        self._idle.clear()

    def name_of(self, address: str) -> str:
        """Return the dependency at an address; most are workers."""
        return self._names.get(address, 'worker')

    def forget(self, address: str) -> None:
        """Close the idle connections to a server."""
        for connection in self._idle.pop(address, ()):
            self._oldest.pop(connection, None)
            connection.close()

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b'',
        *,
        timeout_ms: int,
        headers: tuple[tuple[str, str], ...] = (),
        content_type: str = 'application/json',
    ) -> Answer:
        """Return the response; raises ``CallFailed`` without one."""
        begun_s = self._now_s()
        data = _encode(address, method, path, body, headers, content_type)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                connection = await self._take(address)
                try:
                    answer = await connection.send(data)
                except BaseException:
                    connection.close()
                    raise
        except TimeoutError:
            # Connections that went silent without a reset would each cost
            # another timeout.
            self.forget(address)
            self._silent_s[address] = self._now_s()
            metrics.CALL_FAILURES.labels(self.name_of(address)).inc()
            raise CallFailed(
                f'no response from {address} within {timeout_ms} ms; check '
                'that it runs and is reachable',
                sent=True,
            ) from None
        metrics.CALL_SECONDS.labels(self.name_of(address)).observe(
            self._now_s() - begun_s
        )
        if connection.made_s < self._silent_s.get(address, 0.0):
            # Made before the server went silent: it may be next to do so.
            connection.close()
        if not connection.closed:
            connection.idle_since_s = self._now_s()
            self._oldest[connection] = None
            self._idle.setdefault(address, collections.deque()).append(
                connection
            )
        return answer

    def _make_room(self) -> None:
        # Descriptors are few against many workers; an idle connection to one
        # must not keep another from being reached.
        while len(self._open) >= self._limit and self._oldest:
            connection = next(iter(self._oldest))
            del self._oldest[connection]
            connection.close()
            self._open.discard(connection)

    def _now_s(self) -> float:
        assert self._loop is not None
        return self._loop.time()

    async def _take(self, address: str) -> _Connection:
        kept = self._idle.get(address)
        oldest_s = self._now_s() - _IDLE_MS / 1000
        while kept:
            connection = kept.pop()
            self._oldest.pop(connection, None)
            if connection.closed:
                continue
            if connection.idle_since_s < oldest_s:
                connection.close()
                continue
            return connection
        host, _, port = address.rpartition(':')
        assert self._loop is not None
        self._make_room()
        try:
            async with asyncio.timeout(_CONNECT_MS / 1000):
                _, made = await self._loop.create_connection(
                    lambda: _Connection(self._open), host, int(port)
                )
        except (OSError, TimeoutError, ValueError) as error:
            raise CallFailed(
                f'no connection to {address}: {error!r}; check that it runs '
                'and is reachable',
                sent=False,
                refused=isinstance(error, ConnectionRefusedError),
            ) from error
        made.made_s = self._now_s()
        return made


def _encode(
    address: str,
    method: str,
    path: str,
    body: bytes,
    headers: tuple[tuple[str, str], ...],
    content_type: str,
) -> bytes:
    lines = [f'{method} {path} HTTP/1.1', f'Host: {address}']
    lines += [f'{name}: {value}' for name, value in headers]
    if body or method == 'POST':
        lines.append(f'Content-Type: {content_type}')
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body
