"""Record the jobs and the ownership of partitions in the log service."""

from basilspindle.journal.batch import Batch
from basilspindle.journal.batch import decode
from basilspindle.journal.batch import encode
from basilspindle.journal.chunk import Chunk
from basilspindle.journal.job_entry import JobEntry
from basilspindle.journal.log_client import LogClient
from basilspindle.journal.log_record import LogRecord
from basilspindle.journal.partition_journal import NEVER_MS
from basilspindle.journal.partition_journal import PartitionJournal
from basilspindle.journal.partition_journal import stream_name
from basilspindle.journal.partition_state import PartitionState
from basilspindle.journal.records import Claim
from basilspindle.journal.records import JobAccepted
from basilspindle.journal.records import JobCancelled
from basilspindle.journal.records import JobEnded
from basilspindle.journal.records import Record
from basilspindle.journal.records import Release
from basilspindle.journal.records import SnapshotBegin
from basilspindle.journal.records import SnapshotEnd
from basilspindle.journal.records import SnapshotPart
from basilspindle.journal.records import StartIntent
from basilspindle.journal.records import TaskEnded
from basilspindle.journal.stream_reader import StreamReader
from basilspindle.journal.timing import Timing

__all__ = [
    'Batch',
    'Chunk',
    'Claim',
    'JobAccepted',
    'JobCancelled',
    'JobEnded',
    'JobEntry',
    'LogClient',
    'LogRecord',
    'NEVER_MS',
    'PartitionJournal',
    'PartitionState',
    'Record',
    'Release',
    'SnapshotBegin',
    'SnapshotEnd',
    'SnapshotPart',
    'StartIntent',
    'StreamReader',
    'TaskEnded',
    'Timing',
    'decode',
    'encode',
    'stream_name',
]
