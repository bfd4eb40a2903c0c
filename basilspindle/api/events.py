"""Define the log events of the HTTP interface."""

from basilspindle import events

REQUEST_FAILED = events.Event(
    811,
    'request_failed',
    events.Level.ERROR,
    'a request ended in an error that is not part of the interface',
    'report the error text as a fault of basilspindle',
)
