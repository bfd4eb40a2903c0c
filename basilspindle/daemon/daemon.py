"""Create the components of a daemon, start them and shut them down."""

import asyncio
import collections.abc
import contextlib
import functools
import secrets
import typing

import basilspindle
from basilspindle import api
from basilspindle import clock as clock_module
from basilspindle import cluster
from basilspindle import config
from basilspindle import coordinator as coordinator_package
from basilspindle.daemon import api_server
from basilspindle.daemon import claim_finder
from basilspindle.daemon import components as components_module
from basilspindle.daemon import configuration_fetcher
from basilspindle.daemon import events as daemon_events
from basilspindle.daemon import gauges
from basilspindle.daemon import holder_directory
from basilspindle.daemon import live_timing
from basilspindle.daemon import overview
from basilspindle.daemon import owner_directory
from basilspindle.daemon import partition_host
from basilspindle.daemon import partition_inventories
from basilspindle.daemon import peer_handlers
from basilspindle.daemon import task_reporter
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

_TICK_INTERVAL_MS = 500
# Limits the backoff of task reports: until the owner has received the report
# of an end, it counts the capacity of the task as used.
_REPORT_RETRY_MAX_MS = 500
_INCARNATION_RANDOM_BYTES = 4
# Time for load balancers to notice that this daemon is not ready. During a
# shutdown, requests that arrive within this time are still served.
_READINESS_PROPAGATION_MS = 1_000


