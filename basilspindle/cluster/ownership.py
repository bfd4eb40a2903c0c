"""Own partitions: claim, recover, run, hand over."""

import asyncio
import collections.abc
import types

from basilspindle import clock as clock_module
from basilspindle.cluster import events as cluster_events
from basilspindle.cluster import fence_table
from basilspindle.cluster import fencing
from basilspindle.cluster import inventory_collector
from basilspindle.cluster import journal as journal_module
from basilspindle.cluster import log_and_suppress
from basilspindle.cluster import member as member_module
from basilspindle.cluster import member_state
from basilspindle.cluster import membership as membership_module
from basilspindle.cluster import partition as partition_module
from basilspindle.cluster import partition_claim as partition_claim_module
from basilspindle.cluster import partition_host
from basilspindle.cluster import rendezvous
from basilspindle.cluster import timing as timing_module
from basilspindle.cluster import vm_list as vm_list_module
from basilspindle import errors
from basilspindle import events
from basilspindle.peer import messages

_Phase = partition_claim_module.Phase
_State = member_state.MemberState
_REVIEW_MS = 250
_RETRY_MS = 200
# Longest time to read a stream before it is claimed.
_REPLAY_MS = 10_000
# A claim that was lost is repeated after a time that doubles up to here.
_MAX_DOUBLINGS = 6
# Time for a planned stop to release everything.
_HANDOVER_MS = 15_000


