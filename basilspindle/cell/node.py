"""Run one daemon of a cell: serve requests, and follow or lead."""

import asyncio
import typing

import msgspec

from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import claim as claim_module
from basilspindle.cell import configuration_index
from basilspindle.cell import configuration_sync
from basilspindle.cell import copies as copies_module
from basilspindle.cell import election as election_module
from basilspindle.cell import events as cell_events
from basilspindle.cell import guard
from basilspindle.cell import identity as identity_module
from basilspindle.cell import leader as leader_module
from basilspindle.cell import leadership
from basilspindle.cell import link as link_module
from basilspindle.cell import messages
from basilspindle.cell import metrics
from basilspindle.cell import overview
from basilspindle.cell import ports
from basilspindle.cell import stalled_work
from basilspindle.cell import start_copies
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.workflow import definition as definition_module

_CHANGE_POLL_MS = 500
_RECONNECT_PAUSE_MS = 20
# Time for the leader's reply to reach this daemon before the request times
# out here.
_LEADER_MARGIN_MS = 200
# Log lines are rate limited per second; dropped lines are reported as often.
_REPORT_INTERVAL_MS = 1_000
# More leaders in a minute than planned stops and lost VMs explain.
_MAX_LEADERS_A_MINUTE = 10
_UNSTABLE_REPORT_INTERVAL_MS = 10_000
# While there is no leader, a request waits this long for one. The time covers
# the replacement of a leader that was killed.
_LEADER_WAIT_MS = 900
# A predecessor that does not answer is told of the new claim this often, as
# long as workers are awaited that may still run its tasks.
_ANNOUNCE_RETRY_MS = 500
_RETRY_AFTER_MS = 1_000
# A leader whose append is unanswered for longer should have been replaced. As
# it was not, no daemon reaches the store.
_STORE_OUTAGE_MS = 1_200


class Platform:
    """Adapters through which a node uses the platform."""

    __slots__ = (
        'store',
        'registry',
        'worker_orders',
        'advice',
        'configuration',
        'evacuations',
    )

    def __init__(
        self,
        store: ports.Store,
        registry: ports.WorkerRegistry,
        worker_orders: ports.WorkerOrders,
        advice: ports.AdviceService,
        configuration: ports.ConfigurationSource,
        evacuations: ports.EvacuationSource | None = None,
    ) -> None:
        self.store = store
        self.registry = registry
        self.worker_orders = worker_orders
        self.advice = advice
        self.configuration = configuration
        self.evacuations = evacuations


