"""Collect the inventory of a partition from the holders of workers."""

import asyncio
import collections.abc

import msgspec

from basilspindle import clock as clock_module
from basilspindle.cluster import fencing
from basilspindle.cluster import member as member_module
from basilspindle.cluster import membership as membership_module
from basilspindle.cluster import partition_claim as partition_claim_module
from basilspindle.cluster import timing as timing_module
from basilspindle.cluster import vm_list as vm_list_module
from basilspindle import errors
from basilspindle import model
from basilspindle.peer import messages

# Attempts to get the inventory of one responsive member.
_MAX_ATTEMPTS = 2
LocalInventory = collections.abc.Callable[
    [messages.Inventory], collections.abc.Awaitable[messages.Inventoried]
]


class CollectedInventory:
    """Running and ended tasks of a partition, as the holders reported.

    ``unseen_until_ms`` is the monotonic time until which tasks may still
    run on workers that no holder reported. It holds only if
    ``has_silent_member`` is False: a member that does not answer may renew
    their task leases for as long as it reaches the workers. The same holds
    for members that were silent before ``heard_since_ms``.
    """

    __slots__ = (
        'ends',
        'has_silent_member',
        'heard_since_ms',
        'running',
        'unseen_until_ms',
    )

    def __init__(
        self,
        running: list[model.RunningTask],
        ends: list[model.TaskEnd],
        unseen_until_ms: int,
        has_silent_member: bool,
        heard_since_ms: int = 0,
    ) -> None:
        self.has_silent_member = has_silent_member
        self.heard_since_ms = heard_since_ms
        self.running = running
        self.ends = ends
        self.unseen_until_ms = unseen_until_ms


class InventoryCollector:
    """Ask this daemon and every responsive member for their inventories."""

    __slots__ = (
        '_client',
        '_clock',
        '_local_inventory',
        '_membership',
        '_own_claim',
        '_timing',
        '_vm_list',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        timing: timing_module.Timing,
        client: membership_module.PeerCaller,
        membership: membership_module.Membership,
        vm_list: vm_list_module.VmList,
        own_claim: partition_claim_module.PartitionClaim,
        local_inventory: LocalInventory,
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._client = client
        self._membership = membership
        self._vm_list = vm_list
        self._own_claim = own_claim
        self._local_inventory = local_inventory

    async def run(self) -> CollectedInventory:
        """Return the merged inventories without duplicates."""
        request = messages.Inventory(
            partition=self._own_claim.partition,
            partition_epoch=self._own_claim.epoch,
            member_id=self._membership.own.member_id,
        )
        responsive = [
            m for m in self._membership.members() if m.state.responsive
        ]
        vm_list_answered, *replies = await asyncio.gather(
            self._vm_list.refresh(),
            self._local_inventory(request),
            *(self._ask(member, request) for member in responsive),
        )
        unresponsive = [
            m
            for m in self._membership.required_members()
            if not m.state.responsive
        ]
        has_silent_member = bool(unresponsive) or None in replies
        answered = [reply for reply in replies if reply is not None]
        return self._merge(vm_list_answered, answered, has_silent_member)

    async def _ask(
        self, member: member_module.Member, request: messages.Inventory
    ) -> messages.Inventoried | None:
        for _ in range(_MAX_ATTEMPTS):
            try:
                reply = await self._client.call(
                    member.address, request, self._timing.suspect_ms
                )
            except errors.BasilspindleError:
                continue
            return self._check_holders(member.member_id, reply)
        return None

    def _check_holders(
        self, member_id: str, reply: messages.Inventoried
    ) -> messages.Inventoried:
        """Remove holder ids that are not of the member that replied.

        The tasks of a holder that no member has count as lost, and are
        started again. Without an id they are tracked by the inventories.
        """
        member = self._membership.get(member_id)
        holder_id = ''
        if member is not None:
            holder_id = f'{member.member_id}@{member.incarnation}'
        return msgspec.structs.replace(
            reply,
            running=[
                task
                if task.holder_id == holder_id
                else msgspec.structs.replace(task, holder_id='')
                for task in reply.running
            ],
        )

    def _merge(
        self,
        vm_list_answered: bool,
        replies: list[messages.Inventoried],
        has_silent_member: bool,
    ) -> CollectedInventory:
        running = {
            (task.task_id, task.attempt, task.worker_id): task
            for reply in replies
            for task in reply.running
        }
        ends = {
            (end.task_id, end.attempt, end.worker_id): end
            for reply in replies
            for end in reply.ends
        }
        covered = {worker for reply in replies for worker in reply.workers}
        workers = {vm.id for vm in self._vm_list.workers()}
        until_ms = self._clock.now_ms()
        if not vm_list_answered or not workers <= covered:
            until_ms += fencing.with_clock_drift(self._timing.task_lease_ms)
        return CollectedInventory(
            list(running.values()),
            list(ends.values()),
            until_ms,
            has_silent_member,
            self._membership.all_heard_since_ms(),
        )
