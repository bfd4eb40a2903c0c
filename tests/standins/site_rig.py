"""Run whole daemons and their workers in one process.

Time, the network, the log and the VM list are simulated. A cut takes daemons
and workers together, with or without the log, and a daemon can stand still.
"""

import asyncio
import collections.abc

import httpx
import msgspec

from basilspindle import cluster
from basilspindle import coordinator
from basilspindle.daemon import holder_directory
from basilspindle.daemon import owner_directory
from basilspindle.daemon import partition_host
from basilspindle.daemon import partition_inventories
from basilspindle.daemon import peer_handlers
from basilspindle.daemon import worker_assignment
from basilspindle import errors
from basilspindle import fleet
from basilspindle import journal
from basilspindle import model
from basilspindle.peer import messages
from basilspindle import policy
from basilspindle import routing
from tests.standins import cluster_rig
from tests.standins import fleet_record
from tests.standins import memory_log
from tests.standins import peer_network
from tests.standins import worker as worker_module

TASK_RESOURCES = model.Resources(1_000, 1_000, 0, 1)
_CAPACITY = model.Resources(4_000, 8_000, 0, 4)
_WORKSPACE = 'red'
_TICK_MS = 500
_CALL_MS = 4_000


class _Entry(msgspec.Struct):
    """Records of one append; ``epoch`` is 0 for a claim."""

    member_id: str
    epoch: int
    records: list[journal.Record]

    @property
    def is_claim(self) -> bool:
        return isinstance(self.records[0], journal.Claim)

    def apply_to(self, state: journal.PartitionState, offset: int) -> bool:
        """Apply the records; returns whether they took effect."""
        batch = journal.Batch(
            f'{self.member_id}-{offset}', 1, self.epoch, 0, self.records
        )
        return state.apply(offset, journal.decode(journal.encode(batch)))


class _Journal(memory_log.MemoryJournal):
    """Journal that keeps all records.

    An answer of the log tells of the time at which the log was read, also if
    its reader stood still meanwhile.
    """

    __slots__ = ('_applied', '_effective', '_rig')

    def __init__(self, rig: 'SiteRig', daemon: 'SiteDaemon', partition: int):
        super().__init__(
            daemon.log,
            daemon.clock,
            daemon.member_id,
            partition,
            rig.timing.assurance_ms,
        )
        self._rig = rig
        self._applied = 0
        # Offsets of the own appends that took effect.
        self._effective: set[int] = set()
        self.state = journal.PartitionState()

    async def append(self, *records, timeout_ms=0) -> None:
        """Append records; raises as ``PartitionJournal`` does."""
        if not self.is_owner:
            raise errors.NotOwner('not the owner; try the owner')
        epoch = self.epoch
        offset = await self._append_records(epoch, list(records))
        await self._read()
        if self.latest_epoch != epoch and offset not in self._effective:
            # A record before the later claim is confirmed.
            raise errors.Deposed('a later claim; try its owner')

    async def claim(self) -> int:
        claim = journal.Claim(self._member_id, self._member_id)
        offset = await self._append_records(0, [claim])
        self.epoch = offset
        await self._read()
        if self.latest_epoch != offset:
            raise errors.Deposed('a later claim; try its owner')
        return offset

    async def release(self) -> None:
        await self._append_records(self.epoch, [journal.Release()])
        self.epoch = 0

    async def _append_records(self, epoch, records) -> int:
        entry = _Entry(self._member_id, epoch, records)
        offset = await self._append(entry)
        self._rig.note_append(self._partition, entry)
        return offset

    async def _read(self) -> None:
        sent_ms = self._clock.now_ms()
        work = asyncio.ensure_future(self._ask())
        try:
            entries = await asyncio.shield(work)
        finally:
            work.cancel()
        await self._clock.sleep_ms(0)
        if entries is None:
            return
        self._replayed.set()
        self._apply(entries)
        if self.is_owner:
            self.assured_at_ms = max(self.assured_at_ms, sent_ms)

    async def _ask(self):
        await self._rig.clock.sleep_ms(5)
        entries = (
            None if self._log.is_down else self._log.read(self._partition)
        )
        await self._rig.clock.sleep_ms(5)
        return entries

    def _apply(self, entries) -> None:
        owned = self.is_owner
        for offset, entry in enumerate(entries, 1):
            if offset > self._applied:
                self._applied = offset
                took_effect = entry.apply_to(self.state, offset)
                if took_effect and entry.member_id == self._member_id:
                    self._effective.add(offset)
        self.latest_epoch = self.state.epoch
        self.latest_claimant = self.state.claimant
        if owned and not self.is_owner and self.on_deposed is not None:
            self.on_deposed()


