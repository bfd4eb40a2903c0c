"""Find the leader, follow it, and take over when it is gone."""

import asyncio
import collections.abc
import enum
import random

from basilspindle.cell import claim as claim_module
from basilspindle.cell import configuration as configuration_module
from basilspindle.cell import events as cell_events
from basilspindle.cell import identity as identity_module
from basilspindle.cell import journal as journal_module
from basilspindle.cell import link as link_module
from basilspindle.cell import messages
from basilspindle.cell import ports
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events

_PING_MS = 250
_PING_ANSWER_MS = 400
_CONNECT_MS = 700
_ASK_ANSWER_MS = 900
# A VM that runs refuses a connection within a few round trips.
_REFUSAL_MS = 200
# A leader whose append is unanswered for this long is replaced if others
# reach the store.
_STORE_SILENT_MS = 450
# A leader repeats an append within a second, so that it notices the return
# of the store by then.
_RETURN_MS = 1_500
# A store that answers a read sooner is not slow.
_STORE_PROMPT_MS = 150
# A leader appends at least twice a second; with none for this long it is
# taken for dead although nothing refused a connection.
_QUIET_MS = 900
_RETRY_MS = 200
# Daemons that lose the leader together claim at different moments.
_CLAIM_SPREAD_MS = 40
# Time for daemons on larger VMs to claim before those on small ones.
_SMALL_DELAY_MS = 250

# A claim takes effect in the store before its maker has the answer.
_CLAIMING_MS = 1_200

Lead = collections.abc.Callable[
    [claim_module.Claim, claim_module.Claim | None],
    collections.abc.Awaitable[None],
]


class _Followed(enum.Enum):
    """Why a daemon stopped following a leader."""

    GONE = 'gone'
    CLOSED = 'closed'
    SILENT = 'silent'


