"""Fence the former owners of a partition after claiming it."""

import asyncio

from basilspindle import clock as clock_module
from basilspindle.cluster import member as member_module
from basilspindle.cluster import membership as membership_module
from basilspindle.cluster import partition_claim as partition_claim_module
from basilspindle.cluster import timing as timing_module
from basilspindle import errors
from basilspindle.peer import messages

# Durations are extended by 5% to allow for drift between two clocks.
_DRIFT_PERCENT = 105
_POLL_MS = 20


def with_clock_drift(duration_ms: int) -> int:
    """Extend a duration so that it has passed on every member's clock."""
    return -(-duration_ms * _DRIFT_PERCENT // 100)


class Fencing:
    """Ask every member to refuse task starts of lower epochs.

    ``former_id`` and ``former_epoch`` are of the previous claim; the id is
    '' if there was none. ``former_released`` tells whether that claimant
    released the partition. ``former_was_active`` tells whether its claim
    is known to have become active; replies of other members can report it
    as well.
    """

    __slots__ = (
        '_acked_incarnations',
        '_client',
        '_clock',
        '_former_epoch',
        '_former_id',
        '_former_released',
        '_former_was_active',
        '_membership',
        '_own_claim',
        '_requests',
        '_timing',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        timing: timing_module.Timing,
        client: membership_module.PeerCaller,
        membership: membership_module.Membership,
        own_claim: partition_claim_module.PartitionClaim,
        former_id: str,
        former_epoch: int,
        former_released: bool,
        former_was_active: bool,
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._client = client
        self._membership = membership
        self._own_claim = own_claim
        self._former_id = former_id
        self._former_epoch = former_epoch
        self._former_released = former_released
        self._former_was_active = former_was_active
        self._acked_incarnations: dict[str, str] = {}
        self._requests: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> bool:
        """Return True once no former owner can start tasks.

        Returns False if the claim is lost or a handover is requested first.
        """
        try:
            while not self._is_safe():
                if self._own_claim.lost or not self._own_claim.wanted:
                    return False
                self._send_fences()
                await self._clock.sleep_ms(_POLL_MS)
            return not self._own_claim.lost
        finally:
            for task in self._requests.values():
                task.cancel()
            await asyncio.gather(
                *self._requests.values(), return_exceptions=True
            )

    def _is_safe(self) -> bool:
        waited_ms = self._clock.now_ms() - self._own_claim.claimed_at_ms
        expiry_ms = self._timing.assurance_ms + self._timing.worker_lease_ms
        if waited_ms >= with_clock_drift(expiry_ms):
            # The former owner's assurance and worker leases have expired.
            return True
        if not self._all_called():
            return False
        if self._former_released:
            return True
        if self._unacked_members():
            return False
        return self._former_owner_stopped(waited_ms)

    def _all_called(self) -> bool:
        return all(
            member.address in self._requests
            for member in self._membership.fenceable_members()
        )

    def _unacked_members(self) -> list[member_module.Member]:
        return [
            member
            for member in self._membership.fenceable_members()
            if self._acked_incarnations.get(member.address)
            != member.incarnation
        ]

    def _former_owner_stopped(self, waited_ms: int) -> bool:
        if not self._former_id:
            return True
        if not self._former_was_active:
            # A claimant that never became active may not have fenced the
            # owner before it.
            return False
        if self._former_acked():
            return True
        if self._former_id == self._membership.own.member_id:
            # This process has taken the place of the former owner's; packets
            # of that one may still be under way.
            return waited_ms >= self._timing.settle_ms
        # It has left, or refuses connections and may only be cut off. It
        # starts nothing more once its assurance has run out.
        return waited_ms >= with_clock_drift(self._timing.assurance_ms)

    def _former_acked(self) -> bool:
        former = self._membership.get(self._former_id)
        return (
            former is not None and former.address in self._acked_incarnations
        )

    def _send_fences(self) -> None:
        for member in self._unacked_members():
            task = self._requests.get(member.address)
            if task is None or task.done():
                self._requests[member.address] = asyncio.ensure_future(
                    self._send_fence(member)
                )

    async def _send_fence(self, member: member_module.Member) -> None:
        own_claim = self._own_claim
        incarnation = member.incarnation
        fence = messages.Fence(
            partition=own_claim.partition,
            epoch=own_claim.epoch,
            member_id=self._membership.own.member_id,
        )
        try:
            reply = await self._client.call(
                member.address, fence, self._timing.heartbeat_ms
            )
        except errors.BasilspindleError:
            await self._clock.sleep_ms(self._timing.heartbeat_ms // 2)
            return
        if reply.epoch > own_claim.epoch:
            own_claim.mark_lost()
        if reply.active_epoch == self._former_epoch:
            self._former_was_active = True
        self._acked_incarnations[member.address] = incarnation