class _WorkerTransport(httpx.AsyncBaseTransport):
    """Connection of one daemon to one worker, with the faults of the rig."""

    def __init__(self, rig, daemon, worker) -> None:
        self._rig = rig
        self._daemon = daemon
        self._worker = worker
        self._inner = worker.transport()

    async def handle_async_request(self, request):
        await self._daemon.node.resumed.wait()
        await self._check_path()
        work = asyncio.ensure_future(self._inner.handle_async_request(request))
        try:
            response = await work
        finally:
            work.cancel()
        await self._check_path()
        await self._daemon.node.resumed.wait()
        return response

    async def _check_path(self) -> None:
        link = (self._daemon.member_id, self._worker.worker_id)
        if link in self._rig.worker_resets:
            raise httpx.ConnectError('connection refused')
        if link in self._rig.worker_cuts:
            await asyncio.get_running_loop().create_future()


class SiteDaemon(cluster_rig.Daemon):
    """Every part of a daemon except its API and its configuration."""

    __slots__ = (
        'coordinator',
        'fleet',
        'holders',
        'router',
        'vm_list',
        '_client',
        '_handlers',
        '_host',
        '_ticker',
    )

    @property
    def holder_id(self) -> str:
        """Return the id of this process as a holder."""
        return f'{self.member_id}@{self.incarnation}'

    async def start(self) -> None:
        """Start all parts and join the cluster."""
        rig = self.rig
        clock = self.clock
        self._client = peer_network.NetworkClient(
            rig.network, self.node, clock
        )
        self.vm_list = cluster.VmList(rig.source, clock)
        self.fences = cluster.FenceTable()
        self.ownership = None
        self.fleet = None
        self.membership = cluster.Membership(
            clock,
            rig.timing,
            self._client,
            self.vm_list,
            self.build_heartbeat,
            fences=self.fences,
        )
        opened = fleet.Fleet(
            clock,
            self.holder_id,
            settings=fleet.FleetSettings(retry_max_ms=500),
            check_fence=self.fences.check,
            choose=policy.choose,
            report=self.report,
            client_factory=self._connect,
        )
        self.fleet = opened
        self.holders = holder_directory.HolderDirectory(
            clock, self.membership, self._client, opened
        )
        self.coordinator = coordinator.Coordinator(
            clock,
            self.holders,
            coordinator.Timing(),
            self.may_start,
            lambda job: True,
        )
        self.coordinator.set_workspaces(
            {
                _WORKSPACE: policy.WorkspacePolicy(
                    limit_tasks=rig.limit_tasks,
                    max_queued_tasks=rig.max_queued_tasks,
                )
            }
        )
        opened.on_capacity_freed = self.coordinator.wake
        self._host = partition_host.PartitionHost(
            clock,
            self.coordinator,
            partition_inventories.PartitionInventories(
                clock,
                rig.timing,
                self._client,
                self.membership,
                self.vm_list,
                self.inventory,
            ),
        )
        self.ownership = cluster.Ownership(
            clock,
            rig.timing,
            self._client,
            self.membership,
            self.vm_list,
            self.fences,
            self,
            self.open_journal,
            self.inventory,
            partitions=rig.partitions,
            regions=rig.regions,
            find_claim=self.find_claim,
        )
        self._handlers = peer_handlers.PeerHandlers(
            clock,
            self.membership,
            None,
            opened,
            self.coordinator,
            self.ownership,
        )
        self.router = routing.Router(
            clock,
            owner_directory.OwnerDirectory(
                self.ownership, self.membership, rig.partitions
            ),
            self._client,
            self._handlers.owner_handlers(),
        )
        self.node.handlers = {
            messages.Heartbeat: self.membership.handle,
            **self._handlers.all_handlers(),
        }
        await self.vm_list.refresh()
        for part in (
            self.vm_list,
            self.membership,
            opened,
            self.coordinator,
            self._host,
            self.ownership,
        ):
            await self._stack.enter_async_context(part)
        self._ticker = asyncio.ensure_future(self._tick())
        self._stack.callback(self._ticker.cancel)

    def build_heartbeat(self) -> messages.Heartbeat:
        heartbeat = super().build_heartbeat()
        changes = {'sent_at_ms': self.clock.now_ms()}
        if self.ownership is not None:
            changes['room'] = self.fleet.free_capacity()
            changes['waiting_shares'] = self.coordinator.waiting_shares()
        return msgspec.structs.replace(heartbeat, **changes)

    def open_journal(self, partition: int) -> _Journal:
        return _Journal(self.rig, self, partition)

    async def inventory(self, request):
        return await self._handlers.inventory(request)

    async def activate(
        self, partition, journal, running, ends, unseen_until_ms
    ) -> None:
        await super().activate(
            partition, journal, running, ends, unseen_until_ms
        )
        await self._host.activate(
            partition, journal, running, ends, unseen_until_ms
        )

    async def deactivate(self, partition: int, handover: bool) -> None:
        await self._host.deactivate(partition, handover)
        await super().deactivate(partition, handover)

    async def report(self, partition, ends, found) -> bool:
        """Report to the owner of a partition, as ``TaskReporter`` does."""
        request = messages.Report(
            holder_id=self.holder_id,
            partition=partition,
            ends=ends,
            found=found,
        )
        owner = self.ownership.owner_of(partition)
        try:
            if owner is None:
                return False
            if owner is self.membership.own:
                await self.coordinator.report(request)
            else:
                await self._client.call(owner.address, request, 3_000)
        except errors.BasilspindleError:
            return False
        return True

    async def _tick(self) -> None:
        assignment = worker_assignment.WorkerAssignment(
            self.membership, self.vm_list
        )
        while True:
            await self.fleet.assign(assignment.desired(frozenset()))
            await self.clock.sleep_ms(_TICK_MS)

    def _connect(self, address: str) -> fleet.WorkerClient:
        worker = self.rig.workers[address.partition(':')[0]]
        return fleet.WorkerClient(
            address,
            self.clock,
            transport=lambda: _WorkerTransport(self.rig, self, worker),
        )


