"""Own partitions: claim, recover, run, hand over."""

import asyncio
import collections.abc
import types

from basilspindle import clock as clock_module
from basilspindle.cluster import events as cluster_events
from basilspindle.cluster import fence_table
from basilspindle.cluster import fencing
from basilspindle.cluster import guard
from basilspindle.cluster import host as host_module
from basilspindle.cluster import journal as journal_module
from basilspindle.cluster import member as member_module
from basilspindle.cluster import member_state
from basilspindle.cluster import membership as membership_module
from basilspindle.cluster import partition as partition_module
from basilspindle.cluster import recovery
from basilspindle.cluster import rendezvous
from basilspindle.cluster import tenure as tenure_module
from basilspindle.cluster import timing as timing_module
from basilspindle.cluster import vm_list as vm_list_module
from basilspindle import errors
from basilspindle import events
from basilspindle.peer import messages

_Phase = tenure_module.Phase
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
        '_owners',
        '_partitions',
        '_regions',
        '_reviewer',
        '_stopping',
        '_tasks',
        '_tenures',
        '_timing',
        '_vm_list',
        '_wake',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        timing: timing_module.Timing,
        client: membership_module.Caller,
        membership: membership_module.Membership,
        vm_list: vm_list_module.VmList,
        fences: fence_table.FenceTable,
        host: host_module.Host,
        open_journal: journal_module.OpenJournal,
        local_inventory: recovery.LocalInventory,
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
        self._tenures: dict[int, tenure_module.Tenure] = {}
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
                tenure.partition,
                tenure.epoch,
                tenure.phase is _Phase.ACTIVE,
            )
            for tenure in self._tenures.values()
            if tenure.owned
        ]

    def owner_of(self, partition: int) -> member_module.Member | None:
        """Return the active owner; None while there is none."""
        tenure = self._tenures.get(partition)
        if tenure is not None and tenure.owned:
            active = tenure.phase is _Phase.ACTIVE
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
        tenure = self._tenures.get(partition)
        if tenure is None or tenure.phase is not _Phase.ACTIVE:
            return False
        journal = tenure.journal
        fenced = self._fences.epoch(partition) > tenure.epoch
        if journal is None or not journal.is_owner or fenced:
            self._lose(tenure)
            return False
        oldest_ms = self._clock.now_ms() - self._timing.assurance_ms
        if journal.assured_at_ms >= oldest_ms:
            return True
        self._membership.demand_replies()
        replied_ms = self._membership.all_replied_at_ms(
            region=self._home_of(partition),
            accept=lambda reply: not _contests(reply, tenure),
        )
        return replied_ms is not None and replied_ms >= oldest_ms

    async def handle_fence(self, fence: messages.Fence) -> messages.Fenced:
        """Answer a fence; starts of lower epochs are refused from now."""
        epoch = self._fences.raise_to(fence.partition, fence.epoch)
        tenure = self._tenures.get(fence.partition)
        if tenure is not None and 0 < tenure.epoch < epoch:
            self._lose(tenure)
        return messages.Fenced(
            epoch=epoch,
            active_epoch=self._active_epochs.get(fence.partition, 0),
        )

    async def hand_over_all(self, within_ms: int = _HANDOVER_MS) -> bool:
        """Release every partition; return whether all were in time."""
        self._stopping = True
        for tenure in self._tenures.values():
            tenure.hand_over()
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
                tenure.partition: {
                    'epoch': tenure.epoch,
                    'phase': tenure.phase.value,
                    'may_start': self.may_start(tenure.partition),
                }
                for tenure in list(self._tenures.values())
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
                self._fences.learn(member.reply.fenced)
        for tenure in list(self._tenures.values()):
            fence = self._fences.epoch(tenure.partition)
            if tenure.owned and fence > tenure.epoch:
                self._lose(tenure)
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

    def _lose(self, tenure: tenure_module.Tenure) -> None:
        if tenure.lost:
            return
        tenure.lose()
        events.emit(
            cluster_events.DEPOSED,
            partition=tenure.partition,
            epoch=tenure.epoch,
            fence=self._fences.epoch(tenure.partition),
        )

    async def _keep_reviewing(self) -> None:
        while True:
            self._wake.clear()
            if self._membership.settled() and not self._stopping:
                with guard.Guard('ownership'):
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
            tenure = self._tenures.get(partition)
            if tenure is not None:
                self._compare(tenure, chosen)
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

    def _compare(self, tenure: tenure_module.Tenure, chosen: str) -> None:
        partition = tenure.partition
        now_ms = self._clock.now_ms()
        journal = tenure.journal
        active = tenure.phase is _Phase.ACTIVE
        if active and journal is not None and not journal.is_owner:
            self._lose(tenure)
        elif active and not self._log_answers(tenure, 2):
            self._membership.demand_replies()
        if chosen in ('', self._membership.own.member_id):
            self._better_since.pop(partition, None)
            return
        since_ms = self._better_since.setdefault(partition, now_ms)
        # The better owner claims nothing before it is settled itself.
        steady_ms = self._timing.suspect_ms + self._timing.heartbeat_ms
        if now_ms - since_ms < steady_ms or not self._log_answers(tenure):
            return
        if active:
            tenure.hand_over()

    def _log_answers(
        self, tenure: tenure_module.Tenure, part: int = 1
    ) -> bool:
        if tenure.journal is None:
            return False
        age_ms = self._clock.now_ms() - tenure.journal.assured_at_ms
        return age_ms <= self._timing.assurance_ms // part

    def _take(self, partition: int) -> None:
        tenure = tenure_module.Tenure(partition)
        self._tenures[partition] = tenure
        task = asyncio.ensure_future(self._run(tenure))
        self._tasks[partition] = task

    async def _run(self, tenure: tenure_module.Tenure) -> None:
        partition = tenure.partition
        try:
            async with self._open_journal(partition) as journal:
                tenure.journal = journal
                journal.on_deposed = lambda *_: self._lose(tenure)
                await self._hold(tenure, journal)
        except errors.BasilspindleError as error:
            self._fail(tenure, cluster_events.CLAIM_FAILED, error.message)
        except Exception as error:
            self._fail(tenure, cluster_events.HOST_FAILED, repr(error))
        finally:
            self._tenures.pop(partition, None)
            self._tasks.pop(partition, None)
            self._better_since.pop(partition, None)
            if tenure.lost:
                self._back_off(partition)
            self._membership.send_now()
            self._wake.set()

    async def _hold(
        self, tenure: tenure_module.Tenure, journal: journal_module.Journal
    ) -> None:
        fence = await self._claim(tenure, journal)
        if not await fence.run():
            # Without a release: the next owner has to fence those before.
            return
        while tenure.wanted and not tenure.lost:
            await self._activate(tenure, journal)
            await self._until_ended(tenure)
            await self._deactivate(tenure)
            if not tenure.lost and await self._release(tenure, journal):
                return
        if not tenure.lost:
            await self._release(tenure, journal)

    async def _claim(
        self, tenure: tenure_module.Tenure, journal: journal_module.Journal
    ) -> fencing.Fencing:
        journal.follow(True)
        await self._clock.wait_ms(journal.wait_replayed(), _REPLAY_MS)
        former, former_epoch = journal.latest_claimant, journal.latest_epoch
        released = journal.state.released
        tenure.epoch = await journal.claim()
        tenure.confirmed_ms = self._clock.now_ms()
        tenure.step(_Phase.RECOVERING)
        partition, epoch = tenure.partition, tenure.epoch
        if self._fences.raise_to(partition, epoch) > epoch:
            self._lose(tenure)
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
            tenure,
            former,
            former_epoch,
            released,
            self._active_epochs.get(partition) == former_epoch,
        )

    async def _activate(
        self, tenure: tenure_module.Tenure, journal: journal_module.Journal
    ) -> None:
        found = await recovery.Recovery(
            self._clock,
            self._timing,
            self._client,
            self._membership,
            self._vm_list,
            tenure,
            self._local,
        ).run()
        if tenure.lost:
            return
        await self._host.activate(
            tenure.partition,
            journal,
            found.running,
            found.ends,
            found.unseen_until_ms,
        )
        if tenure.lost:
            return
        tenure.changed.clear()
        tenure.step(_Phase.ACTIVE)
        self._see_active(tenure.partition, tenure.epoch)
        self._membership.send_now()
        events.emit(
            cluster_events.ACTIVE,
            partition=tenure.partition,
            epoch=tenure.epoch,
            running=len(found.running),
            ends=len(found.ends),
            waited_ms=self._clock.now_ms() - tenure.confirmed_ms,
        )

    async def _until_ended(self, tenure: tenure_module.Tenure) -> None:
        while tenure.wanted and not tenure.lost:
            tenure.changed.clear()
            await tenure.changed.wait()

    async def _deactivate(self, tenure: tenure_module.Tenure) -> None:
        tenure.step(_Phase.HANDING_OVER)
        await self._host.deactivate(tenure.partition, not tenure.lost)

    async def _release(
        self, tenure: tenure_module.Tenure, journal: journal_module.Journal
    ) -> bool:
        while not tenure.lost:
            try:
                await journal.release()
            except errors.LogUnavailable:
                # Nothing was written: the partition stays with this daemon
                # and goes on, unless the process is to stop.
                if not self._stopping:
                    tenure.keep()
                    tenure.step(_Phase.RECOVERING)
                    return False
                await self._clock.sleep_ms(_RETRY_MS)
            except errors.LogError:
                await self._clock.sleep_ms(_RETRY_MS)
            else:
                self._finish(tenure)
                return True
        return True

    def _finish(self, tenure: tenure_module.Tenure) -> None:
        tenure.step(_Phase.RELEASED)
        self._membership.send_now()
        events.emit(
            cluster_events.RELEASED,
            partition=tenure.partition,
            epoch=tenure.epoch,
        )

    def _fail(
        self, tenure: tenure_module.Tenure, event: events.Event, text: str
    ) -> None:
        self._backoffs[tenure.partition] = (
            self._clock.now_ms() + self._timing.suspect_ms
        )
        events.emit(event, partition=tenure.partition, error=text)

    def _back_off(self, partition: int) -> None:
        # Two members that do not hear each other but reach the log would
        # otherwise depose each other before either becomes active.
        losses = self._losses.get(partition, 0)
        self._losses[partition] = min(losses + 1, _MAX_DOUBLINGS)
        lapse_ms = self._timing.assurance_ms + self._timing.worker_lease_ms
        wait_ms = fencing.with_drift(lapse_ms) << losses
        self._backoffs[partition] = self._clock.now_ms() + wait_ms


_NO_OWNER = (0, False, None)


def _contests(reply: messages.Heartbeat, tenure: tenure_module.Tenure) -> bool:
    return any(
        claim.partition == tenure.partition and claim.epoch > tenure.epoch
        for claim in (*reply.claims, *reply.fenced)
    )
