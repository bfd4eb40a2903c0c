"""Define the log events of the HTTP interface."""

from basilspindle import events

REQUEST_FAILED = events.Event(
    811,
    'request_failed',
    events.Level.ERROR,
    'a request failed with an unexpected exception',
    'report the error text as a bug of basilspindle',
)
