"""Read and append to the log of the platform's store over HTTP."""

import base64
import collections.abc
import struct
import typing
import urllib.parse

import msgspec

from basilspindle.cell import ports
from basilspindle import decoding
from basilspindle import errors
from basilspindle.platform import client as client_module

# Time to the first byte of the answer to a read.
_READ_TIMEOUT_MS = 1_000
# Longest pause within an answer. What the answer takes as a whole depends on
# its size and on the link.
_READ_STALL_MS = 1_000
_WRITE_TIMEOUT_MS = 700
_PRODUCER = 'basilspindle'
# Topics with this prefix keep the newest record of each key forever.
_KEYED_TOPIC_PREFIX = 'keyed.'
_PARTITION = 0
_RETRY_AFTER_MS = 500
_REPLACEMENT = '\ufffd'
# The end offset and the first offset of a chunk take 8 bytes each.
_CHUNK_HEADER_BYTES = 16


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: decoding.Count = 0


class _NewestPage(msgspec.Struct):
    items: list[_Item]
    end: decoding.Count
    more: bool = False


class _Trimmed(msgspec.Struct):
    # First offset that the partition still contains.
    first: decoding.Count = 0


class _Appended(msgspec.Struct):
    offset: decoding.Count = 0


class _Rejection(msgspec.Struct):
    reason: str = ''
    # One of these two fields holds the next sequence number that the
    # partition accepts.
    expected: decoding.Count | None = None
    seq: decoding.Count | None = None


