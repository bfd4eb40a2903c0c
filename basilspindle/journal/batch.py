"""Group the records of one append."""

import collections.abc

import msgspec

from basilspindle.journal import records


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Records that take effect together.

    ``writer`` is unique to a process and ``counter`` increases with each
    batch of the writer, so that a repeated append counts once. ``epoch``
    is the offset of the writer's claim, 0 in a batch that claims.
    """

    writer: str
    counter: int
    epoch: int
    wall_ms: int
    records: list[records.Record]


_DECODER = msgspec.msgpack.Decoder(Batch)
_ENCODER = msgspec.msgpack.Encoder()


def decode(data: bytes) -> Batch:
    """Decode a batch; raises ``msgspec.MsgspecError`` if it is none."""
    return _DECODER.decode(data)


def encode(batch: Batch) -> bytes:
    """Encode a batch as msgpack."""
    return _ENCODER.encode(batch)


def encode_record(record: records.Record) -> bytes:
    """Encode one record, to be joined with others."""
    return _ENCODER.encode(record)


def encode_joined(
    batch: Batch, encoded_records: collections.abc.Sequence[bytes]
) -> bytes:
    """Encode a batch whose records were encoded one by one."""
    raw_records = [msgspec.Raw(data) for data in encoded_records]
    return _ENCODER.encode(
        (batch.writer, batch.counter, batch.epoch, batch.wall_ms, raw_records)
    )
