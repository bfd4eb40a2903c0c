"""Encode and decode the batch of records of one append."""

import collections.abc

import msgspec

from basilspindle.journal import records


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """Records that take effect together or not at all.

    ``writer`` is the unique id of the journal object that made the batch
    and ``counter`` increases with each of its batches, so that readers
    apply a repeated append once. ``epoch`` is the offset of the writer's
    claim, and 0 in the batch that holds the claim.
    """

    writer: str
    counter: int
    epoch: int
    wall_ms: int
    records: list[records.Record]


_DECODER = msgspec.msgpack.Decoder(Batch)
_ENCODER = msgspec.msgpack.Encoder()


def decode(data: bytes) -> Batch:
    """Decode a batch; raises one of ``decoding.FAULTS``."""
    return _DECODER.decode(data)


def encode(batch: Batch) -> bytes:
    """Encode a batch as msgpack."""
    return _ENCODER.encode(batch)


def encode_record(record: records.Record) -> bytes:
    """Encode one record for use in ``encode_joined``."""
    return _ENCODER.encode(record)


def encode_joined(
    batch: Batch, encoded_records: collections.abc.Sequence[bytes]
) -> bytes:
    """Encode a batch from its records as encoded one by one."""
    raw_records = [msgspec.Raw(data) for data in encoded_records]
    return _ENCODER.encode(
        (batch.writer, batch.counter, batch.epoch, batch.wall_ms, raw_records)
    )
