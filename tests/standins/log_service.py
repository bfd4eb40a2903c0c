"""Stand in for the log service, within a test or as a process."""

import asyncio
import collections.abc
import contextlib
import json
import socket
import typing
import urllib.parse

import click
import httpx
import msgspec
import uvicorn
from uvicorn.protocols.http import h11_impl

from basilspindle import clock as clock_module
from tests.standins import log_faults
from tests.standins import log_stream

_MAX_WAIT_MS = 30_000
_MAX_LIMIT = 1_000
_ABORT_EXTENSION = 'basilspindle.abort'

_Scope = collections.abc.MutableMapping[str, typing.Any]
_Receive = collections.abc.Callable[[], collections.abc.Awaitable[typing.Any]]
_Send = collections.abc.Callable[[typing.Any], collections.abc.Awaitable[None]]


class ConnectionDropped(Exception):
    """Signal that the connection of a request closes without an answer."""


class _BodyIncomplete(Exception):
    """Signal that a client disconnected while it sent the body."""


class LogService:
    """Log service as an ASGI application.

    Outside the log interface, ``/faults`` sets faults, ``/counts`` returns
    counts and a POST to a stream's ``/trim`` drops records.

    ``appends`` counts the records appended, ``requests`` the stream
    requests by method, ``bytes_in`` the bytes appended and ``bytes_out``
    those answered. ``append_arrivals_ms`` holds the times at which appends
    arrived, by stream. ``on_faults_changed`` is called when faults are set.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock | None = None,
        retention_ms: int = 3_600_000,
    ) -> None:
        self.clock = clock or clock_module.Clock()
        self.retention_ms = retention_ms
        self.faults = log_faults.LogFaults()
        self.streams: dict[str, log_stream.LogStream] = {}
        self.appends = 0
        self.append_arrivals_ms: dict[str, list[int]] = {}
        self.requests = {'GET': 0, 'POST': 0}
        self.bytes_in = 0
        self.bytes_out = 0
        self.on_faults_changed: collections.abc.Callable[[], None] = lambda: (
            None
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._stream_clients: set[tuple[str, int]] = set()
        self._silent_clients: set[tuple[str, int]] = set()

    def stream(self, name: str) -> log_stream.LogStream:
        """Return a stream without the records older than the retention."""
        stream = self.streams.setdefault(name, log_stream.LogStream())
        stream.expire(self.clock.now_ms() - self.retention_ms)
        return stream

    def trim(self, name: str, first_offset: int) -> None:
        """Drop the records of a stream below an offset."""
        self.stream(name).trim(first_offset)

    def transport(self) -> httpx.AsyncBaseTransport:
        """Return a transport that calls this service without a network."""
        return InProcessTransport(self)

    async def __call__(
        self, scope: _Scope, receive: _Receive, send: _Send
    ) -> None:
        """Handle one ASGI request or lifespan scope."""
        if scope['type'] == 'lifespan':
            return await _run_lifespan(receive, send)
        try:
            status, body = await self._answer(scope, receive)
            if tuple(scope['client']) in self._silent_clients:
                await _hang(receive)
        except ConnectionDropped:
            abort = scope.get('extensions', {}).get(_ABORT_EXTENSION)
            if abort is None:
                raise
            return abort()
        except _BodyIncomplete:
            return
        await self._reply(send, status, body)

    async def _reply(self, send: _Send, status: int, body: dict) -> None:
        data = json.dumps(body, separators=(',', ':')).encode()
        self.bytes_out += len(data)
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', str(len(data)).encode()),
        ]
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )
        await send({'type': 'http.response.body', 'body': data})

    async def _answer(
        self, scope: _Scope, receive: _Receive
    ) -> tuple[int, dict]:
        body = await _read_body(receive)
        parts = scope['path'].strip('/').split('/')
        if parts == ['faults']:
            return self._set_faults(scope['method'], body)
        if parts == ['counts']:
            return 200, self._counts()
        if parts[:2] != ['v1', 'streams'] or len(parts) != 4:
            return 404, {'error': 'path not found'}
        if scope['method'] == 'POST' and parts[3] == 'trim':
            self.trim(parts[2], json.loads(body)['first'])
            return 200, {'first': self.stream(parts[2]).first_offset}
        return await self._serve_stream(scope, receive, parts[2], body)

    async def _serve_stream(
        self, scope: _Scope, receive: _Receive, name: str, body: bytes
    ) -> tuple[int, dict]:
        method = scope['method']
        self._stream_clients.add(tuple(scope['client']))
        self.requests[method] = self.requests.get(method, 0) + 1
        if method == 'POST':
            self.append_arrivals_ms.setdefault(name, []).append(
                self.clock.now_ms()
            )
        if self._is_hanging(scope):
            await _hang(receive)
        if self.faults.down:
            return 503, {'error': 'down'}
        if method == 'POST':
            return await self._append(receive, name, body)
        query = urllib.parse.parse_qs(scope['query_string'].decode())
        return await self._read(name, query)

    def _is_hanging(self, scope: _Scope) -> bool:
        if self.faults.hang_requests > 0:
            self.faults.hang_requests -= 1
            return True
        return (
            self.faults.hang or tuple(scope['client']) in self._silent_clients
        )

    async def _append(
        self, receive: _Receive, name: str, body: bytes
    ) -> tuple[int, dict]:
        faults = self.faults
        if faults.lose_requests > 0:
            faults.lose_requests -= 1
            raise ConnectionDropped
        if faults.late_effects > 0:
            faults.late_effects -= 1
            self._schedule_late_append(name, body, faults.late_effect_ms)
            await _hang(receive)
        if faults.delay_ms:
            await self.clock.sleep_ms(faults.delay_ms)
        offset = self._apply_append(name, body)
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            raise ConnectionDropped
        return 200, {'offset': offset}

    def _apply_append(self, name: str, body: bytes) -> int:
        self.appends += 1
        self.bytes_in += len(body)
        return self.stream(name).append(body, self.clock.now_ms())

    def _schedule_late_append(
        self, name: str, body: bytes, delay_ms: int
    ) -> None:
        task = asyncio.ensure_future(
            self._apply_late_append(name, body, delay_ms)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _apply_late_append(
        self, name: str, body: bytes, delay_ms: int
    ) -> None:
        await self.clock.sleep_ms(delay_ms)
        self._apply_append(name, body)

    async def _read(
        self, name: str, query: dict[str, list[str]]
    ) -> tuple[int, dict]:
        from_offset = int(query['from'][0])
        limit = min(int(query.get('limit', ['100'])[0]), _MAX_LIMIT)
        wait_ms = min(int(query.get('wait_ms', ['0'])[0]), _MAX_WAIT_MS)
        if self.faults.delay_ms:
            await self.clock.sleep_ms(self.faults.delay_ms)
        stream = self.stream(name)
        if stream.next_offset <= from_offset and wait_ms > 0:
            await self._wait(stream, wait_ms)
        stream = self.stream(name)
        if from_offset < stream.first_offset:
            return 410, {'first': stream.first_offset}
        return 200, stream.read(from_offset, limit, self.clock.now_ms())

    async def _wait(self, stream: log_stream.LogStream, wait_ms: int) -> None:
        changed = asyncio.ensure_future(stream.changed.wait())
        timer = asyncio.ensure_future(self.clock.sleep_ms(wait_ms))
        try:
            await asyncio.wait(
                {changed, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            changed.cancel()
            timer.cancel()

    def _set_faults(self, method: str, body: bytes) -> tuple[int, dict]:
        if method == 'POST':
            merged = msgspec.to_builtins(self.faults) | json.loads(body)
            self.faults = msgspec.convert(merged, log_faults.LogFaults)
            if self.faults.silence:
                self.faults.silence = False
                self._silent_clients |= self._stream_clients
            self.on_faults_changed()
        return 200, msgspec.to_builtins(self.faults)

    def _counts(self) -> dict:
        return {
            'appends': self.appends,
            'requests': self.requests,
            'bytes_in': self.bytes_in,
            'bytes_out': self.bytes_out,
        }


class InProcessTransport(httpx.AsyncBaseTransport):
    """Transport that calls the service directly, with connection faults."""

    def __init__(self, service: LogService) -> None:
        self._service = service
        self._transport = httpx.ASGITransport(service)

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Return the response or raise the error of a failed connection."""
        if self._service.faults.refuse:
            raise httpx.ConnectError('connection refused', request=request)
        try:
            return await self._transport.handle_async_request(request)
        except ConnectionDropped:
            raise httpx.RemoteProtocolError(
                'connection closed without an answer', request=request
            ) from None