class Node:
    """One daemon of a cell; every daemon accepts every request.

    ``leader`` is set while this daemon leads, and ``failed`` once one of its
    background tasks has failed.
    """

    def __init__(
        self,
        identity: identity_module.Identity,
        platform: Platform,
        bounds: bounds_module.Bounds,
        clock: clock_module.Clock,
    ) -> None:
        self.leader: leader_module.Leader | None = None
        self.stopping = False
        self._identity = identity
        self._platform = platform
        self._bounds = bounds
        self._clock = clock
        self._configuration = configuration_sync.ConfigurationSync(
            platform.configuration,
            clock,
            self._on_configuration,
            self._on_fault,
        )
        self._election = election_module.Election(
            identity,
            platform.store,
            clock,
            self._lead,
            self.handle,
            self._configuration.observe_leader,
        )
        self._stalled_work = stalled_work.StalledWork()
        self._start_copies = start_copies.StartCopies()
        self._links: set[link_module.Link] = set()
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self.failed = asyncio.Event()

    async def __aenter__(self) -> typing.Self:
        host, _, port = self._identity.address.rpartition(':')
        self._server = await asyncio.get_running_loop().create_server(
            lambda: link_module.Link(
                self.handle,
                self._on_link_open,
                self._on_link_close,
                self._close_replaced_links,
            ),
            host,
            int(port),
        )
        await self._configuration.__aenter__()
        for work in (
            self._election.run,
            self._report_dropped_lines,
            self._report_leaders,
        ):
            self._tasks.append(
                asyncio.ensure_future(guard.run(work, self._on_fault))
            )
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._configuration.__aexit__()
        if self._server is not None:
            self._server.close()
        for link in list(self._links):
            link.close()

    @property
    def name(self) -> str:
        """Return the name of this daemon."""
        return self._identity.node

    @property
    def index(self) -> configuration_index.ConfigurationIndex | None:
        """Return the configuration in force, None if there is none yet."""
        return self._configuration.index

    @property
    def is_configuration_behind(self) -> bool:
        """Tell whether a newer configuration is known and not in force."""
        return self._configuration.is_behind

    @property
    def is_ready(self) -> bool:
        """Tell whether clients should send new requests to this daemon."""
        if self.stopping or self.index is None:
            return False
        return self._leads or self._election.link is not None

    @property
    def _leads(self) -> bool:
        return self.leader is not None and self.leader.ready

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of this daemon, for operators."""
        return overview.dump(
            self._identity.node,
            self._configuration.version,
            self.is_ready,
            self.leader,
        )

    async def stop(self) -> None:
        """Give up leadership, but keep forwarding requests."""
        self.stopping = True
        self._election.stop_claiming()
        if self.leader is not None:
            self.leader.lose_leadership(
                'planned stop', leadership.EndCause.PLANNED
            )

    async def request(
        self,
        request: messages.Request,
        timeout_ms: int,
        copies: copies_module.Copies | None = None,
    ) -> messages.Reply:
        """Return the leader's reply, asking again if the leader changes.

        If none comes, raises ``OutcomeUnknown`` if the request may have taken
        effect, else ``NotReady``. A refusal is returned only if no other copy
        of the request can have an effect. ``copies`` gets the outcome of each
        copy.
        """
        begun_ms = self._clock.now_ms()
        copies = copies or copies_module.Copies(self._clock)
        while True:
            remaining_ms = begun_ms + timeout_ms - self._clock.now_ms()
            if remaining_ms <= 0:
                raise _no_answer_error(
                    copies.may_have_effect and _is_write(request)
                )
            leader_changed = self._election.leader_changed
            link = self._election.link
            sent_ms = self._clock.now_ms()
            try:
                if self._leads and self.leader is not None:
                    node = self._identity.node
                    epoch = self.leader.claim.epoch
                    reply = await self._clock.wait_for(
                        self.leader.handle(
                            _make_copy(request, epoch, remaining_ms)
                        ),
                        remaining_ms,
                    )
                elif link is not None:
                    node, epoch = link.node, link.epoch
                    reply = await link.call(
                        _make_copy(request, epoch, remaining_ms), remaining_ms
                    )
                else:
                    spent_ms = self._clock.now_ms() - begun_ms
                    if (
                        not copies.may_have_effect
                        and spent_ms > _LEADER_WAIT_MS
                    ):
                        raise _no_answer_error(False)
                    await self._wait_for_leader_change(
                        leader_changed, remaining_ms, spent_ms
                    )
                    continue
            except errors.PeerUnavailable:
                copies.note(node, epoch, sent_ms, copies_module.NOT_SENT)
                reply = messages.NotLeading()
            except (errors.PeerError, errors.DeadlineExceeded):
                copies.note(node, epoch, sent_ms, copies_module.NO_REPLY)
                reply = messages.NotLeading()
            else:
                if isinstance(reply, messages.NotLeading):
                    copies.note(
                        node, epoch, sent_ms, copies_module.NOT_LEADING
                    )
            if isinstance(reply, messages.NotLeading):
                await self._clock.sleep_ms(_RECONNECT_PAUSE_MS)
                continue
            if not isinstance(reply, messages.Refused):
                return reply
            copies.note_refusal(
                node, epoch, sent_ms, reply.kind, covered_epoch=reply.epoch
            )
            spent_ms = self._clock.now_ms() - begun_ms
            if (
                not _is_retryable(reply)
                or spent_ms > _LEADER_WAIT_MS
                or self._store_age_ms > _STORE_OUTAGE_MS
            ):
                if copies.may_have_effect and _is_write(request):
                    raise _no_answer_error(True)
                return reply
            # Another leader may soon accept the request.
            await self._wait_for_leader_change(
                leader_changed, remaining_ms, spent_ms
            )

    async def dry_run(
        self, definition: definition_module.JobDefinition, timeout_ms: int
    ) -> bytes:
        """Return what the leader would decide about a job, as JSON.

        Asks once. Raises ``NotReady`` if there is no answer.
        """
        request = messages.DryRun(definition)
        link = self._election.link
        reply: messages.Reply = messages.NotLeading()
        if self._leads and self.leader is not None:
            reply = await self.leader.handle(request)
        elif link is not None:
            if not link.answers_dry_runs:
                raise errors.NotReady(
                    'the leader has not told that it answers dry runs; ask '
                    'again, or once a daemon of this build leads',
                    retry_after_ms=_RETRY_AFTER_MS,
                )
            try:
                reply = await link.call(request, timeout_ms)
            except errors.PeerError:
                pass
        if isinstance(reply, messages.DryRunAnswer):
            return reply.data
        raise errors.NotReady(
            'no leader has answered the dry run; ask again',
            retry_after_ms=_RETRY_AFTER_MS,
        )

    @property
    def _store_age_ms(self) -> int:
        if self.leader is not None and self._leads:
            return self.leader.store_age_ms
        return self._election.store_age_ms

    async def _wait_for_leader_change(
        self, leader_changed: asyncio.Event, remaining_ms: int, spent_ms: int
    ) -> None:
        wait_ms = max(1, min(remaining_ms, _LEADER_WAIT_MS + 1 - spent_ms))
        if wait_ms <= 1:
            wait_ms = min(remaining_ms, _CHANGE_POLL_MS)
        try:
            await self._clock.wait_for(leader_changed.wait(), wait_ms)
        except errors.DeadlineExceeded:
            # The loop of the calling method checks the remaining time.
            return

    async def handle(self, request: messages.Request) -> messages.Reply:
        """Answer a request that arrived over a link."""
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
                self._configuration.version,
                self._configuration.age_ms,
                configuration_sync.FORMAT,
                answers_dry_runs=True,
            )
        if isinstance(request, messages.Announce):
            self._election.observe_claim(request.claim)
            if leader := self.leader:
                if leader.claim.epoch < request.claim.epoch:
                    leader.lose_leadership('another daemon leads')
            return messages.Accepted()
        if isinstance(request, messages.WhoLeads):
            return messages.LeaderIs(self._election.newest_claim())
        if isinstance(request, messages.GetTerms):
            return messages.TermsAre(
                self.index.configuration if self.index else None
            )
        if isinstance(request, messages.FollowConfiguration):
            return await self._configuration.serve(request)
        if isinstance(request, messages.KeepStarts):
            return self._keep_starts(request)
        if isinstance(request, messages.Advise):
            return await self._advise(request)
        if self.leader is not None:
            return await self.leader.handle(request)
        return messages.NotLeading()

    def _keep_starts(self, request: messages.KeepStarts) -> messages.Reply:
        starts = [start_copies.Start(*start) for start in request.starts]
        if self._start_copies.keep(request.epoch, request.number, starts):
            return messages.Accepted()
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
        self, claim: claim_module.Claim, previous: claim_module.Claim | None
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
            previous,
            self._stalled_work,
            self._platform.evacuations,
            self._start_copies,
        )
        self.leader = leader
        try:
            async with leader:
                for link in self._links:
                    leader.add_link(link)
                if self.index is not None:
                    leader.configure(self.index)
                self._election.notify()
                announcement = asyncio.ensure_future(
                    self._announce(leader, claim, previous)
                )
                await leader.lost.wait()
                announcement.cancel()
        except errors.Deposed as error:
            leader.lose_leadership(error.message)
        except Exception as error:
            # The process stays: it forwards requests to another leader.
            events.emit(
                cell_events.INTERNAL_FAULT, part='Leader', error=repr(error)
            )
            leader.lose_leadership(
                f'the leader failed: {error!r}', leadership.EndCause.FAULT
            )
        finally:
            self.leader = None
        if leader.end_cause is leadership.EndCause.FAULT:
            self._election.let_others_claim()
        if self.stopping:
            await self._election.resign(claim)

    async def _announce(
        self,
        leader: leader_module.Leader,
        claim: claim_module.Claim,
        previous: claim_module.Claim | None,
    ) -> None:
        await asyncio.gather(
            self._depose(leader, claim, previous),
            self._election.announce(claim),
        )

    async def _depose(
        self,
        leader: leader_module.Leader,
        claim: claim_module.Claim,
        previous: claim_module.Claim | None,
    ) -> None:
        if previous is None:
            return
        while not await self._election.announce_to(previous.address, claim):
            if not leader.awaits_workers:
                return
            await self._clock.sleep_ms(_ANNOUNCE_RETRY_MS)
        leader.note_previous_leader_gone()

    async def leave(self) -> None:
        """Remove this daemon from the list of members, before it stops."""
        await self._election.leave()

    async def _report_dropped_lines(self) -> None:
        while True:
            await self._clock.sleep_ms(_REPORT_INTERVAL_MS)
            metrics.DROPPED_LINES.inc(events.report_suppressed())

    async def _report_leaders(self) -> None:
        reported_ms = 0
        while True:
            await self._clock.sleep_ms(_REPORT_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            leaders = self._election.claim_rate.count(now_ms)
            metrics.LEADERS_LAST_MINUTE.set(leaders)
            if self._election.link is not None:
                # Another daemon leads and measures them.
                metrics.STALLED_JOBS.set(0)
                metrics.STALLED_SECONDS.set(0)
            if leaders <= _MAX_LEADERS_A_MINUTE:
                continue
            if now_ms - reported_ms < _UNSTABLE_REPORT_INTERVAL_MS:
                continue
            reported_ms = now_ms
            claim = self._election.newest_claim()
            events.emit(
                cell_events.LEADERS_UNSTABLE,
                leaders=leaders,
                node=claim.node if claim is not None else '',
                epoch=claim.epoch if claim is not None else 0,
            )

    def _on_configuration(
        self, index: configuration_index.ConfigurationIndex
    ) -> None:
        if self.leader is not None:
            self.leader.configure(index)

    def _on_link_open(self, link: link_module.Link) -> None:
        self._links.add(link)
        if self.leader is not None:
            self.leader.add_link(link)

    def _on_link_close(self, link: link_module.Link) -> None:
        self._links.discard(link)
        if self.leader is not None:
            self.leader.remove_link(link)

    def _close_replaced_links(self, link: link_module.Link) -> None:
        # A refusal over the newest link promises that copies on earlier ones
        # are not accepted, so nothing more may be read from them
        # (docs/decisions/refusals.md).
        for other in list(self._links):
            if (
                link.incarnation
                and other.incarnation == link.incarnation
                and other.number < link.number
            ):
                other.close()

    def _on_fault(self, error: Exception) -> None:
        self.failed.set()


def _make_copy(
    request: messages.Request, epoch: int, remaining_ms: int
) -> messages.Request:
    """Return a copy of a submission for one leader and the rest of the time.

    Only the leader with this epoch may accept it. Its wait ends before that of
    this daemon, so that it can still refuse the job.
    """
    if not isinstance(request, messages.Submit):
        return request
    timeout_ms = max(remaining_ms - _LEADER_MARGIN_MS, remaining_ms // 2)
    return msgspec.structs.replace(
        request,
        epoch=epoch,
        accept_timeout_ms=min(request.accept_timeout_ms, timeout_ms),
    )


def _is_write(request: messages.Request) -> bool:
    return isinstance(request, (messages.Submit, messages.Cancel))


def _is_retryable(reply: messages.Reply) -> bool:
    return (
        isinstance(reply, messages.Refused)
        and reply.kind == errors.NotReady.kind
    )


def _no_answer_error(sent: bool) -> errors.BasilspindleError:
    if sent:
        return errors.OutcomeUnknown(
            'a copy of the request that was not answered may still take '
            'effect; ask again',
            ran=errors.Ran.UNKNOWN,
            retry_after_ms=_RETRY_AFTER_MS,
        )
    return errors.NotReady(
        'no daemon leads the cell at the moment; try again later',
        ran=errors.Ran.NO,
        retry_after_ms=_RETRY_AFTER_MS,
    )
