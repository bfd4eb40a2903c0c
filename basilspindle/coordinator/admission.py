"""Accept each submitted job once, or refuse it."""

import asyncio
import collections.abc

from basilspindle import clock as clock_module
from basilspindle.coordinator import capacity_tracker
from basilspindle.coordinator import owned_partition
from basilspindle.coordinator import recovery
from basilspindle.coordinator import task_end_handler
from basilspindle.coordinator import task_ids
from basilspindle.coordinator import tracked_job
from basilspindle.coordinator import usage_estimates
from basilspindle import errors
from basilspindle import journal as journal_package
from basilspindle import model
from basilspindle import policy

# The append goes on after the submission that waits for it has timed out.
_APPEND_TIMEOUT_MS = 24 * 3_600_000
_SUBMIT_TIMEOUT_MS = 5_000


class Admission:
    """Admit submitted jobs to owned partitions.

    ``wake`` is called after a job was queued.
    """

    __slots__ = (
        '_clock',
        '_queue',
        '_capacity',
        '_end_handler',
        '_estimates',
        '_unrecorded_counts',
        '_wake',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        queue: policy.FairQueue,
        capacity: capacity_tracker.CapacityTracker,
        end_handler: task_end_handler.TaskEndHandler,
        estimates: usage_estimates.UsageEstimates,
        wake: collections.abc.Callable[[], None],
    ) -> None:
        self._clock = clock
        self._queue = queue
        self._capacity = capacity
        self._end_handler = end_handler
        self._estimates = estimates
        self._wake = wake
        # Number of tasks in jobs that are being recorded, by workspace.
        self._unrecorded_counts: dict[str, int] = {}

    async def accept(
        self, partition: owned_partition.OwnedPartition, job: model.Job
    ) -> bool:
        """Accept a job; return whether it had been submitted before.

        Raises ``KeyReused``, ``QueueFull``, ``Unschedulable`` or
        ``LogUnavailable`` if the job was not accepted, ``OutcomeUnknown``
        or ``Deposed`` if it may have been.
        """
        existing = partition.jobs.get(job.job_id)
        if existing is not None:
            _check_same(existing.job, job)
            return True
        repeated = job.job_id in partition.accepting
        declared = job.resources
        if not repeated:
            self._check_admissible(partition, job)
            job = self._estimates.adjust(
                job, self._capacity.max_worker_resources()
            )
        if job.durable:
            await self._accept_durable(partition, job)
        else:
            self._admit(partition, job)
        existing = partition.jobs.get(job.job_id)
        if existing is not None and not repeated:
            existing.declared_resources = declared
        return repeated

    def _check_admissible(
        self, partition: owned_partition.OwnedPartition, job: model.Job
    ) -> None:
        # Until all workers have reported, the largest worker may be unknown.
        reason = (
            self.unschedulable_reason(job) if partition.dispatching else ''
        )
        if reason:
            raise errors.Unschedulable(
                f'{reason}; request fewer resources or add larger workers'
            )
        self._queue.check_queue_limit(
            job.workspace,
            job.tasks + self._unrecorded_counts.get(job.workspace, 0),
        )

    def unschedulable_reason(self, job: model.Job) -> str:
        """Return why no worker can run a task of the job, or ''."""
        max_worker = self._capacity.max_worker_resources()
        if max_worker == model.Resources():
            return ''
        return policy.unschedulable_reason(job.resources, [max_worker])

    async def _accept_durable(
        self, partition: owned_partition.OwnedPartition, job: model.Job
    ) -> None:
        task = partition.accepting.get(job.job_id)
        if task is None:
            task = asyncio.ensure_future(self._record(partition, job))
            partition.accepting[job.job_id] = task
            task.add_done_callback(_retrieve_exception)
        try:
            await self._clock.wait_for(
                asyncio.shield(task), _SUBMIT_TIMEOUT_MS
            )
        except errors.DeadlineExceeded:
            raise errors.OutcomeUnknown(
                'the log has not confirmed the job yet; look up the job by '
                'its id before submitting it again',
                job_id=job.job_id,
            ) from None
        except asyncio.CancelledError:
            if task.cancelled():
                # The router submits the same job id to the new owner.
                raise errors.Deposed(
                    'the partition moved to another daemon; submit again '
                    'with the same idempotency key',
                    ran=errors.Ran.UNKNOWN,
                    job_id=job.job_id,
                ) from None
            raise
        existing = partition.jobs.get(job.job_id)
        if existing is not None:
            _check_same(existing.job, job)

    async def _record(
        self, partition: owned_partition.OwnedPartition, job: model.Job
    ) -> bool:
        self._unrecorded_counts[job.workspace] = (
            self._unrecorded_counts.get(job.workspace, 0) + job.tasks
        )
        try:
            await partition.journal.append(
                journal_package.JobAccepted(job=job),
                timeout_ms=_APPEND_TIMEOUT_MS,
            )
            # An earlier record of the job may have been confirmed meanwhile.
            if not partition.closed and job.job_id not in partition.jobs:
                self._admit(partition, job)
            return True
        finally:
            self._unrecorded_counts[job.workspace] -= job.tasks
            partition.accepting.pop(job.job_id, None)

    def _admit(
        self, partition: owned_partition.OwnedPartition, job: model.Job
    ) -> None:
        tracked = tracked_job.TrackedJob(job, partition.number)
        partition.jobs[job.job_id] = tracked
        recovery.adopt_orphans(partition, tracked, self._queue)
        recovery.enqueue_job(tracked, self._queue, self._clock)
        for task_id, (_, end) in list(partition.orphan_ends.items()):
            if task_ids.parse(task_id)[0] == job.job_id:
                del partition.orphan_ends[task_id]
                self._end_handler.apply(partition, end)
        tracked.update_state(self._clock.now_ms())
        self._wake()


def _check_same(existing: model.Job, job: model.Job) -> None:
    if existing.body_hash != job.body_hash:
        raise errors.KeyReused(
            'the idempotency key was used with another request body; use a '
            'new key for a new job',
            job_id=existing.job_id,
        )


def _retrieve_exception(task: asyncio.Task[bool]) -> None:
    # A waiting submission raises the error. If none waits, retrieving it
    # keeps asyncio from reporting it as unhandled.
    if not task.cancelled():
        task.exception()
