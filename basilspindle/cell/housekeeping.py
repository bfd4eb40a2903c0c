"""Do what falls due with time alone."""

from basilspindle.cell import orders as orders_module
from basilspindle.cell import state as state_module
from basilspindle.workflow import task_state

_State = task_state.TaskState
# A stop that shows no effect is ordered again after this time.
_STOP_REPEAT_MS = 2_500
# Stops sent this long before its time is over end a gang in order.
_GANG_MARGIN_MS = 1_500


def open_due(state: state_module.CellState, now_ms: int, wall_ms: int) -> None:
    """Open the occurrences whose time has come."""
    for job in state.table.jobs.values():
        due_ms = job.next_due_wall_ms
        if due_ms is None or job.state.is_final or wall_ms < due_ms:
            continue
        state.table.index(job.open_occurrence())
        state.table.open_steps(job, now_ms)
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


def repeat_stops(state: state_module.CellState, now_ms: int) -> None:
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
