"""Define the log events of the HTTP interface."""

from basilspindle import events

REQUEST_FAILED = events.Event(
    811,
    'request_failed',
    events.Level.ERROR,
    'a request failed with an unexpected exception',
    'report the error text as a bug of basilspindle',
)
SUBMIT_FAILED = events.Event(
    812,
    'submit_failed',
    events.Level.INFO,
    'a caller was answered that a job was not accepted, or may have been',
    'see the calls to owners and their outcomes; "ran" no promises that the '
    'job never runs by this submission',
)