class _Protocol(h11_impl.H11Protocol):
    """HTTP protocol that lets the application abort its connection."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        wrapped_app = self.app

        async def app(scope: _Scope, receive: _Receive, send: _Send) -> None:
            extensions = scope.setdefault('extensions', {})
            extensions[_ABORT_EXTENSION] = self.transport.abort
            await wrapped_app(scope, receive, send)

        self.app = app


async def _hang(receive: _Receive) -> typing.NoReturn:
    # After the body, the next ASGI message is the disconnect.
    await receive()
    raise ConnectionDropped


async def _run_lifespan(receive: _Receive, send: _Send) -> None:
    while True:
        message = await receive()
        await send({'type': message['type'] + '.complete'})
        if message['type'] == 'lifespan.shutdown':
            return


async def _read_body(receive: _Receive) -> bytes:
    body = b''
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise _BodyIncomplete
        body += message.get('body', b'')
        if not message.get('more_body', False):
            return body


class LogServer(uvicorn.Server):
    """Server of a log service on loopback that can refuse connections."""

    def __init__(self, service: LogService, port: int = 0) -> None:
        super().__init__(
            uvicorn.Config(
                service,
                host='127.0.0.1',
                port=port,
                http=_Protocol,
                lifespan='off',
                log_level='critical',
                access_log=False,
                timeout_graceful_shutdown=0,
            )
        )
        self.port = port
        self._refusing = False
        self._service = service
        service.on_faults_changed = self._apply_faults

    async def startup(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Start listening and record the port if it was 0."""
        await super().startup(sockets)
        self.port = self.servers[0].sockets[0].getsockname()[1]

    def _apply_faults(self) -> None:
        refuse = self._service.faults.refuse
        if refuse and not self._refusing:
            self._refuse()
        elif self._refusing and not refuse:
            asyncio.ensure_future(self._listen())
        self._refusing = refuse

    def _refuse(self) -> None:
        for server in self.servers:
            server.close()
        for connection in list(self.server_state.connections):
            connection.transport.abort()

    async def _listen(self) -> None:
        server = await asyncio.get_running_loop().create_server(
            lambda: _Protocol(
                config=self.config,
                server_state=self.server_state,
                app_state={},
            ),
            '127.0.0.1',
            self.port,
        )
        self.servers = [server]


