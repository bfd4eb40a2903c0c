"""Adjust the HTTP/2 connections between daemons."""

import typing

from grpclib import protocol
from h2 import settings

from basilspindle.peer import buffered_transport

# h2 announces 100 by default. Calls that wait for the end of a job would
# then keep heartbeats on the same connection waiting.
_MAX_STREAMS = 10_000


class BufferedProtocol(protocol.H2Protocol):
    """Send the frames of one pass of the loop together."""

    def connection_made(self, transport: typing.Any) -> None:
        """Write through a buffer."""
        super().connection_made(
            buffered_transport.BufferedTransport(transport)
        )


class ServerProtocol(BufferedProtocol):
    """Accept more concurrent calls on one connection."""

    def connection_made(self, transport: typing.Any) -> None:
        """Announce the limit right after the connection is made."""
        super().connection_made(transport)
        h2_connection = self.connection._connection
        h2_connection.update_settings(
            {settings.SettingCodes.MAX_CONCURRENT_STREAMS: _MAX_STREAMS}
        )
        self.connection.flush()

    def close(self) -> None:
        """Close the connection; grpclib leaves it open at a stop."""
        if hasattr(self, 'processor'):
            self.processor.close('the server stops')
