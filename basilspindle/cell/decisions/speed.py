"""Learn the speed of workers, and detect slow and stalled ones.

Workers differ in speed, and can become slow or stall while their health
checks still pass. A worker that is far slower than before gets no new tasks,
and those it runs are restarted on other workers where they would end sooner.
"""

import math
import statistics

from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import step_run as step_run_module
from basilspindle.workflow import step_timing
from basilspindle.workflow import task as task_module
from basilspindle.workflow import task_state

_State = task_state.TaskState
# A running task whose progress is at least this is measured by it. Workers
# report whole percents, and start-up takes a part of a short task.
_MIN_MEASURED_PERCENT = 15
_MIN_MEASURED_MS = 300
# One task counts as at most this many standard deviations from its step.
_MAX_TASK_DEVIATIONS = 2.5
# Progress is measured over at least this time.
_MIN_SAMPLE_MS = 600
# A worker is slow if its tasks progress this many times slower than expected
# and belong to several jobs.
_SLOW_LAG = 2.5
MIN_SLOW_SAMPLES = 2
_MIN_JOBS = 2
# A worker that is always slower than this is not accepted as normal: what it
# runs is compared with what a worker of this slowness would do.
_MAX_EXPECTED_SLOWNESS = 2.0
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
    state: state_module.CellState,
    run: step_run_module.StepRun,
    worker: worker_module.Worker | None = None,
) -> float:
    """Return the expected duration of a task on a worker.

    Without one, on a worker of normal speed in the rack of the data.
    """
    if run.timing is not None:
        normal_ms = run.timing.expected_ms
    else:
        factor = state.duration_factor(run.job.definition.queue)
        normal_ms = max(1.0, run.step.estimate_ms * factor)
    if worker is None:
        return normal_ms
    return (
        normal_ms * worker.speed.slowness * _remote_factor(state, run, worker)
    )


def remaining_ms(
    state: state_module.CellState, task: task_module.Task, now_ms: int
) -> float:
    """Return the expected time until a task frees its worker.

    A task whose progress is known is expected to go on at its own pace.
    """
    run = task.step_run
    if task.state is _State.STOPPING:
        return float(state.bounds.stop_ms)
    if run.step.service:
        return math.inf
    worker = state.workers.get(task.worker_id)
    total_ms = expected_ms(state, run, worker)
    if worker is None or task.state is not _State.RUNNING:
        return total_ms
    age_ms = max(0, now_ms - worker.last_contact_ms)
    if _has_measurable_progress(task):
        elapsed_ms = worker.last_contact_ms - task.started_ms
        if elapsed_ms >= _MIN_MEASURED_MS:
            total_ms = _projected_ms(task, elapsed_ms)
    left_ms = total_ms * (100 - task.percent) / 100
    return max(0.0, left_ms - age_ms)


def _remote_factor(
    state: state_module.CellState,
    run: step_run_module.StepRun,
    worker: worker_module.Worker,
) -> float:
    rack = run.step.data_rack
    return state.bounds.remote_factor if rack and rack != worker.rack else 1.0


def _expected_elsewhere_ms(
    state: state_module.CellState,
    run: step_run_module.StepRun,
    worker: worker_module.Worker,
) -> float:
    # A task that is slow here would otherwise be compared with itself.
    if run.timing is None:
        return expected_ms(state, run)
    return math.exp(run.timing.without(worker.worker_id)[0])


def _doubt(
    state: state_module.CellState,
    run: step_run_module.StepRun,
    worker: worker_module.Worker,
) -> float:
    # How much longer than expected a task may take, by one standard deviation.
    if run.timing is None:
        variance = state.queue_durations(run.job.definition).step_variance
    else:
        variance = run.timing.without(worker.worker_id)[1]
    return math.exp(math.sqrt(variance))


def _usual_factor(
    state: state_module.CellState,
    run: step_run_module.StepRun,
    worker: worker_module.Worker,
) -> float:
    # What a worker may take of the time of a normal one without being slow.
    slowness = min(worker.speed.slowness, _MAX_EXPECTED_SLOWNESS)
    return slowness * _remote_factor(state, run, worker)


def _has_measurable_progress(task: task_module.Task) -> bool:
    return (
        task.is_timed
        and task.started_ms > 0
        and task.percent - task.base_percent >= _MIN_MEASURED_PERCENT
    )


