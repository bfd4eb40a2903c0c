"""Capture the progress of a job for the log and restore it."""

import msgspec

from basilspindle import decoding
from basilspindle import errors
from basilspindle.workflow import definition as definition_module
from basilspindle.workflow import job as job_module
from basilspindle.workflow import job_state
from basilspindle.workflow import task_state


# Each run has a number above those before, up to what a record may hold.
MAX_RUN = decoding.MAX_INTEGER // 2
# A leader opens an occurrence while fewer than MAX_TASKS tasks are open, and
# that one adds as many at most.
_MAX_OPEN_TASKS = 2 * definition_module.MAX_TASKS
# Below the limit that the store sets on one record.
_MAX_PART_BYTES = 150_000
# Below the limit that the store sets on one append, beside other records.
_MAX_BYTES = 900_000
# Estimated size of a task or step beside what varies.
_ROW_BYTES = 28
_NUMBER_BYTES = 9


class TaskProgress(msgspec.Struct, array_like=True, frozen=True):
    """Progress of a task that was started and is not done."""

    index: decoding.Count
    run: decoding.Count
    ended_run: decoding.Count
    failed_runs: tuple[decoding.Count, ...]
    checkpoint: str


class StepProgress(msgspec.Struct, array_like=True, frozen=True):
    """Progress of a step run.

    ``done`` is a little-endian bit set of the indexes of finished tasks.
    """

    occurrence: decoding.Count
    index: decoding.Count
    done: bytes
    gang_failed_runs: tuple[decoding.Count, ...]
    tasks: tuple[TaskProgress, ...]


class Progress(msgspec.Struct, array_like=True, frozen=True):
    """Progress of a job as stored in the log.

    All occurrences below ``done_occurrences`` are done; they have no steps.
    It is 0 unless the steps of all occurrences would take too much room, as
    earlier builds do not know it and would run such occurrences again.

    ``parts`` is the number of records of the progress, and ``mark`` is the
    same in all records of one append. Records of earlier builds lack both and
    count as whole.
    """

    state: job_state.JobState
    next_occurrence: decoding.Count
    steps: tuple[StepProgress, ...]
    done_occurrences: decoding.Count = 0
    parts: decoding.Count = 1
    mark: decoding.Count = 0


def capture(job: job_module.Job) -> Progress:
    """Return the progress of a job."""
    progress = _capture_from(job, 0)
    if sum(map(_step_bytes, progress.steps)) <= _MAX_PART_BYTES:
        return progress
    return _capture_from(job, job.count_done_occurrences())


def _capture_from(job: job_module.Job, done_occurrences: int) -> Progress:
    steps = []
    for (occurrence, index), run in job.runs.items():
        if occurrence < done_occurrences:
            continue
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
    return Progress(
        job.state, job.next_occurrence, tuple(steps), done_occurrences
    )


def divide(progress: Progress) -> list[Progress]:
    """Return parts of a progress that fit into one record each.

    Without checkpoints if they would not fit into one append: the tasks start
    from their beginning then, under a later leader. The first part tells of
    all done tasks, as earlier builds read only that one and would run them
    again.
    """
    if sum(map(_step_bytes, progress.steps)) > _MAX_BYTES:
        progress = msgspec.structs.replace(
            progress, steps=tuple(map(_drop_checkpoints, progress.steps))
        )
    if sum(map(_step_bytes, progress.steps)) <= _MAX_PART_BYTES:
        return [progress]
    pieces = [
        msgspec.structs.replace(step, tasks=()) for step in progress.steps
    ]
    for step in progress.steps:
        pieces += _divide_tasks(step)
    parts: list[list[StepProgress]] = [[]]
    size_bytes = 0
    for piece in pieces:
        piece_bytes = _step_bytes(piece)
        if parts[-1] and size_bytes + piece_bytes > _MAX_PART_BYTES:
            parts.append([])
            size_bytes = 0
        parts[-1].append(piece)
        size_bytes += piece_bytes
    return [
        msgspec.structs.replace(progress, steps=tuple(steps), parts=len(parts))
        for steps in parts
    ]


