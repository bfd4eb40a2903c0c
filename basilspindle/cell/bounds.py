"""Time limits that the platform sets for leases, stops and jobs."""

import msgspec


class Bounds(msgspec.Struct, frozen=True):
    """Time limits of a deployment, from its settings.

    ``max_lease_ms`` is the longest lease of a worker, ``stop_ms`` the time
    a stop takes, ``gang_ms`` how long a member of a gang waits for the
    others, ``state_kept_ms`` how long the state of an ended job is kept,
    ``early_ms`` how long before its due time an occurrence may start,
    ``remote_factor`` the ratio of task durations outside and inside the rack
    of the data, and ``grace_ms`` the time a daemon has to shut down.
    ``evacuate_ms`` is the time after the acknowledged request to evacuate a
    failure domain from which no task may start there, 0 in deployments
    without evacuations.
    """

    max_lease_ms: int = 10_000
    stop_ms: int = 1_000
    gang_ms: int = 3_000
    state_kept_ms: int = 120_000
    early_ms: int = 250
    remote_factor: float = 1.5
    grace_ms: int = 6_000
    evacuate_ms: int = 0