def _projected_ms(task: task_module.Task, elapsed_ms: int) -> float:
    return elapsed_ms * 100 / (task.percent - task.base_percent)


def record_duration(
    state: state_module.CellState,
    worker: worker_module.Worker,
    task: task_module.Task,
    now_ms: int,
) -> None:
    """Learn from a finished task."""
    state.classify_workers(now_ms)
    if task.state is not _State.RUNNING:
        # Another member of the gang has reported the end already.
        return
    seen_percent = 100 - task.base_percent
    if (
        task.is_timed
        and not task.measured_ms
        and task.started_ms
        and seen_percent >= _MIN_MEASURED_PERCENT
    ):
        duration_ms = max(1, now_ms - task.started_ms) * 100 / seen_percent
        _learn(state, worker, task, duration_ms)


def _learn(
    state: state_module.CellState,
    worker: worker_module.Worker,
    task: task_module.Task,
    duration_ms: float,
) -> None:
    """Learn from the duration of a whole run of a task."""
    run = task.step_run
    step = run.step
    for member in run.tasks if step.gang else (task,):
        member.measured_ms = duration_ms
    if step.service or step.fills or not duration_ms:
        # The pace of a task that fills spare capacity is ordered.
        return
    if task.started_ms <= worker.slow_seen_ms:
        # It ran while the worker was slow for a time.
        return
    queue = state.queue_durations(run.job.definition)
    if run.timing is None:
        run.timing = step_timing.StepTiming(
            expected_ms(state, run), queue.step_variance, queue.task_variance
        )
    log_duration = math.log(duration_ms)
    if step.gang:
        worker = _learn_from_gang(state, run, log_duration)
    else:
        _learn_from_task(state, run, worker, log_duration)
    log_duration -= _log_pace(state, run, worker)
    # A task that takes seven times as long is not typical of its step.
    bound = _MAX_TASK_DEVIATIONS * math.sqrt(
        run.timing.variance + run.timing.task_variance
    )
    expected = run.timing.log_expected
    log_duration = min(max(log_duration, expected - bound), expected + bound)
    run.timing.add(
        worker.worker_id,
        log_duration,
        run.timing.task_variance + worker.speed.variance,
    )
    if step.estimate_ms:
        queue.add(
            log_duration - math.log(step.estimate_ms),
            1.0 if step.gang else 1 / step.count,
        )


def _log_pace(
    state: state_module.CellState,
    run: step_run_module.StepRun,
    worker: worker_module.Worker,
) -> float:
    # Log ratio of the duration of a task here to its normal duration.
    factor = _remote_factor(state, run, worker)
    return worker.speed.log_slowness + math.log(factor)


def _learn_from_task(
    state: state_module.CellState,
    run: step_run_module.StepRun,
    worker: worker_module.Worker,
    log_duration: float,
) -> None:
    timing = run.timing
    expected, variance = timing.without(worker.worker_id)
    error = log_duration - expected - _log_pace(state, run, worker)
    known_variance = variance + worker.speed.variance
    if known_variance < timing.task_variance:
        bound = _MAX_TASK_DEVIATIONS * math.sqrt(
            known_variance + timing.task_variance
        )
        state.queue_durations(run.job.definition).add_task_error(
            min(abs(error), bound), known_variance
        )
    worker.speed.update(
        error, timing.sample_variance(worker.worker_id, variance)
    )


