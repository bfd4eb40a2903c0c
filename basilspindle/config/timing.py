"""Define the time settings that all daemons of a cell share."""

import msgspec

from basilspindle import document


class Timing(msgspec.Struct, frozen=True, kw_only=True):
    """Times in ms; the defaults suit a cell of 24 workers."""

    heartbeat_ms: document.DurationMs = 500
    suspect_ms: document.DurationMs = 1_500
    settle_ms: document.DurationMs = 500
    assurance_ms: document.DurationMs = 1_500
    worker_lease_ms: document.DurationMs = 3_000
    worker_poll_ms: document.DurationMs = 1_000
    silent_ms: document.DurationMs = 1_000
    task_lease_ms: document.DurationMs = 30_000
    hold_ms: document.DurationMs = 2_000
    linger_ms: document.DurationMs = 40
    log_down_ms: document.DurationMs = 1_000
    log_retention_ms: document.DurationMs = 3_600_000
    config_poll_ms: document.DurationMs = 800
    config_max_age_ms: document.DurationMs = 2_500
    request_max_ms: document.DurationMs = 15_000
    stop_ms: document.DurationMs = 20_000
    result_keep_ms: document.DurationMs = 900_000