class SiteRig(cluster_rig.ClusterRig):
    """Daemons, workers, one log and one VM list.

    ``worker_cuts`` and ``worker_resets`` hold (member id, worker id) pairs
    that do not reach each other. ``done_ms`` holds when a success was first
    recorded by the task id.
    """

    daemon_class = SiteDaemon

    def __init__(
        self,
        partitions: int = 1,
        limit_tasks: int = -1,
        max_queued_tasks: int = -1,
    ) -> None:
        super().__init__(partitions)
        self.limit_tasks = limit_tasks
        self.max_queued_tasks = max_queued_tasks
        self.workers: dict[str, worker_module.StandinWorker] = {}
        self.worker_cuts: set[tuple[str, str]] = set()
        self.worker_resets: set[tuple[str, str]] = set()
        self.done_ms: dict[str, int] = {}
        self._claims: dict[int, int] = {}

    async def __aexit__(self, *exc_info) -> None:
        await super().__aexit__(*exc_info)
        for worker in self.workers.values():
            await worker.close()

    def add_worker(self, worker_id: str) -> worker_module.StandinWorker:
        """Add a worker and its entry on the VM list."""
        worker = worker_module.StandinWorker(worker_id, self.clock, _CAPACITY)
        self.workers[worker_id] = worker
        self.source.vms[worker_id] = cluster.VirtualMachine(
            id=worker_id,
            address=worker.address,
            role=cluster.Role.WORKER,
            region='r1',
        )
        return worker

    def split(
        self,
        members: collections.abc.Collection[str],
        workers: collections.abc.Collection[str],
        *,
        log: bool,
        resets: bool = False,
    ) -> None:
        """Cut daemons and workers off from all others.

        ``log`` tells whether the daemons that are cut off reach the log.
        """
        links = self.worker_resets if resets else self.worker_cuts
        for member_id, daemon in self.daemons.items():
            inside = member_id in members
            daemon.log.down = daemon.log.down or inside and not log
            for other_id, other in self.daemons.items():
                pair = (daemon.node.address, other.node.address)
                if inside and other_id not in members:
                    cut = {pair, pair[::-1]}
                    if resets:
                        self.network.resets |= cut
                    else:
                        self.network.cuts |= cut
            for worker_id in self.workers:
                if inside != (worker_id in workers):
                    links.add((member_id, worker_id))

    def heal(self) -> None:
        """End all cuts."""
        self.network.heal()
        self.worker_cuts.clear()
        self.worker_resets.clear()
        for daemon in self.daemons.values():
            daemon.log.down = False

    def owner(self, partition: int = 0) -> SiteDaemon | None:
        """Return the daemon that may start tasks of a partition."""
        for daemon in self.daemons.values():
            if daemon.node.resumed.is_set() and daemon.may_start(partition):
                return daemon
        return None

    def job(self, job_id: str, run_ms: int, **changes) -> model.Job:
        """Return a durable job of idempotent tasks that run ``run_ms``."""
        fields = {
            'job_id': job_id,
            'workspace': _WORKSPACE,
            'queue': 'default',
            'kind': 'report',
            'priority': model.Priority.BATCH,
            'tasks': 1,
            'resources': TASK_RESOURCES,
            'run_time_ms': run_ms,
            'deadline_ms': 0,
            'gang': False,
            'service': False,
            'idempotent': True,
            'durable': True,
            'max_attempts': 3,
            'input': msgspec.json.encode({'run_ms': run_ms}),
            'key_id': 'red',
            'body_hash': 'h1',
            'submitted_wall_ms': self.clock.wall_ms(),
        }
        return model.Job(**{**fields, **changes})

    async def submit(self, daemon: SiteDaemon, job: model.Job) -> None:
        """Submit a job at a daemon and wait until it is accepted."""
        request = messages.Submit(partition=0, job=job)
        await self.run_until_complete(daemon.router.call(request, _CALL_MS))

    def note_append(self, partition: int, entry: _Entry) -> None:
        """Record the ends that an append made count."""
        if entry.is_claim:
            self._claims[partition] = len(self.log.read(partition))
        elif entry.epoch == self._claims.get(partition):
            for record in entry.records:
                if (
                    isinstance(record, journal.TaskEnded)
                    and record.state is model.State.SUCCEEDED
                ):
                    task_id = f'{record.job_id}/{record.index}'
                    self.done_ms.setdefault(task_id, self.clock.now_ms())

    def recorded_state(self, job_id: str) -> model.State:
        """Return the state of a job of partition 0 that the log shows."""
        state = journal.PartitionState()
        for offset, entry in enumerate(self.log.read(0), 1):
            entry.apply_to(state, offset)
        entry = state.jobs.get(job_id)
        return entry.state if entry else model.State.QUEUED

    def recorded_jobs(self) -> set[str]:
        """Return the ids of the jobs of partition 0 that the log holds."""
        state = journal.PartitionState()
        for offset, entry in enumerate(self.log.read(0), 1):
            entry.apply_to(state, offset)
        return set(state.jobs)

    def is_known_to_owner(self, job_id: str) -> bool:
        """Tell whether the daemon that may start tasks knows of an end."""
        owner = self.owner()
        partitions = owner.coordinator._partitions if owner else {}
        tracked = partitions[0].jobs.get(job_id) if 0 in partitions else None
        return tracked is not None and tracked.state.final

    def runs(self, task_id: str) -> list:
        """Return the runs of a task on all workers."""
        return [
            run
            for worker in self.workers.values()
            for run in worker.runs
            if run.task.task_id == task_id
        ]

    def job_runs(self, job_id: str) -> list:
        """Return the runs of all tasks of a job on all workers."""
        return [
            run
            for worker in self.workers.values()
            for run in worker.runs
            if run.task.task_id.rpartition('/')[0] == job_id
        ]

    def breaches(self) -> list[str]:
        """Return what breaks an invariant on any worker."""
        found = fleet_record.FleetRecord(list(self.workers.values()))
        restarted = [
            f'{task_id} was started again after its recorded end'
            for task_id, done_ms in self.done_ms.items()
            if any(run.start_ms > done_ms for run in self.runs(task_id))
        ]
        return found.breaches() + restarted
