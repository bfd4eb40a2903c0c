"""Define the interfaces to the log service and to other daemons."""

import collections.abc
import typing


class Record(typing.Protocol):
    """A record of a stream; ``age_ms`` is its age when it was read."""

    offset: int
    data: bytes
    age_ms: int


class Chunk(typing.Protocol):
    """Consecutive records of a stream.

    ``first`` is the oldest offset that the log still has, ``next`` the
    offset of the next read.
    """

    first: int
    next: int
    records: collections.abc.Sequence[Record]


class ControlLog(typing.Protocol):
    """Client of the log service; ``journal.LogClient`` implements it."""

    async def append(self, stream: str, data: bytes) -> int:
        """Return the offset; raises LogUnavailable, LogOutcomeUnknown."""

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: int
    ) -> Chunk:
        """Return records; raises LogUnavailable, LogTrimmed."""


class Peers(typing.Protocol):
    """The other daemons, asked while the log is unavailable."""

    async def fetch_configuration(self, above_version: int) -> bytes:
        """Return what ``ConfigStore.record_if_newer`` of a daemon returns.

        b'' if no daemon has a newer version.
        """
