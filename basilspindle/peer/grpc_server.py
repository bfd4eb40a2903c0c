"""Serve peer requests with grpclib."""

import collections.abc
import weakref

from grpclib import const
from grpclib import protocol
from grpclib import server
import msgspec

from basilspindle.peer import codec
from basilspindle.peer import messages
from basilspindle.peer import protocol as protocol_module
from basilspindle.peer import service

Responder = collections.abc.Callable[
    [type[msgspec.Struct], server.Stream],
    collections.abc.Awaitable[None],
]


class _Service:
    """Map the path of each request type to the same respond function."""

    __slots__ = ('_respond',)

    def __init__(self, respond: Responder) -> None:
        self._respond = respond

    def __mapping__(self) -> dict[str, const.Handler]:
        return {
            service.path_of(request_type): self._handler(request_type)
            for request_type in messages.REPLIES
        }

    def _handler(self, request_type: type[msgspec.Struct]) -> const.Handler:
        async def run(stream: server.Stream) -> None:
            await self._respond(request_type, stream)

        return const.Handler(
            run,
            const.Cardinality.UNARY_UNARY,
            request_type,
            messages.REPLIES[request_type],
        )


class GrpcServer(server.Server):
    """A gRPC server that passes all requests to one respond function."""

    def __init__(self, respond: Responder) -> None:
        super().__init__([_Service(respond)], codec=codec.Codec())
        self._protocols: weakref.WeakSet[protocol_module.ServerProtocol] = (
            weakref.WeakSet()
        )

    def _protocol_factory(self) -> protocol.H2Protocol:
        base = super()._protocol_factory()
        connection = protocol_module.ServerProtocol(
            base.handler, base.config, base.h2_config
        )
        self._protocols.add(connection)
        return connection

    def close(self) -> None:
        """Stop listening and close every connection."""
        super().close()
        for connection in list(self._protocols):
            connection.close()

    def bound_port(self) -> int:
        """Return the port that the started server listens on."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]
