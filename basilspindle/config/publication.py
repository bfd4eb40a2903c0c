"""Encode and decode the records of stream ``control``."""

import hashlib
import typing
import zlib

import msgspec

from basilspindle import decoding
from basilspindle import errors

# Limits the memory that a damaged or malicious record can allocate.
_MAX_RECORD_BYTES = 8 * 1024 * 1024
# Leaves 4 KiB for the other fields of a record.
MAX_DOCUMENT_BYTES = _MAX_RECORD_BYTES - 4 * 1024
# The end of the year 9999, the latest that ``datetime`` can format.
_MAX_WALL_MS = 253_402_300_799_999


class Publication(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A published base and overlay, both JSON documents.

    ``from_version`` and ``from_offset`` are the version and the record
    offset of the configuration that it is based on; both are 0 for the
    first one. ``author`` is a key id. A refresh repeats an accepted
    publication so that the log does not trim it; ``accepted_offset`` is
    the offset of the original record, 0 in a publish.
    """

    version: int
    from_version: int
    author: str
    wall_ms: int
    base: bytes
    overlay: bytes
    refresh: bool = False
    from_offset: int = 0
    accepted_offset: int = 0

    def digest(self) -> bytes:
        """Return a hash of the documents and the author."""
        return digest(self.base, self.overlay, self.author)


def digest(base: bytes, overlay: bytes, author: str) -> bytes:
    """Return a hash of two documents and their author.

    White space and the order of members do not change it.
    """
    content = [_canonicalize(base), _canonicalize(overlay), author]
    return hashlib.sha256(msgspec.json.encode(content)).digest()


def encode(publication: Publication) -> bytes:
    """Return the record of a publication; raises ``TooLarge``."""
    size = len(publication.base) + len(publication.overlay)
    if size > MAX_DOCUMENT_BYTES:
        raise errors.TooLarge(
            f'base and overlay have {size} bytes together; the most is '
            f'{MAX_DOCUMENT_BYTES} bytes'
        )
    return zlib.compress(msgspec.msgpack.encode(publication))


def decode(record: bytes) -> Publication:
    """Return the publication of a record; raises ``RecordUnreadable``."""
    unpack = zlib.decompressobj()
    try:
        data = unpack.decompress(record, _MAX_RECORD_BYTES)
        if not unpack.eof or unpack.unused_data:
            raise _make_unreadable('it is not exactly one complete record')
        publication = _DECODER.decode(data)
    except (*decoding.FAULTS, zlib.error) as error:
        raise _make_unreadable(str(error)) from error
    if not _is_consistent(publication):
        raise _make_unreadable(
            'its versions, offsets or times are inconsistent'
        )
    return publication


def _is_consistent(publication: Publication) -> bool:
    # Each version has a record of its own, so that none is higher than the
    # offset of its record. A version that is far too high would hide all
    # later publishes.
    return (
        publication.from_version <= publication.from_offset
        and (
            not publication.refresh
            or publication.version <= publication.accepted_offset
        )
        and publication.from_version >= 0
        and 0 <= publication.wall_ms <= _MAX_WALL_MS
        and publication.from_offset >= 0
        and publication.version == publication.from_version + 1
        and publication.refresh == (publication.accepted_offset > 0)
        and (publication.from_version == 0) == (publication.from_offset == 0)
    )


def _make_unreadable(text: str) -> errors.RecordUnreadable:
    return errors.RecordUnreadable(
        f'cannot decode a record of stream control: {text}; it is skipped, '
        'find out what else writes to this stream'
    )


def _canonicalize(document: bytes) -> typing.Any:
    try:
        return _sort_members(msgspec.json.decode(document))
    except decoding.FAULTS:
        return document.hex()


def _sort_members(value: typing.Any) -> typing.Any:
    if isinstance(value, dict):
        return {name: _sort_members(value[name]) for name in sorted(value)}
    if isinstance(value, list):
        return [_sort_members(item) for item in value]
    return value


_DECODER = msgspec.msgpack.Decoder(Publication)
