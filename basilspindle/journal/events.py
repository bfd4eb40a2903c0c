"""Define the log events of the journal."""

from basilspindle import events

CLAIMED = events.Event(
    301,
    'partition_claimed',
    events.Level.INFO,
    'this member owns the partition',
    'none',
)
DEPOSED = events.Event(
    302,
    'partition_deposed',
    events.Level.WARNING,
    'another member claimed the partition',
    'expected after a pause of this process; otherwise compare membership',
)
LOG_DOWN = events.Event(
    303,
    'log_down',
    events.Level.ERROR,
    'the log fails for longer than log_down_ms',
    'check the log service; durable work is refused until it answers',
)
LOG_UP = events.Event(
    304,
    'log_up',
    events.Level.INFO,
    'the log answers again',
    'none',
)
RECORD_UNREADABLE = events.Event(
    305,
    'record_unreadable',
    events.Level.ERROR,
    'a record of the stream cannot be decoded and is skipped',
    'look for a writer of another version or a foreign use of the stream',
)
HISTORY_INCOMPLETE = events.Event(
    306,
    'history_incomplete',
    events.Level.ERROR,
    'the stream was trimmed and holds no complete snapshot',
    'jobs older than the retention may be lost; check log_retention_ms',
)
SNAPSHOT_WRITTEN = events.Event(
    307,
    'snapshot_written',
    events.Level.INFO,
    'a complete snapshot of the partition is in the stream',
    'none',
)
SNAPSHOT_FAILED = events.Event(
    308,
    'snapshot_failed',
    events.Level.WARNING,
    'a snapshot was not completed and will be repeated',
    'check the log service if this repeats',
)
APPEND_UNRESOLVED = events.Event(
    309,
    'append_unresolved',
    events.Level.WARNING,
    'the answer to an append is lost or overdue; the stream is read',
    'check the log service if this repeats',
)
STREAM_TRIMMED = events.Event(
    310,
    'stream_trimmed',
    events.Level.WARNING,
    'records were trimmed before they were read',
    'none if the reader was paused; otherwise check log_retention_ms',
)
JOURNAL_FAILED = events.Event(
    311,
    'journal_failed',
    events.Level.ERROR,
    'a task of the journal ended by an unexpected error',
    'report the error; the partition passes to another member',
)
