"""Estimate the usage of workspaces that the leader does not account for.

After a change of leader, workers that have not reported yet may run tasks of
the previous leader, and unexpected runs take a moment to stop.
"""

import collections.abc

from basilspindle.cell import state as state_module
from basilspindle.workflow import job as job_module
from basilspindle.workflow import need as need_module
from basilspindle.workflow import step_run as step_run_module
from basilspindle.workflow import task as task_module

# A run of a job that is no longer known has an unknown size. Its workspace can
# start no tasks until the worker has stopped it.
_UNKNOWN_SIZE = need_module.Need(1 << 40, 1 << 40, 1 << 40)


def may_run_unseen(state: state_module.CellState, now_ms: int) -> bool:
    """Tell whether workers that have not reported may run unknown tasks."""
    return state.awaited_workers.any_unaccounted(now_ms)


def estimate_usage(
    state: state_module.CellState, now_ms: int
) -> dict[str, need_module.Need]:
    """Return, by workspace, an upper bound on usage not accounted for."""
    usage: dict[str, need_module.Need] = {}
    for worker in state.workers.values():
        for name in worker.unexpected_runs:
            _add_unexpected(state, usage, name)
    if not state.awaited_workers.any(now_ms):
        return usage
    unseen: dict[str, need_module.Need] = {}
    if may_run_unseen(state, now_ms):
        for job in state.table.jobs.values():
            # A job that has ended meanwhile runs on where no stop has arrived.
            if job.recovered:
                _add(unseen, job.definition.workspace, job_need(job))
    for workspace, need in state.stopping_usage.items():
        _add(unseen, workspace, need)
    capacity = _unseen_capacity(state)
    for workspace, need in unseen.items():
        _add(
            usage,
            workspace,
            need if capacity is None else _combine(min, need, capacity),
        )
    return usage


def job_need(job: job_module.Job) -> need_module.Need:
    """Return an upper bound on what a recovered job may run unseen."""
    # A predecessor that still leads starts the steps that become ready by
    # ends on workers that only it reaches. A task on a known worker keeps it
    # from starting the steps after. A step and one after it never run at the
    # same time, so of each chain of steps only the largest counts.
    seen = {task.step_run.key for task in job.occupying_tasks}
    chains: list[need_module.Need] = []
    chain_by_last_step: dict[str, int] = {}
    may_end: set[str] = set()
    for (occurrence, _), run in job.runs.items():
        before = [job.runs[occurrence, index] for index in run.step.after]
        if not all(step.is_done or step.key in may_end for step in before):
            continue
        if run.key not in seen:
            may_end.add(run.key)
        number = len(chains)
        for step in before:
            if step.key in chain_by_last_step:
                number = chain_by_last_step.pop(step.key)
                break
        else:
            chains.append(need_module.Need())
        chains[number] = _combine(max, chains[number], _waiting_need(run))
        chain_by_last_step[run.key] = number
    return _sum_needs(chains)


def _waiting_need(run: step_run_module.StepRun) -> need_module.Need:
    return need_module.Need().plus(run.step.reserved, len(run.waiting))


def _add_unexpected(
    state: state_module.CellState,
    usage: dict[str, need_module.Need],
    name: str,
) -> None:
    task = state.table.tasks.get(name)
    if task is not None:
        job: job_module.Job = task.step_run.job
        _add(usage, job.definition.workspace, task.step_run.step.reserved)
        return
    ended = state.table.ended_jobs.get(task_module.job_id_of(name))
    if ended is not None:
        _add(usage, ended.workspace, _UNKNOWN_SIZE)


def _add(
    usage: dict[str, need_module.Need], workspace: str, need: need_module.Need
) -> None:
    usage[workspace] = usage.get(workspace, need_module.Need()).plus(need)


def _unseen_capacity(state: state_module.CellState) -> need_module.Need | None:
    # None if the capacity of an unseen worker is unknown.
    total = need_module.Need()
    for worker_id in state.awaited_workers:
        worker = state.workers.get(worker_id)
        if worker is None:
            return None
        # The entry may be of a later life than the tasks.
        recorded = worker.recorded_capacity or state_module.NO_NEED
        capacity = _combine(max, worker.capacity, recorded)
        if not capacity.cpu_millicores:
            return None
        total = total.plus(capacity)
    return total


def _sum_needs(
    needs: collections.abc.Iterable[need_module.Need],
) -> need_module.Need:
    total = need_module.Need()
    for need in needs:
        total = total.plus(need)
    return total


def _combine(
    choose: collections.abc.Callable[[int, int], int],
    need: need_module.Need,
    other: need_module.Need,
) -> need_module.Need:
    return need_module.Need(
        choose(need.cpu_millicores, other.cpu_millicores),
        choose(need.memory_mb, other.memory_mb),
        choose(need.accelerators, other.accelerators),
    )
