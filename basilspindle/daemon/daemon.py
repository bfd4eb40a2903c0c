"""Assemble a daemon, start it and stop it in order."""

import asyncio
import collections.abc
import contextlib
import secrets
import typing

import msgspec

import basilspindle
from basilspindle import api
from basilspindle import clock as clock_module
from basilspindle import cluster
from basilspindle import config
from basilspindle import coordinator as coordinator_package
from basilspindle.daemon import api_server
from basilspindle.daemon import events as daemon_events
from basilspindle.daemon import holder_directory
from basilspindle.daemon import live_timing
from basilspindle.daemon import owner_directory
from basilspindle.daemon import partition_host
from basilspindle.daemon import peer_handlers
from basilspindle.daemon import peers_with_configuration
from basilspindle.daemon import survey
from basilspindle.daemon import tls
from basilspindle.daemon import worker_assignment
from basilspindle import errors
from basilspindle import events
from basilspindle import fleet as fleet_package
from basilspindle import journal as journal_package
from basilspindle import model
from basilspindle import peer
from basilspindle.peer import messages
from basilspindle import policy
from basilspindle import routing
from basilspindle import settings as settings_package

_TICK_MS = 500
_REPORT_MS = 3_000
# A report that found no owner is repeated soon, since the tasks of the
# team wait for the capacity that the owner still counts.
_RETRY_MAX_MS = 500
_RANDOM_BYTES = 4
# Requests that arrive while the balancer has not yet seen that this daemon
# is not ready are still served.
_UNREADY_MS = 1_000