class LogStore:
    """Client of the platform's log; each stream is one partition."""

    __slots__ = ('_client', '_address')

    def __init__(self, client: client_module.Client, address: str) -> None:
        self._client = client
        self._address = address

    async def read_latest(
        self,
        stream: str,
        on_progress: collections.abc.Callable[[], None] | None = None,
    ) -> tuple[dict[str, bytes], int]:
        """Return the newest value of each key and an end offset.

        The offset is the end of the stream as of the first page. Reading on
        from it also returns the records that were appended while later pages
        were read.
        """
        records, end, is_whole = await self._list(stream, on_progress)
        if not is_whole:
            raise self._unavailable(
                f'the listing of stream {stream!r} ends before its last key'
            )
        return {key: raw for key, (raw, _) in records.items()}, end

    async def read_latest_records(
        self,
        stream: str,
        on_progress: collections.abc.Callable[[], None] | None = None,
    ) -> tuple[dict[str, tuple[bytes, int]], int]:
        """Return the newest value of each key with its offset, and an end.

        Keys that are no text may hide others, if they fill a page.
        """
        records, end, _ = await self._list(stream, on_progress)
        return records, end

    async def _list(
        self,
        stream: str,
        on_progress: collections.abc.Callable[[], None] | None,
    ) -> tuple[dict[str, tuple[bytes, int]], int, bool]:
        # The last value tells whether all keys are listed.
        records: dict[str, tuple[bytes, int]] = {}
        end: int | None = None
        query = {
            'topic': _KEYED_TOPIC_PREFIX + stream,
            'part': str(_PARTITION),
        }
        while True:
            response = await self._get(
                'log-newest', query, _READ_TIMEOUT_MS, on_progress
            )
            if response.status == 404 and end is None:
                return {}, 0, True
            self._check_read(response)
            page = _decode_read(response.body, _NewestPage)
            end = page.end if end is None else end
            known = len(records)
            for item in page.items:
                records[item.key] = (_decode_base64(item.value), item.offset)
            if not page.more or len(records) == known:
                return records, end, not page.more
            query['after'] = _last_readable_key(page.items)

    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_ms: int,
        max_kb: int | None = None,
        on_progress: collections.abc.Callable[[], None] | None = None,
    ) -> ports.StoreChunk:
        """Return records from an offset, waiting for the first one."""
        query = {
            'topic': _KEYED_TOPIC_PREFIX + stream,
            'part': str(_PARTITION),
            'from': str(from_offset),
        }
        if wait_ms:
            query['wait_ms'] = str(wait_ms)
        if max_kb is not None:
            query['max_kb'] = str(max_kb)
        response = await self._get(
            'log-read', query, wait_ms + _READ_TIMEOUT_MS, on_progress
        )
        if response.status == 410:
            first = _decode_read(response.body, _Trimmed).first
            raise errors.LogTrimmed(
                f'stream {stream!r} no longer contains offset {from_offset}; '
                f'read from offset {first}',
                first_offset=first,
            )
        if response.status == 404:
            return ports.StoreChunk([], 0, 0)
        self._check_read(response)
        return _decode_chunk(response.body, response.transfer_ms)

    async def probe_end(self, stream: str) -> int:
        """Return the end offset of a stream."""
        query = {
            'topic': _KEYED_TOPIC_PREFIX + stream,
            'part': str(_PARTITION),
            'from': '0',
            'max_kb': '1',
        }
        for _ in range(3):
            response = await self._get('log-read', query, _READ_TIMEOUT_MS)
            if response.status == 404:
                return 0
            if response.status == 410:
                first = _decode_read(response.body, _Trimmed).first
                query['from'] = str(first)
                continue
            self._check_read(response)
            return _decode_chunk(response.body).end
        raise self._unavailable(
            'records are dropped faster than the end can be read'
        )

    async def put(self, stream: str, records: ports.Records) -> None:
        """Append unconditionally."""
        response = await self._append(stream, records, {}, _WRITE_TIMEOUT_MS)
        self._check_write(response)

    async def append_at(
        self, stream: str, records: ports.Records, at: int
    ) -> int | None:
        """Append if the stream ends at offset ``at``, else return None."""
        response = await self._append(
            stream, records, {'at': str(at)}, _WRITE_TIMEOUT_MS
        )
        if response.status == 412:
            return None
        self._check_write(response)
        return _decode(response.body, _Appended).offset

    async def fence(self, stream: str, epoch: int) -> None:
        """Make the store reject appends of lower epochs.

        Raises ``Deposed`` if a higher epoch has been fenced already.
        """
        query = {'producer': _PRODUCER, 'epoch': str(epoch)}
        response = await self._append(stream, (), query, _WRITE_TIMEOUT_MS)
        self._check_fenced_write(response, 0)

    async def append(
        self,
        stream: str,
        records: ports.Records,
        epoch: int,
        sequence: int,
        timeout_ms: int,
    ) -> None:
        """Append at most once per sequence number; raises ``Deposed``."""
        query = {
            'producer': _PRODUCER,
            'epoch': str(epoch),
            'seq': str(sequence),
        }
        response = await self._append(stream, records, query, timeout_ms)
        self._check_fenced_write(response, sequence)

    async def _append(
        self,
        stream: str,
        records: ports.Records,
        query: dict[str, str],
        timeout_ms: int,
    ) -> client_module.Response:
        query = {
            'topic': _KEYED_TOPIC_PREFIX + stream,
            'part': str(_PARTITION),
            **query,
        }
        body = b''.join(_encode_record(key, value) for key, value in records)
        path = f'/basilspindle/log-append?{urllib.parse.urlencode(query)}'
        try:
            return await self._client.call(
                self._address,
                'POST',
                path,
                body,
                timeout_ms=timeout_ms,
                content_type='application/octet-stream',
            )
        except client_module.CallFailed as error:
            if not error.sent:
                raise self._unavailable(error.message) from error
            raise errors.LogOutcomeUnknown(
                f'the response to an append was lost: {error.message}; '
                'retry it with the same sequence number'
            ) from error

    async def _get(
        self,
        call: str,
        query: dict[str, str],
        timeout_ms: int,
        on_progress: collections.abc.Callable[[], None] | None = None,
    ) -> client_module.Response:
        path = f'/basilspindle/{call}?{urllib.parse.urlencode(query)}'
        try:
            return await self._client.call(
                self._address,
                'GET',
                path,
                timeout_ms=timeout_ms,
                stall_ms=_READ_STALL_MS,
                on_progress=on_progress,
            )
        except client_module.CallFailed as error:
            raise self._unavailable(error.message) from error

    def _check_fenced_write(
        self, response: client_module.Response, sequence: int
    ) -> None:
        if response.status != 409:
            self._check_write(response)
            return
        rejection = _decode(response.body, _Rejection)
        if rejection.reason == 'seq':
            expected = rejection.expected
            if expected is None:
                expected = rejection.seq
            if expected is not None and expected > sequence:
                # An earlier attempt with this number took effect.
                return
        raise errors.Deposed(
            f'the store rejected this leader ({rejection.reason}); another '
            'daemon leads'
        )

    def _check_write(self, response: client_module.Response) -> None:
        if response.status == 200:
            return
        # With status 503 or 507 the store has appended nothing.
        if response.status >= 500 and response.status not in (503, 507):
            raise errors.LogOutcomeUnknown(
                f'the store returned status {response.status} to an append; '
                'retry it'
            )
        raise self._unavailable(f'status {response.status}')

    def _check_read(self, response: client_module.Response) -> None:
        if response.status != 200:
            raise self._unavailable(f'status {response.status}')

    def _unavailable(self, reason: str) -> errors.LogUnavailable:
        return _no_effect(reason)


