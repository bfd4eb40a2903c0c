"""Define the durations and limits of a journal."""

import msgspec


class Timing(msgspec.Struct, frozen=True, kw_only=True):
    """Durations and limits of a journal and its log client."""

    assurance_ms: int = 1_500
    linger_ms: int = 40
    log_down_ms: int = 1_000
    log_retention_ms: int = 3_600_000
    result_keep_ms: int = 900_000
    append_timeout_ms: int = 5_000
    snapshot_records: int = 5_000
    batch_bytes: int = 262_144
    read_limit: int = 500

    @property
    def poll_interval_ms(self) -> int:
        """Return the interval at which an owner reads the tail."""
        return self.assurance_ms // 3

    @property
    def snapshot_interval_ms(self) -> int:
        """Return the age at which a new snapshot replaces the last one."""
        return self.log_retention_ms // 3
