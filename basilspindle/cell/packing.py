"""Choose workers with room for the waiting tasks of one step.

Answers a full fleet of unlike sizes: tasks go where they leave the least
room over, gangs into as few racks as they can, and both to workers that
have not failed lately.
"""

import collections.abc

from basilspindle.cell import worker as worker_module
from basilspindle.workflow import step as step_module
from basilspindle.workflow import step_run as step_run_module

Assignment = dict[str, int]
_NO_LIMIT = 1 << 30
# Workers whose slowness differs by less count as equally fast.
_SLOWNESS_STEP = 0.12


def slots(worker: worker_module.Worker, run: step_run_module.StepRun) -> int:
    """Return how many waiting tasks of a step a worker has room for."""
    step = run.step
    need = step.reserved
    room = worker.available
    own = run.reserved_tasks.get(worker.worker_id, 0)
    found = _NO_LIMIT
    rows = (
        (need.cpu_millicores, room.cpu_millicores),
        (need.memory_mb, room.memory_mb),
        (need.accelerators, room.accelerators),
    )
    for each, left in rows:
        if each:
            found = min(found, (left + own * each) // each)
    if step.max_per_worker:
        there = sum(
            1 for task in worker.tasks.values() if task.step_run is run
        )
        found = min(found, step.max_per_worker - there)
    return max(0, found)


def assign(
    run: step_run_module.StepRun,
    workers: collections.abc.Sequence[worker_module.Worker],
    count: int,
    wanted: collections.abc.Set[str] = frozenset(),
) -> Assignment:
    """Return tasks by worker id, at most ``count`` in all.

    Workers that are ``wanted`` by steps with less choice come last.

    For a gang either all ``count`` tasks or none.
    """
    rows = [(worker, slots(worker, run)) for worker in workers]
    rows = [row for row in rows if row[1] > 0]
    if not rows:
        return {}
    step = run.step
    if step.same_rack:
        choice = _one_rack(step, rows, count, wanted)
        if choice or step.gang:
            return choice
    choice = _fill(step, rows, count, wanted)
    if step.gang and sum(choice.values()) < count:
        return {}
    return choice


def _one_rack(
    step: step_module.Step,
    rows: list[tuple[worker_module.Worker, int]],
    count: int,
    wanted: collections.abc.Set[str],
) -> Assignment:
    racks: dict[str, list[tuple[worker_module.Worker, int]]] = {}
    for row in rows:
        racks.setdefault(row[0].rack, []).append(row)
    fitting = [
        rack
        for rack in racks.values()
        if sum(found for _, found in rack) >= count
    ]
    if not fitting:
        return {}
    tightest = min(fitting, key=lambda rack: sum(found for _, found in rack))
    return _fill(step, tightest, count, wanted)


def _fill(
    step: step_module.Step,
    rows: list[tuple[worker_module.Worker, int]],
    count: int,
    wanted: collections.abc.Set[str],
) -> Assignment:
    need_cpu = step.reserved.cpu_millicores

    def rank(row: tuple[worker_module.Worker, int]) -> tuple[object, ...]:
        worker, found = row
        placed = min(found, count)
        left = worker.available.cpu_millicores - placed * need_cpu
        far = bool(step.data_rack) and worker.rack != step.data_rack
        slow = round(worker.slowness / _SLOWNESS_STEP)
        awaited = worker.worker_id in wanted
        failure_score = round(worker.failure_score)
        return (far, awaited, failure_score, slow, left, worker.worker_id)

    choice: Assignment = {}
    left = count
    for worker, found in sorted(rows, key=rank):
        placed = min(found, left)
        choice[worker.worker_id] = placed
        left -= placed
        if not left:
            break
    return choice
