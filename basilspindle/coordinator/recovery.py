"""Rebuild the jobs of a partition from its journal and inventories."""

import collections.abc

import msgspec

from basilspindle import clock as clock_module
from basilspindle.coordinator import events as coordinator_events
from basilspindle.coordinator import log_and_skip
from basilspindle.coordinator import owned_partition
from basilspindle.coordinator import reported
from basilspindle.coordinator import task_ids
from basilspindle.coordinator import tracked_job
from basilspindle.coordinator import tracked_task
from basilspindle import events
from basilspindle import journal as journal_package
from basilspindle import model
from basilspindle import policy

# States of ends that a worker has reported.
_RUN_STATES = frozenset(
    {model.State.SUCCEEDED, model.State.FAILED, model.State.CANCELLED}
)


def recover(
    partition: owned_partition.OwnedPartition,
    queue: policy.FairQueue,
    running: collections.abc.Iterable[model.RunningTask],
    clock: clock_module.Clock,
) -> None:
    """Load the jobs of the journal and adopt the running tasks."""
    for job_id, entry in partition.journal.state.jobs.items():
        with log_and_skip.LogAndSkip('recover', job_id):
            _recover_job(partition, job_id, entry, clock)
    for task in running:
        adopt(partition, task, task.holder_id, queue)


def recover_late(
    partition: owned_partition.OwnedPartition,
    job_id: str,
    queue: policy.FairQueue,
    clock: clock_module.Clock,
) -> None:
    """Load a job that was recorded after the partition was activated."""
    entry = partition.journal.state.jobs.get(job_id)
    if entry is None or job_id in partition.jobs:
        return
    _recover_job(partition, job_id, entry, clock)
    if partition.dispatching:
        enqueue_recovered(partition, queue, clock)
    partition.jobs[job_id].update_state(clock.now_ms())


def _recover_job(
    partition: owned_partition.OwnedPartition,
    job_id: str,
    entry: journal_package.JobEntry,
    clock: clock_module.Clock,
) -> None:
    tracked = tracked_job.TrackedJob(entry.job, partition.number)
    tracked.cancelled = entry.cancelled
    tracked.next_index = entry.job.tasks
    for result in entry.ended.values():
        tracked.end(result)
    if entry.state.final:
        _end_remaining(tracked, entry.state, entry.reason)
        tracked.update_state(clock.now_ms())
    else:
        partition.recovered_jobs.append(tracked)
    partition.jobs[job_id] = tracked


def _end_remaining(
    tracked: tracked_job.TrackedJob, state: model.State, reason: str
) -> None:
    for index in range(tracked.job.tasks):
        if index not in tracked.ended:
            tracked.ended[index] = model.TaskResult(
                index=index, state=state, error=reason
            )
    tracked.reason = reason


def find_unresolved_intents(
    partition: owned_partition.OwnedPartition,
) -> list[tuple[tracked_job.TrackedJob, int, model.TaskEnd]]:
    """Return ends for non-idempotent tasks that may have run.

    The intent to start them is recorded, but no holder reports them as
    running or ended. They are added to the started tasks, so that the
    returned ends can be applied like any other.
    """
    unresolved = []
    entries = partition.journal.state.jobs
    for tracked in partition.recovered_jobs:
        entry = entries.get(tracked.job.job_id)
        if entry is None or tracked.state.final or tracked.job.idempotent:
            continue
        for index, intent in entry.intents.items():
            if index in tracked.started or index in tracked.ended:
                continue
            task = tracked_task.TrackedTask(index, intent.attempt)
            task.worker_id = intent.worker_id
            tracked.adopt(task)
            end = model.TaskEnd(
                task_id=tracked.job.task_id(index),
                attempt=intent.attempt,
                workspace=tracked.job.workspace,
                partition=partition.number,
                worker_id=intent.worker_id,
                state=model.State.UNKNOWN,
                error='the daemon that started the task was lost',
            )
            unresolved.append((tracked, index, end))
    return unresolved


def enqueue_recovered(
    partition: owned_partition.OwnedPartition,
    queue: policy.FairQueue,
    clock: clock_module.Clock,
) -> None:
    """Queue the tasks of recovered jobs that neither run nor have ended."""
    for tracked in partition.recovered_jobs:
        if not tracked.state.final:
            with log_and_skip.LogAndSkip('queue', tracked.job.job_id):
                _enqueue_recovered_job(tracked, queue, clock)
    partition.recovered_jobs.clear()


def _enqueue_recovered_job(
    tracked: tracked_job.TrackedJob,
    queue: policy.FairQueue,
    clock: clock_module.Clock,
) -> None:
    # Attempts that have ended since the recovery are queued already.
    requeued = set(tracked.retry_indexes)
    indexes = [
        index
        for index in range(tracked.job.tasks)
        if index not in tracked.started
        and index not in tracked.ended
        and index not in requeued
    ]
    tracked.retry_indexes.extend(indexes)
    if tracked.cancelled:
        tracked.end_queued(model.State.CANCELLED, 'cancelled')
    elif indexes:
        enqueue_tasks(tracked, len(indexes), queue, clock)


def enqueue_job(
    tracked: tracked_job.TrackedJob,
    queue: policy.FairQueue,
    clock: clock_module.Clock,
) -> None:
    """Add the queued tasks of an accepted job to the fair queue.

    The limits of the queue do not apply.
    """
    if tracked.queued:
        enqueue_tasks(tracked, tracked.queued, queue, clock)


