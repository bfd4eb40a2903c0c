"""Elect the leader: follow the current one and replace it if it fails."""

import asyncio
import collections.abc
import enum
import itertools
import random

from basilspindle.cell import claim as claim_module
from basilspindle.cell import events as cell_events
from basilspindle.cell import identity as identity_module
from basilspindle.cell import journal as journal_module
from basilspindle.cell import leadership
from basilspindle.cell import link as link_module
from basilspindle.cell import messages
from basilspindle.cell import ports
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events

_PING_INTERVAL_MS = 250
_PING_TIMEOUT_MS = 400
_CONNECT_TIMEOUT_MS = 700
_CALL_TIMEOUT_MS = 900
# A running VM refuses a connection to a closed port within a few round trips.
_REFUSAL_TIMEOUT_MS = 200
# The system closes the sockets of a killed process within a few ms, in any
# order. Without a pause, 1 of 6 takeovers found its port still open.
_PORT_CLOSE_MS = 20
# A leader whose append is unanswered for longer is replaced if a follower
# reaches the store.
_MAX_APPEND_AGE_MS = 450
# A leader repeats an unanswered append within a second, so it completes one
# within this time after an outage of the store.
_STORE_RECOVERY_MS = 1_500
# A store that answers a read within this time is not slow.
_PROMPT_READ_MS = 150
# A leader appends at least twice a second. Without an append for this long
# it counts as dead, even if its address does not refuse connections.
_LOG_IDLE_MS = 900
# Bounds what is remembered of processes that refused connections.
_MAX_REFUSED_PROCESSES = 100
_RETRY_INTERVAL_MS = 200
# Random delay, so that followers that lose the leader at the same time do
# not all claim at once.
_MAX_CLAIM_JITTER_MS = 40
# Gives daemons on larger VMs time to claim before those on small ones.
_SMALL_VM_DELAY_MS = 250
# The store may hold a claim before the claimant has the answer and leads.
_NEW_LEADER_GRACE_MS = 1_200
# After a fault of its own leadership, a daemon lets the others claim first:
# they notice within the grace of a new leader.
_FAULT_PAUSE_MS = 1_500

# Called with a claim and the one that it replaces; leads under the claim
# until leadership is lost.
LeadCallback = collections.abc.Callable[
    [claim_module.Claim, claim_module.Claim | None],
    collections.abc.Awaitable[None],
]

# Called with the link, the answer and the time at which the ping was sent.
ObserveLeader = collections.abc.Callable[
    [link_module.Link, messages.Pong, int], None
]


class _FollowResult(enum.Enum):
    """Why a daemon stopped following a leader.

    ``GONE``: the leader stopped, lost leadership or cannot reach the store,
    and has to be replaced. ``CLOSED``: only the connection is known to have
    failed. ``UNANSWERED``: so has the connection, before the leader answered.
    ``SILENT``: the leader could not be reached or gave no valid answer.
    """

    GONE = 'gone'
    CLOSED = 'closed'
    UNANSWERED = 'unanswered'
    SILENT = 'silent'


_CLOSED_RESULTS = frozenset({_FollowResult.CLOSED, _FollowResult.UNANSWERED})


