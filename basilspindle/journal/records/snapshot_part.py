"""Carry a part of a snapshot."""

import msgspec

from basilspindle.journal.records import snapshot_job


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Carry some jobs; ``number`` counts from 0."""

    number: int
    jobs: list[snapshot_job.SnapshotJob]
