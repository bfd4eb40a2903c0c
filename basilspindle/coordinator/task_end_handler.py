"""Apply the ends of attempts: results, retries and unknown outcomes."""

import asyncio
import collections.abc
import contextlib

from basilspindle import clock as clock_module
from basilspindle.coordinator import capacity_tracker
from basilspindle.coordinator import events as coordinator_events
from basilspindle.coordinator import log_and_skip
from basilspindle.coordinator import outcome
from basilspindle.coordinator import owned_partition
from basilspindle.coordinator import recovery
from basilspindle.coordinator import reported
from basilspindle.coordinator import task_ids
from basilspindle.coordinator import tracked_job
from basilspindle.coordinator import tracked_task
from basilspindle.coordinator import usage_estimates
from basilspindle import errors
from basilspindle import events
from basilspindle import journal as journal_package
from basilspindle import model
from basilspindle import policy

_APPEND_TIMEOUT_MS = 5_000
# Backoff of a service that keeps ending, doubled at each restart. Without
# it, a service that ends at once would be restarted in a tight loop.
_RESTART_BASE_DELAY_MS = 500
_MAX_RESTART_DOUBLINGS = 7
# A service that ran for this long is restarted without a backoff.
_STABLE_RUN_MS = 60_000


class TaskEndHandler:
    """Apply the ends of attempts; a repeated end changes nothing.

    ``wake`` is called when capacity or a task has become available.
    """

    __slots__ = (
        '_clock',
        '_queue',
        '_capacity',
        '_estimates',
        '_wake',
        '_restarts',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        queue: policy.FairQueue,
        capacity: capacity_tracker.CapacityTracker,
        estimates: usage_estimates.UsageEstimates,
        wake: collections.abc.Callable[[], None],
    ) -> None:
        self._clock = clock
        self._queue = queue
        self._capacity = capacity
        self._estimates = estimates
        self._wake = wake
        self._restarts: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Cancel the restarts that wait for their backoff."""
        for task in self._restarts:
            task.cancel()
        await asyncio.gather(*self._restarts, return_exceptions=True)

    async def apply_and_record(
        self,
        partition: owned_partition.OwnedPartition,
        ends: collections.abc.Iterable[model.TaskEnd],
    ) -> None:
        """Apply ends and record those of durable jobs.

        Raises ``LogError`` if they could not be recorded.
        """
        records = []
        for end in ends:
            # Its holder would repeat the report, and the others with it.
            with log_and_skip.LogAndSkip('end', end.task_id):
                record = self.apply(partition, end)
                if record is not None:
                    records.append(record)
        if records:
            await self._record(partition, records)

    async def _record(
        self,
        partition: owned_partition.OwnedPartition,
        records: list[journal_package.TaskEnded],
    ) -> None:
        try:
            await partition.journal.append(
                *records, timeout_ms=_APPEND_TIMEOUT_MS
            )
        except errors.LogError:
            events.emit(
                coordinator_events.END_NOT_RECORDED,
                partition=partition.number,
                ends=len(records),
            )
            raise
        for job_id in {record.job_id for record in records}:
            tracked = partition.jobs.get(job_id)
            if tracked is not None:
                tracked.notify()

    def apply(
        self, partition: owned_partition.OwnedPartition, end: model.TaskEnd
    ) -> journal_package.TaskEnded | None:
        """Apply an end of the current attempt; return its record, if any."""
        reason = reported.check_end(end)
        if reason:
            events.emit(
                coordinator_events.TASK_REPORT_REFUSED,
                partition=partition.number,
                task_id=end.task_id,
                reason=reason,
            )
            return None
        job_id, index = task_ids.parse(end.task_id)
        tracked = partition.jobs.get(job_id)
        if tracked is None:
            orphan = partition.orphans.get(end.task_id)
            if orphan is not None:
                if orphan.attempt != end.attempt:
                    return None
                del partition.orphans[end.task_id]
                self._queue.end_running(orphan.workspace, orphan.resources)
            partition.orphan_ends[end.task_id] = (self._clock.now_ms(), end)
            return None
        # A holder lists an attempt that has ended among the ends only.
        recovery.adopt_ended(tracked, index, end, self._queue)
        task = tracked.started.get(index)
        if task is not None and task.attempt == end.attempt:
            if _is_outdated(task, end):
                return None
            if end.lease_expired:
                # The sweeper ends it once no other holder can run it.
                task.expired_end = end
                return None
            self.end_attempt(tracked, index, end)
        result = tracked.ended.get(index)
        if result is None or not tracked.job.durable:
            return None
        return _make_record(tracked, result, end.attempt)

    def end_attempt(
        self,
        tracked: tracked_job.TrackedJob,
        index: int,
        end: model.TaskEnd,
    ) -> None:
        """End an attempt, and its task unless that is queued again."""
        job = tracked.job
        task = tracked.started[index]
        if (
            end.state is model.State.SUCCEEDED
            and tracked.declared_resources
            and not reported.check_resources(end.used)
        ):
            self._estimates.observe(job, tracked.declared_resources, end)
        decision = outcome.decide(tracked, index, end)
        if end.state is model.State.FAILED and end.worker_id:
            tracked.failed_workers.setdefault(index, []).append(end.worker_id)
        if decision in (
            outcome.Decision.RETRY,
            outcome.Decision.RETRY_UNCOUNTED,
        ):
            counted = decision is outcome.Decision.RETRY
            placed = bool(task.worker_id)
            tracked.requeue(index, counted=counted)
            delay_ms = _restart_delay_ms(tracked, index, end)
            if delay_ms:
                self._requeue_after(tracked, delay_ms)
            else:
                self._requeue(tracked, placed)
        else:
            self._finish(tracked, index, end, decision)
        if task.holder_id and end.started:
            self._capacity.release(task.holder_id, job.resources)
        tracked.update_state(self._clock.now_ms())
        self._wake()

    def _finish(
        self,
        tracked: tracked_job.TrackedJob,
        index: int,
        end: model.TaskEnd,
        decision: outcome.Decision,
    ) -> None:
        job = tracked.job
        tracked.end(
            model.TaskResult(
                index=index,
                state=_FINAL_STATES.get(decision, end.state),
                attempts=tracked.attempts.get(index, 0),
                worker_id=end.worker_id,
                result=end.result,
                error=end.error,
            )
        )
        self._queue.end_running(job.workspace, job.resources)
        if decision is outcome.Decision.UNKNOWN:
            events.emit(
                coordinator_events.OUTCOME_UNKNOWN,
                job_id=job.job_id,
                index=index,
                worker_id=end.worker_id,
            )

    def _requeue_after(
        self, tracked: tracked_job.TrackedJob, delay_ms: int
    ) -> None:
        """Queue a task again after a delay."""
        self._queue.end_running(tracked.job.workspace, tracked.job.resources)
        task = asyncio.ensure_future(self._enqueue_after(tracked, delay_ms))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _enqueue_after(
        self, tracked: tracked_job.TrackedJob, delay_ms: int
    ) -> None:
        await self._clock.sleep_ms(delay_ms)
        if not (tracked.closed or tracked.cancelled or tracked.state.final):
            recovery.enqueue_tasks(tracked, 1, self._queue, self._clock)
            self._wake()

    def _requeue(self, tracked: tracked_job.TrackedJob, placed: bool) -> None:
        """Queue a task again; one that was not placed keeps its turn."""
        job = tracked.job
        if not placed:
            with contextlib.suppress(errors.NotFound):
                self._queue.requeue(job.job_id, 1, self._clock.now_ms())
                return
        self._queue.end_running(job.workspace, job.resources)
        recovery.enqueue_tasks(tracked, 1, self._queue, self._clock)


_FINAL_STATES = {
    outcome.Decision.UNKNOWN: model.State.UNKNOWN,
    outcome.Decision.CANCELLED: model.State.CANCELLED,
}


def _restart_delay_ms(
    tracked: tracked_job.TrackedJob, index: int, end: model.TaskEnd
) -> int:
    """Return the backoff before a service that has ended is restarted."""
    stable = end.run_time_ms >= _STABLE_RUN_MS
    if not tracked.job.service or not end.started or stable:
        return 0
    restarts = tracked.attempts.get(index, 1) - 1
    if restarts < 1:
        return 0
    doublings = min(restarts - 1, _MAX_RESTART_DOUBLINGS)
    return _RESTART_BASE_DELAY_MS << doublings


def _is_outdated(task: tracked_task.TrackedTask, end: model.TaskEnd) -> bool:
    """Tell whether a later holder of the worker has found the task running.

    An earlier holder may report a task as lost that it no longer sees.
    """
    lost = end.state in (model.State.QUEUED, model.State.UNKNOWN)
    return lost and end.started and end.worker_epoch < task.worker_epoch


def _make_record(
    tracked: tracked_job.TrackedJob,
    result: model.TaskResult,
    attempt: int,
) -> journal_package.TaskEnded:
    return journal_package.TaskEnded(
        job_id=tracked.job.job_id,
        index=result.index,
        attempt=attempt,
        state=result.state,
        worker_id=result.worker_id,
        result=result.result,
        error=result.error,
    )
