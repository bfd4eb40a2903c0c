"""Define the first record of a snapshot."""

import msgspec


class SnapshotBegin(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Begin a snapshot of the state that precedes this record.

    ``writers`` holds the last batch counter of each writer, least recently
    used first. ``parts`` is the number of ``SnapshotPart`` records that
    follow with the jobs.
    """

    claimant: str
    incarnation: str
    wall_ms: int
    writers: dict[str, int]
    parts: int
