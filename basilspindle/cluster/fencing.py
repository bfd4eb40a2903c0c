"""Fence the former owners of a partition after a claim."""

import asyncio

from basilspindle import clock as clock_module
from basilspindle.cluster import member as member_module
from basilspindle.cluster import membership as membership_module
from basilspindle.cluster import partition_claim as partition_claim_module
from basilspindle.cluster import timing as timing_module
from basilspindle import errors
from basilspindle.peer import messages

# 5% for the drift between two clocks.
_DRIFT_PERCENT = 105
_STEP_MS = 20


def with_clock_drift(duration_ms: int) -> int:
    """Return a duration that is over on every clock of the cluster."""
    return -(-duration_ms * _DRIFT_PERCENT // 100)


class Fencing:
    """Ask every member to refuse the starts of lower epochs.

    ``former`` is the id of the member that claimed before, '' if none.
    With ``released`` the former owner has stopped by itself. ``proven``
    tells whether the former claim, of ``former_epoch``, is known to have
    become active; the answers of the others can tell it as well.
    """

    __slots__ = (
        '_acked',
        '_client',
        '_clock',
        '_former',
        '_former_epoch',
        '_membership',
        '_own_claim',
        '_pending',
        '_proven',
        '_released',
        '_timing',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        timing: timing_module.Timing,
        client: membership_module.PeerCaller,
        membership: membership_module.Membership,
        own_claim: partition_claim_module.PartitionClaim,
        former: str,
        former_epoch: int,
        released: bool,
        proven: bool,
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._client = client
        self._membership = membership
        self._own_claim = own_claim
        self._former = former
        self._former_epoch = former_epoch
        self._released = released
        self._proven = proven
        self._acked: dict[str, str] = {}
        self._pending: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> bool:
        """Return True once no former owner can start a task any more.

        Returns False if the own_claim was lost or is not wanted before.
        """
        try:
            while not self._over():
                if self._own_claim.lost or not self._own_claim.wanted:
                    return False
                self._send()
                await self._clock.sleep_ms(_STEP_MS)
            return not self._own_claim.lost
        finally:
            for task in self._pending.values():
                task.cancel()
            await asyncio.gather(
                *self._pending.values(), return_exceptions=True
            )

    def _over(self) -> bool:
        waited_ms = self._clock.now_ms() - self._own_claim.claimed_at_ms
        lapse_ms = self._timing.assurance_ms + self._timing.worker_lease_ms
        if waited_ms >= with_clock_drift(lapse_ms):
            return True
        if not self._tried_all():
            return False
        if self._released:
            return True
        if self._silent():
            return False
        return self._former_ended(waited_ms)

    def _tried_all(self) -> bool:
        return all(
            member.address in self._pending
            for member in self._membership.required_members()
        )

    def _silent(self) -> list[member_module.Member]:
        return [
            member
            for member in self._membership.required_members()
            if self._acked.get(member.address) != member.incarnation
        ]

    def _former_ended(self, waited_ms: int) -> bool:
        if not self._former:
            return True
        if not self._proven:
            # A claimant that was never active may have left an earlier
            # owner unfenced.
            return False
        if self._former_acked():
            return True
        return waited_ms >= self._timing.settle_ms

    def _former_acked(self) -> bool:
        former = self._membership.get(self._former)
        return former is not None and former.address in self._acked

    def _send(self) -> None:
        for member in self._silent():
            task = self._pending.get(member.address)
            if task is None or task.done():
                self._pending[member.address] = asyncio.ensure_future(
                    self._fence(member)
                )

    async def _fence(self, member: member_module.Member) -> None:
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
            self._proven = True
        self._acked[member.address] = incarnation
