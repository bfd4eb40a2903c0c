"""Talk to the log service over HTTP."""

import types
import typing

import httpx
import msgspec

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.journal import chunk as chunk_module
from basilspindle.journal import events as journal_events

_MAX_CONNECTIONS = 64
_MAX_IDLE_CONNECTIONS = 16
# Servers commonly close a connection after 5 s without a request; an append
# sent at that moment would have an unknown outcome.
_KEEP_ALIVE_S = 3.0
_RETRY_AFTER_MS = 1_000
_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)
# A 4xx answer is a refusal; the log took nothing.
_REFUSED_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 422, 429, 503})


class _Appended(msgspec.Struct, frozen=True):
    offset: int


class _Trimmed(msgspec.Struct, frozen=True):
    first: int


class LogClient:
    """Append to and read from streams; share one in a process.

    ``down_since_ms`` is the monotonic send time of the first request of
    the current series of failures, or the time of the last answer if that
    is later; None while the log answers.
    """

    __slots__ = (
        'down_since_ms',
        '_base_url',
        '_clock',
        '_log_down_ms',
        '_request_timeout_ms',
        '_transport',
        '_last_answer_at_ms',
        '_outage_logged',
        '_timeouts',
    )

    def __init__(
        self,
        base_url: str,
        *,
        transport: httpx.AsyncBaseTransport | None = None,
        request_timeout_ms: int = 2_000,
        clock: clock_module.Clock | None = None,
        log_down_ms: int = 1_000,
    ) -> None:
        self.down_since_ms: int | None = None
        self._base_url = base_url.rstrip('/')
        self._clock = clock or clock_module.Clock()
        self._log_down_ms = log_down_ms
        self._request_timeout_ms = request_timeout_ms
        self._outage_logged = False
        self._last_answer_at_ms = -(1 << 62)
        self._transport = transport or _make_transport()
        connect_s = request_timeout_ms / 2_000
        self._timeouts = {
            'connect': connect_s,
            'pool': connect_s,
            'read': None,
            'write': None,
        }

    async def __aenter__(self) -> typing.Self:
        await self._transport.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await self._transport.__aexit__(kind, error, trace)

    @property
    def request_timeout_ms(self) -> int:
        """Return the time that one request may take beyond its wait."""
        return self._request_timeout_ms

    @property
    def is_down(self) -> bool:
        """Tell whether requests have failed for over ``log_down_ms``."""
        if self.down_since_ms is None:
            return False
        return self._clock.now_ms() - self.down_since_ms > self._log_down_ms

    @property
    def last_answer_at_ms(self) -> int:
        """Return when the log last answered, or when this was made."""
        return self._last_answer_at_ms

    def unavailable_error(self, reason: str) -> errors.LogUnavailable:
        """Build the error of an append that had no effect."""
        return errors.LogUnavailable(
            f'the log took nothing: {reason}; try again later',
            retry_after_ms=_RETRY_AFTER_MS,
        )

    async def append(self, stream: str, data: bytes) -> int:
        """Append one record and return its offset.

        Raises ``LogUnavailable`` if the append certainly had no effect and
        ``LogOutcomeUnknown`` if it was sent and not answered.
        """
        sent_ms = self._clock.now_ms()
        try:
            response = await self._request(
                'POST', f'/v1/streams/{stream}/records', data, 0
            )
            if response.status_code == 200:
                appended = msgspec.json.decode(
                    response.content, type=_Appended
                )
                self._record_answer()
                return appended.offset
        except _NOT_SENT_ERRORS as error:
            self._record_failure(sent_ms)
            raise self.unavailable_error(_describe_error(error)) from error
        except (
            httpx.HTTPError,
            errors.DeadlineExceeded,
            msgspec.MsgspecError,
        ) as error:
            self._record_failure(sent_ms)
            raise _outcome_unknown_error(_describe_error(error)) from error
        self._record_failure(sent_ms)
        status = response.status_code
        if status in _REFUSED_STATUSES:
            raise self.unavailable_error(f'status {status}')
        raise _outcome_unknown_error(f'status {status}')

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: int
    ) -> chunk_module.Chunk:
        """Read records from an offset, waiting for the first of them.

        Returns an empty chunk if none came within ``wait_ms``. Raises
        ``LogTrimmed`` below the first offset kept and ``LogUnavailable``
        if there is no answer.
        """
        path = (
            f'/v1/streams/{stream}/records'
            f'?from={from_offset}&limit={limit}&wait_ms={wait_ms}'
        )
        sent_ms = self._clock.now_ms()
        try:
            response = await self._request('GET', path, None, wait_ms)
            found = _decode_read(response, stream, from_offset)
        except (
            httpx.HTTPError,
            errors.DeadlineExceeded,
            msgspec.MsgspecError,
        ) as error:
            self._record_failure(sent_ms)
            raise self.unavailable_error(_describe_error(error)) from error
        except errors.LogTrimmed:
            self._record_answer()
            raise
        if found is None:
            self._record_failure(sent_ms)
            raise self.unavailable_error(f'status {response.status_code}')
        self._record_answer()
        return found

    async def _request(
        self, method: str, path: str, data: bytes | None, wait_ms: int
    ) -> httpx.Response:
        # Requests are built by hand and given to the transport: the default
        # headers of httpx cost about 110 B each, and its client adds
        # redirects and cookies, which the log does not use. Cancelling at
        # the timeout closes the connection, so that a silent one is never
        # used again.
        request = httpx.Request(
            method,
            self._base_url + path,
            content=data,
            extensions={'timeout': self._timeouts},
        )
        return await self._clock.wait_ms(
            self._send(request), wait_ms + self._request_timeout_ms
        )

    async def _send(self, request: httpx.Request) -> httpx.Response:
        response = await self._transport.handle_async_request(request)
        try:
            await response.aread()
        finally:
            await response.aclose()
        return response

    def _record_answer(self) -> None:
        if self._outage_logged:
            self._outage_logged = False
            events.emit(journal_events.LOG_UP)
        self.down_since_ms = None
        self._last_answer_at_ms = self._clock.now_ms()

    def _record_failure(self, sent_ms: int) -> None:
        if self.down_since_ms is None:
            # A request on a silent connection fails long after it was
            # sent, while others are answered.
            self.down_since_ms = max(sent_ms, self._last_answer_at_ms)
        if self.is_down and not self._outage_logged:
            self._outage_logged = True
            events.emit(journal_events.LOG_DOWN)


def _make_transport() -> httpx.AsyncBaseTransport:
    return httpx.AsyncHTTPTransport(
        limits=httpx.Limits(
            max_connections=_MAX_CONNECTIONS,
            max_keepalive_connections=_MAX_IDLE_CONNECTIONS,
            keepalive_expiry=_KEEP_ALIVE_S,
        ),
        retries=0,
        trust_env=False,
    )


def _decode_read(
    response: httpx.Response, stream: str, from_offset: int
) -> chunk_module.Chunk | None:
    if response.status_code == 410:
        first = msgspec.json.decode(response.content, type=_Trimmed).first
        raise errors.LogTrimmed(
            f'stream {stream!r} no longer holds offset {from_offset}; '
            f'read from {first}',
            first=first,
        )
    if response.status_code != 200:
        return None
    return msgspec.json.decode(response.content, type=chunk_module.Chunk)


def _describe_error(error: Exception) -> str:
    return str(error) or type(error).__name__


def _outcome_unknown_error(reason: str) -> errors.LogOutcomeUnknown:
    return errors.LogOutcomeUnknown(
        f'the answer to an append was lost: {reason}; read the stream to '
        'learn whether it took effect'
    )
