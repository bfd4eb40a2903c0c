"""Share the components of a daemon between its modules."""

from basilspindle import clock as clock_module
from basilspindle import cluster
from basilspindle import config
from basilspindle import coordinator as coordinator_package
from basilspindle import fleet as fleet_package
from basilspindle import journal as journal_package
from basilspindle import peer
from basilspindle import settings as settings_package


class Components:
    """Components of one daemon.

    ``fleet``, ``coordinator`` and ``ownership`` are None until the daemon has
    a configuration.
    """

    __slots__ = (
        'settings',
        'clock',
        'incarnation',
        'stopping',
        'log',
        'client',
        'vm_list',
        'store',
        'membership',
        'fleet',
        'coordinator',
        'ownership',
    )

    log: journal_package.LogClient
    client: peer.PeerClient
    vm_list: cluster.VmList
    store: config.ConfigStore
    membership: cluster.Membership

    def __init__(
        self,
        settings: settings_package.Settings,
        clock: clock_module.Clock,
        incarnation: str,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.incarnation = incarnation
        self.stopping = False
        self.fleet: fleet_package.Fleet | None = None
        self.coordinator: coordinator_package.Coordinator | None = None
        self.ownership: cluster.Ownership | None = None

    @property
    def holder_id(self) -> str:
        """Return the holder id of this process, ``member id@incarnation``."""
        return f'{self.settings.member_id}@{self.incarnation}'

    def config_age_ms(self) -> int:
        """Return the time since the configuration was confirmed as current.

        Returns -1 if it never was.
        """
        at_ms = self.store.confirmed_at_ms
        return -1 if at_ms is None else self.clock.now_ms() - at_ms

    def drained(self) -> frozenset[str]:
        """Return the ids of the workers that operators have drained."""
        if not self.store.version:
            return frozenset()
        return frozenset(self.store.current.document.workers.drained)
