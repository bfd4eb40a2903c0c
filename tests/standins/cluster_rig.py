"""Run the membership and ownership of several daemons in one process.

Time, the network, the log and the VM list are simulated.
"""

import asyncio
import contextlib
import types

import loguru
import msgspec

from basilspindle import cluster
from basilspindle import errors
from basilspindle.peer import messages
from tests.standins import manual_clock
from tests.standins import memory_log
from tests.standins import pausable_clock
from tests.standins import peer_network


class Timing(msgspec.Struct, frozen=True, kw_only=True):
    """Default timing of a cell, in ms."""

    heartbeat_ms: int = 500
    suspect_ms: int = 1_500
    settle_ms: int = 500
    assurance_ms: int = 1_500
    worker_lease_ms: int = 3_000
    task_lease_ms: int = 30_000


class VmListSource:
    """VM list in memory; with ``silent`` set, every fetch fails."""

    __slots__ = ('silent', 'vms')

    def __init__(self) -> None:
        self.vms: dict[str, cluster.VirtualMachine] = {}
        self.silent = False

    async def fetch(self) -> list[cluster.VirtualMachine]:
        """Return the VMs; raises ``VmListUnavailable`` if silent."""
        if self.silent:
            raise errors.VmListUnavailable(
                'the VM list does not answer; try again'
            )
        return list(self.vms.values())


class Daemon:
    """Membership and ownership of one daemon; no jobs, workers or API.

    ``active_epochs`` maps each active partition to its epoch, and
    ``unseen_until_ms`` each partition to the time until which its tasks may
    run on workers that no inventory covered.
    """

    __slots__ = (
        '_stack',
        'active_epochs',
        'clock',
        'config_age_ms',
        'config_version',
        'fences',
        'incarnation',
        'leaving',
        'log',
        'log_read_ms',
        'member_id',
        'membership',
        'node',
        'ownership',
        'region',
        'rig',
        'unseen_until_ms',
        'workers',
    )

    def __init__(
        self, rig: 'ClusterRig', member_id: str, serial: int, region: str
    ) -> None:
        self.rig = rig
        self.member_id = member_id
        self.region = region
        self.incarnation = f'{1_700_000_000_000 + serial}-{member_id}'
        self.node = rig.network.add(member_id + ':1')
        self.clock = pausable_clock.PausableClock(rig.clock, self.node)
        self.leaving = False
        self.log = rig.log.share()
        self.config_version = 1
        self.config_age_ms = -1
        self.log_read_ms = 0
        self.active_epochs: dict[int, int] = {}
        self.unseen_until_ms: dict[int, int] = {}
        self.workers: list[str] = []
        self._stack = contextlib.AsyncExitStack()

    async def start(self) -> None:
        """Start listening and join the cluster."""
        client = peer_network.NetworkClient(
            self.rig.network, self.node, self.clock
        )
        vm_list = cluster.VmList(self.rig.source, self.clock)
        self.fences = cluster.FenceTable()
        self.ownership: cluster.Ownership | None = None
        self.membership = cluster.Membership(
            self.clock,
            self.rig.timing,
            client,
            vm_list,
            self.build_heartbeat,
            fences=self.fences,
        )
        ownership = cluster.Ownership(
            self.clock,
            self.rig.timing,
            client,
            self.membership,
            vm_list,
            self.fences,
            self,
            self.open_journal,
            self.inventory,
            partitions=self.rig.partitions,
            regions=self.rig.regions,
            find_claim=self.find_claim,
        )
        self.ownership = ownership
        self.node.handlers = {
            messages.Heartbeat: self.membership.handle,
            messages.Fence: ownership.handle_fence,
            messages.Inventory: self.inventory,
        }
        await self._stack.enter_async_context(vm_list)
        await self._stack.enter_async_context(self.membership)
        await self._stack.enter_async_context(ownership)

    async def kill(self) -> None:
        """Kill the daemon; its address then refuses connections."""
        self.node.listening = False
        self.node.resumed.set()
        await self._stack.aclose()

    def pause(self) -> None:
        """Pause the daemon, as SIGSTOP does."""
        self.node.resumed.clear()

    def resume(self) -> None:
        """Resume the paused daemon, as SIGCONT does."""
        self.node.resumed.set()

    def build_heartbeat(self) -> messages.Heartbeat:
        """Return this daemon's heartbeat."""
        claims = self.ownership.claims() if self.ownership else []
        return messages.Heartbeat(
            member_id=self.member_id,
            incarnation=self.incarnation,
            address=self.node.address,
            api_address=self.member_id + ':2',
            failure_domain='fd',
            region=self.region,
            leaving=self.leaving,
            config_version=self.config_version,
            config_age_ms=self.config_age_ms,
            log_age_ms=self.log_age_ms(),
            claims=claims,
        )

    def log_age_ms(self) -> int:
        """Return the ms since the log last answered, -1 if not reported."""
        if not self.rig.reports_log_age:
            return -1
        if not self.log.is_down:
            self.log_read_ms = self.clock.now_ms()
        return self.clock.now_ms() - self.log_read_ms

    def open_journal(self, partition: int) -> memory_log.MemoryJournal:
        """Open the journal of a partition."""
        return memory_log.MemoryJournal(
            self.log,
            self.clock,
            self.member_id,
            partition,
            self.rig.timing.assurance_ms,
        )

    async def find_claim(self, partition: int, epoch: int) -> bool:
        """Tell whether the log holds a claim; raises ``LogUnavailable``."""
        await self.clock.sleep_ms(5)
        if self.log.is_down:
            raise errors.LogUnavailable('the log is down; try again')
        entries = self.log.read(partition)
        await self.clock.sleep_ms(5)
        return 0 < epoch <= len(entries) and entries[epoch - 1].is_claim

    async def inventory(
        self, request: messages.Inventory
    ) -> messages.Inventoried:
        """Return an inventory that covers the workers and has no tasks."""
        return messages.Inventoried(running=[], ends=[], workers=self.workers)

    async def activate(
        self, partition, journal, running, ends, unseen_until_ms
    ) -> None:
        """Record that a partition is active."""
        self.active_epochs[partition] = journal.epoch
        self.unseen_until_ms[partition] = unseen_until_ms

    async def deactivate(self, partition: int, handover: bool) -> None:
        """Record that a partition is no longer active."""
        self.active_epochs.pop(partition, None)

    def may_start(self, partition: int, since_ms: int = 0) -> bool:
        """Tell whether the daemon may start tasks of a partition now."""
        return self.ownership.may_start(partition, since_ms)


