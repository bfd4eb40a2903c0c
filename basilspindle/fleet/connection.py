"""Send HTTP requests to one worker."""

import collections.abc
import ssl
import typing

import httpx

from basilspindle import clock as clock_module
from basilspindle import errors

Guard = collections.abc.Callable[[], None]
TransportFactory = collections.abc.Callable[[], httpx.AsyncBaseTransport]

_KEEP_ALIVE_S = 60.0
_SEND_STARTED = 'http11.send_request_headers.started'
# Shared by all connections: a context costs about a megabyte, and workers
# speak plain HTTP.
_CONTEXT = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


class Connection:
    """Keep a bounded set of connections to one worker.

    ``transport`` is called for every newly opened set and replaces the
    TCP connections in tests.
    """

    __slots__ = (
        '_address',
        '_clock',
        '_limit',
        '_factory',
        '_transport',
        '_path',
        '_url',
    )

    def __init__(
        self,
        address: str,
        clock: clock_module.Clock,
        limit: int,
        transport: TransportFactory | None = None,
    ) -> None:
        self._address = address
        self._clock = clock
        self._limit = limit
        self._factory = transport
        self._transport: httpx.AsyncBaseTransport | None = None
        # Parsing a URL takes a tenth of a request, and idle polls repeat it.
        self._path = ''
        self._url = httpx.URL()

    async def close(self) -> None:
        """Close all connections; the next call opens new ones."""
        transport, self._transport = self._transport, None
        if transport is not None:
            await transport.aclose()

    async def send(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_ms: int,
        guard: Guard | None = None,
    ) -> tuple[int, bytes]:
        """Return status and body of the answer.

        ``guard`` runs immediately before the first byte is sent and may
        raise to prevent that. Raises ``WorkerUnavailable`` if nothing was
        sent and ``WorkerOutcomeUnknown`` if no answer came in time.
        """
        sending = _Sending(guard)
        request = self._build(method, path, body, timeout_ms, sending)
        try:
            return await self._clock.wait_ms(
                self._exchange(request, sending), timeout_ms
            )
        except (httpx.TransportError, errors.DeadlineExceeded) as fault:
            raise self._translate(fault, sending) from fault

    def _build(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_ms: int,
        sending: '_Sending',
    ) -> httpx.Request:
        headers = {'Host': self._address}
        if body:
            headers['Content-Type'] = 'application/json'
        if path != self._path:
            self._path = path
            self._url = httpx.URL(f'http://{self._address}{path}')
        timeout_s = timeout_ms / 1000
        return httpx.Request(
            method,
            self._url,
            headers=headers,
            content=body if method == 'POST' else None,
            extensions={
                'timeout': {'connect': timeout_s, 'pool': timeout_s},
                'trace': sending.trace,
            },
        )

    def _open(self) -> httpx.AsyncBaseTransport:
        if self._transport is None:
            if self._factory is not None:
                self._transport = self._factory()
            else:
                self._transport = httpx.AsyncHTTPTransport(
                    verify=_CONTEXT,
                    trust_env=False,
                    limits=httpx.Limits(
                        max_connections=self._limit,
                        max_keepalive_connections=self._limit,
                        keepalive_expiry=_KEEP_ALIVE_S,
                    ),
                )
        return self._transport

    async def _exchange(
        self, request: httpx.Request, sending: '_Sending'
    ) -> tuple[int, bytes]:
        transport = self._open()
        if not isinstance(transport, httpx.AsyncHTTPTransport):
            sending.begin()
        response = await transport.handle_async_request(request)
        try:
            return response.status_code, await response.aread()
        finally:
            await response.aclose()

    def _translate(
        self, fault: Exception, sending: '_Sending'
    ) -> errors.WorkerError:
        unsent = not sending.begun or isinstance(
            fault,
            (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout),
        )
        if unsent:
            return errors.WorkerUnavailable(
                f'worker at {self._address} cannot be reached: '
                f'{fault or type(fault).__name__}; check that it runs'
            )
        return errors.WorkerOutcomeUnknown(
            f'worker at {self._address} did not answer: '
            f'{fault or type(fault).__name__}; query its inventory'
        )


class _Sending:
    """Know whether a request began to be sent."""

    __slots__ = ('begun', '_guard')

    def __init__(self, guard: Guard | None) -> None:
        self.begun = False
        self._guard = guard

    def begin(self) -> None:
        if self._guard is not None:
            self._guard()
        self.begun = True

    async def trace(self, name: str, _info: dict[str, typing.Any]) -> None:
        if name == _SEND_STARTED:
            self.begin()
