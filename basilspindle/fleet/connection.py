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
# Shared by all connections, since a context takes about 1 MB. It is not
# used, as workers are called over plain HTTP.
_TLS_CONTEXT = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


class Connection:
    """Pool of at most ``limit`` HTTP connections to one worker.

    ``transport`` replaces the TCP connections in tests; it is called
    whenever the pool is opened.
    """

    __slots__ = (
        '_address',
        '_clock',
        '_limit',
        '_transport_factory',
        '_transport',
        '_cached_path',
        '_cached_url',
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
        self._transport_factory = transport
        self._transport: httpx.AsyncBaseTransport | None = None
        # Idle polls repeat the same path; parsing its URL takes about a
        # tenth of the time of a request.
        self._cached_path = ''
        self._cached_url = httpx.URL()

    async def close(self) -> None:
        """Close all connections; the next request opens new ones."""
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
        """Send a request and return the status and body of the answer.

        ``guard`` is called immediately before the first byte is sent and
        raises to prevent that. Raises ``WorkerUnavailable`` if nothing
        was sent, ``WorkerOutcomeUnknown`` if no answer came in time.
        """
        send_state = _SendState(guard)
        try:
            request = self._build(method, path, body, timeout_ms, send_state)
        except (httpx.InvalidURL, ValueError, OverflowError) as fault:
            raise errors.WorkerUnavailable(
                f'{self._address!r} is no address: {fault}; correct the VM '
                'list'
            ) from fault
        try:
            return await self._clock.wait_for(
                self._exchange(request, send_state), timeout_ms
            )
        except (httpx.TransportError, errors.DeadlineExceeded) as fault:
            raise self._to_worker_error(fault, send_state) from fault

    def _build(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout_ms: int,
        send_state: '_SendState',
    ) -> httpx.Request:
        headers = {'Host': self._address}
        if body:
            headers['Content-Type'] = 'application/json'
        if path != self._cached_path:
            self._cached_path = path
            self._cached_url = httpx.URL(f'http://{self._address}{path}')
        timeout_s = timeout_ms / 1000
        return httpx.Request(
            method,
            self._cached_url,
            headers=headers,
            content=body if method == 'POST' else None,
            extensions={
                'timeout': {'connect': timeout_s, 'pool': timeout_s},
                'trace': send_state.trace,
            },
        )

    def _get_transport(self) -> httpx.AsyncBaseTransport:
        if self._transport is None:
            if self._transport_factory is not None:
                self._transport = self._transport_factory()
            else:
                self._transport = httpx.AsyncHTTPTransport(
                    verify=_TLS_CONTEXT,
                    trust_env=False,
                    limits=httpx.Limits(
                        max_connections=self._limit,
                        max_keepalive_connections=self._limit,
                        keepalive_expiry=_KEEP_ALIVE_S,
                    ),
                )
        return self._transport

    async def _exchange(
        self, request: httpx.Request, send_state: '_SendState'
    ) -> tuple[int, bytes]:
        transport = self._get_transport()
        if not isinstance(transport, httpx.AsyncHTTPTransport):
            send_state.mark_started()
        response = await transport.handle_async_request(request)
        try:
            return response.status_code, await response.aread()
        finally:
            await response.aclose()

    def _to_worker_error(
        self, fault: Exception, send_state: '_SendState'
    ) -> errors.WorkerError:
        unsent = not send_state.started or isinstance(
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


class _SendState:
    """Record whether sending a request has started."""

    __slots__ = ('started', '_guard')

    def __init__(self, guard: Guard | None) -> None:
        self.started = False
        self._guard = guard

    def mark_started(self) -> None:
        if self._guard is not None:
            self._guard()
        self.started = True

    async def trace(self, name: str, _info: dict[str, typing.Any]) -> None:
        if name == _SEND_STARTED:
            self.mark_started()
