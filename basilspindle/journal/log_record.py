"""Hold one record of a stream."""

import msgspec


class LogRecord(msgspec.Struct, frozen=True, gc=False):
    """Data at an offset; ``age_ms`` is its age when the log answered."""

    offset: int
    data: bytes
    age_ms: int