class Election:
    """Follow the current leader, or become the leader.

    ``link`` is the connection to the leader, None while there is none.
    ``store_age_ms`` is how long the leader's current append had been
    unanswered at the last ping. ``leader_changed`` is set, and replaced by a
    new event, whenever the leader or the connection to it may have changed.
    ``claim_rate`` counts the claims that this daemon learned of.
    """

    __slots__ = (
        'link',
        'claim',
        'store_age_ms',
        'leader_changed',
        'claim_rate',
        '_identity',
        '_register',
        '_store',
        '_clock',
        '_lead',
        '_handler',
        '_stopping',
        '_store_failing',
        '_store_failed_ms',
        '_observe_leader',
        '_announced_claim',
        '_announced',
        '_refused_epochs',
        '_is_registered',
        '_claim_after_ms',
        '_link_numbers',
    )

    def __init__(
        self,
        identity: identity_module.Identity,
        store: ports.Store,
        clock: clock_module.Clock,
        lead: LeadCallback,
        handler: link_module.Handler,
        observe_leader: ObserveLeader,
    ) -> None:
        self.link: link_module.Link | None = None
        self.claim: claim_module.Claim | None = None
        self.store_age_ms = 0
        self.leader_changed = asyncio.Event()
        self.claim_rate = leadership.ClaimRate()
        self._identity = identity
        self._register = claim_module.ClaimRegister(store)
        self._store = store
        self._clock = clock
        self._lead = lead
        self._handler = handler
        self._stopping = False
        self._store_failing = False
        self._store_failed_ms = -_STORE_RECOVERY_MS
        self._observe_leader = observe_leader
        self._announced_claim: claim_module.Claim | None = None
        # Set at each announcement.
        self._announced = asyncio.Event()
        # Epochs of the claims under which processes first refused this
        # daemon, by incarnation.
        self._refused_epochs: dict[str, int] = {}
        self._is_registered = False
        self._claim_after_ms = 0
        self._link_numbers = itertools.count(1)

    def observe_claim(self, claim: claim_module.Claim) -> None:
        """Note a claim that another daemon announced.

        Closes the link to the current leader if the claim is newer.
        """
        self._count_claim(claim)
        known = max(_epoch(self.claim), _epoch(self._announced_claim))
        if claim.epoch <= known or claim.resigned:
            return
        self._announced_claim = claim
        self._announced.set()
        if self.link is not None:
            self.link.discard()

    def newest_claim(self) -> claim_module.Claim | None:
        """Return the newest claim that this daemon knows of."""
        if _epoch(self._announced_claim) > _epoch(self.claim):
            return self._announced_claim
        return self.claim

    def stop_claiming(self) -> None:
        """Make no more claims, but keep following the leader."""
        self._stopping = True

    def let_others_claim(self) -> None:
        """Make no claim for a while, as the own leadership has failed.

        What has failed here may work at another daemon.
        """
        self._claim_after_ms = self._clock.now_ms() + _FAULT_PAUSE_MS

    async def resign(self, claim: claim_module.Claim) -> None:
        """Record in the store that this daemon has stopped leading."""
        try:
            current, end = await self._register.read()
            if current is None or current.epoch != claim.epoch:
                return
            await self._register.try_claim(
                claim_module.Claim(
                    self._identity.node,
                    self._identity.address,
                    self._identity.incarnation,
                    claim.term,
                    resigned=True,
                    first_recording_term=claim.first_recording_term,
                ),
                end,
            )
        except errors.LogError as error:
            # The other daemons notice when this one stops answering.
            events.emit(cell_events.CLAIM_FAILED, error=error.message)

    async def leave(self) -> None:
        """Remove this daemon from the list of members."""
        try:
            await self._register.remove_member(self._identity.node)
        except errors.LogError as error:
            # A stale entry costs the others one failed connection per claim.
            events.emit(cell_events.CLAIM_FAILED, error=error.message)

    async def run(self) -> None:
        """Follow or lead until cancelled."""
        while True:
            try:
                await self._run_round()
            except errors.LogError as error:
                if not self._store_failing:
                    self._store_failing = True
                    events.emit(cell_events.CLAIM_FAILED, error=error.message)
                await self._run_round_without_store()

    async def _run_round_without_store(self) -> None:
        # Other daemons may know a leader that this one can reach.
        claim = self.newest_claim()
        if claim is self.claim:
            # No newer claim was announced, but another member may know one.
            # A leader that was replaced may refuse a job that its successor
            # has accepted, so it must not be followed.
            answer = await self._ask_members()
            claim = max((claim, answer), key=_epoch)
        if claim is not None and not self._is_own_claim(claim):
            self.claim = claim
            await self._follow(claim)
            self._set_link(None)
        await self._clock.sleep_ms(_RETRY_INTERVAL_MS)

    async def _ask_members(self) -> claim_module.Claim | None:
        answers = await asyncio.gather(
            *(
                self._ask_member(address)
                for address in self._register.members.values()
                if address != self._identity.address
            )
        )
        return max(answers, key=_epoch, default=None)

    async def _ask_member(self, address: str) -> claim_module.Claim | None:
        try:
            link = await link_module.connect(
                address, self._handler, _CONNECT_TIMEOUT_MS
            )
        except (ConnectionRefusedError, errors.PeerError):
            # Another member may answer.
            return None
        try:
            reply = await link.call(messages.WhoLeads(), _CALL_TIMEOUT_MS)
        except errors.PeerError:
            return None
        finally:
            link.close()
        return reply.claim if isinstance(reply, messages.LeaderIs) else None

    async def announce(self, claim: claim_module.Claim) -> None:
        """Announce a claim of this daemon to all other members."""
        await asyncio.gather(
            *(
                self.announce_to(address, claim)
                for address in self._register.members.values()
                if address != self._identity.address
            )
        )

    async def announce_to(
        self, address: str, claim: claim_module.Claim
    ) -> bool:
        """Announce a claim to one daemon.

        Returns True if the daemon at that address has answered, so that no
        process there acts on an older claim any more. A refused connection
        shows nothing: a cut with resets refuses connections as well.
        """
        if address == self._identity.address:
            return True
        try:
            link = await link_module.connect(
                address, self._handler, _CONNECT_TIMEOUT_MS
            )
        except (ConnectionRefusedError, errors.PeerError):
            # The daemon finds the claim in the store once it is back.
            return False
        try:
            reply = await link.call(messages.Announce(claim), _CALL_TIMEOUT_MS)
        except errors.PeerError:
            return False
        finally:
            link.close()
        # A daemon in which the announcement fails answers something else.
        return isinstance(reply, messages.Accepted)

    async def _run_round(self) -> None:
        if not self._is_registered:
            await self._register.add_member(
                self._identity.node, self._identity.address
            )
            self._is_registered = True
        announced_claim = self._announced_claim
        reading = asyncio.ensure_future(self._read_claim())
        try:
            # The store may answer later than the daemon that announced it.
            result = await self._follow_announced(announced_claim)
            claim, end = await reading
        finally:
            reading.cancel()
        self._store_failing = False
        self.claim = claim
        if announced_claim is not None and announced_claim.epoch > end:
            # The store holds no such claim, and had to at the announcement.
            # It would hide all later announcements.
            if self._announced_claim is announced_claim:
                self._announced_claim = None
        if claim is not None:
            self._count_claim(claim)
        if (
            self._announced_claim is not announced_claim
            and self.newest_claim() is not claim
        ):
            # A newer one was announced meanwhile.
            return
        if claim is None or claim.resigned or self._is_own_claim(claim):
            await self._claim(claim, end)
            return
        if result is None or claim != announced_claim:
            result = await self._follow(claim)
            self._set_link(None)
        if result in _CLOSED_RESULTS and await self._has_exited(claim):
            result = _FollowResult.GONE
        if result is _FollowResult.GONE:
            # A second read could take long and is not needed: the store
            # rejects the claim if another one was made meanwhile.
            await self._claim(claim, end)
        elif result is not _FollowResult.CLOSED:
            await self._check_silent_leader(claim)

    async def _read_claim(self) -> tuple[claim_module.Claim | None, int]:
        newest, _ = await asyncio.gather(
            self._register.read(), self._register.read_members()
        )
        return newest

    async def _follow_announced(
        self, claim: claim_module.Claim | None
    ) -> _FollowResult | None:
        """Follow a claim if it is newer than the known one, else None."""
        if claim is None or claim.epoch <= _epoch(self.claim):
            return None
        if self._is_own_claim(claim):
            return None
        self.claim = claim
        result = await self._follow(claim)
        self._set_link(None)
        return result

    async def _check_silent_leader(self, claim: claim_module.Claim) -> None:
        current, end = await self._register.read()
        if current != claim:
            return
        if await self._is_log_idle():
            await self._claim(claim, end)
        else:
            await self._clock.sleep_ms(_RETRY_INTERVAL_MS)

    async def _has_exited(self, claim: claim_module.Claim) -> bool:
        # The VM of a process that has exited refuses connections to its port.
        # Its system may close the connections of a killed process first.
        await self._clock.sleep_ms(_PORT_CLOSE_MS)
        try:
            link = await link_module.connect(
                claim.address, self._handler, _REFUSAL_TIMEOUT_MS
            )
        except ConnectionRefusedError:
            return self._has_ended(claim)
        except errors.PeerError:
            return False
        link.close()
        return False

    def _has_ended(self, claim: claim_module.Claim) -> bool:
        # A process that refused this daemon and has claimed again since then
        # is cut off from it and reaches the store. To take it for ended once
        # more would let the two replace each other without an end.
        first_epoch = self._refused_epochs.setdefault(
            claim.incarnation, claim.epoch
        )
        if len(self._refused_epochs) > _MAX_REFUSED_PROCESSES:
            self._refused_epochs.pop(next(iter(self._refused_epochs)))
        return claim.epoch == first_epoch

    def _count_claim(self, claim: claim_module.Claim) -> None:
        if claim.resigned:
            self.claim_rate.note_planned_end(claim.epoch)
        else:
            self.claim_rate.observe(claim.term, self._clock.now_ms())

    def _is_own_claim(self, claim: claim_module.Claim) -> bool:
        # True also for a claim that this process made and no longer acts on,
        # and for one of an earlier process at the same address.
        return claim.address == self._identity.address

    async def _claim(
        self, previous: claim_module.Claim | None, end: int
    ) -> None:
        if self._stopping or self._clock.now_ms() < self._claim_after_ms:
            await self._clock.sleep_ms(_RETRY_INTERVAL_MS)
            return
        delay_ms = random.randrange(_MAX_CLAIM_JITTER_MS)
        if self._identity.leads_last:
            delay_ms += _SMALL_VM_DELAY_MS
        await self._clock.sleep_ms(delay_ms)
        claim = await self._try_claim(previous, end)
        if claim is None:
            return
        events.emit(
            cell_events.LEADER_GAINED, epoch=claim.epoch, term=claim.term
        )
        self.claim = claim
        self._count_claim(claim)
        self.notify()
        await self._lead(claim, previous)
        self.notify()

    async def _try_claim(
        self, previous: claim_module.Claim | None, end: int
    ) -> claim_module.Claim | None:
        term = next_term(end)
        # An announced claim shows that the stream no longer ends at ``end``,
        # while a store that loses answers may tell so only later.
        claiming = asyncio.ensure_future(
            self._register.try_claim(
                claim_module.Claim(
                    self._identity.node,
                    self._identity.address,
                    self._identity.incarnation,
                    term,
                    first_recording_term=claim_module.first_recording_term(
                        previous, term
                    ),
                ),
                end,
            )
        )
        announcing = asyncio.ensure_future(self._wait_for_claim_after(end))
        try:
            await asyncio.wait(
                {claiming, announcing}, return_when=asyncio.FIRST_COMPLETED
            )
            return claiming.result() if claiming.done() else None
        finally:
            claiming.cancel()
            announcing.cancel()

    async def _wait_for_claim_after(self, end: int) -> None:
        while _epoch(self._announced_claim) <= end:
            self._announced.clear()
            await self._announced.wait()

    async def _follow(self, claim: claim_module.Claim) -> '_FollowResult':
        try:
            link = await link_module.connect(
                claim.address, self._handler, _CONNECT_TIMEOUT_MS
            )
        except ConnectionRefusedError:
            _log_silence(claim, f'{claim.address} refuses connections')
            if self._has_ended(claim):
                return _FollowResult.GONE
            return _FollowResult.SILENT
        except errors.PeerError as error:
            _log_silence(claim, error.message)
            return _FollowResult.SILENT
        link.node = claim.node
        link.epoch = claim.epoch
        link.number = next(self._link_numbers)
        try:
            return await self._ping_leader(claim, link)
        finally:
            # Otherwise the system may deliver abandoned requests after those
            # that are sent anew.
            link.discard()

    async def _ping_leader(
        self, claim: claim_module.Claim, link: link_module.Link
    ) -> '_FollowResult':
        ping = messages.Ping(
            self._identity.node,
            self._identity.incarnation,
            link.number,
            keeps_starts=True,
        )
        begun_ms = self._clock.now_ms()
        misses = 0
        while not link.closed.is_set():
            sent_ms = self._clock.now_ms()
            try:
                pong = await link.call(ping, _PING_TIMEOUT_MS)
            except errors.PeerError as error:
                _log_silence(claim, error.message)
                if link.closed.is_set():
                    return self._closed_result()
                if await self._is_log_idle():
                    return _FollowResult.GONE
                misses += 1
                if misses > 1:
                    # The leader is not known to be dead: connect again.
                    return _FollowResult.CLOSED
                continue
            misses = 0
            if not isinstance(pong, messages.Pong):
                return _FollowResult.SILENT
            if pong.incarnation != claim.incarnation:
                return _FollowResult.GONE
            if not pong.leads or pong.epoch != claim.epoch:
                # A new leader may not have the answer to its claim yet.
                age_ms = self._clock.now_ms() - begun_ms
                if self.link is not None or age_ms > _NEW_LEADER_GRACE_MS:
                    return _FollowResult.GONE
            elif self.link is None:
                self._set_link(link)
                events.emit(
                    cell_events.LEADER_FOLLOWED,
                    node=claim.node,
                    epoch=claim.epoch,
                )
            self.store_age_ms = pong.store_age_ms
            link.answers_dry_runs = pong.answers_dry_runs
            self._observe_leader(link, pong, sent_ms)
            if pong.store_age_ms > _MAX_APPEND_AGE_MS:
                if await self._is_leader_cut_off():
                    return _FollowResult.GONE
            pause_ms = (
                _PING_INTERVAL_MS
                if self.link is not None
                else _RETRY_INTERVAL_MS
            )
            try:
                await self._clock.wait_for(link.closed.wait(), pause_ms)
            except errors.DeadlineExceeded:
                continue
        _log_silence(claim, 'the connection was closed')
        return self._closed_result()

    def _closed_result(self) -> '_FollowResult':
        # What closes connections at once may be a proxy before the leader.
        if self.link is None:
            return _FollowResult.UNANSWERED
        return _FollowResult.CLOSED

    async def _is_leader_cut_off(self) -> bool:
        begun_ms = self._clock.now_ms()
        try:
            await self._register.read()
        except errors.LogError:
            # This daemon could not do better than the leader.
            self._store_failed_ms = self._clock.now_ms()
            return False
        if begun_ms - self._store_failed_ms < _STORE_RECOVERY_MS:
            # The store has only just come back; the leader gets time to
            # complete its append.
            return False
        if self._clock.now_ms() - begun_ms <= _PROMPT_READ_MS:
            return True
        # The store may be as slow for the leader as it is here.
        return await self._is_log_idle()

    async def _is_log_idle(self) -> bool:
        # Waits for an append of the leader; False also if the store fails.
        try:
            end = await self._store.probe_end(journal_module.STREAM)
            chunk = await self._store.read(
                journal_module.STREAM, end, _LOG_IDLE_MS
            )
        except errors.LogError as error:
            # A daemon that cannot read the log must not take over.
            events.emit(cell_events.CLAIM_FAILED, error=error.message)
            self._store_failed_ms = self._clock.now_ms()
            return False
        return not chunk.records

    def _set_link(self, link: link_module.Link | None) -> None:
        if link is not self.link:
            self.link = link
            self.notify()

    def notify(self) -> None:
        """Wake the waiters for a change of leader."""
        changed, self.leader_changed = self.leader_changed, asyncio.Event()
        changed.set()


def next_term(end: int) -> int:
    """Return the term of a claim at an offset of the stream of claims.

    It is above all earlier ones, whatever the newest record says: a term is
    at most the number of the records before its claim.
    """
    return end


def _log_silence(claim: claim_module.Claim, error: str) -> None:
    events.emit(cell_events.LEADER_SILENT, node=claim.node, error=error)


def _epoch(claim: claim_module.Claim | None) -> int:
    return claim.epoch if claim is not None else 0
