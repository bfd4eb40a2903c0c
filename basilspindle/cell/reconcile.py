"""Bring the leader's account in line with a worker's report."""

from basilspindle.cell import ends as ends_module
from basilspindle.cell import orders as orders_module
from basilspindle.cell import report as report_module
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import task as task_module
from basilspindle.workflow import task_state

_State = task_state.TaskState


def apply_report(
    state: state_module.CellState,
    worker: worker_module.Worker,
    report: report_module.Report,
    sent_ms: int,
    now_ms: int,
) -> bool:
    """Apply a report whose request was sent at ``sent_ms``.

    Returns whether anything changed that may allow new starts.
    """
    if worker.born_wall_ms != report.born_wall_ms:
        if worker.born_wall_ms:
            state.requeue_worker_tasks(worker)
        worker.born_wall_ms = report.born_wall_ms
        worker.applied_end_number = worker.recorded_end_number = 0
    first = not worker.reported
    ended = False
    for row in report.ends:
        if row.number > worker.applied_end_number:
            ends_module.apply_end(state, worker, row, now_ms)
            worker.applied_end_number = row.number
            ended = True
    _apply_running(state, worker, report, now_ms)
    if report.is_full:
        _drop_missing(state, worker, report, sent_ms)
    worker.reported = True
    if now_ms - worker.last_contact_ms > worker_module.MAX_CONTACT_AGE_MS:
        state.freed_workers.add(worker.worker_id)
    worker.last_contact_ms = now_ms
    if first:
        state.unseen_workers.discard(worker.worker_id)
        state.freed_workers.add(worker.worker_id)
    return ended or first or worker.worker_id in state.freed_workers


def _apply_running(
    state: state_module.CellState,
    worker: worker_module.Worker,
    report: report_module.Report,
    now_ms: int,
) -> None:
    unexpected_runs: dict[str, int] = {}
    for row in report.running:
        task = state.table.tasks.get(row.name)
        if task is None or task.step_run.job.state.is_final:
            if task is None or row.name not in worker.tasks:
                _stop_foreign(state, worker, row, unexpected_runs)
            continue
        if worker.tasks.get(row.name) is task and task.run == row.run:
            task.percent = row.percent
            task.load = row.load
            if row.checkpoint:
                task.checkpoint = row.checkpoint
            if task.state is _State.STARTING:
                task.state = _State.RUNNING
                task.started_ms = now_ms
            continue
        if _may_adopt(task, row):
            state.occupy(task, worker, row.run, _State.RUNNING)
            task.started_ms = now_ms
            task.checkpoint = row.checkpoint or task.checkpoint
            task.load = row.load
            task.pace_percent = None
            state.table.ready_steps.pop(task.step_run.key, None)
            if task.step_run.waiting and not task.step_run.step.gang:
                state.table.ready_steps[task.step_run.key] = task.step_run
            continue
        _stop_foreign(state, worker, row, unexpected_runs)
    if worker.unexpected_runs and not unexpected_runs:
        state.freed_workers.add(worker.worker_id)
    worker.unexpected_runs = unexpected_runs


def _may_adopt(task: task_module.Task, row: report_module.ActiveRun) -> bool:
    return (
        task.state is _State.WAITING
        and task.step_run.job.recovered
        and row.run >= task.run
        and row.run > task.ended_run
    )


def _stop_foreign(
    state: state_module.CellState,
    worker: worker_module.Worker,
    row: report_module.ActiveRun,
    unexpected_runs: dict[str, int],
) -> None:
    unexpected_runs[row.name] = row.run
    state.orders.stops.append(
        orders_module.StopOrder(worker.worker_id, row.name, row.run)
    )


def _drop_missing(
    state: state_module.CellState,
    worker: worker_module.Worker,
    report: report_module.Report,
    sent_ms: int,
) -> None:
    listed = {(row.name, row.run) for row in report.running}
    for task in list(worker.tasks.values()):
        if task.state is _State.STARTING or not task.started_ms:
            continue
        if (task.name, task.run) in listed or task.started_ms >= sent_ms:
            continue
        # The worker answered for this run before it was asked, and neither
        # lists it nor its end.
        task.ended_run = max(task.ended_run, task.run)
        state.release(task)
        state.mark_changed(task.step_run.job)
        if task.step_run.step.gang:
            state.stop_gang(task.step_run)
