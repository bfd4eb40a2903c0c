"""Read time settings from the configuration in force."""

from basilspindle import config


class LiveTiming:
    """Time settings that follow changes of the configuration."""

    __slots__ = ('_store',)

    def __init__(self, store: config.ConfigStore) -> None:
        self._store = store

    @property
    def heartbeat_ms(self) -> int:
        """Return the interval between heartbeats."""
        return self._store.timing.heartbeat_ms

    @property
    def suspect_ms(self) -> int:
        """Return the time without a reply after which a member is suspect."""
        return self._store.timing.suspect_ms

    @property
    def settle_ms(self) -> int:
        """Return the time in which packets of a dead process may arrive."""
        return self._store.timing.settle_ms

    @property
    def assurance_ms(self) -> int:
        """Return the maximum age of an assurance of ownership."""
        return self._store.timing.assurance_ms

    @property
    def worker_lease_ms(self) -> int:
        """Return the duration of a worker lease."""
        return self._store.timing.worker_lease_ms

    @property
    def task_lease_ms(self) -> int:
        """Return the duration of a task lease."""
        return self._store.timing.task_lease_ms
