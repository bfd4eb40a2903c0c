"""Apply the end of a run to its job."""

from basilspindle.cell import report as report_module
from basilspindle.cell import speed
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import job as job_module
from basilspindle.workflow import job_state
from basilspindle.workflow import task as task_module
from basilspindle.workflow import task_state

_Kind = report_module.EndKind
_State = task_state.TaskState
# Where 4 runs in 100 fail by their own fault, three jobs in a row hardly do.
_LEAST_FAILED_JOBS = 3
# A worker that fails what it starts gets no new work for this long: most
# tasks take a second or more, and each is thrown away.
_FAILING_PAUSE_MS = 2_000
# After these ends the other members of a gang may go on waiting.
_LEAVES_PARTNERS = frozenset(
    {_Kind.STOPPED, _Kind.LAPSED, _Kind.PARTNER_MISSING}
)


def apply_end(
    state: state_module.CellState,
    worker: worker_module.Worker,
    row: report_module.RunEnd,
    now_ms: int,
) -> task_module.Task | None:
    """Apply an end; returns its task, or None for one not known."""
    worker.unexpected_runs.pop(row.name, None)
    task = state.table.tasks.get(row.name)
    if task is None:
        return None
    current = worker.tasks.get(row.name) is task and task.run == row.run
    task.ended_run = max(task.ended_run, row.run)
    task.run = max(task.run, row.run)
    if row.checkpoint and row.run == task.run:
        task.checkpoint = row.checkpoint
    if row.kind is _Kind.DONE and current:
        speed.record_duration(state, worker, task, now_ms)
        worker.record_success()
        worker.failed_jobs.clear()
    if row.kind is _Kind.DONE and not task.step_run.step.service:
        superseded = task.occupies_worker and not current
        _mark_done(state, task, now_ms)
        if superseded and not task.step_run.step.gang:
            # A later run is under way that nobody needs any more.
            state.request_stop(task)
    elif row.kind is _Kind.FAILED and row.run not in task.failed_runs:
        if not task.step_run.step.service:
            _blame(state, worker, task.step_run.job, now_ms)
        _count_failure(state, task, row, worker)
    if current:
        state.release(task)
    if task.step_run.step.gang and row.kind in _LEAVES_PARTNERS:
        state.stop_gang(task.step_run)
    state.mark_changed(task.step_run.job)
    return task


def _mark_done(
    state: state_module.CellState, task: task_module.Task, now_ms: int
) -> None:
    run = task.step_run
    # The members of a gang end together; one end stands for all.
    members = run.tasks if run.step.gang else [task]
    for member in members:
        member.checkpoint = ''
        if member.occupies_worker and member.worker_id != task.worker_id:
            # Room counts as used until the member's own end is listed.
            member.started_ms = now_ms
        run.mark_done(member)
    job = run.job
    if not run.waiting:
        state.table.ready_steps.pop(run.key, None)
    if not run.is_done:
        return
    if job.is_complete:
        if not job.state.is_final:
            job.state = job_state.JobState.COMPLETED
            state.table.remove_ready_steps(job)
    else:
        state.table.add_ready_steps(job, now_ms)


def _blame(
    state: state_module.CellState,
    worker: worker_module.Worker,
    job: job_module.Job,
    now_ms: int,
) -> None:
    # Answers workers that fail all that they start: failures of several
    # jobs that fail nowhere else are the worker's, others the job's.
    job.failed_worker_ids.add(worker.worker_id)
    if len(job.failed_worker_ids) > 1:
        for worker_id in job.failed_worker_ids:
            other = state.workers.get(worker_id)
            if other is not None:
                other.failed_jobs.discard(job.job_id)
        return
    worker.record_failure()
    worker.failed_jobs.add(job.job_id)
    if len(worker.failed_jobs) >= _LEAST_FAILED_JOBS:
        worker.suspect_until_ms = max(
            worker.suspect_until_ms, now_ms + _FAILING_PAUSE_MS
        )


def _count_failure(
    state: state_module.CellState,
    task: task_module.Task,
    row: report_module.RunEnd,
    worker: worker_module.Worker,
) -> None:
    run = task.step_run
    job = run.job
    task.failed_runs.add(row.run)
    task.avoided_worker_ids.add(worker.worker_id)
    if run.step.service:
        return
    failed_runs = task.failed_runs
    if run.step.gang:
        run.gang_failed_runs.add(row.run)
        failed_runs = run.gang_failed_runs
    if len(failed_runs) >= job.definition.max_attempts:
        state.end_job(job, job_state.JobState.FAILED)
