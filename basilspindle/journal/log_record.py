"""Show one record of a stream."""

import msgspec


class LogRecord(msgspec.Struct, frozen=True, gc=False):
    """Bytes at an offset; ``age_ms`` is as of the answer of the log."""

    offset: int
    data: bytes
    age_ms: int
