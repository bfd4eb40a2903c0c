"""Apply the end of a run to its task and job."""

from basilspindle.cell.decisions import speed
from basilspindle.cell import lease_clock
from basilspindle.cell import report as report_module
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import job as job_module
from basilspindle.workflow import job_state
from basilspindle.workflow import progress as progress_module
from basilspindle.workflow import task as task_module
from basilspindle.workflow import task_state

_Kind = report_module.EndKind
_State = task_state.TaskState
# Jobs that fail in a row before a worker counts as faulty. Where 4% of runs
# fail for reasons of their own, three in a row are unlikely.
_MIN_FAILED_JOBS = 3
# A worker that fails all its runs gets no new tasks for this long. Most tasks
# take a second or more, and all of that work would be lost.
_FAILING_WORKER_PAUSE_MS = 2_000
# After these ends of a member, the rest of its gang could keep waiting for it
# and is therefore stopped.
_STOPS_GANG = frozenset({_Kind.STOPPED, _Kind.LAPSED, _Kind.PARTNER_MISSING})


def apply_end(
    state: state_module.CellState,
    worker: worker_module.Worker,
    end: report_module.RunEnd,
    now_ms: int,
) -> task_module.Task | None:
    """Apply an end; returns its task, or None if that is unknown."""
    if worker.unexpected_runs.pop(end.name, None) is not None:
        worker.has_changed_runs = True
    task = state.table.tasks.get(end.name)
    if task is None:
        if task_module.job_id_of(end.name) in state.table.unreadable_job_ids:
            state.unattributed_ends.append(end)
        return None
    if end.run > progress_module.MAX_RUN:
        # No leader has started it, and no run could follow it.
        return None
    current = worker.tasks.get(end.name) is task and task.run == end.run
    may_come_again = current and task.unanswered_start_ms > 0
    if may_come_again:
        # A later life of the worker may run it again until then.
        worker.held_ends[end.number] = (
            task.unanswered_start_ms + lease_clock.LATE_ORDER_MS
        )
    task.ended_run = max(task.ended_run, end.run)
    task.run = max(task.run, end.run)
    if end.checkpoint and end.run == task.run:
        task.checkpoint = end.checkpoint
    if end.kind is _Kind.DONE and current:
        speed.record_duration(state, worker, task, now_ms)
        worker.record_success()
        worker.failed_job_ids.clear()
    if end.kind is _Kind.DONE and not task.step_run.step.service:
        superseded = task.occupies_worker and not current
        _mark_done(state, task, now_ms)
        if superseded and not task.step_run.step.gang:
            # A later run of the task is active and no longer needed.
            state.request_stop(task)
    elif end.kind is _Kind.FAILED and end.run not in task.failed_runs:
        if not task.step_run.step.service:
            _attribute_failure(state, worker, task.step_run.job, now_ms)
        task.avoided_worker_ids.add(worker.worker_id)
        _count_failure(state, task, end)
    if may_come_again and task.state is not _State.DONE:
        _hold(task, now_ms)
    elif current:
        state.release(task)
    if task.step_run.step.gang and end.kind in _STOPS_GANG:
        state.stop_gang(task.step_run)
    state.mark_changed(task.step_run.job)
    return task


def _hold(task: task_module.Task, now_ms: int) -> None:
    # The next life of the worker would know neither this end nor the stops.
    # A report that is asked for later releases the task.
    if task.state is _State.STARTING:
        # The outcome of the start is not known yet.
        return
    task.state = _State.STOPPING
    task.started_ms = now_ms


def apply_recorded_end(
    state: state_module.CellState, end: report_module.RunEnd, now_ms: int
) -> None:
    """Apply an end noted by a leader that could not read the job."""
    task = state.table.tasks.get(end.name)
    if task is None or end.run > progress_module.MAX_RUN:
        return
    task.ended_run = max(task.ended_run, end.run)
    task.run = max(task.run, end.run)
    if end.kind is _Kind.DONE and not task.step_run.step.service:
        _mark_done(state, task, now_ms)
    elif end.kind is _Kind.FAILED:
        _count_failure(state, task, end)
    state.mark_changed(task.step_run.job)


def _mark_done(
    state: state_module.CellState, task: task_module.Task, now_ms: int
) -> None:
    run = task.step_run
    # One end completes all members of a gang, as they end together.
    members = run.tasks if run.step.gang else [task]
    for member in members:
        member.checkpoint = ''
        if member.occupies_worker and member.worker_id != task.worker_id:
            # Its capacity stays in use until its own end is reported.
            member.started_ms = now_ms
        run.mark_done(member)
    job = run.job
    if run.waiting:
        state.table.count_ready_step(run)
    else:
        state.table.remove_ready_step(run)
    if not run.is_done:
        return
    if job.is_complete:
        if not job.state.is_final:
            job.state = job_state.JobState.COMPLETED
            state.table.remove_ready_steps(job)
    else:
        state.table.add_ready_steps(job, now_ms)


def _attribute_failure(
    state: state_module.CellState,
    worker: worker_module.Worker,
    job: job_module.Job,
    now_ms: int,
) -> None:
    # Several jobs that fail on one worker only point to a faulty worker. A job
    # that fails on more than one worker is itself at fault.
    job.failed_worker_ids.add(worker.worker_id)
    if len(job.failed_worker_ids) > 1:
        for worker_id in job.failed_worker_ids:
            other = state.workers.get(worker_id)
            if other is not None:
                other.failed_job_ids.discard(job.job_id)
        return
    worker.record_failure()
    worker.failed_job_ids.add(job.job_id)
    if len(worker.failed_job_ids) >= _MIN_FAILED_JOBS:
        worker.suspect_until_ms = max(
            worker.suspect_until_ms, now_ms + _FAILING_WORKER_PAUSE_MS
        )


def _count_failure(
    state: state_module.CellState,
    task: task_module.Task,
    end: report_module.RunEnd,
) -> None:
    run = task.step_run
    job = run.job
    task.failed_runs.add(end.run)
    if run.step.service:
        return
    failed_runs = task.failed_runs
    if run.step.gang:
        run.gang_failed_runs.add(end.run)
        failed_runs = run.gang_failed_runs
    if len(failed_runs) >= job.definition.max_attempts:
        state.end_job(job, job_state.JobState.FAILED)