def _no_effect(reason: str) -> errors.LogUnavailable:
    return errors.LogUnavailable(
        f'the call to the store had no effect: {reason}; retry later',
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _decode(body: bytes, expected_type: type[typing.Any]) -> typing.Any:
    try:
        return msgspec.json.decode(body, type=expected_type)
    except decoding.FAULTS as error:
        raise errors.LogOutcomeUnknown(
            f'the response of the store cannot be decoded: {error}; retry'
        ) from error


def _decode_read(body: bytes, expected_type: type[typing.Any]) -> typing.Any:
    # A read has no effect, so it is simply repeated.
    try:
        return _decode(body, expected_type)
    except errors.LogOutcomeUnknown as error:
        raise _no_effect(error.message) from error


def _last_readable_key(items: list[_Item]) -> str:
    # A key that is no text is shown with replacement characters, so the next
    # page cannot begin after it.
    for item in reversed(items):
        if _REPLACEMENT not in item.key:
            return item.key
    return items[-1].key


def _decode_base64(value: str) -> bytes:
    try:
        return base64.b64decode(value)
    except ValueError as error:
        raise _no_effect(f'a value is not valid base64: {error}') from error


def _encode_record(key: str, value: bytes | None) -> bytes:
    raw = key.encode()
    content = bytes([len(raw)]) + raw + (value if value is not None else b'')
    if value == b'':
        # An empty value would remove the key, so a zero byte stands for it.
        content += b'\0'
    return struct.pack('>I', len(content)) + content


def _decode_chunk(body: bytes, transfer_ms: int = 0) -> ports.StoreChunk:
    if len(body) < _CHUNK_HEADER_BYTES:
        raise _no_effect('the response is shorter than its header')
    end, first = struct.unpack_from('>QQ', body, 0)
    records = list(_decode_records(body))
    return ports.StoreChunk(records, first, end, transfer_ms)


def _decode_records(
    body: bytes,
) -> collections.abc.Iterator[tuple[str, bytes | None]]:
    position = _CHUNK_HEADER_BYTES
    while position + 4 <= len(body):
        (length,) = struct.unpack_from('>I', body, position)
        position += 4
        if position + length > len(body):
            # The rest is read again from the offset of this record.
            return
        content = body[position : position + length]
        position += length
        if not content:
            yield '', None
            continue
        size = content[0]
        key = content[1 : 1 + size].decode(errors='replace')
        yield key, content[1 + size :] or None
