"""Reconcile the state of the leader with the report of a worker."""

from basilspindle.cell import ends as ends_module
from basilspindle.cell import lease_clock
from basilspindle.cell import orders as orders_module
from basilspindle.cell import report as report_module
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import progress as progress_module
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

    Returns whether new tasks may start as a result.
    """
    if worker.born_wall_ms != report.born_wall_ms:
        # Runs of the earlier incarnation are missing from this report and
        # released below. Those that it lists were accepted by the new one.
        worker.born_wall_ms = report.born_wall_ms
        worker.applied_end_number = worker.recorded_end_number = 0
        worker.held_ends.clear()
        worker.reported = False
    # Until a report lists everything, the rest may hold the ends of tasks
    # that this leader would start.
    is_first_report = report.is_full and not worker.reported
    has_ends = False
    _forget_late_attempts(worker, sent_ms)
    for end in report.ends:
        if end.number > worker.applied_end_number:
            ends_module.apply_end(state, worker, end, now_ms)
            worker.applied_end_number = end.number
            has_ends = True
    _apply_running(state, worker, report, now_ms)
    if report.is_full:
        _release_missing(state, worker, report, sent_ms)
        worker.reported = True
    if now_ms - worker.last_contact_ms > worker_module.MAX_CONTACT_AGE_MS:
        state.freed_workers.add(worker.worker_id)
    worker.last_contact_ms = now_ms
    if is_first_report:
        state.awaited_workers.discard(worker.worker_id)
        state.freed_workers.add(worker.worker_id)
    return (
        has_ends or is_first_report or worker.worker_id in state.freed_workers
    )


def _forget_late_attempts(worker: worker_module.Worker, sent_ms: int) -> None:
    # What was not carried out before this report was asked for never will be.
    for task in worker.tasks.values():
        if task.unanswered_start_ms + lease_clock.LATE_ORDER_MS < sent_ms:
            task.unanswered_start_ms = 0


def unlisted_runs(
    worker: worker_module.Worker, report: report_module.Report
) -> list[report_module.ActiveRun]:
    """Return the runs that no earlier report of the worker's life lists."""
    return [
        active_run
        for active_run in report.running
        if not _is_listed(worker, active_run, report.born_wall_ms)
    ]


def _is_listed(
    worker: worker_module.Worker,
    active_run: report_module.ActiveRun,
    born_wall_ms: int,
) -> bool:
    task = worker.tasks.get(active_run.name)
    if task is None or task.run != active_run.run:
        return (
            worker.born_wall_ms == born_wall_ms
            and worker.unexpected_runs.get(active_run.name) == active_run.run
        )
    return task.listed_born_wall_ms == born_wall_ms


def _apply_running(
    state: state_module.CellState,
    worker: worker_module.Worker,
    report: report_module.Report,
    now_ms: int,
) -> None:
    unexpected_runs: dict[str, int] = {}
    for active_run in report.running:
        task = state.table.tasks.get(active_run.name)
        if task is None or task.step_run.job.state.is_final:
            if task is None or active_run.name not in worker.tasks:
                _stop_unexpected(state, worker, active_run, unexpected_runs)
            continue
        if (
            worker.tasks.get(active_run.name) is task
            and task.run == active_run.run
        ):
            if task.is_restored:
                task.is_restored = False
                _track_from_report(task, active_run, now_ms)
            task.listed_born_wall_ms = report.born_wall_ms
            task.percent = active_run.percent
            task.load = active_run.load
            if active_run.checkpoint:
                task.checkpoint = active_run.checkpoint
            if task.state is _State.STARTING:
                task.state = _State.RUNNING
                task.started_ms = now_ms
            continue
        if _may_adopt(task, active_run):
            state.adopt(task, worker, active_run.run)
            _track_from_report(task, active_run, now_ms)
            task.listed_born_wall_ms = report.born_wall_ms
            continue
        _stop_unexpected(state, worker, active_run, unexpected_runs)
    if worker.unexpected_runs and not unexpected_runs:
        state.freed_workers.add(worker.worker_id)
    if worker.unexpected_runs != unexpected_runs:
        worker.has_changed_runs = True
    worker.unexpected_runs = unexpected_runs


def _track_from_report(
    task: task_module.Task,
    active_run: report_module.ActiveRun,
    now_ms: int,
) -> None:
    # This leader has not seen the run begin.
    task.started_ms = now_ms
    task.percent = task.base_percent = active_run.percent
    # With a checkpoint, the run may have begun there.
    task.is_timed = not active_run.checkpoint
    task.checkpoint = active_run.checkpoint or task.checkpoint
    task.load = active_run.load
    task.pace_percent = None


def _may_adopt(
    task: task_module.Task, active_run: report_module.ActiveRun
) -> bool:
    return (
        task.state is _State.WAITING
        and task.step_run.job.recovered
        and active_run.run >= task.run
        and task.ended_run < active_run.run <= progress_module.MAX_RUN
    )


def _stop_unexpected(
    state: state_module.CellState,
    worker: worker_module.Worker,
    active_run: report_module.ActiveRun,
    unexpected_runs: dict[str, int],
) -> None:
    unexpected_runs[active_run.name] = active_run.run
    state.orders.stops.append(
        orders_module.StopOrder(
            worker.worker_id, active_run.name, active_run.run
        )
    )


def _release_missing(
    state: state_module.CellState,
    worker: worker_module.Worker,
    report: report_module.Report,
    sent_ms: int,
) -> None:
    listed = {
        (active_run.name, active_run.run) for active_run in report.running
    }
    for task in list(worker.tasks.values()):
        if task.state is _State.STARTING or not task.started_ms:
            continue
        if (task.name, task.run) in listed or task.started_ms >= sent_ms:
            continue
        if task.unanswered_start_ms:
            # That attempt may yet reach a life that starts after this one,
            # which knows no stop and no end of the run.
            continue
        # The worker acknowledged this run before the report was requested, and
        # reports neither the run nor its end.
        task.ended_run = max(task.ended_run, task.run)
        state.release(task)
        state.mark_changed(task.step_run.job)
        if task.step_run.step.gang:
            state.stop_gang(task.step_run)
