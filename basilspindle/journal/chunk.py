"""Hold the answer to one read of a stream."""

import msgspec

from basilspindle import decoding
from basilspindle.journal import log_record


class Chunk(msgspec.Struct, frozen=True):
    """Consecutive records of a stream.

    ``first`` is the lowest offset that the log still holds and ``next``
    the offset to read from next.
    """

    first: decoding.Count
    next: decoding.Count
    records: list[log_record.LogRecord]