def _learn_from_gang(
    state: state_module.CellState,
    run: step_run_module.StepRun,
    log_duration: float,
) -> worker_module.Worker:
    """Learn from the duration of a gang; returns its slowest worker.

    The members run at the pace of the slowest. The duration tells something
    of the workers that may be the slowest, and nothing of the others.
    """
    paces = {
        task.worker_id: _log_pace(state, run, worker)
        for task in run.tasks
        if (worker := state.workers.get(task.worker_id)) is not None
    }
    most = max(paces.values())
    suspects = [
        worker
        for worker_id, pace in paces.items()
        if pace
        >= most - 2 * (worker := state.workers[worker_id]).speed.deviation
    ]
    error = log_duration - run.timing.log_expected - most
    variance = run.timing.variance + run.timing.task_variance
    total = variance + sum(worker.speed.variance for worker in suspects)
    for worker in suspects:
        worker.speed.update(error, total - worker.speed.variance)
    return max(
        (state.workers[worker_id] for worker_id in paces),
        key=lambda worker: _log_pace(state, run, worker),
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
    state.classify_workers(now_ms)
    is_sampled = False
    for task in worker.tasks.values():
        if _take_sample(state, worker, task, now_ms):
            is_sampled = True
    if is_sampled and _is_slow(worker):
        if now_ms - worker.slow_seen_ms >= _MIN_SAMPLE_MS:
            worker.slow_seen_ms = now_ms
            worker.slow_samples += 1
    elif is_sampled:
        worker.slow_samples = 0
    if not worker.slow_samples or now_ms - worker.slow_seen_ms > _SUSPECT_MS:
        _learn_from_progress(state, worker, now_ms)
    if not is_sampled or worker.slow_samples < MIN_SLOW_SAMPLES:
        return
    worker.suspect_until_ms = max(
        worker.suspect_until_ms, now_ms + _SUSPECT_MS
    )
    for task in list(worker.tasks.values()):
        if _is_faster_elsewhere(state, worker, task):
            task.avoided_worker_ids.add(worker.worker_id)
            state.request_stop(task)


def _learn_from_progress(
    state: state_module.CellState,
    worker: worker_module.Worker,
    now_ms: int,
) -> None:
    # Long before its end, the progress of a task tells when that will be.
    for task in worker.tasks.values():
        if task.state is not _State.RUNNING or task.measured_ms:
            continue
        elapsed_ms = now_ms - task.started_ms
        if _has_measurable_progress(task) and elapsed_ms >= _MIN_MEASURED_MS:
            _learn(state, worker, task, _projected_ms(task, elapsed_ms))


def _is_slow(worker: worker_module.Worker) -> bool:
    """Tell whether a worker is slow by the latest samples of its tasks.

    Tasks that started at different times are sampled in different reports.
    """
    sampled = [task for task in worker.tasks.values() if task.lag]
    worker.lag = statistics.median(task.lag for task in sampled)
    if all(task.is_stalled for task in sampled):
        return True
    # A single job may just take longer than its estimate.
    jobs = {task.step_run.job.job_id for task in sampled}
    return len(jobs) >= _MIN_JOBS and worker.lag >= _SLOW_LAG


def _take_sample(
    state: state_module.CellState,
    worker: worker_module.Worker,
    task: task_module.Task,
    now_ms: int,
) -> bool:
    run = task.step_run
    step = run.step
    if task.state is not _State.RUNNING or step.gang or step.service:
        return False
    if step.fills:
        # The progress of a backfill task depends on its pace.
        return False
    if not task.sampled_ms:
        task.sampled_ms = now_ms
        task.sampled_percent = task.percent
        return False
    elapsed_ms = now_ms - task.sampled_ms
    if elapsed_ms < _MIN_SAMPLE_MS:
        return False
    progress = task.percent - task.sampled_percent
    task.sampled_ms = now_ms
    task.sampled_percent = task.percent
    total_ms = task.measured_ms
    if not total_ms:
        total_ms = _expected_elsewhere_ms(state, run, worker)
        total_ms *= _usual_factor(state, run, worker)
        total_ms *= _doubt(state, run, worker)
    expected = elapsed_ms * 100 / total_ms
    task.lag = expected / max(progress, _MIN_PROGRESS_PERCENT)
    task.is_stalled = (
        progress <= 0 and expected >= _MIN_EXPECTED_PROGRESS_PERCENT
    )
    return True


def _is_faster_elsewhere(
    state: state_module.CellState,
    worker: worker_module.Worker,
    task: task_module.Task,
) -> bool:
    run = task.step_run
    if task.state is not _State.RUNNING or run.step.gang or run.step.service:
        return False
    usual_factor = _usual_factor(state, run, worker)
    if task.measured_ms:
        total_ms = task.measured_ms / usual_factor
    else:
        total_ms = _expected_elsewhere_ms(state, run, worker)
    left_ms = total_ms * (100 - task.percent) / 100
    restart_ms = left_ms if run.step.checkpoints else total_ms
    left_here_ms = left_ms * worker.lag * usual_factor
    return left_here_ms > _MIN_MOVE_SPEEDUP * (restart_ms + _MOVE_OVERHEAD_MS)
