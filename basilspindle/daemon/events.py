"""Define the log events of the daemon."""

from basilspindle import events

STARTED = events.Event(
    101,
    'started',
    events.Level.INFO,
    'the daemon accepts connections',
    'none',
)
CONFIGURED = events.Event(
    102,
    'configured',
    events.Level.INFO,
    'the first configuration was received; the daemon starts serving',
    'none',
)
STOPPING = events.Event(
    103,
    'stopping',
    events.Level.INFO,
    'a graceful shutdown has begun',
    'none',
)
STOPPED = events.Event(
    104,
    'stopped',
    events.Level.INFO,
    'the graceful shutdown is complete',
    'none',
)
STATE_DUMP = events.Event(
    105,
    'state_dump',
    events.Level.INFO,
    'the state of the process, requested with SIGUSR1',
    'none',
)
HANDOVER_LATE = events.Event(
    106,
    'handover_late',
    events.Level.WARNING,
    'not all partitions were handed over in time; others will claim them',
    'check the log service',
)
LOOP_FAILED = events.Event(
    107,
    'loop_failed',
    events.Level.ERROR,
    'one run of a periodic task failed; the task will run again',
    'report the error text as a bug of basilspindle',
)
