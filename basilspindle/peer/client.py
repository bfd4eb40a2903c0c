"""Send requests to other daemons."""

import ssl as ssl_module
import types
import typing

from grpclib import exceptions
from h2 import exceptions as h2_exceptions
import msgspec

from basilspindle import clock as clock_module
from basilspindle import decoding
from basilspindle import errors
from basilspindle import events
from basilspindle.peer import codec
from basilspindle.peer import connection as connection_module
from basilspindle.peer import events as peer_events
from basilspindle.peer import messages

# Errors of a call whose connection is closed during the call or whose reply
# cannot be decoded. grpclib deletes attributes of a closed connection and so
# raises the last two.
_CONNECTION_ERRORS = (
    h2_exceptions.H2Error,
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    exceptions.ProtocolError,
    *decoding.FAULTS,
    OSError,
    AssertionError,
    AttributeError,
)


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal():
        raise errors.PeerUnavailable(
            f'"{address}" is not an address of the form ip:port; correct the '
            'settings of that daemon'
        )
    return host.strip('[]'), int(port)


class PeerClient:
    """Client for requests to daemons, with one connection to each.

    Daemons are addressed by ``ip:port``. Calls share the connection.
    """

    __slots__ = ('_clock', '_codec', '_connections', '_refused', '_ssl')

    def __init__(
        self,
        clock: clock_module.Clock,
        *,
        ssl: ssl_module.SSLContext | None = None,
    ) -> None:
        self._clock = clock
        self._ssl = ssl
        self._codec = codec.Codec()
        self._connections: dict[str, connection_module.Connection] = {}
        self._refused: set[str] = set()

    async def __aenter__(self) -> 'PeerClient':
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()

    async def call(
        self, address: str, request: msgspec.Struct, timeout_ms: int
    ) -> typing.Any:
        """Send a request and return the reply.

        Raises ``PeerUnavailable`` if the request certainly did not reach the
        peer, ``PeerOutcomeUnknown`` if it may have been received, and
        otherwise the error that the peer's handler raised.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        connection = await self._connect(address, timeout_ms)
        remaining_ms = max(0, deadline_ms - self._clock.now_ms())
        reply = await self._exchange(
            address, connection, request, remaining_ms
        )
        if isinstance(reply, messages.Fault):
            raise errors.build(
                reply.kind,
                reply.message,
                reply.ran,
                reply.retry_after_ms,
                reply.job_id,
            )
        return reply

    def refused(self, address: str) -> bool:
        """Tell whether the last connection attempt was refused."""
        return address in self._refused

    def lost(self, address: str) -> bool:
        """Tell whether the connection was closed and not yet reopened."""
        connection = self._connections.get(address)
        return connection is not None and connection.was_closed

    def drop(self, address: str) -> None:
        """Forget an address and close its connection once it is idle."""
        self._refused.discard(address)
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.retire()

    async def _connect(
        self, address: str, timeout_ms: int
    ) -> connection_module.Connection:
        connection = self._connections.get(address)
        if connection is None:
            host, port = _parse_address(address)
            connection = connection_module.Connection(
                host, port, self._codec, self._ssl
            )
            self._connections[address] = connection
        try:
            await self._clock.wait_for(connection.connect(), timeout_ms)
        except ConnectionRefusedError:
            self._refused.add(address)
            raise errors.PeerUnavailable(
                f'{address} refuses connections; check that a daemon is '
                'running there'
            ) from None
        except (OSError, errors.DeadlineExceeded) as error:
            self._refused.discard(address)
            raise errors.PeerUnavailable(
                f'no connection to {address}: {error}; check the network'
            ) from None
        self._refused.discard(address)
        return connection

    async def _exchange(
        self,
        address: str,
        connection: connection_module.Connection,
        request: msgspec.Struct,
        timeout_ms: int,
    ) -> msgspec.Struct:
        try:
            return await self._clock.wait_for(
                connection.exchange(request), timeout_ms
            )
        except errors.DeadlineExceeded:
            self._retire(address, connection)
            reason = f'no reply within {timeout_ms} ms'
        except _CONNECTION_ERRORS as error:
            reason = str(error) or type(error).__name__
        raise errors.PeerOutcomeUnknown(
            f'{type(request).__name__} request to {address} failed: {reason}; '
            'query the state before retrying'
        )

    def _retire(
        self, address: str, connection: connection_module.Connection
    ) -> None:
        # A connection can stay silent for ever while new ones work, so later
        # calls use a new one.
        if self._connections.get(address) is connection:
            del self._connections[address]
            events.emit(peer_events.CONNECTION_RETIRED, address=address)
        connection.retire()
