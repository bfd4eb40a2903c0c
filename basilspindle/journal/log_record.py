"""Hold one record of a stream."""

import msgspec

from basilspindle import decoding


class LogRecord(msgspec.Struct, frozen=True, gc=False):
    """Data at an offset; ``age_ms`` is its age when the log answered."""

    offset: decoding.Count
    data: bytes
    age_ms: decoding.Count
