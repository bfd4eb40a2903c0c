"""Begin a snapshot of a partition."""

import msgspec


class SnapshotBegin(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Describe the state before this record, apart from its jobs.

    ``writers`` holds the last counter of each writer, least recently used
    first. ``parts`` is the number of ``SnapshotPart`` records to follow.
    """

    claimant: str
    incarnation: str
    wall_ms: int
    writers: dict[str, int]
    parts: int
