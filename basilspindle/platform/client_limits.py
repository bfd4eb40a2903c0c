"""Limits on what clients outside the configured limits may cost."""

import collections.abc
import resource

import msgspec

from basilspindle.cell import configuration as configuration_module
from basilspindle import decoding

# The smallest VM, for settings that do not tell the memory.
_DEFAULT_MEMORY_MB = 160
# Part of the memory for requests that are being received or handled. An idle
# process has 34 MB; a leader needs the rest for its jobs.
_HELD_DIVISOR = 8
# Twice what clients within the configuration may send or take. Sizes are
# checked after each read, so one read more may be accepted.
_HEADROOM = 2
_MAX_HEAD_BYTES = 32_768
_MAX_TRAILER_BYTES = 32_768
_HEAD_TIMEOUT_MS = 6_000
_MAX_BODY_BYTES = 262_144
# Ordinary clients send one request after the other.
_MAX_PIPELINED_REQUESTS = 16
# Responses to callers have a few hundred bytes.
_MAX_UNREAD_BYTES = 16_384
# Dumps of the state may have several megabytes and go over slow links.
_UNREAD_TIMEOUT_MS = 30_000
# Descriptors for log, files and links between daemons: at most this number,
# and a quarter where there are few.
_FILES_AND_LINKS = 300
_FILES_AND_LINKS_DIVISOR = 4
# Connections to each listener that does not serve callers: at most this
# number, and less where there are few descriptors.
_MAX_OTHER_CONNECTIONS = 64
_OTHER_DIVISOR = 16
_OTHER_LISTENERS = 2
_MIN_CONNECTIONS = 32

# Returns the limits of the configuration in force, None if there is none.
Configured = collections.abc.Callable[
    [], configuration_module.RequestLimits | None
]


class ClientSettings(msgspec.Struct):
    """Limits of the settings file, 0 for those that are derived."""

    max_head_bytes: decoding.Count = _MAX_HEAD_BYTES
    max_trailer_bytes: decoding.Count = _MAX_TRAILER_BYTES
    max_body_bytes: decoding.Count = _MAX_BODY_BYTES
    head_timeout_ms: decoding.Count = _HEAD_TIMEOUT_MS
    max_pipelined_requests: decoding.Count = _MAX_PIPELINED_REQUESTS
    max_unread_bytes: decoding.Count = _MAX_UNREAD_BYTES
    unread_timeout_ms: decoding.Count = _UNREAD_TIMEOUT_MS
    max_connections: decoding.Count = 0
    max_other_connections: decoding.Count = 0
    max_held_bytes: decoding.Count = 0


class ClientLimits:
    """Limits of all listeners of a process.

    Where the configuration in force allows callers more than the settings
    do, its value counts.
    """

    __slots__ = (
        'max_trailer_bytes',
        'max_pipelined_requests',
        'max_unread_bytes',
        'unread_timeout_s',
        'max_connections',
        'max_other_connections',
        'max_held_bytes',
        'configured',
        '_max_head_bytes',
        '_max_body_bytes',
        '_head_timeout_ms',
    )

    def __init__(
        self,
        settings: ClientSettings,
        max_descriptors: int,
        max_outgoing_connections: int,
        memory_mb: int = 0,
    ) -> None:
        self.max_trailer_bytes = settings.max_trailer_bytes
        self.max_pipelined_requests = settings.max_pipelined_requests
        self.max_unread_bytes = settings.max_unread_bytes
        self.unread_timeout_s = settings.unread_timeout_ms / 1000
        soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft_limit != resource.RLIM_INFINITY:
            max_descriptors = min(max_descriptors, soft_limit)
        self.max_other_connections = settings.max_other_connections or min(
            _MAX_OTHER_CONNECTIONS, max_descriptors // _OTHER_DIVISOR
        )
        self.max_connections = settings.max_connections or max(
            _MIN_CONNECTIONS,
            max_descriptors
            - max_outgoing_connections
            - min(
                _FILES_AND_LINKS, max_descriptors // _FILES_AND_LINKS_DIVISOR
            )
            - _OTHER_LISTENERS * self.max_other_connections,
        )
        self.max_held_bytes = settings.max_held_bytes or (
            (memory_mb or _DEFAULT_MEMORY_MB) * 1_000_000 // _HELD_DIVISOR
        )
        self.configured: Configured = lambda: None
        self._max_head_bytes = settings.max_head_bytes
        self._max_body_bytes = settings.max_body_bytes
        self._head_timeout_ms = settings.head_timeout_ms

    @property
    def max_head_bytes(self) -> int:
        """Return the largest size of a request's head."""
        configured = self.configured()
        if configured is None:
            return self._max_head_bytes
        return max(
            self._max_head_bytes, _HEADROOM * configured.max_header_bytes
        )

    @property
    def max_body_bytes(self) -> int:
        """Return how much is read of a body whose response was sent."""
        configured = self.configured()
        if configured is None:
            return self._max_body_bytes
        return max(self._max_body_bytes, configured.max_body_bytes)

    @property
    def head_timeout_s(self) -> float:
        """Return the time for a whole head, from its first byte."""
        configured = self.configured()
        timeout_ms = self._head_timeout_ms
        if configured is not None:
            timeout_ms = max(
                timeout_ms, _HEADROOM * configured.header_timeout_ms
            )
        return timeout_ms / 1000
