"""Activate owned partitions in the coordinator."""

import asyncio
import types
import typing

from basilspindle import clock as clock_module
from basilspindle import cluster
from basilspindle.cluster import inventory_collector
from basilspindle import coordinator as coordinator_package
from basilspindle.daemon import events as daemon_events
from basilspindle import events
from basilspindle import model

_COLLECT_INTERVAL_MS = 300
_NEVER_MS = 1 << 62
# The inventories of all partitions take about 1 MB for 5,100 running tasks.
_RECONCILE_INTERVAL_MS = 60_000


class CollectInventories(typing.Protocol):
    """Collect the inventories of a partition from all holders."""

    async def __call__(
        self, partition: int, epoch: int
    ) -> inventory_collector.CollectedInventory:
        """Return the merged inventories of the holders that answer."""


class PartitionHost:
    """Activate partitions and delay dispatching until it is safe.

    After a takeover, tasks may be running on workers that have no holder yet.
    Inventories are collected until they cover every worker, or until the task
    leases of the other workers have expired; only then are tasks started.
    After that, the inventories are reconciled with the state of the
    coordinator once a minute.
    """

    __slots__ = ('_clock', '_coordinator', '_collect_inventories', '_monitors')

    def __init__(
        self,
        clock: clock_module.Clock,
        coordinator: coordinator_package.Coordinator,
        collect_inventories: CollectInventories,
    ) -> None:
        self._clock = clock
        self._coordinator = coordinator
        self._collect_inventories = collect_inventories
        self._monitors: dict[int, asyncio.Task[None]] = {}

    async def __aenter__(self) -> typing.Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for task in self._monitors.values():
            task.cancel()
        await asyncio.gather(*self._monitors.values(), return_exceptions=True)

    async def activate(
        self,
        partition: int,
        journal: cluster.Journal,
        running: list[model.RunningTask],
        ends: list[model.TaskEnd],
        unseen_until_ms: int,
    ) -> None:
        """Activate a partition in the coordinator.

        Tasks on workers that no holder reported may run until
        ``unseen_until_ms``. Until then no task is started, unless the
        inventories become complete before.
        """
        all_covered = unseen_until_ms <= self._clock.now_ms()
        dispatch_at_ms = unseen_until_ms if all_covered else _NEVER_MS
        self._coordinator.activate(
            partition, journal, running, ends, dispatch_at_ms
        )
        previous = self._monitors.pop(partition, None)
        if previous is not None:
            previous.cancel()
        self._monitors[partition] = asyncio.ensure_future(
            self._monitor(partition, journal.epoch, unseen_until_ms)
        )

    async def deactivate(self, partition: int, handover: bool) -> None:
        """Stop monitoring a partition and deactivate it."""
        task = self._monitors.pop(partition, None)
        if task is not None:
            task.cancel()
        await self._coordinator.deactivate(partition, handover)

    async def _monitor(
        self, partition: int, epoch: int, until_ms: int
    ) -> None:
        await self._wait_for_workers(partition, epoch, until_ms)
        while True:
            await self._clock.sleep_ms(_RECONCILE_INTERVAL_MS)
            inventory = await self._try_collect(partition, epoch)
            if inventory is not None and self._is_complete(inventory):
                self._coordinator.reconcile(
                    partition, inventory.running, inventory.ends
                )

    async def _wait_for_workers(
        self, partition: int, epoch: int, until_ms: int
    ) -> None:
        """Start dispatching once no unreported task can be running.

        A member that does not answer may still renew the task leases of
        workers that only it can reach. The waiting time therefore starts
        again whenever a member was silent, or this process was paused. The
        inventories are collected once more at its end.
        """
        wait_ms = until_ms - self._clock.now_ms()
        if wait_ms <= 0:
            return
        while True:
            inventory = await self._try_collect(partition, epoch)
            if inventory is None or inventory.has_silent_member:
                until_ms = self._clock.now_ms() + wait_ms
            else:
                until_ms = max(until_ms, inventory.heard_since_ms + wait_ms)
            if inventory is not None and self._is_complete(inventory):
                self._coordinator.apply_full_inventory(
                    partition, inventory.running, inventory.ends
                )
                return
            if self._clock.now_ms() >= until_ms:
                break
            await self._clock.sleep_ms(_COLLECT_INTERVAL_MS)
        self._coordinator.apply_full_inventory(partition, [], [])

    def _is_complete(
        self, inventory: inventory_collector.CollectedInventory
    ) -> bool:
        return inventory.unseen_until_ms <= self._clock.now_ms()

    async def _try_collect(
        self, partition: int, epoch: int
    ) -> inventory_collector.CollectedInventory | None:
        try:
            return await self._collect_inventories(partition, epoch)
        except Exception as error:
            events.emit(daemon_events.LOOP_FAILED, error=repr(error))
            return None
