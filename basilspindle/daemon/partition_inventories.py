"""Collect the inventories of a partition from all holders."""

from basilspindle import clock as clock_module
from basilspindle import cluster
from basilspindle.cluster import inventory_collector
from basilspindle.cluster import partition_claim as partition_claim_module


class PartitionInventories:
    """Collect the inventories of a partition that this daemon owns."""

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
        client: cluster.membership.PeerCaller,
        membership: cluster.Membership,
        vm_list: cluster.VmList,
        local_inventory: inventory_collector.LocalInventory,
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._client = client
        self._membership = membership
        self._vm_list = vm_list
        self._local_inventory = local_inventory

    async def __call__(
        self, partition: int, epoch: int
    ) -> inventory_collector.CollectedInventory:
        """Return the merged inventories of the holders that answer."""
        own_claim = partition_claim_module.PartitionClaim(partition)
        own_claim.epoch = epoch
        return await inventory_collector.InventoryCollector(
            self._clock,
            self._timing,
            self._client,
            self._membership,
            self._vm_list,
            own_claim,
            self._local_inventory,
        ).run()
