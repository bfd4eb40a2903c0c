"""Define the log events of this package."""

from basilspindle import events

RETRY_BUDGET_SPENT = events.Event(
    801,
    'retry_budget_spent',
    events.Level.WARNING,
    'a call to an owner is not retried: too many recent calls failed',
    'check the other daemons and the network between them',
)
