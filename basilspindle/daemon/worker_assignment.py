"""Assign the workers of the VM list to the daemons."""

from basilspindle import cluster
from basilspindle import fleet


class WorkerAssignment:
    """Distribute the workers over the live members by rendezvous hashing.

    A worker is held by a member of its region, or by any other member if none
    is live there. The assignments are cached until the live members change:
    hashing 740 workers over 12 members takes more time than everything else
    that an idle daemon does.
    """

    __slots__ = (
        '_membership',
        '_vm_list',
        '_live_members',
        '_holder_by_worker',
    )

    def __init__(
        self, membership: cluster.Membership, vm_list: cluster.VmList
    ) -> None:
        self._membership = membership
        self._vm_list = vm_list
        self._live_members: list[tuple[str, str]] = []
        self._holder_by_worker: dict[tuple[str, str], str] = {}

    def desired(self, drained: frozenset[str]) -> list[fleet.WorkerInfo]:
        """Return the workers that this daemon should hold."""
        own = self._membership.own.member_id
        self._update_members()
        return [
            worker_info(vm, drained)
            for vm in self._vm_list.workers()
            if self._holder_of(vm.id, vm.region) == own
        ]

    def _update_members(self) -> None:
        members = sorted(
            (member.member_id, member.region)
            for member in self._membership.live()
            if member.configured
        )
        if members != self._live_members:
            self._live_members = members
            self._holder_by_worker.clear()

    def _holder_of(self, worker_id: str, region: str) -> str:
        key = (worker_id, region)
        if key not in self._holder_by_worker:
            in_region = [
                m
                for m, member_region in self._live_members
                if member_region == region
            ]
            ids = in_region or [m for m, _ in self._live_members]
            self._holder_by_worker[key] = cluster.rendezvous(
                f'worker-{worker_id}', ids
            )
        return self._holder_by_worker[key]


def worker_info(
    vm: cluster.VirtualMachine, drained: frozenset[str]
) -> fleet.WorkerInfo:
    """Return the description of a worker for the fleet."""
    return fleet.WorkerInfo(
        worker_id=vm.id,
        address=vm.address,
        failure_domain=vm.failure_domain,
        rack=vm.rack,
        region=vm.region,
        leaving=vm.state is cluster.VmState.LEAVING,
        drained=vm.id in drained,
    )
