"""Run one daemon of a cell: serve callers, follow or lead."""

import asyncio
import typing

from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import claim as claim_module
from basilspindle.cell import configuration as configuration_module
from basilspindle.cell import configuration_index
from basilspindle.cell import election as election_module
from basilspindle.cell import events as cell_events
from basilspindle.cell import guard
from basilspindle.cell import identity as identity_module
from basilspindle.cell import leader as leader_module
from basilspindle.cell import link as link_module
from basilspindle.cell import messages
from basilspindle.cell import metrics
from basilspindle.cell import overview
from basilspindle.cell import ports
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events

_RETRY_MS = 500
_RECONNECT_PAUSE_MS = 20
# Lines of the log are bounded by the second; so are reports of the rest.
_REPORT_MS = 1_000
# A request without a leader waits this long for one, which covers the
# replacement of a leader that was killed.
_LEADERLESS_MS = 900
_RETRY_AFTER_MS = 1_000
# A leader whose append is unanswered for longer was not replaced, so the
# store is away for all.
_STORE_AWAY_MS = 1_200


class Platform:
    """What a node is given to reach the platform."""

    __slots__ = (
        'store',
        'registry',
        'worker_orders',
        'advice',
        'configuration',
    )

    def __init__(
        self,
        store: ports.Store,
        registry: ports.WorkerRegistry,
        worker_orders: ports.WorkerOrders,
        advice: ports.AdviceService,
        configuration: ports.ConfigurationSource,
    ) -> None:
        self.store = store
        self.registry = registry
        self.worker_orders = worker_orders
        self.advice = advice
        self.configuration = configuration


