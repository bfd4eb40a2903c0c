"""Throttle backfill tasks that run beside services.

Backfill tasks (``fills``) reserve no CPU and use what other tasks leave idle,
which can slow down the services on the same worker. Their pace is lowered, to
0 if needed, before a service exceeds its target response time for long, and
raised again when the service has headroom.
"""

from basilspindle.cell import orders as orders_module
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import task as task_module
from basilspindle.workflow import task_state

_State = task_state.TaskState
_FULL_PERCENT = 100
# Ratio of response time to target from which the pace is lowered. Load changes
# within seconds, while reports arrive only about once a second.
_NEAR_TARGET_RATIO = 0.8
# Ratio of response time to target below which the pace is raised.
_HEADROOM_RATIO = 0.5
# The pace is raised in small steps, each of which waits for the effect of the
# previous one. It is lowered at once.
_RAISE_PERCENT = 20
_RAISE_INTERVAL_MS = 1_500
# A worker may carry out an order without an answer after later ones, so these
# are repeated with each report for this long: longer than a system goes on to
# send what it holds of a closed connection (3 s).
_REPEAT_MS = 5_000


def pace(
    state: state_module.CellState, worker: worker_module.Worker, now_ms: int
) -> None:
    """Adjust the pace of the backfill tasks of a worker after a report."""
    backfill = [
        task
        for task in worker.tasks.values()
        if task.step_run.step.fills and task.state is _State.RUNNING
    ]
    if not backfill:
        return
    ratio = _max_target_ratio(worker)
    for task in backfill:
        if task.has_unanswered_pace:
            task.has_unanswered_pace = False
            task.pace_repeated_until_ms = now_ms + _REPEAT_MS
        percent = _next_percent(task, ratio, now_ms)
        is_changed = percent != task.pace_percent
        if is_changed:
            task.pace_percent = percent
            task.paced_ms = now_ms
        if is_changed or now_ms < task.pace_repeated_until_ms:
            state.orders.paces.append(
                orders_module.PaceOrder(worker.worker_id, task, percent)
            )


def _max_target_ratio(worker: worker_module.Worker) -> float:
    # Highest ratio of response time to target; 0 without a service.
    return max(
        (
            task.load / task.step_run.step.target_ms
            for task in worker.tasks.values()
            if task.step_run.step.target_ms and task.step_run.step.service
        ),
        default=0.0,
    )


def _next_percent(task: task_module.Task, ratio: float, now_ms: int) -> int:
    current = task.pace_percent
    if ratio >= 1.0:
        return 0
    if current is None:
        # The pace is unknown: an earlier leader started the task.
        return 0 if ratio >= _NEAR_TARGET_RATIO else _RAISE_PERCENT
    if ratio >= _NEAR_TARGET_RATIO:
        return current // 2
    if (
        ratio < _HEADROOM_RATIO
        and now_ms - task.paced_ms >= _RAISE_INTERVAL_MS
    ):
        return min(_FULL_PERCENT, current + _RAISE_PERCENT)
    return current