@contextlib.asynccontextmanager
async def serve(
    service: LogService, port: int = 0
) -> collections.abc.AsyncIterator[str]:
    """Serve on loopback in this process and yield the base URL."""
    server = LogServer(service, port)
    server.config.load()
    server.lifespan = server.config.lifespan_class(server.config)
    await server.startup()
    try:
        yield f'http://127.0.0.1:{server.port}'
    finally:
        for listener in server.servers:
            listener.close()
        for connection in list(server.server_state.connections):
            connection.transport.abort()


async def run(port: int, control_port: int, retention_ms: int) -> None:
    """Serve until cancelled.

    The control port, unless 0, serves the same paths and keeps answering
    while ``port`` refuses connections.
    """
    service = LogService(retention_ms=retention_ms)
    async with contextlib.AsyncExitStack() as stack:
        if control_port:
            await stack.enter_async_context(serve(service, control_port))
        await stack.enter_async_context(serve(service, port))
        await asyncio.get_running_loop().create_future()


@click.command()
@click.option('--port', type=int, required=True)
@click.option('--control-port', type=int, default=0)
@click.option('--retention-ms', type=int, default=3_600_000)
def main(port: int, control_port: int, retention_ms: int) -> None:
    """Run the stand-in as a process until it is interrupted."""
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run(port, control_port, retention_ms))


if __name__ == '__main__':
    main()