def join(parts: list[Progress]) -> Progress:
    """Return the progress that was divided into parts.

    Ignores parts of another append than that of the first one.
    """
    first = parts[0]
    steps = tuple(
        step
        for part in parts[: first.parts]
        if part.mark == first.mark
        for step in part.steps
    )
    return msgspec.structs.replace(first, steps=steps)


def _divide_tasks(step: StepProgress) -> list[StepProgress]:
    if not step.tasks:
        return []
    pieces: list[list[TaskProgress]] = [[]]
    size_bytes = 0
    for task in step.tasks:
        task_bytes = _task_bytes(task)
        if pieces[-1] and size_bytes + task_bytes > _MAX_PART_BYTES // 2:
            pieces.append([])
            size_bytes = 0
        pieces[-1].append(task)
        size_bytes += task_bytes
    return [
        msgspec.structs.replace(step, done=b'', tasks=tuple(tasks))
        for tasks in pieces
    ]


def _drop_checkpoints(step: StepProgress) -> StepProgress:
    return msgspec.structs.replace(
        step,
        tasks=tuple(
            msgspec.structs.replace(task, checkpoint='') for task in step.tasks
        ),
    )


def _step_bytes(step: StepProgress) -> int:
    return (
        _ROW_BYTES
        + len(step.done)
        + _NUMBER_BYTES * len(step.gang_failed_runs)
        + sum(map(_task_bytes, step.tasks))
    )


def _task_bytes(task: TaskProgress) -> int:
    return (
        _ROW_BYTES
        + _NUMBER_BYTES * len(task.failed_runs)
        + len(task.checkpoint.encode())
    )


def restore(
    definition: definition_module.JobDefinition,
    progress: Progress | None,
    now_ms: int,
    now_wall_ms: int,
) -> job_module.Job:
    """Rebuild a job of an earlier leader from its stored progress.

    Raises ``RecordUnreadable`` if the progress is not one of this job, or if
    either has more tasks than a leader accepts or opens.
    """
    counts = [step.count for step in definition.steps]
    if min(counts, default=0) < 0 or sum(counts) > definition_module.MAX_TASKS:
        raise _unreadable(definition, 'the number of tasks')
    age_ms = max(0, now_wall_ms - definition.accepted_wall_ms)
    job = job_module.Job(definition, now_ms - age_ms)
    job.recovered = True
    job.durable_state = job_state.JobState.PENDING
    job.durable_occurrences = job.next_occurrence
    if progress is None:
        return job
    if not 0 <= progress.next_occurrence <= job.occurrences:
        raise _unreadable(definition, 'the number of occurrences')
    if not 0 <= progress.done_occurrences <= progress.next_occurrence:
        raise _unreadable(definition, 'the number of done occurrences')
    occurrences = progress.next_occurrence - progress.done_occurrences
    if occurrences * sum(counts) - _count_done(progress) > _MAX_OPEN_TASKS:
        raise _unreadable(definition, 'the number of open tasks')
    job.state = job.durable_state = progress.state
    while job.next_occurrence < progress.next_occurrence:
        job.open_occurrence()
    job.durable_occurrences = job.next_occurrence
    for (occurrence, _), run in job.runs.items():
        if occurrence < progress.done_occurrences:
            for task in run.tasks:
                run.mark_done(task)
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
            if max(saved_task.run, saved_task.ended_run) > MAX_RUN:
                raise _unreadable(definition, 'the number of a run')
            task = run.tasks[saved_task.index]
            task.run = saved_task.run
            task.ended_run = saved_task.ended_run
            task.failed_runs = set(saved_task.failed_runs)
            task.checkpoint = saved_task.checkpoint
    job.started = bool(progress.steps or progress.done_occurrences)
    return job


def _count_done(progress: Progress) -> int:
    # A step may have several entries.
    done: dict[tuple[int, int], int] = {}
    for step in progress.steps:
        key = step.occurrence, step.index
        bits = int.from_bytes(step.done, 'little')
        done[key] = done.get(key, 0) | bits
    return sum(bits.bit_count() for bits in done.values())


def _unreadable(
    definition: definition_module.JobDefinition, what: str
) -> errors.RecordUnreadable:
    return errors.RecordUnreadable(
        f'the progress of job {definition.job_id} does not match its '
        f'definition: {what} is out of range; find out what wrote it'
    )
