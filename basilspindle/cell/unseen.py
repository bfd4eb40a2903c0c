"""Bound what workspaces have running that the leader does not account for.

After a change of leader, workers that have not answered yet may run tasks
of the former one, and runs that must not go on take a moment to stop.
"""

from basilspindle.cell import state as state_module
from basilspindle.workflow import job as job_module
from basilspindle.workflow import need as need_module
from basilspindle.workflow import step_run as step_run_module

# The size of a run whose job is forgotten is not known: its workspace
# starts nothing until the worker has stopped it.
_UNKNOWN = need_module.Need(1 << 40, 1 << 40, 1 << 40)


def may_run_unseen(state: state_module.CellState, now_ms: int) -> bool:
    """Tell whether a worker may run tasks that this leader cannot see."""
    return bool(state.unseen_workers) and now_ms < state.unseen_until_ms


def estimate_usage(
    state: state_module.CellState, now_ms: int
) -> dict[str, need_module.Need]:
    """Return by workspace the most that may run beside what is counted."""
    found: dict[str, need_module.Need] = {}
    for worker in state.workers.values():
        for name in worker.unexpected_runs:
            _add_foreign(state, found, name)
    if not may_run_unseen(state, now_ms):
        return found
    unseen: dict[str, need_module.Need] = {}
    for job in state.table.jobs.values():
        if job.recovered and not job.state.is_final:
            workspace = job.definition.workspace
            for run in job.runs.values():
                if run.waiting and job.is_ready(run):
                    _add(unseen, workspace, _waiting(run))
    most = _capacity(state)
    for workspace, need in unseen.items():
        _add(found, workspace, need if most is None else _least(need, most))
    return found


def _waiting(run: step_run_module.StepRun) -> need_module.Need:
    return need_module.Need().plus(run.step.reserved, len(run.waiting))


def _add_foreign(
    state: state_module.CellState,
    found: dict[str, need_module.Need],
    name: str,
) -> None:
    task = state.table.tasks.get(name)
    if task is not None:
        job: job_module.Job = task.step_run.job
        _add(found, job.definition.workspace, task.step_run.step.reserved)
        return
    ended = state.table.ended_jobs.get(name.partition('.')[0])
    if ended is not None:
        _add(found, ended.workspace, _UNKNOWN)


def _add(
    found: dict[str, need_module.Need], workspace: str, need: need_module.Need
) -> None:
    found[workspace] = found.get(workspace, need_module.Need()).plus(need)


def _capacity(state: state_module.CellState) -> need_module.Need | None:
    # None if a worker that was not seen has no entry that tells its size.
    total = need_module.Need()
    for worker_id in state.unseen_workers:
        worker = state.workers.get(worker_id)
        if worker is None or not worker.capacity.cpu_millicores:
            return None
        total = total.plus(worker.capacity)
    return total


def _least(need: need_module.Need, most: need_module.Need) -> need_module.Need:
    return need_module.Need(
        min(need.cpu_millicores, most.cpu_millicores),
        min(need.memory_mb, most.memory_mb),
        min(need.accelerators, most.accelerators),
    )
