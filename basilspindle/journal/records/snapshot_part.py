"""Define the record that holds some of the jobs of a snapshot."""

import msgspec

from basilspindle.journal.records import snapshot_job


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Part of the jobs of a snapshot; ``number`` counts from 0."""

    number: int
    jobs: list[snapshot_job.SnapshotJob]
