"""Call other daemons."""

import ssl as ssl_module
import types
import typing

from grpclib import exceptions
from h2 import exceptions as h2_exceptions
import msgspec

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.peer import codec
from basilspindle.peer import events as peer_events
from basilspindle.peer import link as link_module
from basilspindle.peer import messages

# A call on a connection that closes under it ends in any of these; grpclib
# drops its attributes at the close, hence the last two.
_LOST = (
    h2_exceptions.H2Error,
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    exceptions.ProtocolError,
    msgspec.MsgspecError,
    OSError,
    AssertionError,
    AttributeError,
)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal():
        raise errors.PeerUnavailable(
            f'"{address}" is no address of the form ip:port; correct the '
            'settings of that daemon'
        )
    return host.strip('[]'), int(port)


class PeerClient:
    """Call daemons by ``ip:port``, over one shared connection to each."""

    __slots__ = ('_clock', '_codec', '_links', '_refused', '_ssl')

    def __init__(
        self,
        clock: clock_module.Clock,
        *,
        ssl: ssl_module.SSLContext | None = None,
    ) -> None:
        self._clock = clock
        self._ssl = ssl
        self._codec = codec.Codec()
        self._links: dict[str, link_module.Link] = {}
        self._refused: set[str] = set()

    async def __aenter__(self) -> 'PeerClient':
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for link in self._links.values():
            link.close()
        self._links.clear()

    async def call(
        self, address: str, request: msgspec.Struct, timeout_ms: int
    ) -> typing.Any:
        """Send a request and return the reply of its type.

        Raises ``PeerUnavailable`` if the call certainly did not reach the
        peer, ``PeerOutcomeUnknown`` if it may have, and the error that the
        handler raised there.
        """
        until_ms = self._clock.now_ms() + timeout_ms
        link = await self._connected(address, timeout_ms)
        left_ms = max(0, until_ms - self._clock.now_ms())
        reply = await self._exchange(address, link, request, left_ms)
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
        """Tell whether the last connection to the address was refused."""
        return address in self._refused

    def lost(self, address: str) -> bool:
        """Tell whether the connection was closed and not yet reopened."""
        link = self._links.get(address)
        return link is not None and link.lost

    def drop(self, address: str) -> None:
        """Close the connection to an address that is no longer used."""
        self._refused.discard(address)
        link = self._links.pop(address, None)
        if link is not None:
            link.retire()

    async def _connected(
        self, address: str, timeout_ms: int
    ) -> link_module.Link:
        link = self._links.get(address)
        if link is None:
            host, port = _split(address)
            link = link_module.Link(host, port, self._codec, self._ssl)
            self._links[address] = link
        try:
            await self._clock.wait_for(link.connect(), timeout_ms)
        except ConnectionRefusedError:
            self._refused.add(address)
            raise errors.PeerUnavailable(
                f'{address} refuses connections; check that a daemon runs '
                'there'
            ) from None
        except (OSError, errors.DeadlineExceeded) as error:
            self._refused.discard(address)
            raise errors.PeerUnavailable(
                f'no connection to {address}: {error}; check the network'
            ) from None
        self._refused.discard(address)
        return link

    async def _exchange(
        self,
        address: str,
        link: link_module.Link,
        request: msgspec.Struct,
        timeout_ms: int,
    ) -> msgspec.Struct:
        try:
            return await self._clock.wait_for(
                link.exchange(request), timeout_ms
            )
        except errors.DeadlineExceeded:
            self._retire(address, link)
            reason = f'no reply within {timeout_ms} ms'
        except _LOST as error:
            reason = str(error) or type(error).__name__
        raise errors.PeerOutcomeUnknown(
            f'{type(request).__name__} to {address}: {reason}; query the '
            'state before a repetition'
        )

    def _retire(self, address: str, link: link_module.Link) -> None:
        # A connection may go silent for ever while new ones work.
        if self._links.get(address) is link:
            del self._links[address]
            events.emit(peer_events.CONNECTION_RETIRED, address=address)
        link.retire()
