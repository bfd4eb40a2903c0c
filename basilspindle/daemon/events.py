"""Define the log events of the daemon."""

from basilspindle import events

STARTED = events.Event(
    101,
    'started',
    events.Level.INFO,
    'the daemon listens',
    'none',
)
CONFIGURED = events.Event(
    102,
    'configured',
    events.Level.INFO,
    'the first configuration is known; the daemon takes part',
    'none',
)
STOPPING = events.Event(
    103,
    'stopping',
    events.Level.INFO,
    'a planned stop has begun',
    'none',
)
STOPPED = events.Event(
    104,
    'stopped',
    events.Level.INFO,
    'the planned stop is complete',
    'none',
)
STATE_DUMP = events.Event(
    105,
    'state_dump',
    events.Level.INFO,
    'the state of the process, asked for by SIGUSR1',
    'none',
)
HANDOVER_LATE = events.Event(
    106,
    'handover_late',
    events.Level.WARNING,
    'not every partition was handed over in time; others claim the rest',
    'check the log service',
)
LOOP_FAILED = events.Event(
    107,
    'loop_failed',
    events.Level.ERROR,
    'a pass of a periodic task failed; the next one follows',
    'report the error text as a fault of basilspindle',
)
