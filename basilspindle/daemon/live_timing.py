"""Read the times in force whenever they are used."""

from basilspindle import config


class LiveTiming:
    """Times in ms of the configuration in force, for the cluster."""

    __slots__ = ('_store',)

    def __init__(self, store: config.ConfigStore) -> None:
        self._store = store

    @property
    def heartbeat_ms(self) -> int:
        """Return the time between two heartbeats."""
        return self._store.timing.heartbeat_ms

    @property
    def suspect_ms(self) -> int:
        """Return the time without a reply that makes a member suspect."""
        return self._store.timing.suspect_ms

    @property
    def settle_ms(self) -> int:
        """Return the time for packets in flight of a dead process."""
        return self._store.timing.settle_ms

    @property
    def assurance_ms(self) -> int:
        """Return the greatest age of an assurance."""
        return self._store.timing.assurance_ms

    @property
    def worker_lease_ms(self) -> int:
        """Return the term of a placement lease."""
        return self._store.timing.worker_lease_ms

    @property
    def task_lease_ms(self) -> int:
        """Return the term of a task lease."""
        return self._store.timing.task_lease_ms