def enqueue_tasks(
    tracked: tracked_job.TrackedJob,
    count: int,
    queue: policy.FairQueue,
    clock: clock_module.Clock,
) -> None:
    """Add ``count`` tasks of an accepted job to the fair queue.

    The limits of the queue do not apply.
    """
    job = tracked.job
    left_ms = 0
    if job.deadline_ms:
        # Monotonic time is not comparable between owners; wall time is.
        age_ms = max(0, clock.wall_ms() - job.submitted_wall_ms)
        left_ms = max(1, job.deadline_ms - age_ms)
    queue.push(
        job.job_id,
        job.workspace,
        job.priority,
        job.resources,
        count,
        job.gang and count == job.tasks,
        clock.now_ms(),
        left_ms,
        run_time_ms=job.run_time_ms,
        accepted=True,
    )


def adopt(
    partition: owned_partition.OwnedPartition,
    task: model.RunningTask,
    holder_id: str,
    queue: policy.FairQueue,
) -> None:
    """Track a running task that a holder reports, and its location.

    One that cannot be tracked is skipped: others follow it in a report,
    which its holder would otherwise repeat.
    """
    with log_and_skip.LogAndSkip('adopt', task.task_id):
        _adopt(partition, task, holder_id, queue)


def _adopt(
    partition: owned_partition.OwnedPartition,
    task: model.RunningTask,
    holder_id: str,
    queue: policy.FairQueue,
) -> None:
    reason = reported.check_running(task)
    if reason:
        events.emit(
            coordinator_events.TASK_REPORT_REFUSED,
            partition=partition.number,
            task_id=task.task_id,
            reason=reason,
        )
        # It runs all the same, and must not be started again.
        task = reported.clear_odd_values(task)
    job_id, index = task_ids.parse(task.task_id)
    tracked = partition.jobs.get(job_id)
    if tracked is None:
        orphan = partition.orphans.get(task.task_id)
        if orphan is None:
            queue.add_running(task.workspace, task.resources)
        else:
            # Its end subtracts what was counted.
            task = msgspec.structs.replace(
                task, workspace=orphan.workspace, resources=orphan.resources
            )
        partition.orphans[task.task_id] = msgspec.structs.replace(
            task, holder_id=holder_id
        )
        return
    known = tracked.started.get(index)
    if known is not None:
        if known.attempt == task.attempt:
            _update_location(known, task, holder_id)
        return
    if index in tracked.ended or index >= tracked.job.tasks:
        return
    if not _withdraw(tracked, index, queue):
        return
    _track_running(tracked, index, task, holder_id)
    # The end subtracts what the job requests; a worker may state otherwise.
    queue.add_running(tracked.job.workspace, tracked.job.resources)


def adopt_orphans(
    partition: owned_partition.OwnedPartition,
    tracked: tracked_job.TrackedJob,
    queue: policy.FairQueue,
) -> None:
    """Track the tasks of a resubmitted job that are already running."""
    job_id = tracked.job.job_id
    for task_id, task in list(partition.orphans.items()):
        orphan_job_id, index = task_ids.parse(task_id)
        if orphan_job_id == job_id and index < tracked.job.tasks:
            del partition.orphans[task_id]
            _remove_queued(tracked, index)
            _track_running(tracked, index, task, task.holder_id)
            # Its end subtracts the resources of the job.
            queue.end_running(task.workspace, task.resources)
            queue.add_running(tracked.job.workspace, tracked.job.resources)


def _remove_queued(tracked: tracked_job.TrackedJob, index: int) -> None:
    # All queued tasks are moved to retry_indexes, because only from there a
    # single one can be removed.
    if tracked.next_index < tracked.job.tasks:
        tracked.retry_indexes.extend(
            range(tracked.next_index, tracked.job.tasks)
        )
        tracked.next_index = tracked.job.tasks
    tracked.retry_indexes.remove(index)


def _withdraw(
    tracked: tracked_job.TrackedJob, index: int, queue: policy.FairQueue
) -> bool:
    """Take a task out of the queue; return False if it may start anyway."""
    if index < tracked.next_index and index not in tracked.retry_indexes:
        # Tasks of a recovered job are queued when dispatching starts.
        return True
    # A service that waits for its restart is not in the queue yet.
    if not queue.withdraw(tracked.job.job_id):
        return False
    _remove_queued(tracked, index)
    return True


def adopt_ended(
    tracked: tracked_job.TrackedJob,
    index: int,
    end: model.TaskEnd,
    queue: policy.FairQueue,
) -> bool:
    """Track an attempt that ended before this owner knew of it.

    Returns False if the end does not show that the task has run: a later
    holder may still find a lost one running.
    """
    if (
        end.state not in _RUN_STATES
        or index >= tracked.job.tasks
        or index in tracked.started
        or index in tracked.ended
    ):
        return False
    # A failed attempt has queued its task and is reported until confirmed.
    repeated = index in tracked.retry_indexes
    if repeated and end.state is not model.State.SUCCEEDED:
        return False
    if not _withdraw(tracked, index, queue):
        return False
    task = tracked_task.TrackedTask(index, end.attempt)
    task.worker_id = end.worker_id
    tracked.adopt(task)
    queue.add_running(tracked.job.workspace, tracked.job.resources)
    return True


def _track_running(
    tracked: tracked_job.TrackedJob,
    index: int,
    task: model.RunningTask,
    holder_id: str,
) -> None:
    found = tracked_task.TrackedTask(index, task.attempt)
    found.state = model.State.RUNNING
    _update_location(found, task, holder_id)
    tracked.adopt(found)


def _update_location(
    known: tracked_task.TrackedTask,
    task: model.RunningTask,
    holder_id: str,
) -> None:
    known.state = model.State.RUNNING
    known.worker_id = task.worker_id
    known.failure_domain = task.failure_domain
    known.rack = task.rack
    known.worker_epoch = max(known.worker_epoch, task.worker_epoch)
    known.missed_inventories = 0
    known.expired_end = None
    if holder_id:
        known.holder_id = holder_id
