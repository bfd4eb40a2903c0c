"""End jobs that can no longer start and remove those that have ended."""

import asyncio
import collections.abc
import contextlib

from basilspindle import clock as clock_module
from basilspindle.coordinator import log_and_skip
from basilspindle.coordinator import owned_partition
from basilspindle.coordinator import recovery
from basilspindle.coordinator import sweeper
from basilspindle.coordinator import task_end_handler
from basilspindle.coordinator import timing as timing_module
from basilspindle.coordinator import tracked_job
from basilspindle import errors
from basilspindle import journal as journal_package
from basilspindle import model
from basilspindle import policy

_APPEND_TIMEOUT_MS = 5_000
# Longer than a request may wait. If ended jobs that are not durable were kept
# for 15 minutes like durable ones, 310 starts per second would add up to
# 279,000 jobs.
_NON_DURABLE_KEEP_MS = 20_000
# Outlasts a takeover, during which a worker may have no holder and so be
# unknown.
_UNSCHEDULABLE_AFTER_MS = 120_000
# Tasks younger than this may be missing from an inventory that was taken
# before they were placed.
_INVENTORY_GRACE_MS = 10_000
_LOST_AFTER_MISSED_INVENTORIES = 2


class Housekeeping:
    """Expire, end, remove and reconcile jobs in periodic passes.

    ``unschedulable_reason`` returns why no worker can run a task of a job,
    or ''. ``key_valid`` tells whether the API key that a job was submitted
    with is still valid for its workspace. Jobs that wait end only while
    ``may_start`` is true for their partition: a later owner may have started
    them.
    """

    __slots__ = (
        '_clock',
        '_queue',
        '_timing',
        '_partitions',
        '_end_handler',
        '_unschedulable_reason',
        '_key_valid',
        '_may_start',
        '_pending_appends',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        queue: policy.FairQueue,
        timing: timing_module.Timing,
        partitions: dict[int, owned_partition.OwnedPartition],
        end_handler: task_end_handler.TaskEndHandler,
        unschedulable_reason: collections.abc.Callable[[model.Job], str],
        key_valid: collections.abc.Callable[[model.Job], bool],
        may_start: collections.abc.Callable[[int], bool],
    ) -> None:
        self._clock = clock
        self._queue = queue
        self._timing = timing
        self._partitions = partitions
        self._end_handler = end_handler
        self._unschedulable_reason = unschedulable_reason
        self._key_valid = key_valid
        self._may_start = may_start
        self._pending_appends: dict[str, asyncio.Task[None]] = {}

    async def close(self) -> None:
        """Cancel the appends in flight."""
        tasks = list(self._pending_appends.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def sweep(self) -> None:
        """Check every job once."""
        now_ms = self._clock.now_ms()
        for job_id, count in self._queue.remove_expired(now_ms):
            with log_and_skip.LogAndSkip('expire', job_id):
                self._expire(job_id, count)
        for partition in list(self._partitions.values()):
            for tracked in list(partition.jobs.values()):
                with log_and_skip.LogAndSkip('sweep', tracked.job.job_id):
                    self._sweep_job(partition, tracked, now_ms)
            for task_id, (since_ms, _) in list(partition.orphan_ends.items()):
                if now_ms - since_ms > self._timing.lost_after_ms:
                    del partition.orphan_ends[task_id]

    def _expire(self, job_id: str, count: int) -> None:
        for partition in self._partitions.values():
            tracked = partition.jobs.get(job_id)
            if tracked is None or self._may_start(partition.number):
                continue
            recovery.enqueue_tasks(tracked, count, self._queue, self._clock)
            return
        self._end_job(job_id, model.State.EXPIRED, 'deadline passed')

    def _sweep_job(
        self,
        partition: owned_partition.OwnedPartition,
        tracked: tracked_job.TrackedJob,
        now_ms: int,
    ) -> None:
        if tracked.state.final:
            self._forget_ended(partition, tracked, now_ms)
        elif not tracked.started and not tracked.ended:
            if self._may_start(partition.number):
                self._sweep_unstarted(partition, tracked, now_ms)

    def _forget_ended(
        self,
        partition: owned_partition.OwnedPartition,
        tracked: tracked_job.TrackedJob,
        now_ms: int,
    ) -> None:
        self._record_end(partition, tracked)
        keep_ms = self._timing.result_keep_ms
        if not tracked.job.durable:
            keep_ms = _NON_DURABLE_KEEP_MS
        if now_ms - tracked.ended_at_ms > keep_ms:
            partition.jobs.pop(tracked.job.job_id, None)

    def _sweep_unstarted(
        self,
        partition: owned_partition.OwnedPartition,
        tracked: tracked_job.TrackedJob,
        now_ms: int,
    ) -> None:
        job = tracked.job
        if not self._key_valid(job):
            self._end_job(
                job.job_id,
                model.State.CANCELLED,
                'the API key was withdrawn before the job started',
            )
            return
        tracked.reason = self._unschedulable_reason(job)
        # Until all workers have reported, the largest one may be unknown.
        may_fit = not tracked.reason or not partition.dispatching
        if may_fit or not tracked.last_schedulable_ms:
            tracked.last_schedulable_ms = now_ms
        elif now_ms - tracked.last_schedulable_ms > _UNSCHEDULABLE_AFTER_MS:
            self._end_job(
                job.job_id, model.State.UNSCHEDULABLE, tracked.reason
            )

    def _end_job(self, job_id: str, state: model.State, reason: str) -> None:
        for partition in self._partitions.values():
            tracked = partition.jobs.get(job_id)
            if tracked is not None and not tracked.state.final:
                self._queue.remove(job_id)
                tracked.end_queued(state, reason)
                tracked.update_state(self._clock.now_ms())
                self._record_end(partition, tracked)

    def _record_end(
        self,
        partition: owned_partition.OwnedPartition,
        tracked: tracked_job.TrackedJob,
    ) -> None:
        """Record the end of a job, unless its task records imply it.

        Tasks that were cancelled, expired or lost have no record of their
        own, so without this one the job would stay in every snapshot.
        """
        job_id = tracked.job.job_id
        if not tracked.job.durable or job_id in self._pending_appends:
            return
        entry = partition.journal.state.jobs.get(job_id)
        if not tracked.state.final or entry is None or entry.state.final:
            return
        record = journal_package.JobEnded(
            job_id=job_id, state=tracked.state, reason=tracked.reason
        )
        task = asyncio.ensure_future(self._append(partition, record))
        self._pending_appends[job_id] = task
        task.add_done_callback(
            lambda _: self._pending_appends.pop(job_id, None)
        )

    async def _append(
        self,
        partition: owned_partition.OwnedPartition,
        record: journal_package.JobEnded,
    ) -> None:
        # The next sweep repeats a failed append.
        with contextlib.suppress(errors.BasilspindleError):
            await partition.journal.append(
                record, timeout_ms=_APPEND_TIMEOUT_MS
            )

    def reconcile(
        self,
        number: int,
        running: collections.abc.Iterable[model.RunningTask],
        ends: collections.abc.Iterable[model.TaskEnd],
    ) -> None:
        """Compare started tasks with the inventories of all workers.

        A task that is missing from two consecutive inventories is lost: if
        a worker restarts between two holders, neither knows what ran there.
        """
        partition = self._partitions.get(number)
        if partition is None:
            return
        reported = {(task.task_id, task.attempt) for task in running}
        reported.update((end.task_id, end.attempt) for end in ends)
        grace_start_ms = self._clock.now_ms() - _INVENTORY_GRACE_MS
        for tracked in list(partition.jobs.values()):
            for task in list(tracked.started.values()):
                task_id = tracked.job.task_id(task.index)
                is_reported = (task_id, task.attempt) in reported
                recently_placed = task.placed_at_ms > grace_start_ms
                if is_reported or recently_placed or not task.worker_id:
                    task.missed_inventories = 0
                    continue
                task.missed_inventories += 1
                if task.missed_inventories >= _LOST_AFTER_MISSED_INVENTORIES:
                    with log_and_skip.LogAndSkip('end', task_id):
                        self._end_handler.end_attempt(
                            tracked,
                            task.index,
                            sweeper.lost_task_end(tracked, task),
                        )
