"""Ask every holder what runs for a partition."""

import collections.abc

from basilspindle import clock as clock_module
from basilspindle import cluster
from basilspindle.cluster import recovery
from basilspindle.cluster import tenure as tenure_module
from basilspindle import model


class Survey:
    """Collect inventories until the workers of the VM list are covered."""

    __slots__ = (
        '_clock',
        '_timing',
        '_client',
        '_membership',
        '_vm_list',
        '_local',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        timing: cluster.Timing,
        client: cluster.membership.Caller,
        membership: cluster.Membership,
        vm_list: cluster.VmList,
        local: recovery.LocalInventory,
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._client = client
        self._membership = membership
        self._vm_list = vm_list
        self._local = local

    async def __call__(
        self, partition: int, epoch: int
    ) -> tuple[
        collections.abc.Sequence[model.RunningTask],
        collections.abc.Sequence[model.TaskEnd],
        bool,
    ]:
        """Return tasks, ends, and whether every worker was covered."""
        tenure = tenure_module.Tenure(partition)
        tenure.epoch = epoch
        found = await recovery.Recovery(
            self._clock,
            self._timing,
            self._client,
            self._membership,
            self._vm_list,
            tenure,
            self._local,
        ).run()
        complete = found.unseen_until_ms <= self._clock.now_ms()
        return found.running, found.ends, complete
