"""Run the periodic checks of the leader."""

from basilspindle.cell.decisions import speed
from basilspindle.cell import orders as orders_module
from basilspindle.cell import state as state_module
from basilspindle.workflow import task as task_module
from basilspindle.workflow import task_state

_State = task_state.TaskState
# A stop is sent again if the task still occupies its worker after this time.
_STOP_RESEND_MS = 2_500
# The next occurrence of a job waits while more of its tasks are not done, so
# that its progress fits into one append.
_MAX_OPEN_TASKS = 10_000
# A gang is stopped this long before its members give up waiting for others, so
# that all of them receive the stop first.
_GANG_STOP_MARGIN_MS = 1_500


def open_due_occurrences(
    state: state_module.CellState, now_ms: int, wall_ms: int
) -> None:
    """Open the job occurrences that are due."""
    for job in state.table.jobs.values():
        due_ms = job.next_due_wall_ms
        if due_ms is None or job.state.is_final or wall_ms < due_ms:
            continue
        if job.durable_state is None or job.open_tasks >= _MAX_OPEN_TASKS:
            continue
        state.table.add_tasks(job.open_occurrence())
        state.table.add_ready_steps(job, now_ms)
        state.mark_changed(job)


def stop_partial_gangs(state: state_module.CellState, now_ms: int) -> None:
    """Stop gangs with members that have not started in time."""
    limit_ms = state.bounds.gang_ms - _GANG_STOP_MARGIN_MS
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
    """Make workers available again whose suspect time is over."""
    for worker in state.workers.values():
        if 0 < worker.suspect_until_ms <= now_ms:
            worker.suspect_until_ms = 0
            state.freed_workers.add(worker.worker_id)


def evacuate(state: state_module.CellState, now_ms: int) -> None:
    """Stop tasks that cannot end before their draining worker is gone.

    Workers may be withdrawn at short notice. Stopped tasks restart elsewhere
    at once, instead of after the lease of the worker has ended.
    """
    for worker in state.workers.values():
        if worker.ready or not worker.drain_end_ms:
            continue
        time_left_ms = worker.drain_end_ms - now_ms
        for task in list(worker.tasks.values()):
            if task.state is not _State.RUNNING:
                continue
            if speed.remaining_ms(state, task, now_ms) <= time_left_ms:
                continue
            if task.step_run.step.gang:
                state.stop_gang(task.step_run)
            else:
                state.request_stop(task)


def _awaits_stop(task: task_module.Task) -> bool:
    # A task that another run of it has ended is being stopped as well, until
    # its worker has accepted the stop.
    return task.state is _State.STOPPING or (
        task.state is _State.DONE and not task.started_ms
    )


def resend_stops(state: state_module.CellState, now_ms: int) -> None:
    """Resend stop orders to tasks that still occupy their worker."""
    for worker in state.workers.values():
        for task in worker.tasks.values():
            if not _awaits_stop(task):
                continue
            if not task.stop_sent_ms:
                task.stop_sent_ms = now_ms
            elif now_ms - task.stop_sent_ms > _STOP_RESEND_MS:
                task.stop_sent_ms = now_ms
                state.orders.stops.append(
                    orders_module.StopOrder(
                        worker.worker_id, task.name, task.run
                    )
                )