class Daemon:
    """A process that serves the API, owns partitions and leases workers."""

    def __init__(
        self,
        settings: settings_package.Settings,
        clock: clock_module.Clock | None = None,
    ) -> None:
        clock = clock or clock_module.Clock()
        self._components = components_module.Components(
            settings,
            clock,
            f'{clock.wall_ms():013d}-'
            f'{secrets.token_hex(_INCARNATION_RANDOM_BYTES)}',
        )
        self.overview = overview.Overview(self._components)
        self._stack = contextlib.AsyncExitStack()
        self._journal_count = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._fences = cluster.FenceTable()
        self._router: routing.Router | None = None

    async def __aenter__(self) -> typing.Self:
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            self._stack = stack.pop_all()
        self._tasks.append(asyncio.ensure_future(self._run()))
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()

    async def _start(self, stack: contextlib.AsyncExitStack) -> None:
        settings = self._components.settings
        clock = self._components.clock
        self._components.log = await stack.enter_async_context(
            journal_package.LogClient(settings.log_url, clock=clock)
        )
        self._components.client = await stack.enter_async_context(
            peer.PeerClient(clock, ssl=tls.client_context(settings.tls.peer))
        )
        source = await stack.enter_async_context(
            cluster.VmListClient(settings.vm_list_url, clock=clock)
        )
        self._components.vm_list = cluster.VmList(source, clock)
        self._configuration_fetcher = (
            configuration_fetcher.ConfigurationFetcher(self._components.client)
        )
        self._components.store = config.ConfigStore(
            clock,
            self._components.log,
            member_id=settings.member_id,
            peers=self._configuration_fetcher,
            bootstrap_operator_sha256=(
                settings.bootstrap_operator_sha256 or ''
            ),
        )
        self._timing = live_timing.LiveTiming(self._components.store)
        self._components.membership = cluster.Membership(
            clock,
            self._timing,
            self._components.client,
            self._components.vm_list,
            self.heartbeat,
            seeds=settings.peers,
            fences=self._fences,
        )
        self._configuration_fetcher.set_membership(self._components.membership)
        self._assignment = worker_assignment.WorkerAssignment(
            self._components.membership, self._components.vm_list
        )
        self._config_assurance = cluster.ConfigAssurance(
            self._components.membership
        )
        await self._serve_peers(stack)
        await self._components.vm_list.refresh()
        await stack.enter_async_context(self._components.vm_list)
        await stack.enter_async_context(self._components.store)
        await stack.enter_async_context(self._components.membership)
        await self._serve_api(stack)
        events.emit(
            daemon_events.STARTED,
            member_id=settings.member_id,
            incarnation=self._components.incarnation,
            api_address=settings.api_address,
            peer_address=settings.peer_address,
            version=basilspindle.__version__,
        )

    async def _serve_peers(self, stack: contextlib.AsyncExitStack) -> None:
        host, _, port = self._components.settings.peer_address.rpartition(':')
        self._server = await stack.enter_async_context(
            peer.PeerServer(
                {
                    messages.Heartbeat: self._components.membership.handle,
                    messages.GetConfiguration: self._handle_get_configuration,
                },
                ssl=tls.server_context(self._components.settings.tls.peer),
            )
        )
        await self._server.start(host.strip('[]'), int(port))

    async def _serve_api(self, stack: contextlib.AsyncExitStack) -> None:
        settings = self._components.settings
        metrics = api.Metrics()
        gauges.register(metrics, self._components)
        services = api.Services(
            clock=self._components.clock,
            store=self._components.store,
            router=_DeferredRouter(self),
            metrics=metrics,
            not_ready_reason=self.overview.not_ready_reason,
            list_members=self.overview.members,
            list_workers=self.overview.workers,
            dump_state=self.overview.dump,
            limits=settings.limits,
        )
        files = settings.tls.api
        await stack.enter_async_context(
            api_server.ApiServer(
                api.create_app(services),
                settings.api_address,
                self._components.store.timing.stop_ms,
                cert_file=files.cert_file if files else None,
                key_file=files.key_file if files else None,
            )
        )

    async def _run(self) -> None:
        """Wait for a configuration, start serving and run periodic updates."""
        await self._tick_until(self._has_configuration)
        await self._start_serving()
        await self._tick_until(lambda: False)

    def _has_configuration(self) -> bool:
        return self._components.store.version > 0

    async def _tick_until(
        self, done: collections.abc.Callable[[], bool]
    ) -> None:
        while not done():
            try:
                await self._tick()
            except Exception as error:
                events.emit(daemon_events.LOOP_FAILED, error=repr(error))
            await self._components.clock.sleep_ms(_TICK_INTERVAL_MS)

    async def _tick(self) -> None:
        at_ms = self._config_assurance.assured_at_ms(
            self._components.store.version
        )
        if at_ms is not None and self._components.store.version:
            self._components.store.note_peer_confirmation(at_ms)
        record = b''
        if self._is_configuration_outdated():
            record = await self._configuration_fetcher.fetch_configuration(
                self._components.store.version
            )
        if record:
            self._components.store.adopt_if_newer(record)
        if (
            self._components.fleet is not None
            and not self._components.stopping
        ):
            await self._components.fleet.assign(self._desired_workers())
            live = [
                member.member_id
                for member in self._components.membership.live()
            ]
            has_lowest_id = (
                min(live, default='') == self._components.settings.member_id
            )
            await self._components.store.refresh_if_due(has_lowest_id)

    def _is_configuration_outdated(self) -> bool:
        return any(
            member.config_version > self._components.store.version
            for member in self._components.membership.members()
        )

    async def _start_serving(self) -> None:
        """Create the components that need a configuration and start them.

        The fleet comes first, since the coordinator and the ownership use it.
        """
        document = self._components.store.current.document
        clock = self._components.clock
        timing = document.timing
        self._components.fleet = await self._stack.enter_async_context(
            self._create_fleet(timing)
        )
        holders = holder_directory.HolderDirectory(
            clock,
            self._components.membership,
            self._components.client,
            self._components.fleet,
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
            self._is_key_valid,
        )
        self._components.coordinator = await self._stack.enter_async_context(
            coordinator
        )
        self._components.fleet.on_capacity_freed = coordinator.wake
        self._components.membership.on_change(coordinator.wake)
        self._components.store.subscribe(self._set_workspaces)
        self._components.ownership = await self._create_ownership(document)
        handlers = peer_handlers.PeerHandlers(
            clock,
            self._components.membership,
            self._components.store,
            self._components.fleet,
            coordinator,
            self._components.ownership,
        )
        for request_type, handler in handlers.all_handlers().items():
            self._server.set_handler(request_type, handler)
        self._router = routing.Router(
            clock,
            owner_directory.OwnerDirectory(
                self._components.ownership,
                self._components.membership,
                document.partitions,
            ),
            self._components.client,
            handlers.owner_handlers(),
        )
        await self._stack.enter_async_context(self._components.ownership)
        events.emit(
            daemon_events.CONFIGURED, version=self._components.store.version
        )

    def _create_fleet(self, timing: config.Timing) -> fleet_package.Fleet:
        return fleet_package.Fleet(
            self._components.clock,
            self._components.holder_id,
            settings=fleet_package.FleetSettings(
                worker_lease_ms=timing.worker_lease_ms,
                worker_poll_ms=timing.worker_poll_ms,
                task_lease_ms=timing.task_lease_ms,
                silent_ms=timing.silent_ms,
                retry_max_ms=_REPORT_RETRY_MAX_MS,
            ),
            check_fence=self._fences.check,
            choose=policy.choose,
            report=task_reporter.TaskReporter(self._components).report,
            client_factory=lambda address: fleet_package.WorkerClient(
                address, self._components.clock, silent_ms=timing.silent_ms
            ),
        )

    async def _create_ownership(
        self, document: config.Document
    ) -> cluster.Ownership:
        inventories = partition_inventories.PartitionInventories(
            self._components.clock,
            self._timing,
            self._components.client,
            self._components.membership,
            self._components.vm_list,
            self._local_inventory,
        )
        host = await self._stack.enter_async_context(
            partition_host.PartitionHost(
                self._components.clock,
                self._components.coordinator,
                inventories,
            )
        )
        return cluster.Ownership(
            self._components.clock,
            self._timing,
            self._components.client,
            self._components.membership,
            self._components.vm_list,
            self._fences,
            host,
            self._open_journal,
            self._local_inventory,
            partitions=document.partitions,
            regions=document.regions,
            find_claim=claim_finder.ClaimFinder(self._components.log),
        )

    async def _local_inventory(
        self, request: messages.Inventory
    ) -> messages.Inventoried:
        handlers = peer_handlers.PeerHandlers(
            self._components.clock,
            self._components.membership,
            self._components.store,
            self._components.fleet,
            self._components.coordinator,
            self._components.ownership,
        )
        return await handlers.inventory(request)

    def _open_journal(
        self, partition: int
    ) -> journal_package.PartitionJournal:
        self._journal_count += 1
        timing = self._components.store.timing
        return journal_package.PartitionJournal(
            self._components.log,
            self._components.clock,
            partition,
            member_id=self._components.settings.member_id,
            writer=f'{self._components.incarnation}-{self._journal_count}',
            timing=journal_package.Timing(
                assurance_ms=timing.assurance_ms,
                linger_ms=timing.linger_ms,
                log_down_ms=timing.log_down_ms,
                log_retention_ms=timing.log_retention_ms,
                result_keep_ms=timing.result_keep_ms,
            ),
            on_late_confirmation=functools.partial(
                self._components.coordinator.apply_late_records, partition
            ),
            following=False,
        )

    def heartbeat(self) -> messages.Heartbeat:
        """Return the heartbeat of this daemon."""
        settings = self._components.settings
        ownership = self._components.ownership
        fleet = self._components.fleet
        coordinator = self._components.coordinator
        shares = (
            coordinator.waiting_shares() if coordinator else _NO_WAITING_SHARES
        )
        return messages.Heartbeat(
            member_id=settings.member_id,
            incarnation=self._components.incarnation,
            address=settings.public_peer_address,
            api_address=settings.public_api_address,
            failure_domain=settings.failure_domain,
            region=settings.region,
            leaving=self._components.stopping,
            sent_at_ms=self._components.clock.now_ms(),
            config_version=self._components.store.version,
            config_age_ms=self._components.config_age_ms(),
            log_age_ms=self._components.clock.now_ms()
            - self._components.log.last_answer_at_ms,
            claims=ownership.claims() if ownership else [],
            room=fleet.free_capacity() if fleet else messages.Room(),
            waiting_shares=shares,
        )

    async def _handle_get_configuration(
        self, request: messages.GetConfiguration
    ) -> messages.Configuration:
        return messages.Configuration(
            version=self._components.store.version,
            record=self._components.store.record_if_newer(
                request.above_version
            ),
        )

    def _may_start(self, partition: int, since_ms: int = 0) -> bool:
        return (
            self._components.ownership is not None
            and self._components.ownership.may_start(partition, since_ms)
        )

    def _is_key_valid(self, job: model.Job) -> bool:
        # A job without a key was submitted to an open queue.
        if not job.key_id:
            queue = self._components.store.current.document.queues.get(
                job.queue
            )
            return queue is not None and queue.open
        return self._components.store.key_belongs_to(job.key_id, job.workspace)

    def _set_workspaces(self, accepted: config.AcceptedConfiguration) -> None:
        self._components.coordinator.set_workspaces(
            {
                name: _workspace_policy(workspace)
                for name, workspace in accepted.document.workspaces.items()
            }
        )

    def _desired_workers(self) -> list[fleet_package.WorkerInfo]:
        return self._assignment.desired(self._components.drained())

    @property
    def router(self) -> routing.Router:
        """Return the router; raises ``NotReady`` until it has been created."""
        if self._router is None:
            raise errors.NotReady(
                'this daemon is not ready '
                f'({self.overview.not_ready_reason()}); '
                'use another daemon or retry later',
                retry_after_ms=_READINESS_PROPAGATION_MS,
            )
        return self._router

    async def run_until(self, stop: asyncio.Event) -> None:
        """Wait for ``stop``; re-raises the error if the daemon fails first."""
        stopped = asyncio.ensure_future(stop.wait())
        await asyncio.wait(
            {stopped, *self._tasks}, return_when=asyncio.FIRST_COMPLETED
        )
        stopped.cancel()
        for task in self._tasks:
            if task.done():
                task.result()

    async def stop(self) -> None:
        """Hand over all partitions and release all workers.

        Open requests are finished when the context of the daemon exits.
        """
        events.emit(daemon_events.STOPPING)
        self._components.stopping = True
        self._components.membership.send_now()
        await self._components.clock.sleep_ms(_READINESS_PROPAGATION_MS)
        if self._components.ownership is not None:
            if not await self._components.ownership.hand_over_all():
                events.emit(daemon_events.HANDOVER_LATE)
            await self._components.fleet.release_all()


class _DeferredRouter:
    """Forward calls to the router of a daemon once it has been created."""

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
        on_retry: collections.abc.Callable[[], None] | None = None,
        calls: routing.Calls | None = None,
    ) -> typing.Any:
        """Forward a request to the owner and return its reply."""
        return await self._daemon.router.call(
            request, timeout_ms, on_retry, calls
        )


# By priority class; -1.0 stands for a class in which no workspace waits.
_NO_WAITING_SHARES = [-1.0, -1.0, -1.0]


def _workspace_policy(workspace: config.Workspace) -> policy.WorkspacePolicy:
    limit = workspace.limit
    return policy.WorkspacePolicy(
        share=workspace.share,
        limit=model.Resources(
            _limit_or_unlimited(limit.cpu_millicores),
            _limit_or_unlimited(limit.memory_mb),
            _limit_or_unlimited(limit.accelerators),
            # The number of slots is not limited.
            -1,
        ),
        limit_tasks=_limit_or_unlimited(limit.tasks),
        max_queued_tasks=workspace.max_queued_tasks,
    )


def _limit_or_unlimited(value: int | None) -> int:
    return -1 if value is None else value
