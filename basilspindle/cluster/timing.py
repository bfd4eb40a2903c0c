"""Define the settings that membership and ownership use."""

import typing


class Timing(typing.Protocol):
    """Durations in ms, taken from the daemon's settings."""

    heartbeat_ms: int
    suspect_ms: int
    settle_ms: int
    assurance_ms: int
    worker_lease_ms: int
    task_lease_ms: int