class Election:
    """Follow one leader after another, or lead.

    ``link`` is the connection to the leader while there is one, and
    ``store_age_ms`` how long its append was unanswered at the last ping;
    ``changed`` is set and replaced whenever that may have changed.
    """

    __slots__ = (
        'link',
        'claim',
        'store_age_ms',
        'changed',
        '_identity',
        '_register',
        '_store',
        '_clock',
        '_lead',
        '_handler',
        '_stopping',
        '_failing',
        '_cut_off_ms',
        '_version',
        '_take_terms',
        '_heard',
        '_entered',
    )

    def __init__(
        self,
        identity: identity_module.Identity,
        store: ports.Store,
        clock: clock_module.Clock,
        lead: Lead,
        handler: link_module.Handler,
        version: collections.abc.Callable[[], int],
        take_terms: collections.abc.Callable[
            [configuration_module.Configuration], None
        ],
    ) -> None:
        self.link: link_module.Link | None = None
        self.claim: claim_module.Claim | None = None
        self.store_age_ms = 0
        self.changed = asyncio.Event()
        self._identity = identity
        self._register = claim_module.ClaimRegister(store)
        self._store = store
        self._clock = clock
        self._lead = lead
        self._handler = handler
        self._stopping = False
        self._failing = False
        self._cut_off_ms = -_RETURN_MS
        self._version = version
        self._take_terms = take_terms
        self._heard: claim_module.Claim | None = None
        self._entered = False

    def hear(self, claim: claim_module.Claim) -> None:
        """Take in a claim that another daemon knows."""
        known = max(_epoch(self.claim), _epoch(self._heard))
        if claim.epoch <= known or claim.resigned:
            return
        self._heard = claim
        if self.link is not None:
            self.link.close()

    def newest(self) -> claim_module.Claim | None:
        """Return the newest claim known here."""
        if _epoch(self._heard) > _epoch(self.claim):
            return self._heard
        return self.claim

    def stop(self) -> None:
        """Make no more claims; following goes on."""
        self._stopping = True

    async def resign(self, claim: claim_module.Claim) -> None:
        """Tell the others that this leader has stopped."""
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
                ),
                end,
            )
        except errors.LogError as error:
            # The others find out by its silence.
            events.emit(cell_events.CLAIM_FAILED, error=error.message)

    async def leave(self) -> None:
        """Remove this daemon from the list of daemons."""
        try:
            await self._register.remove_member(self._identity.node)
        except errors.LogError as error:
            # An entry that stays costs one vain connection a claim.
            events.emit(cell_events.CLAIM_FAILED, error=error.message)

    async def run(self) -> None:
        """Follow or lead until cancelled."""
        while True:
            try:
                await self._turn()
            except errors.LogError as error:
                if not self._failing:
                    self._failing = True
                    events.emit(cell_events.CLAIM_FAILED, error=error.message)
                await self._turn_without_store()

    async def _turn_without_store(self) -> None:
        # The other daemons may have a leader that this one can reach.
        claim = self.newest()
        if claim is self.claim:
            # Never one that was replaced: it may refuse what its successor
            # has accepted.
            answer = await self._ask_members()
            claim = max((claim, answer), key=_epoch)
        if claim is not None and not self._is_former_self(claim):
            self.claim = claim
            await self._follow(claim)
            self._set_link(None)
        await self._clock.sleep_ms(_RETRY_MS)

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
                address, self._handler, _CONNECT_MS
            )
        except (ConnectionRefusedError, errors.PeerError):
            # One of several to be asked; the others may know.
            return None
        try:
            reply = await link.call(messages.WhoLeads(), _ASK_ANSWER_MS)
        except errors.PeerError:
            return None
        finally:
            link.close()
        return reply.claim if isinstance(reply, messages.LeaderIs) else None

    async def announce(self, claim: claim_module.Claim) -> None:
        """Tell all daemons that this one leads."""
        await asyncio.gather(
            *(
                self.tell(address, claim)
                for address in self._register.members.values()
                if address != self._identity.address
            )
        )

    async def tell(self, address: str, claim: claim_module.Claim) -> bool:
        """Tell one daemon of a claim.

        Returns whether it certainly acts on no older claim any more: it has
        answered, or no process listens there.
        """
        if address == self._identity.address:
            return True
        try:
            link = await link_module.connect(
                address, self._handler, _CONNECT_MS
            )
        except ConnectionRefusedError:
            return True
        except errors.PeerError:
            # It finds the claim in the store when it is back.
            return False
        try:
            await link.call(messages.Announce(claim), _ASK_ANSWER_MS)
        except errors.PeerError:
            return False
        finally:
            link.close()
        return True

    async def _turn(self) -> None:
        if not self._entered:
            await self._register.add_member(
                self._identity.node, self._identity.address
            )
            self._entered = True
        (claim, end), _ = await asyncio.gather(
            self._register.read(), self._register.read_members()
        )
        self._failing = False
        self.claim = claim
        if claim is None or claim.resigned or self._is_former_self(claim):
            await self._claim(claim, end)
            return
        end_of = await self._follow(claim)
        self._set_link(None)
        if end_of is _Followed.CLOSED and await self._is_refused(claim):
            end_of = _Followed.GONE
        if end_of is _Followed.GONE:
            # Without reading again, which may take long: the store rejects
            # the claim if there was another one.
            await self._claim(claim, end)
        elif end_of is _Followed.SILENT:
            await self._turn_after_silence(claim)

    async def _turn_after_silence(self, claim: claim_module.Claim) -> None:
        current, end = await self._register.read()
        if current != claim:
            return
        if await self._is_quiet():
            await self._claim(claim, end)
        else:
            await self._clock.sleep_ms(_RETRY_MS)

    async def _is_refused(self, claim: claim_module.Claim) -> bool:
        # A daemon whose process has ended refuses connections.
        try:
            link = await link_module.connect(
                claim.address, self._handler, _REFUSAL_MS
            )
        except ConnectionRefusedError:
            return True
        except errors.PeerError:
            return False
        link.close()
        return False

    def _is_former_self(self, claim: claim_module.Claim) -> bool:
        # Also a claim of this very process that it no longer acts on.
        return claim.address == self._identity.address

    async def _claim(
        self, before: claim_module.Claim | None, end: int
    ) -> None:
        if self._stopping:
            await self._clock.sleep_ms(_RETRY_MS)
            return
        delay_ms = random.randrange(_CLAIM_SPREAD_MS)
        if self._identity.leads_last:
            delay_ms += _SMALL_DELAY_MS
        await self._clock.sleep_ms(delay_ms)
        claim = await self._register.try_claim(
            claim_module.Claim(
                self._identity.node,
                self._identity.address,
                self._identity.incarnation,
                before.term + 1 if before else 0,
            ),
            end,
        )
        if claim is None:
            return
        events.emit(
            cell_events.LEADER_GAINED, epoch=claim.epoch, term=claim.term
        )
        self.claim = claim
        self.notify()
        await self._lead(claim, before)
        self.notify()

    async def _follow(self, claim: claim_module.Claim) -> '_Followed':
        try:
            link = await link_module.connect(
                claim.address, self._handler, _CONNECT_MS
            )
        except ConnectionRefusedError:
            return _Followed.GONE
        except errors.PeerError as error:
            events.emit(
                cell_events.LEADER_SILENT,
                node=claim.node,
                error=error.message,
            )
            return _Followed.SILENT
        link.node = claim.node
        try:
            return await self._watch(claim, link)
        finally:
            link.close()

    async def _watch(
        self, claim: claim_module.Claim, link: link_module.Link
    ) -> '_Followed':
        ping = messages.Ping(self._identity.node)
        begun_ms = self._clock.now_ms()
        misses = 0
        while not link.closed.is_set():
            try:
                pong = await link.call(ping, _PING_ANSWER_MS)
            except errors.PeerError as error:
                events.emit(
                    cell_events.LEADER_SILENT,
                    node=claim.node,
                    error=error.message,
                )
                if link.closed.is_set():
                    return _Followed.CLOSED
                if await self._is_quiet():
                    return _Followed.GONE
                misses += 1
                if misses > 1:
                    # It lives, so this connection has gone silent.
                    return _Followed.CLOSED
                continue
            misses = 0
            if not isinstance(pong, messages.Pong):
                return _Followed.SILENT
            if pong.incarnation != claim.incarnation:
                return _Followed.GONE
            if not pong.leads or pong.epoch != claim.epoch:
                # A leader that has just claimed may not know it yet.
                age_ms = self._clock.now_ms() - begun_ms
                if self.link is not None or age_ms > _CLAIMING_MS:
                    return _Followed.GONE
            elif self.link is None:
                self._set_link(link)
                events.emit(
                    cell_events.LEADER_FOLLOWED,
                    node=claim.node,
                    epoch=claim.epoch,
                )
            self.store_age_ms = pong.store_age_ms
            if pong.version > self._version():
                await self._fetch_terms(link)
            if pong.store_age_ms > _STORE_SILENT_MS:
                if await self._reaches_store():
                    return _Followed.GONE
            pause_ms = _PING_MS if self.link is not None else _RETRY_MS
            try:
                await self._clock.wait_ms(link.closed.wait(), pause_ms)
            except errors.DeadlineExceeded:
                continue
        return _Followed.CLOSED

    async def _fetch_terms(self, link: link_module.Link) -> None:
        # The leader has a newer configuration than the store gave here.
        try:
            reply = await link.call(messages.GetTerms(), _ASK_ANSWER_MS)
        except errors.PeerError as error:
            events.emit(
                cell_events.LEADER_SILENT,
                node=link.node,
                error=error.message,
            )
            return
        if isinstance(reply, messages.TermsAre) and reply.terms is not None:
            self._take_terms(reply.terms)

    async def _reaches_store(self) -> bool:
        begun_ms = self._clock.now_ms()
        try:
            await self._register.read()
        except errors.LogError:
            # Nobody here can do better than the leader.
            self._cut_off_ms = self._clock.now_ms()
            return False
        if begun_ms - self._cut_off_ms < _RETURN_MS:
            # The store is just back; the leader reaches it too by then.
            return False
        if self._clock.now_ms() - begun_ms <= _STORE_PROMPT_MS:
            return True
        return await self._is_quiet()

    async def _is_quiet(self) -> bool:
        # Nothing appended by the leader for a while, seen in the store.
        try:
            end = await self._store.probe_end(journal_module.STREAM)
            chunk = await self._store.read(
                journal_module.STREAM, end, _QUIET_MS
            )
        except errors.LogError as error:
            # Who cannot look must not take over.
            events.emit(cell_events.CLAIM_FAILED, error=error.message)
            self._cut_off_ms = self._clock.now_ms()
            return False
        return not chunk.records

    def _set_link(self, link: link_module.Link | None) -> None:
        if link is not self.link:
            self.link = link
            self.notify()

    def notify(self) -> None:
        """Wake whoever waits for a change of leader."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


def _epoch(claim: claim_module.Claim | None) -> int:
    return claim.epoch if claim is not None else 0
