"""Bounds that the platform sets for leases, stops and answers."""

import msgspec


class Bounds(msgspec.Struct, frozen=True):
    """Times of one deployment in ms, taken from its settings.

    ``max_lease_ms`` is the longest lease of a worker, ``stop_ms`` the time
    a stop takes, ``gang_ms`` how long a member of a gang waits for the
    others, ``state_kept_ms`` how long the state of an ended job is known,
    ``early_ms`` how much before its time a run may start,
    ``remote_factor`` how much longer a task takes off its data's rack.
    """

    max_lease_ms: int = 10_000
    stop_ms: int = 1_000
    gang_ms: int = 3_000
    state_kept_ms: int = 120_000
    early_ms: int = 250
    remote_factor: float = 1.5
    grace_ms: int = 6_000
