"""Define the log events of routing."""

from basilspindle import events

RETRY_BUDGET_SPENT = events.Event(
    801,
    'retry_budget_spent',
    events.Level.WARNING,
    'calls to owners are not repeated: too many failed lately',
    'check the other daemons and the network between them',
)
