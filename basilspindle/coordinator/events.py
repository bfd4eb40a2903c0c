"""Define the log events of the coordinator."""

from basilspindle import events

PARTITION_ACTIVE = events.Event(
    701,
    'partition_active',
    events.Level.INFO,
    'the jobs of a partition were recovered and are being dispatched',
    'none',
)
PARTITION_INACTIVE = events.Event(
    702,
    'partition_inactive',
    events.Level.INFO,
    'this daemon stopped managing the jobs of a partition',
    'none',
)
PLACE_UNANSWERED = events.Event(
    703,
    'place_unanswered',
    events.Level.WARNING,
    'a holder did not answer a placement request, which is repeated',
    'check the holder and the network between the daemons',
)
OUTCOME_UNKNOWN = events.Event(
    704,
    'outcome_unknown',
    events.Level.WARNING,
    'a non-idempotent task has an unknown outcome and is not retried',
    'check whether the task took effect and resubmit it if it did not',
)
END_NOT_RECORDED = events.Event(
    705,
    'end_not_recorded',
    events.Level.WARNING,
    'the end of a task was not recorded; its holder will report it again',
    'check the log service',
)
DISPATCH_FAILED = events.Event(
    706,
    'dispatch_failed',
    events.Level.ERROR,
    'dispatching tasks failed; the next pass starts after a pause',
    'report the error text as a bug of basilspindle',
)
SWEEP_FAILED = events.Event(
    707,
    'sweep_failed',
    events.Level.ERROR,
    'checking the tasks of the partitions failed; it is repeated',
    'report the error text as a bug of basilspindle',
)
TASK_REPORT_REFUSED = events.Event(
    708,
    'task_report_refused',
    events.Level.WARNING,
    'a daemon reported a task in a way that is not possible; what is not '
    'possible was ignored and the rest of its report applied',
    'run compatible versions on all daemons',
)
ANSWER_INCOMPLETE = events.Event(
    709,
    'holder_answer_incomplete',
    events.Level.WARNING,
    'a holder did not tell what became of tasks that it was asked to start; '
    'it is asked again, or the tasks are queued again if they were only held',
    'run compatible versions on all daemons',
)
ENTRY_SKIPPED = events.Event(
    710,
    'coordinator_entry_skipped',
    events.Level.ERROR,
    'a job, a running task or an end could not be applied and is skipped',
    'report the error text as a bug of basilspindle',
)
