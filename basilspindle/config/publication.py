"""Encode what is published on stream ``control``."""

import hashlib
import typing
import zlib

import msgspec

from basilspindle import errors

# Bounds what a damaged or hostile record can make a reader allocate.
_MAX_RECORD_BYTES = 8 * 1024 * 1024
# Leaves room for the other members of a record.
MAX_DOCUMENT_BYTES = _MAX_RECORD_BYTES - 4 * 1024
# The end of the year 9999, the last that a message can show.
_MAX_WALL_MS = 253_402_300_799_999


class Publication(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One publish of a base and an overlay, as JSON.

    ``from_version`` and ``from_offset`` name the configuration that it is
    based on by version and by the offset of its record; 0 and 0 is none.
    ``author`` is a key id. A refresh carries a configuration that was
    accepted before; ``accepted_offset`` is where, 0 in a publish.
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
        """Return a hash that equal documents of one author share."""
        return digest(self.base, self.overlay, self.author)


def digest(base: bytes, overlay: bytes, author: str) -> bytes:
    """Return the hash of two documents and their author.

    Spacing and the order of members do not count.
    """
    content = [_canonical(base), _canonical(overlay), author]
    return hashlib.sha256(msgspec.json.encode(content)).digest()


def encode(publication: Publication) -> bytes:
    """Return the record of a publication; raises ``TooLarge``."""
    size = len(publication.base) + len(publication.overlay)
    if size > MAX_DOCUMENT_BYTES:
        raise errors.TooLarge(
            f'base and overlay have {size} bytes together; the most is '
            f'{MAX_DOCUMENT_BYTES}'
        )
    return zlib.compress(msgspec.msgpack.encode(publication))


def decode(record: bytes) -> Publication:
    """Return the publication of a record; raises ``RecordUnreadable``."""
    unpack = zlib.decompressobj()
    try:
        data = unpack.decompress(record, _MAX_RECORD_BYTES)
        if not unpack.eof or unpack.unused_data:
            raise _unreadable('not one complete record')
        publication = _DECODER.decode(data)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise _unreadable(str(error)) from error
    if not _consistent(publication):
        raise _unreadable('its numbers contradict each other')
    return publication


def _consistent(publication: Publication) -> bool:
    return (
        publication.from_version >= 0
        and 0 <= publication.wall_ms <= _MAX_WALL_MS
        and publication.from_offset >= 0
        and publication.version == publication.from_version + 1
        and publication.refresh == (publication.accepted_offset > 0)
        and (publication.from_version == 0) == (publication.from_offset == 0)
    )


def _unreadable(text: str) -> errors.RecordUnreadable:
    return errors.RecordUnreadable(
        f'record of stream control: {text}; it is skipped, look for another '
        'writer of this stream'
    )


def _canonical(document: bytes) -> typing.Any:
    try:
        return _sorted(msgspec.json.decode(document))
    except msgspec.MsgspecError:
        return document.hex()


def _sorted(value: typing.Any) -> typing.Any:
    if isinstance(value, dict):
        return {name: _sorted(value[name]) for name in sorted(value)}
    if isinstance(value, list):
        return [_sorted(item) for item in value]
    return value


_DECODER = msgspec.msgpack.Decoder(Publication)