class Daemon:
    """One process: entry for callers, owner of teams, holder of workers."""

    def __init__(
        self,
        settings: settings_package.Settings,
        clock: clock_module.Clock | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock or clock_module.Clock()
        self._incarnation = (
            f'{self._clock.wall_ms():013d}-{secrets.token_hex(_RANDOM_BYTES)}'
        )
        self._stack = contextlib.AsyncExitStack()
        self._stopping = False
        self._journals = 0
        self._loops: list[asyncio.Task[None]] = []
        self._fences = cluster.FenceTable()
        self._fleet: fleet_package.Fleet | None = None
        self._coordinator: coordinator_package.Coordinator | None = None
        self._ownership: cluster.Ownership | None = None
        self._router: routing.Router | None = None

    async def __aenter__(self) -> typing.Self:
        async with contextlib.AsyncExitStack() as stack:
            await self._open(stack)
            self._stack = stack.pop_all()
        self._loops.append(asyncio.ensure_future(self._run()))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._loops:
            task.cancel()
        await asyncio.gather(*self._loops, return_exceptions=True)
        await self._stack.aclose()

    async def _open(self, stack: contextlib.AsyncExitStack) -> None:
        settings = self._settings
        clock = self._clock
        self._log = await stack.enter_async_context(
            journal_package.LogClient(settings.log_url, clock=clock)
        )
        self._client = await stack.enter_async_context(
            peer.PeerClient(clock, ssl=tls.call(settings.tls.peer))
        )
        source = await stack.enter_async_context(
            cluster.VmListClient(settings.vm_list_url, clock=clock)
        )
        self._vm_list = cluster.VmList(source, clock)
        self._peers = peers_with_configuration.PeersWithConfiguration(
            self._client
        )
        self._store = config.ConfigStore(
            clock,
            self._log,
            member_id=settings.member_id,
            peers=self._peers,
            bootstrap_operator_sha256=(
                settings.bootstrap_operator_sha256 or ''
            ),
        )
        self._timing = live_timing.LiveTiming(self._store)
        self._membership = cluster.Membership(
            clock,
            self._timing,
            self._client,
            self._vm_list,
            self.heartbeat,
            seeds=settings.peers,
            fences=self._fences,
        )
        self._peers.join(self._membership)
        self._assignment = worker_assignment.WorkerAssignment(
            self._membership, self._vm_list
        )
        self._assurance = cluster.ConfigAssurance(self._membership)
        await self._serve_peers(stack)
        await self._vm_list.refresh()
        await stack.enter_async_context(self._vm_list)
        await stack.enter_async_context(self._store)
        await stack.enter_async_context(self._membership)
        await self._serve_api(stack)
        events.emit(
            daemon_events.STARTED,
            member_id=settings.member_id,
            incarnation=self._incarnation,
            api_address=settings.api_address,
            peer_address=settings.peer_address,
            version=basilspindle.__version__,
        )

    async def _serve_peers(self, stack: contextlib.AsyncExitStack) -> None:
        host, _, port = self._settings.peer_address.rpartition(':')
        self._server = await stack.enter_async_context(
            peer.PeerServer(
                {
                    messages.Heartbeat: self._membership.handle,
                    messages.GetConfiguration: self._give_configuration,
                },
                ssl=tls.serve(self._settings.tls.peer),
            )
        )
        await self._server.start(host.strip('[]'), int(port))

    async def _serve_api(self, stack: contextlib.AsyncExitStack) -> None:
        settings = self._settings
        metrics = api.Metrics()
        self._add_gauges(metrics)
        services = api.Services(
            clock=self._clock,
            store=self._store,
            router=_LateRouter(self),
            metrics=metrics,
            ready=self.why_unready,
            members=self._members,
            workers=self._workers,
            dump=self.dump,
            limits=settings.limits,
        )
        files = settings.tls.api
        await stack.enter_async_context(
            api_server.ApiServer(
                api.make(services),
                settings.api_address,
                self._store.timing.stop_ms,
                cert_file=files.cert_file if files else None,
                key_file=files.key_file if files else None,
            )
        )

    def _add_gauges(self, metrics: api.Metrics) -> None:
        metrics.gauge('log_down', '1 while the log is silent.', self._is_down)
        metrics.gauge(
            'config_version',
            'Version of the configuration in force.',
            lambda: self._store.version,
        )
        metrics.gauge(
            'config_age_ms',
            'Age of the assurance of the configuration; -1 is never.',
            self._config_age_ms,
        )
        metrics.gauge(
            'members_live',
            'Daemons that answer, this one included.',
            lambda: len(self._membership.live()),
        )
        metrics.gauge(
            'partitions_owned',
            'Partitions that this daemon owns.',
            lambda: len(self._ownership.claims()) if self._ownership else 0,
        )
        metrics.gauge(
            'workers_held',
            'Workers that this daemon holds and that take work.',
            lambda: self._fleet.room().workers if self._fleet else 0,
        )
        metrics.gauge(
            'tasks_waiting',
            'Tasks that wait in the queues of this daemon.',
            lambda: self._coordinator.waiting() if self._coordinator else 0,
        )

    def _is_down(self) -> float:
        return 1.0 if self._log.is_down else 0.0

    # Start

    async def _run(self) -> None:
        """Wait for a configuration, take part, and keep things current."""
        await self._repeat_until(self._configured)
        await self._take_part()
        await self._repeat_until(lambda: False)

    def _configured(self) -> bool:
        return self._store.version > 0

    async def _repeat_until(
        self, done: collections.abc.Callable[[], bool]
    ) -> None:
        while not done():
            try:
                await self._tick()
            except Exception as error:
                events.emit(daemon_events.LOOP_FAILED, error=repr(error))
            await self._clock.sleep_ms(_TICK_MS)

    async def _tick(self) -> None:
        at_ms = self._assurance.at_ms(self._store.version)
        if at_ms is not None and self._store.version:
            self._store.note_peer_assurance(at_ms)
        record = b''
        if self._behind():
            record = await self._peers.fetch_configuration(self._store.version)
        if record:
            self._store.offer(record)
        if self._fleet is not None and not self._stopping:
            await self._fleet.assign(self._desired())
            live = [member.member_id for member in self._membership.live()]
            lowest = min(live, default='') == self._settings.member_id
            await self._store.maybe_refresh(lowest)

    def _behind(self) -> bool:
        return any(
            member.heartbeat_version > self._store.version
            for member in self._membership.members()
        )

    async def _take_part(self) -> None:
        """Build what needs a configuration, from holder to owner."""
        document = self._store.current.document
        clock = self._clock
        timing = document.timing
        self._fleet = await self._stack.enter_async_context(
            self._make_fleet(timing)
        )
        holders = holder_directory.HolderDirectory(
            clock, self._membership, self._client, self._fleet
        )
        coordinator = coordinator_package.Coordinator(
            clock,
            holders,
            coordinator_package.Timing(
                worker_lease_ms=timing.worker_lease_ms,
                task_lease_ms=timing.task_lease_ms,
                hold_ms=timing.hold_ms,
                place_max_age_ms=peer_handlers.PLACE_MAX_AGE_MS,
                result_keep_ms=timing.result_keep_ms,
            ),
            self._may_start,
            self._key_valid,
        )
        self._coordinator = await self._stack.enter_async_context(coordinator)
        self._fleet.on_room = coordinator.wake
        self._membership.on_change(coordinator.wake)
        self._store.subscribe(self._set_teams)
        self._ownership = self._make_ownership(document)
        handlers = peer_handlers.PeerHandlers(
            clock,
            self._membership,
            self._store,
            self._fleet,
            coordinator,
            self._ownership,
        )
        for request_type, handler in handlers.table().items():
            self._server.handle(request_type, handler)
        self._router = routing.Router(
            clock,
            owner_directory.OwnerDirectory(
                self._ownership, self._membership, document.partitions
            ),
            self._client,
            handlers.owner_table(),
        )
        await self._stack.enter_async_context(self._ownership)
        events.emit(daemon_events.CONFIGURED, version=self._store.version)

    def _make_fleet(self, timing: config.Timing) -> fleet_package.Fleet:
        return fleet_package.Fleet(
            self._clock,
            f'{self._settings.member_id}@{self._incarnation}',
            settings=fleet_package.FleetSettings(
                worker_lease_ms=timing.worker_lease_ms,
                worker_poll_ms=timing.worker_poll_ms,
                task_lease_ms=timing.task_lease_ms,
                silent_ms=timing.silent_ms,
                retry_max_ms=_RETRY_MAX_MS,
            ),
            check_fence=self._fences.check,
            choose=policy.choose,
            report=self._report,
            client_factory=lambda address: fleet_package.WorkerClient(
                address, self._clock, silent_ms=timing.silent_ms
            ),
        )

    def _make_ownership(self, document: config.Document) -> cluster.Ownership:
        inquiry = survey.Survey(
            self._clock,
            self._timing,
            self._client,
            self._membership,
            self._vm_list,
            self._inventory,
        )
        host = partition_host.PartitionHost(
            self._clock, self._coordinator, inquiry
        )
        return cluster.Ownership(
            self._clock,
            self._timing,
            self._client,
            self._membership,
            self._vm_list,
            self._fences,
            host,
            self._open_journal,
            self._inventory,
            partitions=document.partitions,
            regions=document.regions,
        )

    async def _inventory(
        self, request: messages.Inventory
    ) -> messages.Inventoried:
        handlers = peer_handlers.PeerHandlers(
            self._clock,
            self._membership,
            self._store,
            self._fleet,
            self._coordinator,
            self._ownership,
        )
        return await handlers.inventory(request)

    def _open_journal(
        self, partition: int
    ) -> journal_package.PartitionJournal:
        self._journals += 1
        timing = self._store.timing
        return journal_package.PartitionJournal(
            self._log,
            self._clock,
            partition,
            member_id=self._settings.member_id,
            writer=f'{self._incarnation}-{self._journals}',
            timing=journal_package.Timing(
                assurance_ms=timing.assurance_ms,
                linger_ms=timing.linger_ms,
                log_down_ms=timing.log_down_ms,
                log_retention_ms=timing.log_retention_ms,
                result_keep_ms=timing.result_keep_ms,
            ),
            following=False,
        )

    # What the parts ask of the daemon

    def heartbeat(self) -> messages.Heartbeat:
        """Return what this daemon says of itself."""
        settings = self._settings
        ownership = self._ownership
        fleet = self._fleet
        coordinator = self._coordinator
        shares = coordinator.waiting_shares() if coordinator else _NO_SHARES
        return messages.Heartbeat(
            member_id=settings.member_id,
            incarnation=self._incarnation,
            address=settings.public_peer_address,
            api_address=settings.public_api_address,
            failure_domain=settings.failure_domain,
            region=settings.region,
            leaving=self._stopping,
            sent_at_ms=self._clock.now_ms(),
            config_version=self._store.version,
            config_age_ms=self._config_age_ms(),
            log_age_ms=self._clock.now_ms() - self._log.answered_ms,
            claims=ownership.claims() if ownership else [],
            room=fleet.room() if fleet else messages.Room(),
            waiting_shares=shares,
        )

    def _config_age_ms(self) -> int:
        at_ms = self._store.assured_at_ms
        return -1 if at_ms is None else self._clock.now_ms() - at_ms

    async def _give_configuration(
        self, request: messages.GetConfiguration
    ) -> messages.Configuration:
        return messages.Configuration(
            version=self._store.version,
            record=self._store.record_for(request.above_version),
        )

    def _may_start(self, partition: int) -> bool:
        return self._ownership is not None and self._ownership.may_start(
            partition
        )

    def _key_valid(self, job: model.Job) -> bool:
        if not job.key_id:
            queue = self._store.current.document.queues.get(job.queue)
            return queue is not None and queue.open
        return self._store.honours(job.key_id, job.team)

    def _set_teams(self, accepted: config.Accepted) -> None:
        self._coordinator.set_teams(
            {
                name: _team_policy(team)
                for name, team in accepted.document.teams.items()
            }
        )

    def _desired(self) -> list[fleet_package.WorkerInfo]:
        return self._assignment.desired(self._drained())

    def _drained(self) -> frozenset[str]:
        if not self._store.version:
            return frozenset()
        return frozenset(self._store.current.document.workers.drained)

    async def _report(
        self,
        partition: int,
        ends: list[model.TaskEnd],
        found: list[model.RunningTask],
    ) -> bool:
        request = messages.Report(
            holder_id=f'{self._settings.member_id}@{self._incarnation}',
            partition=partition,
            ends=ends,
            found=found,
        )
        try:
            await self._send_report(request)
        except errors.BasilspindleError:
            return False
        return True

    async def _send_report(self, request: messages.Report) -> None:
        owner = self._ownership and self._ownership.owner_of(request.partition)
        if owner is None:
            raise errors.NotOwner('no owner is known; report again')
        if owner is self._membership.own:
            await self._coordinator.report(request)
        else:
            await self._client.call(owner.address, request, _REPORT_MS)

    # Operators

    @property
    def router(self) -> routing.Router:
        """Return the router; raises ``NotReady`` before there is one."""
        if self._router is None:
            raise errors.NotReady(
                f'this daemon does not serve yet: {self.why_unready()}; try '
                'another daemon or later',
                retry_after_ms=_UNREADY_MS,
            )
        return self._router

    def why_unready(self) -> str:
        """Return why callers should not be sent here, '' if they should."""
        if self._stopping:
            return 'stopping'
        if not self._store.version:
            return 'no configuration'
        if self._router is None:
            return 'starting'
        try:
            self._store.check_assured()
        except errors.BasilspindleError as error:
            return error.kind
        return ''

    def _members(self) -> list[api.MemberBody]:
        now_ms = self._clock.now_ms()
        own = self._membership.own
        bodies = []
        for member in [own, *self._membership.members()]:
            heartbeat = member.heartbeat
            age_ms = heartbeat.config_age_ms if heartbeat else -1
            if member is own:
                age_ms = self._config_age_ms()
            elif age_ms >= 0 and member.heard_ms is not None:
                age_ms += now_ms - member.heard_ms
            version = member.heartbeat_version
            bodies.append(
                api.MemberBody(
                    member_id=member.member_id,
                    state=member.state.value,
                    version=self._store.version if member is own else version,
                    age_ms=age_ms,
                    failure_domain=member.failure_domain,
                    region=member.region,
                )
            )
        return sorted(bodies, key=lambda body: body.member_id)

    def _workers(self) -> list[api.WorkerBody]:
        drained = self._drained()
        held = set()
        if self._fleet is not None:
            held = {
                status.info.worker_id
                for status in self._fleet.workers()
                if status.ready
            }
        return [
            api.WorkerBody(
                worker_id=vm.id,
                address=vm.address,
                failure_domain=vm.failure_domain,
                rack=vm.rack,
                state=vm.state.value,
                drained=vm.id in drained,
                held=vm.id in held,
            )
            for vm in sorted(self._vm_list.workers(), key=lambda vm: vm.id)
        ]

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of the whole process."""
        state: dict[str, typing.Any] = {
            'member_id': self._settings.member_id,
            'incarnation': self._incarnation,
            'version': basilspindle.__version__,
            'unready': self.why_unready(),
            'log_down': self._log.is_down,
            'configuration': self._store.dump(),
            'members': msgspec.to_builtins(self._members()),
        }
        if self._ownership is not None:
            state['ownership'] = self._ownership.dump()
            state['coordinator'] = self._coordinator.dump()
            state['fleet'] = self._fleet.dump()
        return state

    # Stop

    async def stop(self) -> None:
        """Hand everything over; what is in flight is answered on leaving."""
        events.emit(daemon_events.STOPPING)
        self._stopping = True
        self._membership.hurry()
        await self._clock.sleep_ms(_UNREADY_MS)
        if self._ownership is not None:
            if not await self._ownership.hand_over_all():
                events.emit(daemon_events.HANDOVER_LATE)
            await self._fleet.release_all()


class _LateRouter:
    """Pass calls to the router once there is one."""

    __slots__ = ('_daemon',)

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon

    def partition_of(self, team: str) -> int:
        """Return the partition of a team."""
        return self._daemon.router.partition_of(team)

    async def call(
        self,
        request: typing.Any,
        timeout_ms: int,
        on_repeat: collections.abc.Callable[[], None] | None = None,
    ) -> typing.Any:
        """Return the owner's reply."""
        return await self._daemon.router.call(request, timeout_ms, on_repeat)


_NO_SHARES = [-1.0, -1.0, -1.0]


def _team_policy(team: config.Team) -> policy.TeamPolicy:
    limit = team.limit
    return policy.TeamPolicy(
        share=team.share,
        limit=model.Resources(
            _bound(limit.cpu_millicores),
            _bound(limit.memory_mb),
            _bound(limit.accelerators),
            -1,
        ),
        limit_tasks=_bound(limit.tasks),
        max_queued_tasks=team.max_queued_tasks,
    )


def _bound(value: int | None) -> int:
    return -1 if value is None else value
