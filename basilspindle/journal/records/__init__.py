"""Define the records of a partition's stream."""

from basilspindle.journal.records.claim import Claim
from basilspindle.journal.records.job_accepted import JobAccepted
from basilspindle.journal.records.job_cancelled import JobCancelled
from basilspindle.journal.records.job_ended import JobEnded
from basilspindle.journal.records.release import Release
from basilspindle.journal.records.snapshot_begin import SnapshotBegin
from basilspindle.journal.records.snapshot_end import SnapshotEnd
from basilspindle.journal.records.snapshot_job import SnapshotJob
from basilspindle.journal.records.snapshot_part import SnapshotPart
from basilspindle.journal.records.snapshot_result import SnapshotResult
from basilspindle.journal.records.start_intent import StartIntent
from basilspindle.journal.records.task_ended import TaskEnded

Record = (
    Claim
    | Release
    | JobAccepted
    | JobCancelled
    | StartIntent
    | TaskEnded
    | JobEnded
    | SnapshotBegin
    | SnapshotPart
    | SnapshotEnd
)

__all__ = [
    'Claim',
    'JobAccepted',
    'JobCancelled',
    'JobEnded',
    'Record',
    'Release',
    'SnapshotBegin',
    'SnapshotEnd',
    'SnapshotJob',
    'SnapshotPart',
    'SnapshotResult',
    'StartIntent',
    'TaskEnded',
]
