"""Serve the requests of other daemons."""

import asyncio
import collections.abc
import ssl as ssl_module
import types
import typing

from grpclib import exceptions
from grpclib import server
import msgspec

from basilspindle import decoding
from basilspindle import errors
from basilspindle import events
from basilspindle.peer import events as peer_events
from basilspindle.peer import grpc_server
from basilspindle.peer import messages

Handler = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[msgspec.Struct]
]


def _fault_of(error: errors.BasilspindleError) -> messages.Fault:
    return messages.Fault(
        kind=error.kind,
        message=error.message,
        ran=error.ran,
        retry_after_ms=error.retry_after_ms,
        job_id=error.job_id,
    )


class PeerServer:
    """A gRPC server with a unary method for each request type of ``REPLIES``.

    ``handlers`` maps request types to coroutine functions that return the
    reply. A request type without a handler is rejected with ``not_ready``.
    A handler runs to completion even if its caller has disconnected, so that
    no state change is cancelled halfway.
    """

    __slots__ = ('_handlers', '_port', '_running_tasks', '_server', '_ssl')

    def __init__(
        self,
        handlers: collections.abc.Mapping[type, Handler],
        *,
        ssl: ssl_module.SSLContext | None = None,
    ) -> None:
        self._handlers = dict(handlers)
        self._ssl = ssl
        self._server: grpc_server.GrpcServer | None = None
        self._running_tasks: set[asyncio.Task[msgspec.Struct]] = set()
        self._port = 0

    @property
    def port(self) -> int:
        """Return the port that the server listens on; 0 before the start."""
        return self._port

    async def __aenter__(self) -> 'PeerServer':
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()
        for task in self._running_tasks:
            task.cancel()
        await asyncio.gather(*self._running_tasks, return_exceptions=True)

    async def start(self, host: str, port: int) -> None:
        """Listen on an address; port 0 selects a free port.

        Raises ``OSError`` if the address cannot be bound.
        """
        self._server = grpc_server.GrpcServer(self._respond)
        await self._server.start(host, port, ssl=self._ssl)
        self._port = self._server.bound_port()

    async def drain(self, timeout_ms: int) -> bool:
        """Wait for running handlers; return whether all ended in time."""
        if not self._running_tasks:
            return True
        _, pending = await asyncio.wait(
            self._running_tasks, timeout=timeout_ms / 1000
        )
        return not pending

    def set_handler(self, request_type: type, handler: Handler) -> None:
        """Set the handler of a request type; allowed while serving."""
        self._handlers[request_type] = handler

    async def _respond(
        self, request_type: type[msgspec.Struct], stream: server.Stream
    ) -> None:
        try:
            request = await stream.recv_message()
        except decoding.FAULTS as error:
            reply: msgspec.Struct = self._undecodable_fault(
                request_type, error
            )
        else:
            reply = await self._handle(request_type, request)
        try:
            await stream.send_message(reply)
        except exceptions.StreamTerminatedError:
            return

    def _undecodable_fault(
        self, request_type: type, error: Exception
    ) -> messages.Fault:
        events.emit(
            peer_events.REQUEST_UNREADABLE,
            request=request_type.__name__,
            error=str(error),
        )
        return _fault_of(
            errors.BadRequest(
                f'{request_type.__name__} request cannot be decoded: {error}; '
                'run compatible versions on all daemons'
            )
        )

    async def _handle(
        self, request_type: type, request: msgspec.Struct | None
    ) -> msgspec.Struct:
        handler = self._handlers.get(request_type)
        if handler is None or request is None:
            return _fault_of(
                errors.NotReady(
                    f'this daemon does not serve {request_type.__name__} '
                    'requests yet; retry later'
                )
            )
        task = asyncio.ensure_future(self._call_handler(handler, request))
        self._running_tasks.add(task)
        task.add_done_callback(self._running_tasks.discard)
        return await asyncio.shield(task)

    async def _call_handler(
        self, handler: Handler, request: msgspec.Struct
    ) -> msgspec.Struct:
        try:
            return await handler(request)
        except errors.BasilspindleError as error:
            return _fault_of(error)
        except Exception as error:
            events.emit(
                peer_events.HANDLER_FAILED,
                request=type(request).__name__,
                error=repr(error),
            )
            return messages.Fault(
                kind=errors.BasilspindleError.kind,
                message='the request failed in the other daemon; see its log',
                ran=errors.Ran.UNKNOWN,
            )
