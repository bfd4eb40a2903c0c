"""Do what falls due with time alone."""

from basilspindle.cell import orders as orders_module
from basilspindle.cell import speed
from basilspindle.cell import state as state_module
from basilspindle.workflow import task as task_module
from basilspindle.workflow import task_state

_State = task_state.TaskState
# A stop that shows no effect is ordered again after this time.
_STOP_REPEAT_MS = 2_500
# Stops sent this long before its time is over end a gang in order.
_GANG_MARGIN_MS = 1_500


def open_due_occurrences(
    state: state_module.CellState, now_ms: int, wall_ms: int
) -> None:
    """Open the occurrences whose time has come."""
    for job in state.table.jobs.values():
        due_ms = job.next_due_wall_ms
        if due_ms is None or job.state.is_final or wall_ms < due_ms:
            continue
        state.table.add_tasks(job.open_occurrence())
        state.table.add_ready_steps(job, now_ms)
        state.mark_changed(job)


def stop_partial_gangs(state: state_module.CellState, now_ms: int) -> None:
    """Stop gangs of which a member has not started in time."""
    limit_ms = state.bounds.gang_ms - _GANG_MARGIN_MS
    for worker in state.workers.values():
        for task in worker.tasks.values():
            run = task.step_run
            if not run.step.gang or not run.started_ms:
                continue
            if task.state is not _State.STARTING:
                continue
            if now_ms - run.started_ms > limit_ms:
                run.started_ms = 0
                state.stop_gang(run)


def clear_expired_suspicions(
    state: state_module.CellState, now_ms: int
) -> None:
    """Let steps that wait use workers whose suspicion is over."""
    for worker in state.workers.values():
        if 0 < worker.suspect_until_ms <= now_ms:
            worker.suspect_until_ms = 0
            state.freed_workers.add(worker.worker_id)


def evacuate(state: state_module.CellState, now_ms: int) -> None:
    """Stop what cannot end before its worker leaves.

    Answers workers that are taken away at short notice: what they hold
    starts again elsewhere at once instead of after their lease.
    """
    for worker in state.workers.values():
        if worker.ready or not worker.drain_end_ms:
            continue
        left_ms = worker.drain_end_ms - now_ms
        for task in list(worker.tasks.values()):
            if task.state is not _State.RUNNING:
                continue
            if _needed_ms(state, task) <= left_ms:
                continue
            if task.step_run.step.gang:
                state.stop_gang(task.step_run)
            else:
                state.request_stop(task)


def _needed_ms(state: state_module.CellState, task: task_module.Task) -> float:
    if task.step_run.step.service:
        return float('inf')
    whole_ms = speed.expected_ms(state, task.step_run)
    return whole_ms * (100 - task.percent) / 100


def resend_stops(state: state_module.CellState, now_ms: int) -> None:
    """Order stops again that show no effect."""
    for worker in state.workers.values():
        for task in worker.tasks.values():
            if task.state is not _State.STOPPING:
                continue
            if not task.stop_sent_ms:
                task.stop_sent_ms = now_ms
            elif now_ms - task.stop_sent_ms > _STOP_REPEAT_MS:
                task.stop_sent_ms = now_ms
                state.orders.stops.append(
                    orders_module.StopOrder(
                        worker.worker_id, task.name, task.run
                    )
                )
