"""Capture the progress of a job for the log and restore it."""

import msgspec

from basilspindle import errors
from basilspindle.workflow import definition as definition_module
from basilspindle.workflow import job as job_module
from basilspindle.workflow import job_state
from basilspindle.workflow import task_state


class TaskProgress(msgspec.Struct, array_like=True, frozen=True):
    """Progress of a task that was started and is not done."""

    index: int
    run: int
    ended_run: int
    failed_runs: tuple[int, ...]
    checkpoint: str


class StepProgress(msgspec.Struct, array_like=True, frozen=True):
    """Progress of a step run.

    ``done`` is a little-endian bit set of the indexes of finished tasks.
    """

    occurrence: int
    index: int
    done: bytes
    gang_failed_runs: tuple[int, ...]
    tasks: tuple[TaskProgress, ...]


class Progress(msgspec.Struct, array_like=True, frozen=True):
    """Progress of a job as stored in the log."""

    state: job_state.JobState
    next_occurrence: int
    steps: tuple[StepProgress, ...]


def capture(job: job_module.Job) -> Progress:
    """Return the progress of a job."""
    steps = []
    for (occurrence, index), run in job.runs.items():
        started = tuple(
            TaskProgress(
                task.index,
                task.run,
                task.ended_run,
                tuple(task.failed_runs),
                task.checkpoint,
            )
            for task in run.tasks
            if task.run and task.state is not task_state.TaskState.DONE
        )
        if not started and not run.done and not run.gang_failed_runs:
            continue
        done_bits = sum(
            1 << task.index
            for task in run.tasks
            if task.state is task_state.TaskState.DONE
        )
        done = done_bits.to_bytes((run.step.count + 7) // 8, 'little')
        steps.append(
            StepProgress(
                occurrence,
                index,
                done,
                tuple(run.gang_failed_runs),
                started,
            )
        )
    return Progress(job.state, job.next_occurrence, tuple(steps))


def restore(
    definition: definition_module.JobDefinition,
    progress: Progress | None,
    now_ms: int,
    now_wall_ms: int,
) -> job_module.Job:
    """Rebuild a job of an earlier leader from its stored progress.

    Raises ``RecordUnreadable`` if the progress is not one of this job.
    """
    age_ms = max(0, now_wall_ms - definition.accepted_wall_ms)
    job = job_module.Job(definition, now_ms - age_ms)
    job.recovered = True
    job.durable_state = job_state.JobState.PENDING
    job.durable_occurrences = job.next_occurrence
    if progress is None:
        return job
    if not 0 <= progress.next_occurrence <= job.occurrences:
        raise _unreadable(definition, 'the number of occurrences')
    job.state = job.durable_state = progress.state
    while job.next_occurrence < progress.next_occurrence:
        job.open_occurrence()
    job.durable_occurrences = job.next_occurrence
    for saved_step in progress.steps:
        run = job.runs.get((saved_step.occurrence, saved_step.index))
        if run is None:
            raise _unreadable(definition, 'the number of a step')
        run.gang_failed_runs = set(saved_step.gang_failed_runs)
        done_bits = int.from_bytes(saved_step.done, 'little')
        for task in run.tasks:
            if done_bits >> task.index & 1:
                run.mark_done(task)
        for saved_task in saved_step.tasks:
            if not 0 <= saved_task.index < len(run.tasks):
                raise _unreadable(definition, 'the number of a task')
            task = run.tasks[saved_task.index]
            task.run = saved_task.run
            task.ended_run = saved_task.ended_run
            task.failed_runs = set(saved_task.failed_runs)
            task.checkpoint = saved_task.checkpoint
    job.started = bool(progress.steps)
    return job


def _unreadable(
    definition: definition_module.JobDefinition, what: str
) -> errors.RecordUnreadable:
    return errors.RecordUnreadable(
        f'the progress of job {definition.job_id} does not match its '
        f'definition: {what} is out of range; find out what wrote it'
    )