class Node:
    """One daemon; any of them takes any caller's request."""

    def __init__(
        self,
        identity: identity_module.Identity,
        platform: Platform,
        bounds: bounds_module.Bounds,
        clock: clock_module.Clock,
    ) -> None:
        self.index: configuration_index.ConfigurationIndex | None = None
        self.leader: leader_module.Leader | None = None
        self.stopping = False
        self._identity = identity
        self._platform = platform
        self._bounds = bounds
        self._clock = clock
        self._election = election_module.Election(
            identity,
            platform.store,
            clock,
            self._lead,
            self.handle,
            self._version,
            self._take_terms,
        )
        self._links: set[link_module.Link] = set()
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self.failed = asyncio.Event()

    async def __aenter__(self) -> typing.Self:
        host, _, port = self._identity.address.rpartition(':')
        self._server = await asyncio.get_running_loop().create_server(
            lambda: link_module.Link(
                self.handle, self._open_link, self._close_link
            ),
            host,
            int(port),
        )
        for work in (
            self._follow_configuration,
            self._election.run,
            self._report_lines,
        ):
            self._tasks.append(
                asyncio.ensure_future(guard.run(work, self._fail))
            )
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
        for link in list(self._links):
            link.close()

    @property
    def is_ready(self) -> bool:
        """Tell whether new callers should come here."""
        if self.stopping or self.index is None:
            return False
        return self._leads or self._election.link is not None

    @property
    def _leads(self) -> bool:
        return self.leader is not None and self.leader.ready

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for operators."""
        return overview.dump(
            self._identity.node, self._version(), self.is_ready, self.leader
        )

    async def stop(self) -> None:
        """Hand leadership over; requests are still forwarded."""
        self.stopping = True
        self._election.stop()
        if self.leader is not None:
            self.leader.lose_leadership('planned stop')

    async def request(
        self, request: messages.Request, timeout_ms: int
    ) -> messages.Reply:
        """Return the leader's reply, asking a new leader if it changes.

        Raises ``NotReady`` if the request certainly reached no leader and
        ``OutcomeUnknown`` if it may have.
        """
        begun_ms = self._clock.now_ms()
        sent = False
        while True:
            left_ms = begun_ms + timeout_ms - self._clock.now_ms()
            if left_ms <= 0:
                raise _unanswered(sent and _changes(request))
            changed = self._election.changed
            link = self._election.link
            try:
                if self._leads and self.leader is not None:
                    sent = True
                    reply = await self._clock.wait_ms(
                        self.leader.handle(request), left_ms
                    )
                elif link is not None:
                    sent = True
                    reply = await link.call(request, left_ms)
                else:
                    spent_ms = self._clock.now_ms() - begun_ms
                    if not sent and spent_ms > _LEADERLESS_MS:
                        raise _unanswered(False)
                    await self._wait_change(changed, left_ms, spent_ms)
                    continue
            except (errors.PeerError, errors.DeadlineExceeded):
                reply = messages.NotLeading()
            if not isinstance(reply, messages.NotLeading):
                spent_ms = self._clock.now_ms() - begun_ms
                if not _may_pass(reply) or spent_ms > _LEADERLESS_MS:
                    return reply
                if self._store_age_ms > _STORE_AWAY_MS:
                    return reply
                # Nothing was done, and another leader may do better soon.
                sent = False
                await self._wait_change(changed, left_ms, spent_ms)
                continue
            await self._clock.sleep_ms(_RECONNECT_PAUSE_MS)

    @property
    def _store_age_ms(self) -> int:
        if self.leader is not None and self._leads:
            return self.leader.store_age_ms
        return self._election.store_age_ms

    async def _wait_change(
        self, changed: asyncio.Event, left_ms: int, spent_ms: int
    ) -> None:
        limit_ms = max(1, min(left_ms, _LEADERLESS_MS + 1 - spent_ms))
        if limit_ms <= 1:
            limit_ms = min(left_ms, _RETRY_MS)
        try:
            await self._clock.wait_ms(changed.wait(), limit_ms)
        except errors.DeadlineExceeded:
            # The caller's loop decides what the time that is left allows.
            return

    async def handle(self, request: messages.Request) -> messages.Reply:
        """Answer a request that came over a link."""
        if isinstance(request, messages.Ping):
            leader = self.leader
            incarnation = self._identity.incarnation
            if leader is None or leader.lost.is_set():
                return messages.Pong(incarnation, False, 0, 0, 0)
            return messages.Pong(
                incarnation,
                True,
                leader.claim.epoch,
                leader.store_age_ms,
                self._version(),
            )
        if isinstance(request, messages.Announce):
            self._election.hear(request.claim)
            if leader := self.leader:
                if leader.claim.epoch < request.claim.epoch:
                    leader.lose_leadership('another daemon leads')
            return messages.Accepted()
        if isinstance(request, messages.WhoLeads):
            return messages.LeaderIs(self._election.newest())
        if isinstance(request, messages.GetTerms):
            return messages.TermsAre(
                self.index.configuration if self.index else None
            )
        if isinstance(request, messages.Advise):
            return await self._advise(request)
        if self.leader is not None:
            return await self.leader.handle(request)
        return messages.NotLeading()

    async def _advise(self, request: messages.Advise) -> messages.Reply:
        try:
            result = await self._platform.advice.ask(
                request.step_key,
                list(request.worker_ids),
                request.timeout_ms,
            )
        except errors.BasilspindleError as error:
            return messages.Refused(
                error.kind, error.message, error.retry_after_ms
            )
        return messages.Advised(result.tickets, result.valid_ms)

    async def _lead(
        self, claim: claim_module.Claim, former: claim_module.Claim | None
    ) -> None:
        leader = leader_module.Leader(
            claim,
            self._platform.store,
            self._platform.registry,
            self._platform.worker_orders,
            self._platform.advice,
            self._clock,
            self._bounds,
            self.index,
            former is None or former.resigned,
        )
        self.leader = leader
        try:
            async with leader:
                for link in self._links:
                    leader.advice_calls.add_link(link)
                if self.index is not None:
                    leader.configure(self.index)
                self._election.notify()
                announcing = asyncio.ensure_future(
                    self._announce(leader, claim, former)
                )
                await leader.lost.wait()
                announcing.cancel()
        except errors.Deposed as error:
            leader.lose_leadership(error.message)
        finally:
            self.leader = None
        if self.stopping:
            await self._election.resign(claim)

    async def _announce(
        self,
        leader: leader_module.Leader,
        claim: claim_module.Claim,
        former: claim_module.Claim | None,
    ) -> None:
        if former is not None:
            if await self._election.tell(former.address, claim):
                leader.note_previous_leader_gone()
        await self._election.announce(claim)

    async def leave(self) -> None:
        """Tell the other daemons that this one will not come back."""
        await self._election.leave()

    async def _follow_configuration(self) -> None:
        while True:
            self._take_terms(await self._platform.configuration.next_version())

    async def _report_lines(self) -> None:
        while True:
            await self._clock.sleep_ms(_REPORT_MS)
            metrics.DROPPED_LINES.inc(events.report_suppressed())

    def _version(self) -> int:
        return self.index.configuration.version if self.index else 0

    def _take_terms(self, terms: configuration_module.Configuration) -> None:
        if terms.version <= self._version():
            return
        self.index = configuration_index.ConfigurationIndex(terms)
        metrics.CONFIGURATION_VERSION.set(terms.version)
        events.emit(cell_events.CONFIGURATION_IN_FORCE, version=terms.version)
        if self.leader is not None:
            self.leader.configure(self.index)

    def _open_link(self, link: link_module.Link) -> None:
        self._links.add(link)
        if self.leader is not None:
            self.leader.advice_calls.add_link(link)

    def _close_link(self, link: link_module.Link) -> None:
        self._links.discard(link)
        if self.leader is not None:
            self.leader.advice_calls.remove_link(link)

    def _fail(self, error: Exception) -> None:
        self.failed.set()


def _changes(request: messages.Request) -> bool:
    return isinstance(request, (messages.Submit, messages.Cancel))


def _may_pass(reply: messages.Reply) -> bool:
    return (
        isinstance(reply, messages.Refused)
        and reply.kind == errors.NotReady.kind
    )


def _unanswered(sent: bool) -> errors.BasilspindleError:
    if sent:
        return errors.OutcomeUnknown(
            'the leading daemon changed before it answered; ask again',
            ran=errors.Ran.UNKNOWN,
            retry_after_ms=_RETRY_AFTER_MS,
        )
    return errors.NotReady(
        'no daemon leads the cell now; come back',
        ran=errors.Ran.NO,
        retry_after_ms=_RETRY_AFTER_MS,
    )
