"""Serve a stand-in over HTTP on loopback and inject faults."""

import asyncio
import collections.abc
import contextlib
import json
import socket
import typing
import urllib.parse

import httptools

from tests.standins import local_cluster

# A limited link carries responses in pieces of this size.
_SEGMENT_BYTES = 4_096
_GARBLED_BYTES = 7


class Reply(typing.NamedTuple):
    """Status and body of a response."""

    status: int
    body: bytes = b'{}'
    is_stalled: bool = False


class Request(typing.NamedTuple):
    """Request with its decoded query."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Return the body as JSON."""
        return json.loads(self.body)


# Returns the fault of a request: '' for none, 'silent' does not handle it and
# sends no response, 'reset' closes the connection, 'lost' handles it but sends
# no response, 'late' handles it ``late_s`` later and sends no response,
# 'stalled' sends only the first half of the response, 'garbled' only the
# first few bytes of its body, and a number is the status of the response.
Fault = collections.abc.Callable[[Request], str]
Handler = collections.abc.Callable[[Request], collections.abc.Awaitable[Reply]]


def hold_port() -> socket.socket:
    """Return a socket that keeps a port on loopback from other processes.

    Others may listen there; as long as nobody does, connections are refused.
    The port is drawn from those of this process: a test process that listens
    again at an ephemeral port could take it (soak seed 13, where a daemon
    then reached the daemons of another test).
    """
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(('127.0.0.1', local_cluster.free_port()))
    return holder


class Server:
    """HTTP server that injects the faults chosen by ``fault``."""

    def __init__(self, handler: Handler) -> None:
        self.fault: Fault = lambda request: ''
        # Delay before each request is handled.
        self.delay_s = 0.0
        # How long after its arrival a late request is handled.
        self.late_s: collections.abc.Callable[[], float] = lambda: 1.0
        # Rate of the link that all responses share, 0 for no limit.
        self.link_bytes_s = 0.0
        self._link_free_s = 0.0
        self.sent_bytes = 0
        self.requests: list[Request] = []
        self._handler = handler
        self._server: asyncio.Server | None = None
        # Holds the port while the server refuses connections.
        self._holder: socket.socket | None = None
        self._port = 0
        self.connections: set[_Connection] = set()
        self._late_tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return the address as ``host:port``."""
        return f'127.0.0.1:{self._port}'

    async def __aenter__(self) -> typing.Self:
        await self.listen()
        return self

    async def listen(self) -> None:
        """Accept connections, after ``refuse`` at the same port again."""
        if self._holder is None:
            self._holder = hold_port()
            self._port = self._holder.getsockname()[1]
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _Connection(self), '127.0.0.1', self._port
        )

    def refuse(self) -> None:
        """Reset all connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.close()

    def lose_connections(self) -> None:
        """Never answer on the open connections again, as after a power loss.

        The other end notices when it sends something: that resets them.
        """
        for connection in self.connections:
            connection.is_lost = True

    async def __aexit__(self, *_: object) -> None:
        self.refuse()
        if self._holder is not None:
            self._holder.close()
        for task in self._late_tasks:
            task.cancel()

    async def serve(self, request: Request) -> Reply | None:
        """Return the reply to a request, None to send no response."""
        self.requests.append(request)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        fault = self.fault(request)
        if fault == 'silent':
            return None
        if fault == 'reset':
            raise ConnectionResetError
        if fault.isdigit():
            return Reply(int(fault))
        if fault == 'late':
            task = asyncio.ensure_future(self._serve_late(request))
            self._late_tasks.add(task)
            return None
        reply = await self._handler(request)
        if fault == 'stalled':
            return reply._replace(is_stalled=True)
        if fault == 'garbled':
            return reply._replace(body=reply.body[:_GARBLED_BYTES])
        return None if fault == 'lost' else reply

    async def wait_for_link(self, size_bytes: int) -> None:
        """Wait until the link has carried some more bytes."""
        self.sent_bytes += size_bytes
        if not self.link_bytes_s:
            return
        now_s = asyncio.get_running_loop().time()
        self._link_free_s = (
            max(now_s, self._link_free_s) + size_bytes / self.link_bytes_s
        )
        await asyncio.sleep(self._link_free_s - now_s)

    async def _serve_late(self, request: Request) -> None:
        await asyncio.sleep(self.late_s())
        with contextlib.suppress(ConnectionResetError):
            # Nobody is there to carry it out.
            await self._handler(request)


class _Connection(asyncio.Protocol):
    def __init__(self, server: Server) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self.is_lost = False
        self._begin()

    def _begin(self) -> None:
        self._url = b''
        self._headers: dict[str, str] = {}
        self._body = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)

    def close(self) -> None:
        assert self._transport is not None
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.is_lost:
            self.close()
            return
        self._parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        parsed = urllib.parse.urlsplit(self._url.decode())
        request = Request(
            self._parser.get_method().decode(),
            parsed.path,
            dict(urllib.parse.parse_qsl(parsed.query)),
            self._headers,
            self._body,
        )
        self._begin()
        asyncio.ensure_future(self._answer(request))

    async def _answer(self, request: Request) -> None:
        assert self._transport is not None
        try:
            reply = await self._server.serve(request)
        except ConnectionResetError:
            self.close()
            return
        if reply is None or self.is_lost:
            return
        head = (
            f'HTTP/1.1 {reply.status} X\r\n'
            f'Content-Length: {len(reply.body)}\r\n\r\n'
        )
        data = head.encode() + reply.body
        if reply.is_stalled:
            data = data[: len(data) // 2]
        for start in range(0, len(data), _SEGMENT_BYTES):
            segment = data[start : start + _SEGMENT_BYTES]
            await self._server.wait_for_link(len(segment))
            if self._transport.is_closing():
                return
            self._transport.write(segment)
