"""Manage the HTTP/2 connection to another daemon."""

import ssl as ssl_module

from grpclib import client
from grpclib import protocol
import msgspec

from basilspindle.peer import codec
from basilspindle.peer import messages
from basilspindle.peer import protocol as protocol_module
from basilspindle.peer import service


class _Channel(client.Channel):
    """A gRPC channel with buffered writes."""

    def _protocol_factory(self) -> protocol.H2Protocol:
        base = super()._protocol_factory()
        return protocol_module.BufferedProtocol(
            base.handler, base.config, base.h2_config
        )


class Connection:
    """An HTTP/2 connection that concurrent calls share.

    A retired connection gets no new calls and is closed once it is idle.
    """

    __slots__ = ('_active_calls', '_channel', '_methods', 'retired')

    def __init__(
        self,
        host: str,
        port: int,
        shared_codec: codec.Codec,
        ssl: ssl_module.SSLContext | None,
    ) -> None:
        self._channel = _Channel(host, port, codec=shared_codec, ssl=ssl)
        self._methods: dict[type, client.UnaryUnaryMethod] = {}
        self._active_calls = 0
        self.retired = False

    @property
    def was_closed(self) -> bool:
        """Tell whether a connection that was open has been closed."""
        channel = self._channel
        return channel._protocol is not None and not channel._connected

    async def connect(self) -> None:
        """Open the connection unless it is open; raises ``OSError``."""
        await self._channel.__connect__()

    async def exchange(self, request: msgspec.Struct) -> msgspec.Struct:
        """Send a request and return the reply or a fault."""
        self._active_calls += 1
        try:
            return await self._method(type(request))(request)
        finally:
            self._active_calls -= 1
            if self.retired and not self._active_calls:
                self._channel.close()

    def retire(self) -> None:
        """Close the connection once it has no active calls."""
        self.retired = True
        if not self._active_calls:
            self._channel.close()

    def close(self) -> None:
        """Close the connection immediately; active calls fail."""
        self.retired = True
        self._channel.close()

    def _method(self, request_type: type) -> client.UnaryUnaryMethod:
        method = self._methods.get(request_type)
        if method is None:
            method = client.UnaryUnaryMethod(
                self._channel,
                service.path_of(request_type),
                request_type,
                messages.REPLIES[request_type],
            )
            self._methods[request_type] = method
        return method
