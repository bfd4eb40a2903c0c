"""Detect slow and stalled workers by the progress of their tasks.

Workers can become slow or stall while their health checks still pass. Such a
worker gets no new tasks, and those it runs are restarted on other workers
where they would end sooner.
"""

import statistics
import typing

from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import step_run as step_run_module
from basilspindle.workflow import task as task_module
from basilspindle.workflow import task_state

_State = task_state.TaskState
# Weight of a finished task in the moving average of its worker's slowness, if
# the expected duration comes from finished tasks of the same step, and if it
# comes from the declared estimate.
_SIBLING_WEIGHT = 0.08
_ESTIMATE_WEIGHT = 0.03
# Weight of a finished task in the duration factor of its queue.
_QUEUE_FACTOR_WEIGHT = 0.05
# Bounds on the ratio of actual to expected duration of one task.
_MIN_RATIO = 0.25
_MAX_RATIO = 8.0
# Progress is measured over at least this time.
_MIN_SAMPLE_MS = 600
# A worker is slow if its tasks progress this many times slower than expected
# and belong to several jobs.
_SLOW_LAG = 2.5
_MIN_JOBS = 2
# A task without progress is stalled if at least this much was expected.
_MIN_EXPECTED_PROGRESS_PERCENT = 4.0
# Lower bound on measured progress, to keep the lag of a stalled task finite.
_MIN_PROGRESS_PERCENT = 0.5
# A slow worker gets no new tasks for this long after each slow sample.
_SUSPECT_MS = 1_200
# Time to stop a task and start it on another worker.
_MOVE_OVERHEAD_MS = 600
# A task is moved only if that divides its remaining time by at least this.
_MIN_MOVE_SPEEDUP = 2.0


def expected_ms(
    state: state_module.CellState, run: step_run_module.StepRun
) -> float:
    """Return the expected duration of a task on a healthy worker."""
    if run.timed_tasks:
        return run.timed_total_ms / run.timed_tasks
    queue = run.job.definition.queue
    return max(1.0, run.step.estimate_ms * state.duration_factor(queue))


def record_duration(
    state: state_module.CellState,
    worker: worker_module.Worker,
    task: task_module.Task,
    now_ms: int,
) -> None:
    """Update duration estimates and slowness from a finished task."""
    run = task.step_run
    if run.step.gang or not task.started_ms:
        # The members of a gang wait for each other.
        return
    duration_ms = max(1, now_ms - task.started_ms)
    weight = _SIBLING_WEIGHT if run.timed_tasks else _ESTIMATE_WEIGHT
    ratio = duration_ms / expected_ms(state, run)
    ratio = min(max(ratio, _MIN_RATIO), _MAX_RATIO)
    worker.slowness += weight * (ratio - worker.slowness)
    run.timed_tasks += 1
    run.timed_total_ms += duration_ms / worker.slowness
    if run.step.estimate_ms:
        queue = run.job.definition.queue
        factor = state.duration_factor(queue)
        actual = duration_ms / run.step.estimate_ms
        actual = min(max(actual, _MIN_RATIO), _MAX_RATIO)
        state.duration_factors[queue] = factor + _QUEUE_FACTOR_WEIGHT * (
            actual - factor
        )


def check_progress(
    state: state_module.CellState,
    worker: worker_module.Worker,
    now_ms: int,
) -> None:
    """Compare the progress of the tasks of a worker with what is expected.

    Marks a slow worker as suspect and stops tasks that would end sooner on
    another worker.
    """
    samples = [
        sample
        for task in worker.tasks.values()
        if (sample := _take_sample(state, task, now_ms)) is not None
    ]
    if not samples:
        return
    worker.lag = statistics.median(sample.lag for sample in samples)
    if not _is_slow(worker, samples):
        worker.slow_samples = 0
        return
    worker.slow_samples += 1
    if worker.slow_samples < 2:
        return
    worker.suspect_until_ms = max(
        worker.suspect_until_ms, now_ms + _SUSPECT_MS
    )
    for task in list(worker.tasks.values()):
        if _is_faster_elsewhere(state, task, worker.lag):
            task.avoided_worker_ids.add(worker.worker_id)
            state.request_stop(task)


class _Sample(typing.NamedTuple):
    """Progress of a task since the previous sample."""

    job_id: str
    lag: float
    is_stalled: bool


def _is_slow(worker: worker_module.Worker, samples: list[_Sample]) -> bool:
    if all(sample.is_stalled for sample in samples):
        return True
    # A single job may just take longer than its estimate.
    jobs = {sample.job_id for sample in samples}
    return len(jobs) >= _MIN_JOBS and worker.lag >= _SLOW_LAG


def _take_sample(
    state: state_module.CellState, task: task_module.Task, now_ms: int
) -> _Sample | None:
    run = task.step_run
    step = run.step
    if task.state is not _State.RUNNING or step.gang or step.service:
        return None
    if step.fills:
        # The progress of a backfill task depends on its pace.
        return None
    if not task.sampled_ms:
        task.sampled_ms = now_ms
        task.sampled_percent = task.percent
        return None
    elapsed_ms = now_ms - task.sampled_ms
    if elapsed_ms < _MIN_SAMPLE_MS:
        return None
    progress = task.percent - task.sampled_percent
    task.sampled_ms = now_ms
    task.sampled_percent = task.percent
    expected = elapsed_ms * 100 / expected_ms(state, run)
    return _Sample(
        run.job.job_id,
        expected / max(progress, _MIN_PROGRESS_PERCENT),
        progress <= 0 and expected >= _MIN_EXPECTED_PROGRESS_PERCENT,
    )


def _is_faster_elsewhere(
    state: state_module.CellState, task: task_module.Task, lag: float
) -> bool:
    run = task.step_run
    if task.state is not _State.RUNNING or run.step.gang or run.step.service:
        return False
    total_ms = expected_ms(state, run)
    remaining_ms = total_ms * (100 - task.percent) / 100
    restart_ms = remaining_ms if run.step.checkpoints else total_ms
    return remaining_ms * lag > _MIN_MOVE_SPEEDUP * (
        restart_ms + _MOVE_OVERHEAD_MS
    )
