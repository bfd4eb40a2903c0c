"""Define the log events of this package."""

from basilspindle import events

HANDLER_FAILED = events.Event(
    501,
    'peer_handler_failed',
    events.Level.ERROR,
    'a handler of a peer call raised an unexpected exception',
    'report the exception as a bug of basilspindle',
)
CONNECTION_RETIRED = events.Event(
    502,
    'peer_connection_retired',
    events.Level.INFO,
    'a call on a peer connection timed out; new calls use a new connection',
    'check the network to the address if this recurs',
)
REQUEST_UNREADABLE = events.Event(
    503,
    'peer_request_unreadable',
    events.Level.WARNING,
    'a peer request could not be decoded and was rejected',
    'check that all daemons run compatible versions',
)
