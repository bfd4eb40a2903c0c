"""Judge workers by the progress of what they run.

Answers workers that turn slow or stand still while they stay healthy: they
get no new work, and what they hold starts again elsewhere where that ends
sooner.
"""

import statistics
import typing

from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import step_run as step_run_module
from basilspindle.workflow import task as task_module
from basilspindle.workflow import task_state

_State = task_state.TaskState
# Weight of one finished task in the slowness of its worker.
_SIBLING_WEIGHT = 0.08
_ESTIMATE_WEIGHT = 0.03
_QUEUE_WEIGHT = 0.05
_LEAST_RATIO = 0.25
_MOST_RATIO = 8.0
# Progress is compared over at least this time.
_SAMPLE_MS = 600
# A worker this much behind its peers is slow, if the tasks of several jobs
# show it.
_SLOW_LAG = 2.5
_LEAST_JOBS = 2
# Percent that are expected before none at all means a standstill.
_CLEAR_PROGRESS = 4.0
# Percent that a sample counts at least, so that a standstill has a lag.
_LEAST_PROGRESS = 0.5
_SUSPECT_MS = 1_200
# Time that a stop and another start take besides the work.
_MOVE_MS = 600
# A move has to halve the time that is left.
_MOVE_GAIN = 2.0


def expected_ms(
    state: state_module.CellState, run: step_run_module.StepRun
) -> float:
    """Return how long a task of a step takes on a sound worker."""
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
    """Learn from the time that a finished task took."""
    run = task.step_run
    if run.step.gang or not task.started_ms:
        # The members of a gang wait for each other.
        return
    duration_ms = max(1, now_ms - task.started_ms)
    weight = _SIBLING_WEIGHT if run.timed_tasks else _ESTIMATE_WEIGHT
    ratio = duration_ms / expected_ms(state, run)
    ratio = min(max(ratio, _LEAST_RATIO), _MOST_RATIO)
    worker.slowness += weight * (ratio - worker.slowness)
    run.timed_tasks += 1
    run.timed_total_ms += duration_ms / worker.slowness
    if run.step.estimate_ms:
        queue = run.job.definition.queue
        factor = state.duration_factor(queue)
        seen = duration_ms / run.step.estimate_ms
        seen = min(max(seen, _LEAST_RATIO), _MOST_RATIO)
        state.duration_factors[queue] = factor + _QUEUE_WEIGHT * (
            seen - factor
        )


def check_progress(
    state: state_module.CellState,
    worker: worker_module.Worker,
    now_ms: int,
) -> None:
    """Compare the progress of a worker's tasks with what is expected.

    Suspects a worker that is far behind and stops what ends sooner
    elsewhere.
    """
    samples = [
        sample
        for task in worker.tasks.values()
        if (sample := _sample(state, task, now_ms)) is not None
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
        if _gains_by_move(state, task, worker.lag):
            task.avoided_worker_ids.add(worker.worker_id)
            state.request_stop(task)


class _Sample(typing.NamedTuple):
    """Progress of a task since the last look."""

    job_id: str
    lag: float
    stands: bool


def _is_slow(worker: worker_module.Worker, samples: list[_Sample]) -> bool:
    if all(sample.stands for sample in samples):
        return True
    # One job may just be longer than its estimate says.
    jobs = {sample.job_id for sample in samples}
    return len(jobs) >= _LEAST_JOBS and worker.lag >= _SLOW_LAG


def _sample(
    state: state_module.CellState, task: task_module.Task, now_ms: int
) -> _Sample | None:
    run = task.step_run
    step = run.step
    if task.state is not _State.RUNNING or step.gang or step.service:
        return None
    if step.fills:
        # It works as fast as it is paced.
        return None
    if not task.sampled_ms:
        task.sampled_ms = now_ms
        task.sampled_percent = task.percent
        return None
    passed_ms = now_ms - task.sampled_ms
    if passed_ms < _SAMPLE_MS:
        return None
    progress = task.percent - task.sampled_percent
    task.sampled_ms = now_ms
    task.sampled_percent = task.percent
    expected = passed_ms * 100 / expected_ms(state, run)
    return _Sample(
        run.job.job_id,
        expected / max(progress, _LEAST_PROGRESS),
        progress <= 0 and expected >= _CLEAR_PROGRESS,
    )


def _gains_by_move(
    state: state_module.CellState, task: task_module.Task, lag: float
) -> bool:
    run = task.step_run
    if task.state is not _State.RUNNING or run.step.gang or run.step.service:
        return False
    whole_ms = expected_ms(state, run)
    left_ms = whole_ms * (100 - task.percent) / 100
    again_ms = left_ms if run.step.checkpoints else whole_ms
    return left_ms * lag > _MOVE_GAIN * (again_ms + _MOVE_MS)
