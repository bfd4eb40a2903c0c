"""Define the log events of the configuration, numbers 201 to 299."""

from basilspindle import events

_INFO = events.Level.INFO
_WARNING = events.Level.WARNING
_ERROR = events.Level.ERROR

APPLIED = events.Event(
    201,
    'configuration_applied',
    _INFO,
    'This daemon applied a configuration',
    'None needed.',
)
PUBLISH_CONFLICT = events.Event(
    202,
    'publish_conflict',
    _INFO,
    'A publish was rejected: another one was made from the same version',
    'Read the configuration, apply the change again and publish.',
)
RECORD_SKIPPED = events.Event(
    203,
    'control_record_skipped',
    _WARNING,
    'A record of stream control or from a peer cannot be decoded',
    'Find out what else writes to the stream.',
)
CONTROL_UNREADABLE = events.Event(
    204,
    'control_unreadable',
    _WARNING,
    'Stream control cannot be read',
    'Check the log service; until it is back, peers confirm the '
    'configuration.',
)
CONTROL_READABLE = events.Event(
    205,
    'control_readable',
    _INFO,
    'Stream control can be read again',
    'None needed.',
)
REFRESHED = events.Event(
    206,
    'configuration_refreshed',
    _INFO,
    'The configuration was appended again before the log trims it',
    'None needed.',
)
CONFIGURATION_UNREADABLE = events.Event(
    207,
    'configuration_unreadable',
    _ERROR,
    'This daemon cannot read the accepted configuration and is not ready',
    'Update the daemon or publish a corrected configuration.',
)
CALLBACK_FAILED = events.Event(
    208,
    'configuration_callback_failed',
    _ERROR,
    'A component of the daemon failed to apply a configuration',
    'Restart the daemon and report the error.',
)
DIVERGED = events.Event(
    209,
    'configuration_diverged',
    _ERROR,
    'Two different configurations have the same version',
    'Publish the wanted configuration again; report the error.',
)
CONTROL_REWOUND = events.Event(
    210,
    'control_rewound',
    _ERROR,
    'Stream control ends before an offset that was already read',
    'Restart the daemon; check whether the log service lost records.',
)
PUBLISH_UNKNOWN = events.Event(
    211,
    'publish_unknown',
    _WARNING,
    'The outcome of a publish is not known',
    'Publish the same documents from the same version again.',
)
CONTROL_TRIMMED = events.Event(
    212,
    'control_trimmed',
    _WARNING,
    'The log trimmed records of stream control before they were read',
    'None needed; check why this daemon fell behind.',
)
