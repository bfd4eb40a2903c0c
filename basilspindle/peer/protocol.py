"""Adapt the HTTP/2 protocol of grpclib to calls between daemons."""

import typing

from grpclib import protocol
from h2 import settings

from basilspindle.peer import buffered_transport

# The default of h2 is 100. Calls that wait for the end of a job could then use
# up all streams, and heartbeats on the same connection would have to wait.
_MAX_STREAMS = 10_000


class BufferedProtocol(protocol.H2Protocol):
    """Combine the frames of one event loop iteration into one write."""

    def connection_made(self, transport: typing.Any) -> None:
        """Wrap the transport in a buffer."""
        super().connection_made(
            buffered_transport.BufferedTransport(transport)
        )


class ServerProtocol(BufferedProtocol):
    """Server protocol with a higher limit of concurrent streams."""

    def connection_made(self, transport: typing.Any) -> None:
        """Send the stream limit to the client."""
        super().connection_made(transport)
        h2_connection = self.connection._connection
        h2_connection.update_settings(
            {settings.SettingCodes.MAX_CONCURRENT_STREAMS: _MAX_STREAMS}
        )
        self.connection.flush()

    def close(self) -> None:
        """Close the connection; grpclib leaves it open on shutdown."""
        if hasattr(self, 'processor'):
            self.processor.close('the server stops')
