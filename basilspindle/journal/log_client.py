"""Append to and read from the log service over HTTP."""

import types
import typing

import httpx
import msgspec

from basilspindle import clock as clock_module
from basilspindle import decoding
from basilspindle import errors
from basilspindle import events
from basilspindle.journal import chunk as chunk_module
from basilspindle.journal import events as journal_events
from basilspindle.journal import log_record
from basilspindle import json_parts

_MAX_CONNECTIONS = 64
_MAX_IDLE_CONNECTIONS = 16
# Servers commonly close a connection that has been idle for 5 s; an append
# sent at that moment would have an unknown outcome.
_KEEP_ALIVE_S = 3.0
_RETRY_AFTER_MS = 1_000
_MAX_LOGGED_CHARS = 200
_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)
# The log writes nothing when it answers with one of these statuses.
_REFUSED_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 422, 429, 503})


class _Appended(msgspec.Struct, frozen=True):
    offset: decoding.Count


class _Trimmed(msgspec.Struct, frozen=True):
    first: decoding.Count


class LogClient:
    """Client of the log service; a process shares one.

    ``down_since_ms`` is None while requests succeed. Otherwise it is the
    monotonic send time of the first failed request since the last answer,
    or the time of that answer if it is later.
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
        """Return the time to an answer, added to a read's wait."""
        return self._request_timeout_ms

    @property
    def is_down(self) -> bool:
        """Tell whether requests have failed for over ``log_down_ms``."""
        if self.down_since_ms is None:
            return False
        return self._clock.now_ms() - self.down_since_ms > self._log_down_ms

    @property
    def last_answer_at_ms(self) -> int:
        """Return the monotonic time of the last answer, -2**62 if none."""
        return self._last_answer_at_ms

    def unavailable_error(self, reason: str) -> errors.LogUnavailable:
        """Return the error for a failed read or an append without effect."""
        return errors.LogUnavailable(
            f'the log is unavailable: {reason}; nothing was written, '
            'try again later',
            retry_after_ms=_RETRY_AFTER_MS,
        )

    async def append(self, stream: str, data: bytes) -> int:
        """Append one record and return its offset.

        Raises ``LogUnavailable`` if the append certainly had no effect and
        ``LogOutcomeUnknown`` if it may have taken effect.
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
            *decoding.FAULTS,
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
        """Read records from an offset on, waiting until there is one.

        Returns an empty chunk if there is none within ``wait_ms``. Raises
        ``LogTrimmed`` if the offset is below the first one kept and
        ``LogUnavailable`` if the read fails.
        """
        path = (
            f'/v1/streams/{stream}/records'
            f'?from={from_offset}&limit={limit}&wait_ms={wait_ms}'
        )
        sent_ms = self._clock.now_ms()
        try:
            status, found = await self._read(
                path, stream, from_offset, wait_ms
            )
        except (
            httpx.HTTPError,
            errors.DeadlineExceeded,
            *decoding.FAULTS,
        ) as error:
            self._record_failure(sent_ms)
            raise self.unavailable_error(_describe_error(error)) from error
        except errors.LogTrimmed:
            self._record_answer()
            raise
        if found is None:
            self._record_failure(sent_ms)
            raise self.unavailable_error(f'status {status}')
        self._record_answer()
        return found

    async def _read(
        self, path: str, stream: str, from_offset: int, wait_ms: int
    ) -> tuple[int, chunk_module.Chunk | None]:
        """Return the status of an answer and its chunk, if it has one.

        An answer by which records would be skipped is asked for again, and
        the second one counts: a single one must not hide any.
        """
        trimmed_to = None
        response = await self._request('GET', path, None, wait_ms)
        try:
            found = _decode_read(response, stream, from_offset)
            if found is None or _is_plain(found, from_offset):
                return response.status_code, found
        except errors.LogTrimmed as error:
            trimmed_to = error
        except decoding.FAULTS:
            # The second answer is decoded record by record if need be.
            pass
        response = await self._request('GET', path, None, wait_ms)
        try:
            found = _decode_read(response, stream, from_offset)
        except errors.LogTrimmed as error:
            if trimmed_to and trimmed_to.first_offset < error.first_offset:
                raise trimmed_to from error
            raise
        except decoding.FAULTS as error:
            if response.status_code != 200:
                raise
            found = _decode_parts(response.content, from_offset)
            events.emit(
                journal_events.READ_UNREADABLE,
                stream=stream,
                offset=from_offset,
                error=str(error)[:_MAX_LOGGED_CHARS],
            )
        return response.status_code, found and _renumber(found, from_offset)

    async def _request(
        self, method: str, path: str, data: bytes | None, wait_ms: int
    ) -> httpx.Response:
        # Requests go to the transport directly: the client of httpx adds
        # about 110 B of default headers to each, and handles redirects and
        # cookies, which the log does not use. A timeout cancels the request
        # and thereby closes its connection, so that a dead connection is
        # not reused. It bounds the time to the answer and each pause within
        # it, so that a large answer may take as long as its link needs.
        request = httpx.Request(
            method,
            self._base_url + path,
            content=data,
            extensions={'timeout': self._timeouts},
        )
        response = await self._clock.wait_for(
            self._transport.handle_async_request(request),
            wait_ms + self._request_timeout_ms,
        )
        try:
            content = await self._receive(response)
        finally:
            await response.aclose()
        return httpx.Response(response.status_code, content=content)

    async def _receive(self, response: httpx.Response) -> bytes:
        parts = response.aiter_bytes()
        content = []
        while True:
            part = await self._clock.wait_for(
                anext(parts, None), self._request_timeout_ms
            )
            if part is None:
                return b''.join(content)
            content.append(part)

    def _record_answer(self) -> None:
        if self._outage_logged:
            self._outage_logged = False
            events.emit(journal_events.LOG_UP)
        self.down_since_ms = None
        self._last_answer_at_ms = self._clock.now_ms()

    def _record_failure(self, sent_ms: int) -> None:
        if self.down_since_ms is None:
            # A request on a dead connection fails long after it was sent;
            # other requests may have been answered since.
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
            first_offset=first,
        )
    if response.status_code != 200:
        return None
    return msgspec.json.decode(response.content, type=chunk_module.Chunk)


def _is_plain(chunk: chunk_module.Chunk, from_offset: int) -> bool:
    """Tell whether a chunk holds the records from an offset on, or none."""
    end = from_offset + len(chunk.records)
    return (
        chunk.first <= from_offset
        and chunk.next == end
        and all(
            record.offset == offset
            for offset, record in enumerate(chunk.records, from_offset)
        )
    )


def _renumber(
    chunk: chunk_module.Chunk, from_offset: int
) -> chunk_module.Chunk:
    """Correct offsets of records that do not fit the end of the chunk."""
    if chunk.next != from_offset + len(chunk.records):
        return chunk
    records = [
        msgspec.structs.replace(record, offset=offset)
        for offset, record in enumerate(chunk.records, from_offset)
    ]
    return msgspec.structs.replace(chunk, records=records)


def _decode_parts(content: bytes, from_offset: int) -> chunk_module.Chunk:
    """Decode a chunk record by record.

    The data of a record that cannot be decoded is empty, which its readers
    skip as unreadable. Raises ``decoding.FAULTS``.
    """
    parts = json_parts.split_object(content)
    rows = json_parts.split_list(parts.get('records', b''))
    records = [
        _decode_record(raw, offset)
        for offset, raw in enumerate(rows, from_offset)
    ]
    if not any(record.data for record in records):
        raise ValueError('no record of the chunk can be decoded')
    return chunk_module.Chunk(
        first=from_offset, next=from_offset + len(records), records=records
    )


def _decode_record(raw: bytes, offset: int) -> log_record.LogRecord:
    try:
        record = msgspec.json.decode(raw, type=log_record.LogRecord)
    except decoding.FAULTS:
        record = log_record.LogRecord(offset, _find_data(raw), 0)
    return msgspec.structs.replace(record, offset=offset)


def _find_data(raw: bytes) -> bytes:
    try:
        parts = json_parts.split_object(raw)
        return msgspec.json.decode(parts.get('data', b''), type=bytes)
    except decoding.FAULTS:
        # The caller logs the fault.
        return b''


def _describe_error(error: Exception) -> str:
    return str(error) or type(error).__name__


def _outcome_unknown_error(reason: str) -> errors.LogOutcomeUnknown:
    return errors.LogOutcomeUnknown(
        f'an append was not answered: {reason}; read the stream to learn '
        'whether it took effect'
    )
