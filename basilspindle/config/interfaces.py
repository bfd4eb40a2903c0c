"""State what the configuration needs of the log and of other daemons."""

import collections.abc
import typing


class Record(typing.Protocol):
    """One record of a stream; ``age_ms`` is its age when it was read."""

    offset: int
    data: bytes
    age_ms: int


class Chunk(typing.Protocol):
    """Records from an offset on; ``next`` is where to read on."""

    first: int
    next: int
    records: collections.abc.Sequence[Record]


class ControlLog(typing.Protocol):
    """The log service, as ``journal.LogClient`` has it."""

    async def append(self, stream: str, data: bytes) -> int:
        """Return the offset; raises LogUnavailable, LogOutcomeUnknown."""

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: int
    ) -> Chunk:
        """Return records; raises LogUnavailable, LogTrimmed."""


class Peers(typing.Protocol):
    """The other daemons, asked while the log does not answer."""

    async def fetch_configuration(self, above_version: int) -> bytes:
        """Return a newer ``record_if_newer`` of any daemon, b'' if none."""
