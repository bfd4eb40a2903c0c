"""Tell how slow the workers of a step may be for its job to be on time."""

import math
import typing

from basilspindle.cell.decisions import speed
from basilspindle.cell.decisions import urgency
from basilspindle.cell import state as state_module
from basilspindle.workflow import step_run as step_run_module


class SpeedNeed(typing.NamedTuple):
    """Slowness of the workers that a step prefers.

    Up to ``preferred`` the job is on time also if the step takes longer than
    expected. ``remote_factor`` is the ratio of task durations outside and
    inside the rack of the data.
    """

    preferred: float
    remote_factor: float


def speed_need(
    state: state_module.CellState, run: step_run_module.StepRun, now_ms: int
) -> SpeedNeed | None:
    """Return the need of a step, or None where all workers are alike."""
    job = run.job
    fastest = state.speed_classes.mixed_pools.get(job.definition.pool)
    due_ms = state.due_times_ms.get(job.job_id)
    if fastest is None or due_ms is None or run.step.service:
        return None
    order = urgency.Urgency(now_ms, state.due_times_ms)
    # The steps after this one on the longest chain need the rest of the time.
    available_ms = run.step.estimate_ms + order.slack_ms(
        run, state.advice_terms(job.definition)
    )
    expected_ms = speed.expected_ms(state, run)
    if available_ms < fastest * expected_ms:
        # The result keeps some of its value for a while.
        available_ms += (urgency.MAX_LATENESS_FACTOR - 1) * (
            due_ms - job.accepted_ms
        )
    ratio = available_ms / expected_ms
    if ratio < fastest:
        # Its time is over, so it leaves fast workers to others.
        return SpeedNeed(math.inf, state.bounds.remote_factor)
    return SpeedNeed(ratio / _margin(state, run), state.bounds.remote_factor)


def _margin(
    state: state_module.CellState, run: step_run_module.StepRun
) -> float:
    # One standard deviation of the estimate, and the longest of the tasks.
    queue = state.queue_durations(run.job.definition)
    known = run.timing.variance if run.timing is not None else math.inf
    variance = min(known, queue.step_variance)
    longest = max(1.0, 2 * math.log(run.step.count))
    return math.exp(math.sqrt(variance + longest * queue.task_variance))
