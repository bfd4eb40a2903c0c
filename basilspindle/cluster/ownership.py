"""Claim, recover, run and hand over partitions."""

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
_REVIEW_INTERVAL_MS = 250
# Pause after a check of fences for which the log did not answer.
_FENCE_CHECK_RETRY_MS = 1_000
_RELEASE_RETRY_MS = 200
# Time limit for reading a stream to its tail before it is claimed.
_REPLAY_TIMEOUT_MS = 10_000
# The delay before a lost claim is repeated doubles at most this many times.
_MAX_DOUBLINGS = 6
# Time limit for releasing all partitions in a planned stop.
_HANDOVER_TIMEOUT_MS = 15_000

# Tells whether the log holds a claim of a partition with an epoch, which may
# be one that it no longer keeps. Raises ``LogError``.
FindClaim = collections.abc.Callable[
    [int, int], collections.abc.Awaitable[bool]
]


class Ownership:
    """Own the partitions that rendezvous hashing assigns to this daemon.

    Partitions are assigned among the live, configured members of their
    home region. ``partitions`` is the number of partitions, ``regions``
    lists all regions of the cell, ``open_journal`` opens the journal of a
    partition and ``local_inventory`` reports the tasks on the workers of
    this daemon. ``find_claim`` tells whether the log holds a claim of a
    partition with an epoch. A fence that no member claims is checked with
    it, so that a message with a wrong epoch fences no owner for ever.
    """

    __slots__ = (
        '_active_epochs',
        '_backoff_until_ms',
        '_claim_tasks',
        '_client',
        '_clock',
        '_eligible_member_ids',
        '_fence_checker',
        '_fences',
        '_find_claim',
        '_host',
        '_latest_claims',
        '_local_inventory',
        '_loss_counts',
        '_membership',
        '_open_journal',
        '_other_preferred_since_ms',
        '_own_claims',
        '_partitions',
        '_preferred_owner_ids',
        '_regions',
        '_reviewer',
        '_stopping',
        '_timing',
        '_verified_epochs',
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
        find_claim: FindClaim | None = None,
    ) -> None:
        self._clock = clock
        self._find_claim = find_claim
        # Highest epoch for which the log showed a claim, by partition.
        self._verified_epochs: dict[int, int] = {}
        self._fence_checker: asyncio.Task[None] | None = None
        self._timing = timing
        self._client = client
        self._membership = membership
        self._vm_list = vm_list
        self._fences = fences
        self._host = host
        self._open_journal = open_journal
        self._local_inventory = local_inventory
        self._partitions = partitions
        self._regions = sorted(regions)
        self._own_claims: dict[int, partition_claim_module.PartitionClaim] = {}
        self._claim_tasks: dict[int, asyncio.Task[None]] = {}
        # Epoch, whether active, and claimant of the claim with the highest
        # epoch that other members report, by partition.
        self._latest_claims: dict[
            int, tuple[int, bool, member_module.Member]
        ] = {}
        # Highest epoch known to have become active, by partition.
        self._active_epochs: dict[int, int] = {}
        self._backoff_until_ms: dict[int, int] = {}
        self._loss_counts: dict[int, int] = {}
        self._other_preferred_since_ms: dict[int, int] = {}
        self._preferred_owner_ids: dict[int, str] = {}
        self._eligible_member_ids: list[str] = []
        self._stopping = False
        self._wake = asyncio.Event()
        self._reviewer: asyncio.Task[None] | None = None

    async def __aenter__(self) -> 'Ownership':
        self._membership.on_change(self._refresh_claims)
        self._refresh_claims()
        self._reviewer = asyncio.ensure_future(self._run_reviews())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._stopping = True
        tasks = list(self._claim_tasks.values())
        for task in (self._reviewer, self._fence_checker):
            if task is not None:
                tasks.append(task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def claims(self) -> list[messages.Claim]:
        """Return the claims to report in this daemon's heartbeats."""
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
        """Return the active owner of a partition, None if there is none."""
        own_claim = self._own_claims.get(partition)
        if own_claim is not None and own_claim.owned:
            active = own_claim.phase is _Phase.ACTIVE
            return self._membership.own if active else None
        epoch, active, member = self._latest_claims.get(partition, _NO_CLAIM)
        # A suspect member may still run and own the partition.
        if not active or member is None or not member.state.must_reply:
            return None
        return member if epoch >= self._fences.epoch(partition) else None

    def may_start(self, partition: int, since_ms: int = 0) -> bool:
        """Tell whether tasks of the partition may be started now.

        True while this daemon is the active owner and the log, or the
        replies of all required members, confirmed it within assurance_ms
        and to calls that began at ``since_ms`` or later.
        """
        own_claim = self._own_claims.get(partition)
        if own_claim is None or own_claim.phase is not _Phase.ACTIVE:
            return False
        journal = own_claim.journal
        fenced = self._fences.epoch(partition) > own_claim.epoch
        if journal is None or not journal.is_owner or fenced:
            self._mark_lost(own_claim)
            return False
        oldest_ms = self._clock.now_ms() - self._timing.assurance_ms
        if journal.assured_at_ms < oldest_ms:
            self._membership.demand_replies()
        oldest_ms = max(oldest_ms, since_ms)
        if journal.assured_at_ms >= oldest_ms:
            return True
        replied_ms = self._membership.oldest_answered_send_ms(
            region=self._home_region(partition),
            accept=lambda reply: not _knows_higher_epoch(reply, own_claim),
        )
        return replied_ms is not None and replied_ms >= oldest_ms

    async def handle_fence(self, fence: messages.Fence) -> messages.Fenced:
        """Refuse task starts of lower epochs from now on, and reply."""
        epoch = self._fences.advance(fence.partition, fence.epoch)
        own_claim = self._own_claims.get(fence.partition)
        if own_claim is not None and 0 < own_claim.epoch < epoch:
            self._mark_lost(own_claim)
        return messages.Fenced(
            epoch=epoch,
            active_epoch=self._active_epochs.get(fence.partition, 0),
        )

    async def hand_over_all(
        self, timeout_ms: int = _HANDOVER_TIMEOUT_MS
    ) -> bool:
        """Release every partition; return False on timeout."""
        self._stopping = True
        for own_claim in self._own_claims.values():
            own_claim.request_handover()
        tasks = list(self._claim_tasks.values())
        if not tasks:
            return True
        done = asyncio.gather(*tasks, return_exceptions=True)
        try:
            await self._clock.wait_for(asyncio.shield(done), timeout_ms)
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

    def _home_region(self, partition: int) -> str:
        return partition_module.home_region(partition, self._regions)

    def _refresh_claims(self) -> None:
        self._latest_claims = {}
        for member in self._membership.members():
            for claim in member.claims:
                self._record_claim(member, claim)
        for own_claim in list(self._own_claims.values()):
            fence = self._fences.epoch(own_claim.partition)
            if own_claim.owned and fence > own_claim.epoch:
                self._mark_lost(own_claim)
        self._wake.set()

    def _record_claim(
        self, member: member_module.Member, claim: messages.Claim
    ) -> None:
        if member.state.responsive:
            # A responsive claimant prevents a claim without a backoff, see
            # ``_may_claim``.
            self._backoff_until_ms.pop(claim.partition, None)
            self._loss_counts.pop(claim.partition, None)
        if claim.active:
            self._record_active_epoch(claim.partition, claim.epoch)
        latest = self._latest_claims.get(claim.partition)
        if latest is None or claim.epoch > latest[0]:
            self._latest_claims[claim.partition] = (
                claim.epoch,
                claim.active,
                member,
            )

    def _record_active_epoch(self, partition: int, epoch: int) -> None:
        highest = self._active_epochs.get(partition, 0)
        self._active_epochs[partition] = max(epoch, highest)

    def _mark_lost(
        self, own_claim: partition_claim_module.PartitionClaim
    ) -> None:
        if own_claim.lost:
            return
        own_claim.mark_lost()
        events.emit(
            cluster_events.DEPOSED,
            partition=own_claim.partition,
            epoch=own_claim.epoch,
            fence=self._fences.epoch(own_claim.partition),
        )

    async def _run_reviews(self) -> None:
        while True:
            self._wake.clear()
            if self._membership.settled() and not self._stopping:
                with log_and_suppress.LogAndSuppress('ownership'):
                    self._review()
            with log_and_suppress.LogAndSuppress('fences'):
                self._start_fence_check()
            try:
                await self._clock.wait_for(
                    self._wake.wait(), _REVIEW_INTERVAL_MS
                )
            except errors.DeadlineExceeded:
                continue

    def _start_fence_check(self) -> None:
        if self._find_claim is None:
            return
        if self._fence_checker is not None and not self._fence_checker.done():
            return
        unclaimed = self._find_unclaimed_fences()
        if unclaimed:
            self._fence_checker = asyncio.ensure_future(
                self._check_fences(self._find_claim, unclaimed)
            )

    def _find_unclaimed_fences(self) -> list[tuple[int, int]]:
        """Return (partition, epoch) of fences that nobody claims.

        The claim of a member that does not answer is no evidence: if it is
        wrong, no later one of that member corrects it.
        """
        unclaimed = []
        for partition, epoch in self._fences.highest_epochs().items():
            if partition >= self._partitions or epoch <= 0:
                continue
            own_claim = self._own_claims.get(partition)
            if own_claim is not None and own_claim.epoch == epoch:
                continue
            claimed, _, member = self._latest_claims.get(partition, _NO_CLAIM)
            if member is None or not member.state.responsive:
                claimed = 0
            if epoch not in (claimed, self._verified_epochs.get(partition)):
                unclaimed.append((partition, epoch))
        return unclaimed

    async def _check_fences(
        self, find_claim: FindClaim, fences: list[tuple[int, int]]
    ) -> None:
        failed = False
        for partition, epoch in fences:
            last_heard = self._fences.last_heard(partition, epoch)
            try:
                found = await find_claim(partition, epoch)
            except errors.LogError:
                # The fence stays in force until the log has answered.
                failed = True
                continue
            except Exception as error:
                failed = True
                events.emit(
                    cluster_events.STEP_FAILED,
                    step='fences',
                    error=repr(error),
                )
                continue
            if found:
                self._verified_epochs[partition] = epoch
            elif self._fences.refute(partition, epoch, last_heard):
                self._forget_refuted(partition, epoch)
        if failed:
            await self._clock.sleep_ms(_FENCE_CHECK_RETRY_MS)

    def _forget_refuted(self, partition: int, epoch: int) -> None:
        events.emit(
            cluster_events.FENCE_REFUTED, partition=partition, epoch=epoch
        )
        if self._active_epochs.get(partition, 0) >= epoch:
            # Recorded again from the claims of the members.
            del self._active_epochs[partition]
            own_claim = self._own_claims.get(partition)
            if own_claim is not None and own_claim.phase is _Phase.ACTIVE:
                self._record_active_epoch(partition, own_claim.epoch)
        self._refresh_claims()

    def _review(self) -> None:
        own = self._membership.own
        if own.region not in self._regions:
            return
        self._update_preferred_owner_ids()
        for partition, preferred_id in self._preferred_owner_ids.items():
            own_claim = self._own_claims.get(partition)
            if own_claim is not None:
                self._check_claim(own_claim, preferred_id)
            elif preferred_id == own.member_id and self._may_claim(partition):
                self._start_claim(partition)

    def _update_preferred_owner_ids(self) -> None:
        eligible_ids = sorted(self._find_eligible_member_ids())
        if eligible_ids == self._eligible_member_ids:
            return
        region = self._membership.own.region
        self._eligible_member_ids = eligible_ids
        self._preferred_owner_ids = {
            partition: rendezvous.rendezvous(
                f'partition-{partition}', eligible_ids
            )
            for partition in range(self._partitions)
            if self._home_region(partition) == region
        }

    def _find_eligible_member_ids(self) -> list[str]:
        region = self._membership.own.region
        return [
            member.member_id
            for member in self._membership.live()
            if member.region == region and member.configured
        ]

    def _may_claim(self, partition: int) -> bool:
        now_ms = self._clock.now_ms()
        if now_ms < self._backoff_until_ms.get(partition, now_ms):
            return False
        latest = self._latest_claims.get(partition)
        return latest is None or not latest[2].state.responsive

    def _check_claim(
        self,
        own_claim: partition_claim_module.PartitionClaim,
        preferred_id: str,
    ) -> None:
        """Detect a loss, keep the assurance recent, or begin a handover."""
        partition = own_claim.partition
        now_ms = self._clock.now_ms()
        journal = own_claim.journal
        active = own_claim.phase is _Phase.ACTIVE
        if active and journal is not None and not journal.is_owner:
            self._mark_lost(own_claim)
        elif active and not self._log_assures(own_claim, 2):
            # Collect replies before the assurance by the log expires.
            self._membership.demand_replies()
        if preferred_id in ('', self._membership.own.member_id):
            self._other_preferred_since_ms.pop(partition, None)
            return
        since_ms = self._other_preferred_since_ms.setdefault(partition, now_ms)
        # The preferred owner claims nothing before it is settled; after an
        # earlier handover the partition would have no owner until then.
        stable_ms = self._timing.suspect_ms + self._timing.heartbeat_ms
        if now_ms - since_ms < stable_ms or not self._log_assures(own_claim):
            return
        if active:
            own_claim.request_handover()

    def _log_assures(
        self,
        own_claim: partition_claim_module.PartitionClaim,
        divisor: int = 1,
    ) -> bool:
        """Tell whether the log confirmed a claim recently enough.

        The limit is assurance_ms divided by ``divisor``.
        """
        if own_claim.journal is None:
            return False
        age_ms = self._clock.now_ms() - own_claim.journal.assured_at_ms
        return age_ms <= self._timing.assurance_ms // divisor

    def _start_claim(self, partition: int) -> None:
        own_claim = partition_claim_module.PartitionClaim(partition)
        self._own_claims[partition] = own_claim
        task = asyncio.ensure_future(self._run_claim(own_claim))
        self._claim_tasks[partition] = task

    async def _run_claim(
        self, own_claim: partition_claim_module.PartitionClaim
    ) -> None:
        partition = own_claim.partition
        try:
            async with self._open_journal(partition) as journal:
                own_claim.journal = journal
                journal.on_deposed = lambda *_: self._mark_lost(own_claim)
                await self._hold_partition(own_claim, journal)
        except errors.BasilspindleError as error:
            self._report_failure(
                own_claim, cluster_events.CLAIM_FAILED, error.message
            )
        except Exception as error:
            self._report_failure(
                own_claim, cluster_events.HOST_FAILED, repr(error)
            )
        finally:
            self._own_claims.pop(partition, None)
            self._claim_tasks.pop(partition, None)
            self._other_preferred_since_ms.pop(partition, None)
            if own_claim.lost:
                self._back_off(partition)
            self._membership.send_now()
            self._wake.set()

    async def _hold_partition(
        self,
        own_claim: partition_claim_module.PartitionClaim,
        journal: journal_module.Journal,
    ) -> None:
        former_owner_fencing = await self._claim(own_claim, journal)
        if not await former_owner_fencing.run():
            # Not released: a release would tell the next owner that it
            # need not fence earlier owners.
            return
        while own_claim.wanted and not own_claim.lost:
            await self._activate(own_claim, journal)
            await self._wait_until_ended(own_claim)
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
        """Claim the partition; return the fencing of its former owners."""
        journal.follow(True)
        await self._clock.wait_for(journal.wait_replayed(), _REPLAY_TIMEOUT_MS)
        former, former_epoch = journal.latest_claimant, journal.latest_epoch
        released = journal.state.released
        own_claim.epoch = await journal.claim()
        own_claim.claimed_at_ms = self._clock.now_ms()
        own_claim.enter(_Phase.RECOVERING)
        partition, epoch = own_claim.partition, own_claim.epoch
        if self._fences.advance(partition, epoch) > epoch:
            self._mark_lost(own_claim)
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
        inventory = await inventory_collector.InventoryCollector(
            self._clock,
            self._timing,
            self._client,
            self._membership,
            self._vm_list,
            own_claim,
            self._local_inventory,
        ).run()
        if own_claim.lost:
            return
        await self._host.activate(
            own_claim.partition,
            journal,
            inventory.running,
            inventory.ends,
            inventory.unseen_until_ms,
        )
        if own_claim.lost:
            return
        own_claim.changed.clear()
        own_claim.enter(_Phase.ACTIVE)
        self._record_active_epoch(own_claim.partition, own_claim.epoch)
        self._membership.send_now()
        events.emit(
            cluster_events.ACTIVE,
            partition=own_claim.partition,
            epoch=own_claim.epoch,
            running=len(inventory.running),
            ends=len(inventory.ends),
            waited_ms=self._clock.now_ms() - own_claim.claimed_at_ms,
        )

    async def _wait_until_ended(
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
        """Release the partition; return False if this daemon keeps it."""
        while not own_claim.lost:
            try:
                await journal.release()
            except errors.LogUnavailable:
                # Nothing was written: this daemon keeps the partition and
                # activates it again, unless the process is stopping.
                if not self._stopping:
                    own_claim.cancel_handover()
                    own_claim.enter(_Phase.RECOVERING)
                    return False
                await self._clock.sleep_ms(_RELEASE_RETRY_MS)
            except errors.LogError:
                await self._clock.sleep_ms(_RELEASE_RETRY_MS)
            else:
                self._mark_released(own_claim)
                return True
        return True

    def _mark_released(
        self, own_claim: partition_claim_module.PartitionClaim
    ) -> None:
        own_claim.enter(_Phase.RELEASED)
        self._membership.send_now()
        events.emit(
            cluster_events.RELEASED,
            partition=own_claim.partition,
            epoch=own_claim.epoch,
        )

    def _report_failure(
        self,
        own_claim: partition_claim_module.PartitionClaim,
        event: events.Event,
        reason: str,
    ) -> None:
        self._backoff_until_ms[own_claim.partition] = (
            self._clock.now_ms() + self._timing.suspect_ms
        )
        events.emit(event, partition=own_claim.partition, error=reason)

    def _back_off(self, partition: int) -> None:
        # Without a growing delay, two members that reach the log but not
        # each other depose each other before either becomes active.
        loss_count = self._loss_counts.get(partition, 0)
        self._loss_counts[partition] = min(loss_count + 1, _MAX_DOUBLINGS)
        expiry_ms = self._timing.assurance_ms + self._timing.worker_lease_ms
        wait_ms = fencing.with_clock_drift(expiry_ms) << loss_count
        self._backoff_until_ms[partition] = self._clock.now_ms() + wait_ms


_NO_CLAIM = (0, False, None)


def _knows_higher_epoch(
    reply: messages.Heartbeat, own_claim: partition_claim_module.PartitionClaim
) -> bool:
    return any(
        claim.partition == own_claim.partition
        and claim.epoch > own_claim.epoch
        for claim in (*reply.claims, *reply.fenced)
    )
