"""Find tasks whose holder was lost and tasks that must be stopped."""

import asyncio
import collections
import collections.abc
import contextlib

from basilspindle import clock as clock_module
from basilspindle.coordinator import holder
from basilspindle.coordinator import owned_partition
from basilspindle.coordinator import timing as timing_module
from basilspindle.coordinator import tracked_job
from basilspindle.coordinator import tracked_task
from basilspindle import errors
from basilspindle import model
from basilspindle.peer import messages

_SWEEP_PERIOD_MS = 500


class Sweeper:
    """Look over the started tasks at a steady pace."""

    __slots__ = (
        '_clock',
        '_holders',
        '_timing',
        '_partitions',
        '_on_end',
        '_lost_since_ms',
        '_wake',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        holders: holder.Holders,
        timing: timing_module.Timing,
        partitions: dict[int, owned_partition.OwnedPartition],
        on_end: collections.abc.Callable[
            [tracked_job.TrackedJob, int, model.TaskEnd], None
        ],
    ) -> None:
        self._clock = clock
        self._holders = holders
        self._timing = timing
        self._partitions = partitions
        self._on_end = on_end
        self._lost_since_ms: dict[str, int] = {}
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Look soon, for instance after a cancellation."""
        self._wake.set()

    async def run(
        self,
        each_round: collections.abc.Callable[[], None],
    ) -> None:
        """Sweep until cancelled; ``each_round`` runs in each round."""
        while True:
            with contextlib.suppress(errors.DeadlineExceeded):
                await self._clock.wait_ms(self._wake.wait(), _SWEEP_PERIOD_MS)
            self._wake.clear()
            each_round()
            self._end_lost()
            await self._stop_cancelled()

    def _started_tasks(
        self,
    ) -> collections.abc.Iterator[
        tuple[tracked_job.TrackedJob, tracked_task.TrackedTask]
    ]:
        for partition in list(self._partitions.values()):
            for tracked in list(partition.jobs.values()):
                for task in list(tracked.started.values()):
                    yield tracked, task

    def _end_lost(self) -> None:
        """End the tasks of holders that were lost long enough ago."""
        now_ms = self._clock.now_ms()
        seen = set()
        for tracked, task in self._started_tasks():
            # An adopted task has no holder until one reports it.
            name = task.holder_id
            if name and not self._holders.is_lost(name):
                continue
            seen.add(name)
            since_ms = self._lost_since_ms.setdefault(name, now_ms)
            if name and now_ms - since_ms > self._timing.lost_after_ms:
                self._on_end(tracked, task.index, lost_task_end(tracked, task))
        for name in [n for n in self._lost_since_ms if n not in seen]:
            del self._lost_since_ms[name]

    async def _stop_cancelled(self) -> None:
        """Ask the holders again until cancelled tasks have ended."""
        tasks_to_stop: dict[tuple[str, int], list[tuple[str, int]]] = (
            collections.defaultdict(list)
        )
        for tracked, task in self._started_tasks():
            if tracked.cancelled and task.holder_id and task.worker_id:
                key = (task.holder_id, tracked.partition)
                name = tracked.job.task_id(task.index)
                tasks_to_stop[key].append((name, task.attempt))
        for (holder_id, number), tasks in tasks_to_stop.items():
            partition = self._partitions.get(number)
            if partition is None:
                continue
            request = messages.Stop(
                partition=number,
                partition_epoch=partition.epoch,
                tasks=tasks,
            )
            with contextlib.suppress(errors.BasilspindleError):
                await self._holders.stop(holder_id, request)


def lost_task_end(
    tracked: tracked_job.TrackedJob, task: tracked_task.TrackedTask
) -> model.TaskEnd:
    """Return the end of a task that no worker has any more."""
    return model.TaskEnd(
        task_id=tracked.job.task_id(task.index),
        attempt=task.attempt,
        workspace=tracked.job.workspace,
        partition=tracked.partition,
        worker_id=task.worker_id,
        state=model.State.UNKNOWN,
        error='the worker or its holder was lost',
    )