class Ownership:
    """Own the partitions of the home region that fall to this daemon.

    ``partitions`` is the number of partitions, ``regions`` lists all
    regions of the cell, ``open_journal`` opens the journal of a partition
    and ``local_inventory`` answers for the workers of this daemon.
    """

    __slots__ = (
        '_active_epochs',
        '_backoffs',
        '_better_since',
        '_chosen',
        '_client',
        '_clock',
        '_fences',
        '_host',
        '_ids',
        '_local',
        '_losses',
        '_membership',
        '_open_journal',
        '_own_claims',
        '_owners',
        '_partitions',
        '_regions',
        '_reviewer',
        '_stopping',
        '_tasks',
        '_timing',
        '_vm_list',
        '_wake',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        timing: timing_module.Timing,
        client: membership_module.PeerCaller,
        membership: membership_module.Membership,
        vm_list: vm_list_module.VmList,
        fences: fence_table.FenceTable,
        host: partition_host.PartitionHost,
        open_journal: journal_module.OpenJournal,
        local_inventory: inventory_collector.LocalInventory,
        *,
        partitions: int,
        regions: collections.abc.Sequence[str],
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._client = client
        self._membership = membership
        self._vm_list = vm_list
        self._fences = fences
        self._host = host
        self._open_journal = open_journal
        self._local = local_inventory
        self._partitions = partitions
        self._regions = sorted(regions)
        self._own_claims: dict[int, partition_claim_module.PartitionClaim] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._owners: dict[int, tuple[int, bool, member_module.Member]] = {}
        self._active_epochs: dict[int, int] = {}
        self._backoffs: dict[int, int] = {}
        self._losses: dict[int, int] = {}
        self._better_since: dict[int, int] = {}
        self._chosen: dict[int, str] = {}
        self._ids: list[str] = []
        self._stopping = False
        self._wake = asyncio.Event()
        self._reviewer: asyncio.Task[None] | None = None

    async def __aenter__(self) -> 'Ownership':
        self._membership.on_change(self._refresh_claims)
        self._refresh_claims()
        self._reviewer = asyncio.ensure_future(self._keep_reviewing())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._stopping = True
        tasks = list(self._tasks.values())
        if self._reviewer is not None:
            tasks.append(self._reviewer)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def claims(self) -> list[messages.Claim]:
        """Return the claims for this daemon's heartbeats."""
        return [
            messages.Claim(
                own_claim.partition,
                own_claim.epoch,
                own_claim.phase is _Phase.ACTIVE,
            )
            for own_claim in self._own_claims.values()
            if own_claim.owned
        ]

    def owner_of(self, partition: int) -> member_module.Member | None:
        """Return the active owner; None while there is none."""
        own_claim = self._own_claims.get(partition)
        if own_claim is not None and own_claim.owned:
            active = own_claim.phase is _Phase.ACTIVE
            return self._membership.own if active else None
        epoch, active, member = self._owners.get(partition, _NO_OWNER)
        if not active or member is None or not member.state.must_reply:
            return None
        return member if epoch >= self._fences.epoch(partition) else None

    def may_start(self, partition: int) -> bool:
        """Tell whether tasks of the partition may be started now.

        True while this daemon is the active owner and was assured of it
        within assurance_ms, by the log or by all members.
        """
        own_claim = self._own_claims.get(partition)
        if own_claim is None or own_claim.phase is not _Phase.ACTIVE:
            return False
        journal = own_claim.journal
        fenced = self._fences.epoch(partition) > own_claim.epoch
        if journal is None or not journal.is_owner or fenced:
            self._lose(own_claim)
            return False
        oldest_ms = self._clock.now_ms() - self._timing.assurance_ms
        if journal.assured_at_ms >= oldest_ms:
            return True
        self._membership.demand_replies()
        replied_ms = self._membership.oldest_answered_send_ms(
            region=self._home_of(partition),
            accept=lambda reply: not _contests(reply, own_claim),
        )
        return replied_ms is not None and replied_ms >= oldest_ms

    async def handle_fence(self, fence: messages.Fence) -> messages.Fenced:
        """Answer a fence; starts of lower epochs are refused from now."""
        epoch = self._fences.advance(fence.partition, fence.epoch)
        own_claim = self._own_claims.get(fence.partition)
        if own_claim is not None and 0 < own_claim.epoch < epoch:
            self._lose(own_claim)
        return messages.Fenced(
            epoch=epoch,
            active_epoch=self._active_epochs.get(fence.partition, 0),
        )

    async def hand_over_all(self, within_ms: int = _HANDOVER_MS) -> bool:
        """Release every partition; return whether all were in time."""
        self._stopping = True
        for own_claim in self._own_claims.values():
            own_claim.request_handover()
        tasks = list(self._tasks.values())
        if not tasks:
            return True
        done = asyncio.gather(*tasks, return_exceptions=True)
        try:
            await self._clock.wait_ms(asyncio.shield(done), within_ms)
        except errors.DeadlineExceeded:
            return False
        return True

    def dump(self) -> dict[str, object]:
        """Return the state for the state dump."""
        return {
            'stopping': self._stopping,
            'tenures': {
                own_claim.partition: {
                    'epoch': own_claim.epoch,
                    'phase': own_claim.phase.value,
                    'may_start': self.may_start(own_claim.partition),
                }
                for own_claim in list(self._own_claims.values())
            },
        }

    def _home_of(self, partition: int) -> str:
        return partition_module.home_region(partition, self._regions)

    def _refresh_claims(self) -> None:
        self._owners = {}
        for member in self._membership.members():
            for claim in member.claims:
                self._note(member, claim)
            if member.reply is not None:
                self._fences.record_claims(member.reply.fenced)
        for own_claim in list(self._own_claims.values()):
            fence = self._fences.epoch(own_claim.partition)
            if own_claim.owned and fence > own_claim.epoch:
                self._lose(own_claim)
        self._wake.set()

    def _note(
        self, member: member_module.Member, claim: messages.Claim
    ) -> None:
        if member.state.responsive:
            # Only a claimant that is not heard is a reason to hold back.
            self._backoffs.pop(claim.partition, None)
            self._losses.pop(claim.partition, None)
        if claim.active:
            self._see_active(claim.partition, claim.epoch)
        known = self._owners.get(claim.partition)
        if known is None or claim.epoch > known[0]:
            self._owners[claim.partition] = (
                claim.epoch,
                claim.active,
                member,
            )

    def _see_active(self, partition: int, epoch: int) -> None:
        highest = self._active_epochs.get(partition, 0)
        self._active_epochs[partition] = max(epoch, highest)

    def _lose(self, own_claim: partition_claim_module.PartitionClaim) -> None:
        if own_claim.lost:
            return
        own_claim.mark_lost()
        events.emit(
            cluster_events.DEPOSED,
            partition=own_claim.partition,
            epoch=own_claim.epoch,
            fence=self._fences.epoch(own_claim.partition),
        )

    async def _keep_reviewing(self) -> None:
        while True:
            self._wake.clear()
            if self._membership.settled() and not self._stopping:
                with log_and_suppress.LogAndSuppress('ownership'):
                    self._review()
            try:
                await self._clock.wait_ms(self._wake.wait(), _REVIEW_MS)
            except errors.DeadlineExceeded:
                continue

    def _review(self) -> None:
        own = self._membership.own
        if own.region not in self._regions:
            return
        self._choose()
        for partition, chosen in self._chosen.items():
            own_claim = self._own_claims.get(partition)
            if own_claim is not None:
                self._compare(own_claim, chosen)
            elif chosen == own.member_id and self._free(partition):
                self._take(partition)

    def _choose(self) -> None:
        ids = sorted(self._eligible())
        if ids == self._ids:
            return
        region = self._membership.own.region
        self._ids = ids
        self._chosen = {
            partition: rendezvous.rendezvous(f'partition-{partition}', ids)
            for partition in range(self._partitions)
            if self._home_of(partition) == region
        }

    def _eligible(self) -> list[str]:
        region = self._membership.own.region
        return [
            member.member_id
            for member in self._membership.live()
            if member.region == region and member.configured
        ]

    def _free(self, partition: int) -> bool:
        now_ms = self._clock.now_ms()
        if now_ms < self._backoffs.get(partition, now_ms):
            return False
        known = self._owners.get(partition)
        return known is None or not known[2].state.responsive

    def _compare(
        self, own_claim: partition_claim_module.PartitionClaim, chosen: str
    ) -> None:
        partition = own_claim.partition
        now_ms = self._clock.now_ms()
        journal = own_claim.journal
        active = own_claim.phase is _Phase.ACTIVE
        if active and journal is not None and not journal.is_owner:
            self._lose(own_claim)
        elif active and not self._log_answers(own_claim, 2):
            self._membership.demand_replies()
        if chosen in ('', self._membership.own.member_id):
            self._better_since.pop(partition, None)
            return
        since_ms = self._better_since.setdefault(partition, now_ms)
        # The better owner claims nothing before it is settled itself.
        steady_ms = self._timing.suspect_ms + self._timing.heartbeat_ms
        if now_ms - since_ms < steady_ms or not self._log_answers(own_claim):
            return
        if active:
            own_claim.request_handover()

    def _log_answers(
        self, own_claim: partition_claim_module.PartitionClaim, part: int = 1
    ) -> bool:
        if own_claim.journal is None:
            return False
        age_ms = self._clock.now_ms() - own_claim.journal.assured_at_ms
        return age_ms <= self._timing.assurance_ms // part

    def _take(self, partition: int) -> None:
        own_claim = partition_claim_module.PartitionClaim(partition)
        self._own_claims[partition] = own_claim
        task = asyncio.ensure_future(self._run(own_claim))
        self._tasks[partition] = task

    async def _run(
        self, own_claim: partition_claim_module.PartitionClaim
    ) -> None:
        partition = own_claim.partition
        try:
            async with self._open_journal(partition) as journal:
                own_claim.journal = journal
                journal.on_deposed = lambda *_: self._lose(own_claim)
                await self._hold(own_claim, journal)
        except errors.BasilspindleError as error:
            self._fail(own_claim, cluster_events.CLAIM_FAILED, error.message)
        except Exception as error:
            self._fail(own_claim, cluster_events.HOST_FAILED, repr(error))
        finally:
            self._own_claims.pop(partition, None)
            self._tasks.pop(partition, None)
            self._better_since.pop(partition, None)
            if own_claim.lost:
                self._back_off(partition)
            self._membership.send_now()
            self._wake.set()

    async def _hold(
        self,
        own_claim: partition_claim_module.PartitionClaim,
        journal: journal_module.Journal,
    ) -> None:
        fence = await self._claim(own_claim, journal)
        if not await fence.run():
            # Without a release: the next owner has to fence those before.
            return
        while own_claim.wanted and not own_claim.lost:
            await self._activate(own_claim, journal)
            await self._until_ended(own_claim)
            await self._deactivate(own_claim)
            if not own_claim.lost and await self._release(own_claim, journal):
                return
        if not own_claim.lost:
            await self._release(own_claim, journal)

    async def _claim(
        self,
        own_claim: partition_claim_module.PartitionClaim,
        journal: journal_module.Journal,
    ) -> fencing.Fencing:
        journal.follow(True)
        await self._clock.wait_ms(journal.wait_replayed(), _REPLAY_MS)
        former, former_epoch = journal.latest_claimant, journal.latest_epoch
        released = journal.state.released
        own_claim.epoch = await journal.claim()
        own_claim.claimed_at_ms = self._clock.now_ms()
        own_claim.enter(_Phase.RECOVERING)
        partition, epoch = own_claim.partition, own_claim.epoch
        if self._fences.advance(partition, epoch) > epoch:
            self._lose(own_claim)
        events.emit(
            cluster_events.CLAIMED,
            partition=partition,
            epoch=epoch,
            former=former,
            released=released,
        )
        self._membership.send_now()
        return fencing.Fencing(
            self._clock,
            self._timing,
            self._client,
            self._membership,
            own_claim,
            former,
            former_epoch,
            released,
            self._active_epochs.get(partition) == former_epoch,
        )

    async def _activate(
        self,
        own_claim: partition_claim_module.PartitionClaim,
        journal: journal_module.Journal,
    ) -> None:
        found = await inventory_collector.InventoryCollector(
            self._clock,
            self._timing,
            self._client,
            self._membership,
            self._vm_list,
            own_claim,
            self._local,
        ).run()
        if own_claim.lost:
            return
        await self._host.activate(
            own_claim.partition,
            journal,
            found.running,
            found.ends,
            found.unseen_until_ms,
        )
        if own_claim.lost:
            return
        own_claim.changed.clear()
        own_claim.enter(_Phase.ACTIVE)
        self._see_active(own_claim.partition, own_claim.epoch)
        self._membership.send_now()
        events.emit(
            cluster_events.ACTIVE,
            partition=own_claim.partition,
            epoch=own_claim.epoch,
            running=len(found.running),
            ends=len(found.ends),
            waited_ms=self._clock.now_ms() - own_claim.claimed_at_ms,
        )

    async def _until_ended(
        self, own_claim: partition_claim_module.PartitionClaim
    ) -> None:
        while own_claim.wanted and not own_claim.lost:
            own_claim.changed.clear()
            await own_claim.changed.wait()

    async def _deactivate(
        self, own_claim: partition_claim_module.PartitionClaim
    ) -> None:
        own_claim.enter(_Phase.HANDING_OVER)
        await self._host.deactivate(own_claim.partition, not own_claim.lost)

    async def _release(
        self,
        own_claim: partition_claim_module.PartitionClaim,
        journal: journal_module.Journal,
    ) -> bool:
        while not own_claim.lost:
            try:
                await journal.release()
            except errors.LogUnavailable:
                # Nothing was written: the partition stays with this daemon
                # and goes on, unless the process is to stop.
                if not self._stopping:
                    own_claim.cancel_handover()
                    own_claim.enter(_Phase.RECOVERING)
                    return False
                await self._clock.sleep_ms(_RETRY_MS)
            except errors.LogError:
                await self._clock.sleep_ms(_RETRY_MS)
            else:
                self._finish(own_claim)
                return True
        return True

    def _finish(
        self, own_claim: partition_claim_module.PartitionClaim
    ) -> None:
        own_claim.enter(_Phase.RELEASED)
        self._membership.send_now()
        events.emit(
            cluster_events.RELEASED,
            partition=own_claim.partition,
            epoch=own_claim.epoch,
        )

    def _fail(
        self,
        own_claim: partition_claim_module.PartitionClaim,
        event: events.Event,
        text: str,
    ) -> None:
        self._backoffs[own_claim.partition] = (
            self._clock.now_ms() + self._timing.suspect_ms
        )
        events.emit(event, partition=own_claim.partition, error=text)

    def _back_off(self, partition: int) -> None:
        # Two members that do not hear each other but reach the log would
        # otherwise depose each other before either becomes active.
        losses = self._losses.get(partition, 0)
        self._losses[partition] = min(losses + 1, _MAX_DOUBLINGS)
        lapse_ms = self._timing.assurance_ms + self._timing.worker_lease_ms
        wait_ms = fencing.with_clock_drift(lapse_ms) << losses
        self._backoffs[partition] = self._clock.now_ms() + wait_ms


_NO_OWNER = (0, False, None)


def _contests(
    reply: messages.Heartbeat, own_claim: partition_claim_module.PartitionClaim
) -> bool:
    return any(
        claim.partition == own_claim.partition
        and claim.epoch > own_claim.epoch
        for claim in (*reply.claims, *reply.fenced)
    )
