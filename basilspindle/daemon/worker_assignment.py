"""Decide which workers this daemon should hold."""

from basilspindle import cluster
from basilspindle import fleet


def assign(
    membership: cluster.Membership,
    vm_list: cluster.VmList,
    drained: frozenset[str],
) -> list[fleet.WorkerInfo]:
    """Return the workers that hashing over live members gives to this one.

    Only members of a worker's region hold it, unless none is live there.
    """
    own = membership.own.member_id
    members = [m for m in membership.live() if m.configured]
    chosen = []
    for vm in vm_list.workers():
        near = [m.member_id for m in members if m.region == vm.region]
        ids = near or [m.member_id for m in members]
        if cluster.rendezvous(f'worker-{vm.id}', ids) == own:
            chosen.append(describe(vm, drained))
    return chosen


def describe(
    vm: cluster.VirtualMachine, drained: frozenset[str]
) -> fleet.WorkerInfo:
    """Return what the fleet has to know of a worker."""
    return fleet.WorkerInfo(
        worker_id=vm.id,
        address=vm.address,
        failure_domain=vm.failure_domain,
        rack=vm.rack,
        region=vm.region,
        leaving=vm.state is cluster.VmState.LEAVING,
        drained=vm.id in drained,
    )
