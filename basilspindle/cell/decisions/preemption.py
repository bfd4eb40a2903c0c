"""Choose the running tasks that give way to an urgent step without room.

For a fleet that is nearly full: a gang needs all its room at once, while
smaller tasks take each part of it as soon as it is free. Less urgent tasks
that checkpoint continue elsewhere without losing work.
"""

import collections.abc

from basilspindle.cell.decisions import packing
from basilspindle.cell.decisions import speed
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import need as need_module
from basilspindle.workflow import step_run as step_run_module
from basilspindle.workflow import task as task_module
from basilspindle.workflow import task_state

_State = task_state.TaskState
# The room of a task that is to end within this time counts as room for the
# gang, which waits for its end instead of a stop.
_ENDS_SOON_MS = 1_500
# Cost of a second of waiting for the end of a task, relative to a stop.
_WAIT_COST_PER_S = 0.25
# What a stopped task loses at most: its stop, the wait for another worker and
# the restart from its checkpoint.
_RESTART_MS = 2_000
# A task gives way at most this many times.
_MAX_PREEMPTIONS = 1


class Preemption:
    """Room for a gang, by worker id, once ``tasks`` have been stopped.

    Other tasks there are to end by themselves.
    """

    __slots__ = ('assignment', 'tasks')

    def __init__(
        self, assignment: packing.Assignment, tasks: list[task_module.Task]
    ) -> None:
        self.assignment = assignment
        self.tasks = tasks


def plan_limit_preemption(
    state: state_module.CellState,
    run: step_run_module.StepRun,
    unseen: need_module.Need,
    now_ms: int,
) -> list[task_module.Task]:
    """Return tasks without which a gang is within its workspace's limit.

    They belong to the same workspace; ``unseen`` counts as used. What runs in
    a closed failure domain continues. The list is empty if the others do not
    suffice.
    """
    workspace = run.job.definition.workspace
    limit = state.workspace_limit(workspace)
    tasks = [
        task
        for worker in state.workers.values()
        if not state.is_closed(worker)
        for task in worker.tasks.values()
        if task.step_run.job.definition.workspace == workspace
        and _may_give_way(
            state, run, task, _remaining_ms(state, task, now_ms), now_ms
        )
    ]
    tasks.sort(
        key=lambda task: -state.due_times_ms.get(task.step_run.job.job_id, 0)
    )
    for number, task in enumerate(tasks, 1):
        unseen = unseen.plus(task.step_run.step.reserved, -1)
        headroom = state.usage.headroom(
            workspace, run.step.reserved, limit, unseen
        )
        if headroom >= len(run.waiting):
            return tasks[:number]
    return []


class _Leaving:
    """A task that is to end soon, or that may be stopped."""

    __slots__ = ('task', 'is_stopped', 'cost')

    def __init__(
        self, task: task_module.Task, is_stopped: bool, wait_ms: float
    ) -> None:
        self.task = task
        self.is_stopped = is_stopped
        weight = 1.0 if is_stopped else wait_ms / 1000 * _WAIT_COST_PER_S
        self.cost = weight * task.step_run.step.need.cpu_millicores


class _Slot:
    """One more task of the gang on a worker, and the tasks it displaces."""

    __slots__ = ('worker_id', 'tasks', 'cost')

    def __init__(
        self, worker_id: str, tasks: list[_Leaving], number: int
    ) -> None:
        self.worker_id = worker_id
        self.tasks = [leaving.task for leaving in tasks if leaving.is_stopped]
        cost = sum(leaving.cost for leaving in tasks)
        # Slots of one worker are taken in their order.
        self.cost = (cost, worker_id, number)


def plan_preemption(
    state: state_module.CellState,
    run: step_run_module.StepRun,
    workers: collections.abc.Sequence[worker_module.Worker],
    count: int,
    now_ms: int,
) -> Preemption | None:
    """Return the cheapest room for ``count`` tasks, or None."""
    groups: dict[str, list[worker_module.Worker]] = {}
    for worker in workers:
        rack = worker.rack if run.step.same_rack else ''
        groups.setdefault(rack, []).append(worker)
    found = [
        slots
        for group in groups.values()
        if (slots := _cheapest_slots(state, run, group, count, now_ms))
    ]
    if not found:
        return None
    slots = min(found, key=lambda slots: sum(slot.cost[0] for slot in slots))
    assignment: packing.Assignment = {}
    for slot in slots:
        assignment[slot.worker_id] = assignment.get(slot.worker_id, 0) + 1
    return Preemption(
        assignment, [task for slot in slots for task in slot.tasks]
    )


