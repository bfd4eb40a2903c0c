"""Find the leader, follow it, and take over when it is gone."""

import asyncio
import collections.abc
import enum
import random

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.cell import claim as claim_module
from basilspindle.cell import events as cell_events
from basilspindle.cell import identity as identity_module
from basilspindle.cell import journal as journal_module
from basilspindle.cell import link as link_module
from basilspindle.cell import messages
from basilspindle.cell import ports

_PING_MS = 300
_PING_ANSWER_MS = 900
_CONNECT_MS = 700
# A leader whose appends fail for this long is replaced if others can append.
_STORE_SILENT_MS = 1_500
# A leader appends at least once a second; with none for this long it is
# taken for dead although nothing refused a connection.
_QUIET_MS = 1_400
_RETRY_MS = 200
# Daemons that lose the leader together claim at different moments.
_CLAIM_SPREAD_MS = 40

# A claim takes effect in the store before its maker has the answer.
_CLAIMING_MS = 1_200

Lead = collections.abc.Callable[
    [claim_module.Claim], collections.abc.Awaitable[None]
]


class _Followed(enum.Enum):
    """Why a daemon stopped following a leader."""

    GONE = 'gone'
    CLOSED = 'closed'
    SILENT = 'silent'


class Election:
    """Follow one leader after another, or lead.

    ``link`` is the connection to the leader while there is one;
    ``changed`` is set and replaced whenever that may have changed.
    """

    __slots__ = (
        'link',
        'claim',
        'changed',
        '_identity',
        '_register',
        '_store',
        '_clock',
        '_lead',
        '_handler',
        '_stopping',
    )

    def __init__(
        self,
        identity: identity_module.Identity,
        store: ports.Store,
        clock: clock_module.Clock,
        lead: Lead,
        handler: link_module.Handler,
    ) -> None:
        self.link: link_module.Link | None = None
        self.claim: claim_module.Claim | None = None
        self.changed = asyncio.Event()
        self._identity = identity
        self._register = claim_module.ClaimRegister(store)
        self._store = store
        self._clock = clock
        self._lead = lead
        self._handler = handler
        self._stopping = False

    def stop(self) -> None:
        """Make no more claims; following goes on."""
        self._stopping = True

    async def resign(self, claim: claim_module.Claim) -> None:
        """Tell the others that this leader has stopped."""
        try:
            current, end = await self._register.read()
            if current is None or current.epoch != claim.epoch:
                return
            await self._register.make(
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

    async def run(self) -> None:
        """Follow or lead until cancelled."""
        while True:
            try:
                await self._turn()
            except errors.LogError as error:
                events.emit(cell_events.CLAIM_FAILED, error=error.message)
                await self._clock.sleep_ms(_RETRY_MS)

    async def _turn(self) -> None:
        claim, end = await self._register.read()
        self.claim = claim
        if claim is None or claim.resigned or self._is_former_self(claim):
            await self._claim(claim, end)
            return
        end_of = await self._follow(claim)
        self._set_link(None)
        if end_of is _Followed.CLOSED:
            return
        current, end = await self._register.read()
        if current != claim:
            return
        if end_of is _Followed.GONE or await self._is_quiet():
            await self._claim(claim, end)
        else:
            await self._clock.sleep_ms(_RETRY_MS)

    def _is_former_self(self, claim: claim_module.Claim) -> bool:
        # Also a claim of this very process that it no longer acts on.
        return claim.address == self._identity.address

    async def _claim(
        self, before: claim_module.Claim | None, end: int
    ) -> None:
        if self._stopping:
            await self._clock.sleep_ms(_RETRY_MS)
            return
        await self._clock.sleep_ms(random.randrange(_CLAIM_SPREAD_MS))
        claim = await self._register.make(
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
        await self._lead(claim)
        self.notify()

    async def _follow(self, claim: claim_module.Claim) -> '_Followed':
        host, _, port = claim.address.rpartition(':')
        try:
            async with asyncio.timeout(_CONNECT_MS / 1000):
                _, link = await asyncio.get_running_loop().create_connection(
                    lambda: link_module.Link(self._handler), host, int(port)
                )
        except ConnectionRefusedError:
            return _Followed.GONE
        except (OSError, TimeoutError) as error:
            events.emit(
                cell_events.LEADER_SILENT, node=claim.node, error=repr(error)
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
                return _Followed.SILENT
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
            if pong.store_age_ms > _STORE_SILENT_MS:
                if await self._is_quiet():
                    return _Followed.GONE
            pause_ms = _PING_MS if self.link is not None else _RETRY_MS
            try:
                await self._clock.wait_ms(link.closed.wait(), pause_ms)
            except errors.DeadlineExceeded:
                continue
        return _Followed.CLOSED

    async def _is_quiet(self) -> bool:
        # Nothing appended by the leader for a while, seen in the store.
        end = await self._store.probe_end(journal_module.STREAM)
        chunk = await self._store.read(
            journal_module.STREAM, end, _QUIET_MS
        )
        return not chunk.records

    def _set_link(self, link: link_module.Link | None) -> None:
        if link is not self.link:
            self.link = link
            self.notify()

    def notify(self) -> None:
        """Wake whoever waits for a change of leader."""
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
