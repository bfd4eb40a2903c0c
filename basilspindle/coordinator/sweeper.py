"""End the tasks of lost holders and stop those of cancelled jobs."""

import asyncio
import collections
import collections.abc
import contextlib

from basilspindle import clock as clock_module
from basilspindle.coordinator import events as coordinator_events
from basilspindle.coordinator import holder
from basilspindle.coordinator import log_and_skip
from basilspindle.coordinator import owned_partition
from basilspindle.coordinator import timing as timing_module
from basilspindle.coordinator import tracked_job
from basilspindle.coordinator import tracked_task
from basilspindle import errors
from basilspindle import events
from basilspindle import model
from basilspindle.peer import messages

_SWEEP_PERIOD_MS = 500


class Sweeper:
    """Check all started tasks periodically."""

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
        """Request a sweep, for instance after a cancellation."""
        self._wake.set()

    async def run(
        self,
        before_sweep: collections.abc.Callable[[], None],
    ) -> None:
        """Sweep until cancelled; call ``before_sweep`` before each sweep."""
        while True:
            with contextlib.suppress(errors.DeadlineExceeded):
                await self._clock.wait_for(self._wake.wait(), _SWEEP_PERIOD_MS)
            self._wake.clear()
            try:
                before_sweep()
                self._end_lost_tasks()
                await self._stop_cancelled_tasks()
            except Exception as error:
                # The loop also starts the dispatching of partitions.
                events.emit(coordinator_events.SWEEP_FAILED, error=repr(error))

    def _started_tasks(
        self,
    ) -> collections.abc.Iterator[
        tuple[tracked_job.TrackedJob, tracked_task.TrackedTask]
    ]:
        for partition in list(self._partitions.values()):
            for tracked in list(partition.jobs.values()):
                for task in list(tracked.started.values()):
                    yield tracked, task

    def _end_lost_tasks(self) -> None:
        """End the tasks that ran out of their lease, also with a holder.

        A member that is silent may have taken over their worker and renew
        their leases. It reports them once it is heard again, so nothing ends
        until all members were heard for longer than ``lost_after_ms``.
        """
        now_ms = self._clock.now_ms()
        heard_ms = now_ms - self._holders.all_heard_since_ms()
        all_heard = heard_ms > self._timing.lost_after_ms
        lost_holder_ids = set()
        for tracked, task in self._started_tasks():
            if task.expired_end is not None:
                if all_heard:
                    with log_and_skip.LogAndSkip(
                        'end', task.expired_end.task_id
                    ):
                        self._on_end(tracked, task.index, task.expired_end)
                continue
            # An adopted task has no holder until one reports it.
            holder_id = task.holder_id
            if holder_id and not self._holders.is_lost(holder_id):
                continue
            lost_holder_ids.add(holder_id)
            since_ms = self._lost_since_ms.setdefault(holder_id, now_ms)
            expired = now_ms - since_ms > self._timing.lost_after_ms
            if holder_id and expired and all_heard:
                end = lost_task_end(tracked, task)
                with log_and_skip.LogAndSkip('end', end.task_id):
                    self._on_end(tracked, task.index, end)
        for holder_id in [
            name for name in self._lost_since_ms if name not in lost_holder_ids
        ]:
            del self._lost_since_ms[holder_id]

    async def _stop_cancelled_tasks(self) -> None:
        """Ask holders to stop cancelled tasks, until these have ended."""
        tasks_to_stop: dict[tuple[str, int], list[tuple[str, int]]] = (
            collections.defaultdict(list)
        )
        for tracked, task in self._started_tasks():
            if tracked.cancelled and task.holder_id and task.worker_id:
                key = (task.holder_id, tracked.partition)
                task_id = tracked.job.task_id(task.index)
                tasks_to_stop[key].append((task_id, task.attempt))
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
    """Return the end of a task that was lost with its worker or holder."""
    return model.TaskEnd(
        task_id=tracked.job.task_id(task.index),
        attempt=task.attempt,
        workspace=tracked.job.workspace,
        partition=tracked.partition,
        worker_id=task.worker_id,
        state=model.State.UNKNOWN,
        error='the worker or its holder was lost',
    )
