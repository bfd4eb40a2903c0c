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
    'none if this process was paused; otherwise compare the membership '
    'as the members see it',
)
LOG_DOWN = events.Event(
    303,
    'log_down',
    events.Level.ERROR,
    'requests to the log service have failed for longer than log_down_ms',
    'check the log service; durable jobs are refused until it answers',
)
LOG_UP = events.Event(
    304,
    'log_up',
    events.Level.INFO,
    'the log service answers again',
    'none',
)
RECORD_UNREADABLE = events.Event(
    305,
    'record_unreadable',
    events.Level.ERROR,
    'a record of the stream cannot be decoded and is skipped',
    'check whether another version or another program writes the stream',
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
    'a snapshot of the partition was written to the stream',
    'none',
)
SNAPSHOT_FAILED = events.Event(
    308,
    'snapshot_failed',
    events.Level.WARNING,
    'a snapshot was not completed and will be written again',
    'check the log service if this repeats',
)
APPEND_UNRESOLVED = events.Event(
    309,
    'append_unresolved',
    events.Level.WARNING,
    'an append was not answered in time; the stream is read for its outcome',
    'check the log service if this repeats',
)
STREAM_TRIMMED = events.Event(
    310,
    'stream_trimmed',
    events.Level.WARNING,
    'records were trimmed before they were read',
    'none if the reader was paused; otherwise check log_retention_ms',
)
JOB_UNUSABLE = events.Event(
    312,
    'job_unusable',
    events.Level.ERROR,
    'a recorded job has negative or far too high resources and is not run',
    'find out which program wrote it; submit the job again',
)
READ_UNREADABLE = events.Event(
    313,
    'read_unreadable',
    events.Level.ERROR,
    'the log answered twice with a record that cannot be decoded',
    'check the log service; the other records are used',
)
JOURNAL_FAILED = events.Event(
    311,
    'journal_failed',
    events.Level.ERROR,
    'a background task of the journal failed with an unexpected error',
    'report the error; another member takes over the partition',
)
