"""Define the log events of the coordinator."""

from basilspindle import events

PARTITION_ACTIVE = events.Event(
    701,
    'partition_active',
    events.Level.INFO,
    'jobs of a partition are recovered and take new work',
    'none',
)
PARTITION_INACTIVE = events.Event(
    702,
    'partition_inactive',
    events.Level.INFO,
    'jobs of a partition were given up by this daemon',
    'none',
)
PLACE_UNANSWERED = events.Event(
    703,
    'place_unanswered',
    events.Level.WARNING,
    'a holder did not answer a placement; it is repeated',
    'check the holder and the network between the daemons',
)
OUTCOME_UNKNOWN = events.Event(
    704,
    'outcome_unknown',
    events.Level.WARNING,
    'a non-idempotent task has an unknown outcome and is not repeated',
    'check the effect of the task and submit it again if it is missing',
)
END_NOT_RECORDED = events.Event(
    705,
    'end_not_recorded',
    events.Level.WARNING,
    'the end of a task is not in the log yet; its holder reports it again',
    'check the log service',
)
DISPATCH_FAILED = events.Event(
    706,
    'dispatch_failed',
    events.Level.ERROR,
    'a dispatch pass failed; the next one starts after a pause',
    'report the error text as a fault of basilspindle',
)
