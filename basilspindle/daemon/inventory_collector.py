"""Ask every holder what runs for a partition."""

from basilspindle import clock as clock_module
from basilspindle import cluster
from basilspindle.cluster import recovery
from basilspindle.cluster import tenure as tenure_module


class InventoryCollector:
    """Collect inventories until the workers of the VM list are covered."""

    __slots__ = (
        '_clock',
        '_timing',
        '_client',
        '_membership',
        '_vm_list',
        '_local_inventory',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        timing: cluster.Timing,
        client: cluster.membership.Caller,
        membership: cluster.Membership,
        vm_list: cluster.VmList,
        local_inventory: recovery.LocalInventory,
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._client = client
        self._membership = membership
        self._vm_list = vm_list
        self._local_inventory = local_inventory

    async def __call__(self, partition: int, epoch: int) -> recovery.Found:
        """Return what the holders that answer report now."""
        tenure = tenure_module.Tenure(partition)
        tenure.epoch = epoch
        return await recovery.Recovery(
            self._clock,
            self._timing,
            self._client,
            self._membership,
            self._vm_list,
            tenure,
            self._local_inventory,
        ).run()
