"""Decide how fast tasks work that fill what others leave.

Answers services whose response times rise because of what fills beside
them: the tasks that fill work less, or not at all, before a service is
over its bound for long, and more again when there is room.
"""

from basilspindle.cell import orders as orders_module
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import task as task_module
from basilspindle.workflow import task_state

_State = task_state.TaskState
_FULL_PERCENT = 100
# At this part of its bound a service is close to it: load changes within
# seconds, and reports come about once a second.
_CLOSE_PART = 0.8
# Below this part there is room for more.
_FREE_PART = 0.5
# A step up is small and waits for its effect; a step down does not.
_RAISE_PERCENT = 20
_RAISE_PAUSE_MS = 1_500


def pace(
    state: state_module.CellState, worker: worker_module.Worker, now_ms: int
) -> None:
    """Order the pace of what fills on a worker after a report."""
    filling = [
        task
        for task in worker.tasks.values()
        if task.step_run.step.fills and task.state is _State.RUNNING
    ]
    if not filling:
        return
    part = _worst_part(worker)
    for task in filling:
        percent = _percent(task, part, now_ms)
        if percent != task.pace_percent:
            task.pace_percent = percent
            task.paced_ms = now_ms
            state.orders.paces.append(
                orders_module.PaceOrder(worker.worker_id, task, percent)
            )


def _worst_part(worker: worker_module.Worker) -> float:
    # The highest response time against its bound; 0 without a service.
    return max(
        (
            task.load / task.step_run.step.target_ms
            for task in worker.tasks.values()
            if task.step_run.step.target_ms and task.step_run.step.service
        ),
        default=0.0,
    )


def _percent(task: task_module.Task, part: float, now_ms: int) -> int:
    current = task.pace_percent
    if part >= 1.0:
        return 0
    if current is None:
        # Started by an earlier leader, which may have paced it.
        return 0 if part >= _CLOSE_PART else _RAISE_PERCENT
    if part >= _CLOSE_PART:
        return current // 2
    if part < _FREE_PART and now_ms - task.paced_ms >= _RAISE_PAUSE_MS:
        return min(_FULL_PERCENT, current + _RAISE_PERCENT)
    return current