def _cheapest_slots(
    state: state_module.CellState,
    run: step_run_module.StepRun,
    workers: collections.abc.Sequence[worker_module.Worker],
    count: int,
    now_ms: int,
) -> list[_Slot]:
    slots: list[_Slot] = []
    for worker in workers:
        slots += _worker_slots(state, run, worker, count, now_ms)
    if len(slots) < count:
        return []
    slots.sort(key=lambda slot: slot.cost)
    # The displaced tasks of a later slot of a worker add to those of the
    # earlier ones, so that cost rises with each slot and none is left out.
    return slots[:count]


def _worker_slots(
    state: state_module.CellState,
    run: step_run_module.StepRun,
    worker: worker_module.Worker,
    count: int,
    now_ms: int,
) -> list[_Slot]:
    need = run.step.reserved
    limit = count
    if run.step.max_per_worker:
        running = sum(task.step_run is run for task in worker.tasks.values())
        limit = min(count, run.step.max_per_worker - running)
    own = run.reserved_tasks.get(worker.worker_id, 0)
    left = worker.available.plus(need, own)
    leaving = _leaving_tasks(state, run, worker, now_ms)
    slots: list[_Slot] = []
    while len(slots) < limit:
        displaced: list[_Leaving] = []
        while not need.fits(left) and leaving:
            displaced.append(leaving.pop())
            left = left.plus(displaced[-1].task.step_run.step.reserved)
        if not need.fits(left):
            break
        for other in sorted(displaced, key=lambda row: -row.cost):
            # Smaller tasks are of no use beside a larger one that has to go.
            without = left.plus(other.task.step_run.step.reserved, -1)
            if need.fits(without):
                left = without
                displaced.remove(other)
                leaving.append(other)
        leaving.sort(key=lambda row: -row.cost)
        left = left.plus(need, -1)
        slots.append(_Slot(worker.worker_id, displaced, len(slots)))
    return _with_rising_cost(slots)


def _with_rising_cost(slots: list[_Slot]) -> list[_Slot]:
    # A slot is never cheaper than the one before it on the same worker, as
    # it exists only together with that one.
    for before, slot in zip(slots, slots[1:], strict=False):
        if slot.cost[0] < before.cost[0]:
            slot.cost = (before.cost[0], *slot.cost[1:])
    return slots


def _leaving_tasks(
    state: state_module.CellState,
    run: step_run_module.StepRun,
    worker: worker_module.Worker,
    now_ms: int,
) -> list[_Leaving]:
    """Return the tasks that end soon or may give way, the cheapest last."""
    rows: list[_Leaving] = []
    for task in worker.tasks.values():
        remaining_ms = _remaining_ms(state, task, now_ms)
        if remaining_ms <= _ENDS_SOON_MS:
            rows.append(_Leaving(task, False, remaining_ms))
        elif _may_give_way(state, run, task, remaining_ms, now_ms):
            rows.append(_Leaving(task, True, 0.0))
    rows.sort(key=lambda row: -row.cost)
    return rows


def _remaining_ms(
    state: state_module.CellState, task: task_module.Task, now_ms: int
) -> float:
    if task.step_run.step.service or task.state is _State.STARTING:
        return float('inf')
    if task.state is _State.STOPPING:
        return 0.0
    return speed.remaining_ms(state, task, now_ms)


def _may_give_way(
    state: state_module.CellState,
    run: step_run_module.StepRun,
    task: task_module.Task,
    remaining_ms: float,
    now_ms: int,
) -> bool:
    other = task.step_run
    step = other.step
    if task.state is not _State.RUNNING or not step.checkpoints:
        return False
    if step.gang or step.service or step.fills or step.speculative:
        return False
    if other.job.definition.priority <= run.job.definition.priority:
        return False
    if task.preemptions >= _MAX_PREEMPTIONS:
        return False
    due_ms = state.due_times_ms.get(other.job.job_id, 0)
    # A job that is late anyway loses nothing by another delay.
    return due_ms < now_ms or now_ms + remaining_ms + _RESTART_MS < due_ms
