"""Assign the waiting tasks of a step to workers by best-fit bin packing.

Worker sizes differ and the fleet is often full. Tasks therefore go to the
workers with the least capacity left over, and tasks that must share a rack to
the fullest rack that fits them. Workers with recent failures are used last.
"""

import collections.abc

from basilspindle.cell import worker as worker_module
from basilspindle.workflow import step as step_module
from basilspindle.workflow import step_run as step_run_module

Assignment = dict[str, int]
_NO_LIMIT = 1 << 30


def slots(worker: worker_module.Worker, run: step_run_module.StepRun) -> int:
    """Return how many more tasks of a step fit on a worker."""
    step = run.step
    need = step.reserved
    available = worker.available
    own_reserved = run.reserved_tasks.get(worker.worker_id, 0)
    fitting = _NO_LIMIT
    rows = (
        (need.cpu_millicores, available.cpu_millicores),
        (need.memory_mb, available.memory_mb),
        (need.accelerators, available.accelerators),
    )
    for per_task, left in rows:
        if per_task:
            fitting = min(
                fitting, (left + own_reserved * per_task) // per_task
            )
    if step.max_per_worker:
        running = sum(
            1 for task in worker.tasks.values() if task.step_run is run
        )
        fitting = min(fitting, step.max_per_worker - running)
    return max(0, fitting)


def assign(
    run: step_run_module.StepRun,
    workers: collections.abc.Sequence[worker_module.Worker],
    count: int,
    scarce: collections.abc.Set[str] = frozenset(),
) -> Assignment:
    """Return the number of tasks by worker id, at most ``count`` in total.

    A gang gets either all ``count`` tasks or none. ``scarce`` are the workers
    that steps with few eligible workers wait for; they are used last.
    """
    rows = [(worker, slots(worker, run)) for worker in workers]
    rows = [row for row in rows if row[1] > 0]
    if not rows:
        return {}
    step = run.step
    if step.same_rack:
        assignment = _assign_to_rack(step, rows, count, scarce)
        if assignment or step.gang:
            return assignment
    assignment = _assign_in_order(step, rows, count, scarce)
    if step.gang and sum(assignment.values()) < count:
        return {}
    return assignment


def _assign_to_rack(
    step: step_module.Step,
    rows: list[tuple[worker_module.Worker, int]],
    count: int,
    scarce: collections.abc.Set[str],
) -> Assignment:
    racks: dict[str, list[tuple[worker_module.Worker, int]]] = {}
    for row in rows:
        racks.setdefault(row[0].rack, []).append(row)
    suitable_racks = [
        rack
        for rack in racks.values()
        if sum(fitting for _, fitting in rack) >= count
    ]
    if not suitable_racks:
        return {}
    tightest_rack = min(
        suitable_racks, key=lambda rack: sum(fitting for _, fitting in rack)
    )
    return _assign_in_order(step, tightest_rack, count, scarce)


def _assign_in_order(
    step: step_module.Step,
    rows: list[tuple[worker_module.Worker, int]],
    count: int,
    scarce: collections.abc.Set[str],
) -> Assignment:
    need_cpu = step.reserved.cpu_millicores

    def rank(row: tuple[worker_module.Worker, int]) -> tuple[object, ...]:
        worker, fitting = row
        placed = min(fitting, count)
        left = worker.available.cpu_millicores - placed * need_cpu
        off_data_rack = bool(step.data_rack) and worker.rack != step.data_rack
        is_scarce = worker.worker_id in scarce
        failure_score = round(worker.failure_score)
        return (
            off_data_rack,
            is_scarce,
            failure_score,
            worker.speed_class,
            left,
            worker.worker_id,
        )

    assignment: Assignment = {}
    left = count
    for worker, fitting in sorted(rows, key=rank):
        placed = min(fitting, left)
        assignment[worker.worker_id] = placed
        left -= placed
        if not left:
            break
    return assignment