class ClusterRig:
    """Daemons on one network, one log and one VM list.

    With ``reports_log_age``, heartbeats carry the time since the log last
    answered, so daemons exchange fewer heartbeats while it answers.
    """

    daemon_class: type[Daemon] = Daemon

    def __init__(
        self,
        partitions: int = 1,
        regions=('r1',),
        reports_log_age: bool = True,
    ) -> None:
        self.reports_log_age = reports_log_age
        self.clock = manual_clock.ManualClock()
        self.network = peer_network.PeerNetwork(self.clock)
        self.log = memory_log.MemoryLog()
        self.source = VmListSource()
        self.timing = Timing()
        self.partitions = partitions
        self.regions = regions
        self.daemons: dict[str, Daemon] = {}
        self._serial = 0
        self._started_daemons: list[Daemon] = []

    async def __aenter__(self) -> 'ClusterRig':
        loguru.logger.disable('basilspindle')
        # The debug mode that the test case turns on makes steps 10x slower.
        asyncio.get_running_loop().set_debug(False)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await self.network.close()
        for daemon in self._started_daemons:
            await daemon.kill()
        loguru.logger.enable('basilspindle')

    async def add(self, member_id: str, region: str = 'r1') -> Daemon:
        """Add a VM to the list and start a daemon of the same id on it."""
        self._serial += 1
        daemon = self.daemon_class(self, member_id, self._serial, region)
        self._started_daemons.append(daemon)
        self.daemons[member_id] = daemon
        self.source.vms[member_id] = cluster.VirtualMachine(
            id=member_id,
            address=daemon.node.address,
            role=cluster.Role.ENTRY,
            region=region,
        )
        await daemon.start()
        return daemon

    async def run_ms(self, duration_ms: int) -> None:
        """Advance time."""
        await self.clock.advance_ms(duration_ms)

    async def wait_until(self, condition, limit_ms: int = 60_000) -> int:
        """Advance time until a condition holds; return the elapsed ms."""
        for elapsed_ms in range(0, limit_ms, 20):
            if condition():
                return elapsed_ms
            await self.clock.advance_ms(20)
        raise AssertionError(f'condition not met within {limit_ms} ms')

    async def run_until_complete(self, coroutine):
        """Advance time until a coroutine ends; return its result."""
        task = asyncio.ensure_future(coroutine)
        await self.wait_until(task.done)
        return task.result()

    def accepted_starters(
        self, partition: int, holder: Daemon
    ) -> list[Daemon]:
        """Return the daemons whose task starts the holder would accept now."""
        found = []
        for daemon in self.daemons.values():
            if not daemon.may_start(partition):
                continue
            with contextlib.suppress(errors.Fenced):
                holder.fences.check(partition, daemon.active_epochs[partition])
                found.append(daemon)
        return found
