"""Assemble a daemon, start it and stop it in order."""

import asyncio
import collections.abc
import contextlib
import secrets
import typing

import basilspindle
from basilspindle import api
from basilspindle import clock as clock_module
from basilspindle import cluster
from basilspindle import config
from basilspindle import coordinator as coordinator_package
from basilspindle.daemon import api_server
from basilspindle.daemon import events as daemon_events
from basilspindle.daemon import gauges
from basilspindle.daemon import holder_directory
from basilspindle.daemon import live_timing
from basilspindle.daemon import overview
from basilspindle.daemon import owner_directory
from basilspindle.daemon import partition_host
from basilspindle.daemon import parts as parts_module
from basilspindle.daemon import peer_handlers
from basilspindle.daemon import peers_with_configuration
from basilspindle.daemon import reports
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
# A report that found no owner is repeated soon, since the tasks of the
# workspace wait for the capacity that the owner still counts.
_RETRY_MAX_MS = 500
_RANDOM_BYTES = 4
# Requests that arrive while the balancer has not yet seen that this daemon
# is not ready are still served.
_UNREADY_MS = 1_000


class Daemon:
    """One process: entry for callers, owner of workspaces, holder."""

    def __init__(
        self,
        settings: settings_package.Settings,
        clock: clock_module.Clock | None = None,
    ) -> None:
        clock = clock or clock_module.Clock()
        self._parts = parts_module.Parts(
            settings,
            clock,
            f'{clock.wall_ms():013d}-{secrets.token_hex(_RANDOM_BYTES)}',
        )
        self.overview = overview.Overview(self._parts)
        self._stack = contextlib.AsyncExitStack()
        self._journals = 0
        self._loops: list[asyncio.Task[None]] = []
        self._fences = cluster.FenceTable()
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
        settings = self._parts.settings
        clock = self._parts.clock
        self._parts.log = await stack.enter_async_context(
            journal_package.LogClient(settings.log_url, clock=clock)
        )
        self._parts.client = await stack.enter_async_context(
            peer.PeerClient(clock, ssl=tls.call(settings.tls.peer))
        )
        source = await stack.enter_async_context(
            cluster.VmListClient(settings.vm_list_url, clock=clock)
        )
        self._parts.vm_list = cluster.VmList(source, clock)
        self._peers = peers_with_configuration.PeersWithConfiguration(
            self._parts.client
        )
        self._parts.store = config.ConfigStore(
            clock,
            self._parts.log,
            member_id=settings.member_id,
            peers=self._peers,
            bootstrap_operator_sha256=(
                settings.bootstrap_operator_sha256 or ''
            ),
        )
        self._timing = live_timing.LiveTiming(self._parts.store)
        self._parts.membership = cluster.Membership(
            clock,
            self._timing,
            self._parts.client,
            self._parts.vm_list,
            self.heartbeat,
            seeds=settings.peers,
            fences=self._fences,
        )
        self._peers.join(self._parts.membership)
        self._assignment = worker_assignment.WorkerAssignment(
            self._parts.membership, self._parts.vm_list
        )
        self._assurance = cluster.ConfigAssurance(self._parts.membership)
        await self._serve_peers(stack)
        await self._parts.vm_list.refresh()
        await stack.enter_async_context(self._parts.vm_list)
        await stack.enter_async_context(self._parts.store)
        await stack.enter_async_context(self._parts.membership)
        await self._serve_api(stack)
        events.emit(
            daemon_events.STARTED,
            member_id=settings.member_id,
            incarnation=self._parts.incarnation,
            api_address=settings.api_address,
            peer_address=settings.peer_address,
            version=basilspindle.__version__,
        )

    async def _serve_peers(self, stack: contextlib.AsyncExitStack) -> None:
        host, _, port = self._parts.settings.peer_address.rpartition(':')
        self._server = await stack.enter_async_context(
            peer.PeerServer(
                {
                    messages.Heartbeat: self._parts.membership.handle,
                    messages.GetConfiguration: self._give_configuration,
                },
                ssl=tls.serve(self._parts.settings.tls.peer),
            )
        )
        await self._server.start(host.strip('[]'), int(port))

    async def _serve_api(self, stack: contextlib.AsyncExitStack) -> None:
        settings = self._parts.settings
        metrics = api.Metrics()
        gauges.add(metrics, self._parts)
        services = api.Services(
            clock=self._parts.clock,
            store=self._parts.store,
            router=_LateRouter(self),
            metrics=metrics,
            ready=self.overview.unready,
            members=self.overview.members,
            workers=self.overview.workers,
            dump=self.overview.dump,
            limits=settings.limits,
        )
        files = settings.tls.api
        await stack.enter_async_context(
            api_server.ApiServer(
                api.make(services),
                settings.api_address,
                self._parts.store.timing.stop_ms,
                cert_file=files.cert_file if files else None,
                key_file=files.key_file if files else None,
            )
        )

    # Start

    async def _run(self) -> None:
        """Wait for a configuration, take part, and keep things current."""
        await self._repeat_until(self._configured)
        await self._take_part()
        await self._repeat_until(lambda: False)

    def _configured(self) -> bool:
        return self._parts.store.version > 0

    async def _repeat_until(
        self, done: collections.abc.Callable[[], bool]
    ) -> None:
        while not done():
            try:
                await self._tick()
            except Exception as error:
                events.emit(daemon_events.LOOP_FAILED, error=repr(error))
            await self._parts.clock.sleep_ms(_TICK_MS)

    async def _tick(self) -> None:
        at_ms = self._assurance.assured_at_ms(self._parts.store.version)
        if at_ms is not None and self._parts.store.version:
            self._parts.store.note_peer_confirmation(at_ms)
        record = b''
        if self._behind():
            record = await self._peers.fetch_configuration(
                self._parts.store.version
            )
        if record:
            self._parts.store.adopt_if_newer(record)
        if self._parts.fleet is not None and not self._parts.stopping:
            await self._parts.fleet.assign(self._desired())
            live = [
                member.member_id for member in self._parts.membership.live()
            ]
            lowest = min(live, default='') == self._parts.settings.member_id
            await self._parts.store.refresh_if_due(lowest)

    def _behind(self) -> bool:
        return any(
            member.config_version > self._parts.store.version
            for member in self._parts.membership.members()
        )

    async def _take_part(self) -> None:
        """Build what needs a configuration, from holder to owner."""
        document = self._parts.store.current.document
        clock = self._parts.clock
        timing = document.timing
        self._parts.fleet = await self._stack.enter_async_context(
            self._make_fleet(timing)
        )
        holders = holder_directory.HolderDirectory(
            clock,
            self._parts.membership,
            self._parts.client,
            self._parts.fleet,
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
        self._parts.coordinator = await self._stack.enter_async_context(
            coordinator
        )
        self._parts.fleet.on_capacity_freed = coordinator.wake
        self._parts.membership.on_change(coordinator.wake)
        self._parts.store.subscribe(self._set_workspaces)
        self._parts.ownership = await self._make_ownership(document)
        handlers = peer_handlers.PeerHandlers(
            clock,
            self._parts.membership,
            self._parts.store,
            self._parts.fleet,
            coordinator,
            self._parts.ownership,
        )
        for request_type, handler in handlers.table().items():
            self._server.handle(request_type, handler)
        self._router = routing.Router(
            clock,
            owner_directory.OwnerDirectory(
                self._parts.ownership,
                self._parts.membership,
                document.partitions,
            ),
            self._parts.client,
            handlers.owner_table(),
        )
        await self._stack.enter_async_context(self._parts.ownership)
        events.emit(
            daemon_events.CONFIGURED, version=self._parts.store.version
        )

    def _make_fleet(self, timing: config.Timing) -> fleet_package.Fleet:
        return fleet_package.Fleet(
            self._parts.clock,
            self._parts.holder_id,
            settings=fleet_package.FleetSettings(
                worker_lease_ms=timing.worker_lease_ms,
                worker_poll_ms=timing.worker_poll_ms,
                task_lease_ms=timing.task_lease_ms,
                silent_ms=timing.silent_ms,
                retry_max_ms=_RETRY_MAX_MS,
            ),
            check_fence=self._fences.check,
            choose=policy.choose,
            report=reports.Reports(self._parts).report,
            client_factory=lambda address: fleet_package.WorkerClient(
                address, self._parts.clock, silent_ms=timing.silent_ms
            ),
        )

    async def _make_ownership(
        self, document: config.Document
    ) -> cluster.Ownership:
        inquiry = survey.Survey(
            self._parts.clock,
            self._timing,
            self._parts.client,
            self._parts.membership,
            self._parts.vm_list,
            self._inventory,
        )
        host = await self._stack.enter_async_context(
            partition_host.PartitionHost(
                self._parts.clock, self._parts.coordinator, inquiry
            )
        )
        return cluster.Ownership(
            self._parts.clock,
            self._timing,
            self._parts.client,
            self._parts.membership,
            self._parts.vm_list,
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
            self._parts.clock,
            self._parts.membership,
            self._parts.store,
            self._parts.fleet,
            self._parts.coordinator,
            self._parts.ownership,
        )
        return await handlers.inventory(request)

    def _open_journal(
        self, partition: int
    ) -> journal_package.PartitionJournal:
        self._journals += 1
        timing = self._parts.store.timing
        return journal_package.PartitionJournal(
            self._parts.log,
            self._parts.clock,
            partition,
            member_id=self._parts.settings.member_id,
            writer=f'{self._parts.incarnation}-{self._journals}',
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
        settings = self._parts.settings
        ownership = self._parts.ownership
        fleet = self._parts.fleet
        coordinator = self._parts.coordinator
        shares = coordinator.waiting_shares() if coordinator else _NO_SHARES
        return messages.Heartbeat(
            member_id=settings.member_id,
            incarnation=self._parts.incarnation,
            address=settings.public_peer_address,
            api_address=settings.public_api_address,
            failure_domain=settings.failure_domain,
            region=settings.region,
            leaving=self._parts.stopping,
            sent_at_ms=self._parts.clock.now_ms(),
            config_version=self._parts.store.version,
            config_age_ms=self._parts.config_age_ms(),
            log_age_ms=self._parts.clock.now_ms()
            - self._parts.log.last_answer_at_ms,
            claims=ownership.claims() if ownership else [],
            room=fleet.free_capacity() if fleet else messages.Room(),
            waiting_shares=shares,
        )

    async def _give_configuration(
        self, request: messages.GetConfiguration
    ) -> messages.Configuration:
        return messages.Configuration(
            version=self._parts.store.version,
            record=self._parts.store.record_if_newer(request.above_version),
        )

    def _may_start(self, partition: int) -> bool:
        return (
            self._parts.ownership is not None
            and self._parts.ownership.may_start(partition)
        )

    def _key_valid(self, job: model.Job) -> bool:
        if not job.key_id:
            queue = self._parts.store.current.document.queues.get(job.queue)
            return queue is not None and queue.open
        return self._parts.store.key_belongs_to(job.key_id, job.workspace)

    def _set_workspaces(self, accepted: config.AcceptedConfiguration) -> None:
        self._parts.coordinator.set_workspaces(
            {
                name: _workspace_policy(workspace)
                for name, workspace in accepted.document.workspaces.items()
            }
        )

    def _desired(self) -> list[fleet_package.WorkerInfo]:
        return self._assignment.desired(self._parts.drained())

    # Operators

    @property
    def router(self) -> routing.Router:
        """Return the router; raises ``NotReady`` before there is one."""
        if self._router is None:
            raise errors.NotReady(
                f'this daemon does not serve yet ({self.overview.unready()}); '
                'try another daemon or later',
                retry_after_ms=_UNREADY_MS,
            )
        return self._router

    # Stop

    async def run_until(self, stop: asyncio.Event) -> None:
        """Wait for a stop; raises what ended the daemon before it."""
        stopped = asyncio.ensure_future(stop.wait())
        await asyncio.wait(
            {stopped, *self._loops}, return_when=asyncio.FIRST_COMPLETED
        )
        stopped.cancel()
        for task in self._loops:
            if task.done():
                task.result()

    async def stop(self) -> None:
        """Hand everything over; what is in flight is answered on leaving."""
        events.emit(daemon_events.STOPPING)
        self._parts.stopping = True
        self._parts.membership.send_now()
        await self._parts.clock.sleep_ms(_UNREADY_MS)
        if self._parts.ownership is not None:
            if not await self._parts.ownership.hand_over_all():
                events.emit(daemon_events.HANDOVER_LATE)
            await self._parts.fleet.release_all()


class _LateRouter:
    """Pass calls to the router once there is one."""

    __slots__ = ('_daemon',)

    def __init__(self, daemon: Daemon) -> None:
        self._daemon = daemon

    def partition_of(self, workspace: str) -> int:
        """Return the partition of a workspace."""
        return self._daemon.router.partition_of(workspace)

    async def call(
        self,
        request: typing.Any,
        timeout_ms: int,
        on_repeat: collections.abc.Callable[[], None] | None = None,
    ) -> typing.Any:
        """Return the owner's reply."""
        return await self._daemon.router.call(request, timeout_ms, on_repeat)


_NO_SHARES = [-1.0, -1.0, -1.0]


def _workspace_policy(workspace: config.Workspace) -> policy.WorkspacePolicy:
    limit = workspace.limit
    return policy.WorkspacePolicy(
        share=workspace.share,
        limit=model.Resources(
            _bound(limit.cpu_millicores),
            _bound(limit.memory_mb),
            _bound(limit.accelerators),
            -1,
        ),
        limit_tasks=_bound(limit.tasks),
        max_queued_tasks=workspace.max_queued_tasks,
    )


def _bound(value: int | None) -> int:
    return -1 if value is None else value
