"""Connect partition ownership with the coordinator."""

import asyncio
import types
import typing

from basilspindle import clock as clock_module
from basilspindle import cluster
from basilspindle import coordinator as coordinator_package
from basilspindle.daemon import events as daemon_events
from basilspindle import events
from basilspindle import model

_SURVEY_MS = 300
# 5,100 running tasks are about 1 MB of inventories for all partitions.
_RECONCILE_MS = 60_000


class Survey(typing.Protocol):
    """Ask all holders for the inventories of a partition."""

    async def __call__(
        self, partition: int, epoch: int
    ) -> tuple[list[model.RunningTask], list[model.TaskEnd], bool]:
        """Return running tasks, ends, and whether no worker is missing."""


class PartitionHost:
    """Activate partitions, and start tasks once all workers are seen.

    After a takeover some workers have no holder yet. Their inventories
    are asked for until every worker was seen or the task leases of the
    others have expired, and compared with what is known once a minute.
    """

    __slots__ = ('_clock', '_coordinator', '_survey', '_surveys')

    def __init__(
        self,
        clock: clock_module.Clock,
        coordinator: coordinator_package.Coordinator,
        survey: Survey,
    ) -> None:
        self._clock = clock
        self._coordinator = coordinator
        self._survey = survey
        self._surveys: dict[int, asyncio.Task[None]] = {}

    async def __aenter__(self) -> typing.Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for task in self._surveys.values():
            task.cancel()
        await asyncio.gather(*self._surveys.values(), return_exceptions=True)

    async def activate(
        self,
        partition: int,
        journal: cluster.Journal,
        running: list[model.RunningTask],
        ends: list[model.TaskEnd],
        unseen_until_ms: int,
    ) -> None:
        """Take up a partition; starts may have to wait for a survey."""
        self._coordinator.activate(
            partition, journal, running, ends, unseen_until_ms
        )
        former = self._surveys.pop(partition, None)
        if former is not None:
            former.cancel()
        self._surveys[partition] = asyncio.ensure_future(
            self._watch(partition, journal.epoch, unseen_until_ms)
        )

    async def deactivate(self, partition: int, handover: bool) -> None:
        """Stop starting tasks of a partition."""
        task = self._surveys.pop(partition, None)
        if task is not None:
            task.cancel()
        await self._coordinator.deactivate(partition, handover)

    async def _watch(self, partition: int, epoch: int, until_ms: int) -> None:
        while self._clock.now_ms() < until_ms:
            try:
                seen = await self._survey(partition, epoch)
            except Exception as error:
                events.emit(daemon_events.LOOP_FAILED, error=repr(error))
            else:
                running, ends, complete = seen
                if complete:
                    self._coordinator.see_all(partition, running, ends)
                    return
            await self._clock.sleep_ms(_SURVEY_MS)
