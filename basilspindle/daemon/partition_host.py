"""Connect partition ownership with the coordinator."""

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
# 5,100 running tasks are about 1 MB of inventories for all partitions.
_RECONCILE_INTERVAL_MS = 60_000


class CollectInventories(typing.Protocol):
    """Ask all holders for the inventories of a partition."""

    async def __call__(
        self, partition: int, epoch: int
    ) -> inventory_collector.CollectedInventory:
        """Return what the holders that answer report now."""


class PartitionHost:
    """Activate partitions, and start tasks once all workers are seen.

    After a takeover some workers have no holder yet. Their inventories
    are asked for until every worker was seen or the task leases of the
    others have expired, and compared with what is known once a minute.
    """

    __slots__ = ('_clock', '_coordinator', '_collect_inventories', '_watchers')

    def __init__(
        self,
        clock: clock_module.Clock,
        coordinator: coordinator_package.Coordinator,
        collect_inventories: CollectInventories,
    ) -> None:
        self._clock = clock
        self._coordinator = coordinator
        self._collect_inventories = collect_inventories
        self._watchers: dict[int, asyncio.Task[None]] = {}

    async def __aenter__(self) -> typing.Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for task in self._watchers.values():
            task.cancel()
        await asyncio.gather(*self._watchers.values(), return_exceptions=True)

    async def activate(
        self,
        partition: int,
        journal: cluster.Journal,
        running: list[model.RunningTask],
        ends: list[model.TaskEnd],
        unseen_until_ms: int,
    ) -> None:
        """Take up a partition; starts may have to wait for a survey."""
        all_seen = unseen_until_ms <= self._clock.now_ms()
        dispatch_at_ms = unseen_until_ms if all_seen else _NEVER_MS
        self._coordinator.activate(
            partition, journal, running, ends, dispatch_at_ms
        )
        previous = self._watchers.pop(partition, None)
        if previous is not None:
            previous.cancel()
        self._watchers[partition] = asyncio.ensure_future(
            self._watch(partition, journal.epoch, unseen_until_ms)
        )

    async def deactivate(self, partition: int, handover: bool) -> None:
        """Stop starting tasks of a partition."""
        task = self._watchers.pop(partition, None)
        if task is not None:
            task.cancel()
        await self._coordinator.deactivate(partition, handover)

    async def _watch(self, partition: int, epoch: int, until_ms: int) -> None:
        await self._wait_for_workers(partition, epoch, until_ms)
        while True:
            await self._clock.sleep_ms(_RECONCILE_INTERVAL_MS)
            found = await self._try_collect(partition, epoch)
            if found is not None and self._is_complete(found):
                self._coordinator.reconcile(
                    partition, found.running, found.ends
                )

    async def _wait_for_workers(
        self, partition: int, epoch: int, until_ms: int
    ) -> None:
        """Open the partition once no task can run unseen.

        A silent member may renew the task leases of workers that nobody
        else reaches, so the time counts from when the last one was silent.
        """
        wait_ms = until_ms - self._clock.now_ms()
        while self._clock.now_ms() < until_ms:
            found = await self._try_collect(partition, epoch)
            if found is None or found.has_silent_member:
                until_ms = self._clock.now_ms() + wait_ms
            if found is not None and self._is_complete(found):
                self._coordinator.apply_full_inventory(
                    partition, found.running, found.ends
                )
                return
            await self._clock.sleep_ms(_COLLECT_INTERVAL_MS)
        if wait_ms > 0:
            self._coordinator.apply_full_inventory(partition, [], [])

    def _is_complete(
        self, found: inventory_collector.CollectedInventory
    ) -> bool:
        return found.unseen_until_ms <= self._clock.now_ms()

    async def _try_collect(
        self, partition: int, epoch: int
    ) -> inventory_collector.CollectedInventory | None:
        try:
            return await self._collect_inventories(partition, epoch)
        except Exception as error:
            events.emit(daemon_events.LOOP_FAILED, error=repr(error))
            return None
