"""Define the log events of this package."""

from basilspindle import events

RETRY_BUDGET_SPENT = events.Event(
    801,
    'retry_budget_spent',
    events.Level.WARNING,
    'a call to an owner is not retried: too many recent calls failed',
    'check the other daemons and the network between them',
)
REPLY_REFUSED = events.Event(
    802,
    'owner_reply_refused',
    events.Level.WARNING,
    'an owner replied with a job that was not asked for; it is called again',
    'run compatible versions on all daemons',
)
