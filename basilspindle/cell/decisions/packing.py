"""Assign the waiting tasks of a step to workers by best-fit bin packing.

Worker sizes differ and the fleet is often full. Tasks therefore go to the
workers with the least capacity left over, and tasks that must share a rack to
the fullest rack that fits them. Workers with recent failures are used last.
Where workers differ in speed and the fast ones are busy, a step goes to the
slowest on which its job is on time; otherwise it goes to the fastest.
"""

import collections.abc

from basilspindle.cell.decisions import speed_need
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import step as step_module
from basilspindle.workflow import step_run as step_run_module

Assignment = dict[str, int]
_Row = tuple[worker_module.Worker, int]
_NO_LIMIT = 1 << 30
# Fast workers of which at least this part is free are not kept for steps that
# need them.
_MIN_IDLE_PART = 0.5


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


def has_slot(
    worker: worker_module.Worker, run: step_run_module.StepRun
) -> bool:
    """Tell whether one more task of a step fits on a worker."""
    step = run.step
    if step.max_per_worker or run.reserved_tasks:
        return slots(worker, run) > 0
    need = step.reserved
    left = worker.available
    return (
        (not need.cpu_millicores or need.cpu_millicores <= left.cpu_millicores)
        and (not need.memory_mb or need.memory_mb <= left.memory_mb)
        and (not need.accelerators or need.accelerators <= left.accelerators)
    )


def assign(
    run: step_run_module.StepRun,
    workers: collections.abc.Sequence[worker_module.Worker],
    count: int,
    scarce: collections.abc.Set[str] = frozenset(),
    need: speed_need.SpeedNeed | None = None,
    eligible: collections.abc.Sequence[worker_module.Worker] | None = None,
) -> Assignment:
    """Return the number of tasks by worker id, at most ``count`` in total.

    A gang gets either all ``count`` tasks or none. ``scarce`` are the workers
    that steps with few eligible workers wait for; they are used last. Without
    ``need``, fast workers come first. ``eligible`` are all workers that may
    run the step, if ``workers`` are only those with room.
    """
    rows = [(worker, slots(worker, run)) for worker in workers]
    rows = [row for row in rows if row[1] > 0]
    step = run.step
    if not rows:
        return {}
    if need is not None:
        known = workers if eligible is None else eligible
        if _are_fast_workers_idle(known, need):
            need = need._replace(preferred=0.0)
    if step.same_rack:
        assignment = _assign_to_rack(step, rows, count, scarce, need)
        if assignment or step.gang:
            return assignment
    if step.gang and need is not None:
        return _assign_gang(step, rows, count, scarce, need)
    assignment = _assign_in_order(step, rows, count, scarce, need)
    if step.gang and sum(assignment.values()) < count:
        return {}
    return assignment


def _are_fast_workers_idle(
    workers: collections.abc.Sequence[worker_module.Worker],
    need: speed_need.SpeedNeed,
) -> bool:
    # Fast workers are those before the slowest class that the step may use.
    slowest = max(
        (
            worker.speed_class
            for worker in workers
            if worker.class_slowness <= need.preferred
        ),
        default=0,
    )
    free = total = 0
    for worker in workers:
        if worker.speed_class < slowest:
            capacity = worker.capacity.cpu_millicores
            total += capacity
            free += capacity - worker.used.cpu_millicores
            free -= worker.reserved.cpu_millicores
    return free >= _MIN_IDLE_PART * total


def _slowness(
    step: step_module.Step,
    worker: worker_module.Worker,
    need: speed_need.SpeedNeed,
) -> float:
    if step.data_rack and worker.rack != step.data_rack:
        return worker.class_slowness * need.remote_factor
    return worker.class_slowness


def _assign_gang(
    step: step_module.Step,
    rows: list[_Row],
    count: int,
    scarce: collections.abc.Set[str],
    need: speed_need.SpeedNeed,
) -> Assignment:
    # All members run at the pace of the slowest, which wastes fast workers
    # beside a slow one. Therefore one speed class is used if one has room,
    # the slowest of those on which the job is on time.
    classes: dict[int, list[_Row]] = {}
    for row in rows:
        classes.setdefault(row[0].speed_class, []).append(row)

    def rank(members: list[_Row]) -> tuple[bool, int]:
        worker = members[0][0]
        too_slow = worker.class_slowness > need.preferred
        number = worker.speed_class
        return too_slow, number if too_slow else -number

    for members in sorted(classes.values(), key=rank):
        if sum(fitting for _, fitting in members) >= count:
            return _assign_in_order(step, members, count, scarce, need)
    if sum(fitting for _, fitting in rows) < count:
        return {}
    # As fast as possible.
    need = need._replace(preferred=0.0)
    return _assign_in_order(step, rows, count, scarce, need)


def _assign_to_rack(
    step: step_module.Step,
    rows: list[_Row],
    count: int,
    scarce: collections.abc.Set[str],
    need: speed_need.SpeedNeed | None,
) -> Assignment:
    racks: dict[str, list[_Row]] = {}
    for row in rows:
        racks.setdefault(row[0].rack, []).append(row)
    suitable_racks = [
        rack
        for rack in racks.values()
        if sum(fitting for _, fitting in rack) >= count
    ]
    if not suitable_racks:
        return {}
    if need is None:
        tightest_rack = min(
            suitable_racks,
            key=lambda rack: sum(fitting for _, fitting in rack),
        )
        return _assign_in_order(step, tightest_rack, count, scarce, need)
    by_id = {row[0].worker_id: row[0] for row in rows}
    found = []
    for rack in suitable_racks:
        if step.gang:
            assignment = _assign_gang(step, rack, count, scarce, need)
        else:
            assignment = _assign_in_order(step, rack, count, scarce, need)
        slowest = max(
            _slowness(step, by_id[worker_id], need) for worker_id in assignment
        )
        too_slow = slowest > need.preferred
        room = sum(fitting for _, fitting in rack)
        found.append(
            (too_slow, slowest if too_slow else 0.0, room, assignment)
        )
    return min(found, key=lambda row: row[:3])[3]


def _assign_in_order(
    step: step_module.Step,
    rows: list[_Row],
    count: int,
    scarce: collections.abc.Set[str],
    need: speed_need.SpeedNeed | None,
) -> Assignment:
    need_cpu = step.reserved.cpu_millicores

    def rank(row: _Row) -> tuple[object, ...]:
        worker, fitting = row
        placed = min(fitting, count)
        left = worker.available.cpu_millicores - placed * need_cpu
        off_data_rack = bool(step.data_rack) and worker.rack != step.data_rack
        is_scarce = worker.worker_id in scarce
        failure_score = round(worker.failure_score)
        if need is None:
            return (
                off_data_rack,
                is_scarce,
                failure_score,
                worker.speed_class,
                left,
                worker.worker_id,
            )
        slowness = _slowness(step, worker, need)
        too_slow = slowness > need.preferred
        return (
            failure_score,
            too_slow,
            is_scarce,
            # A fast worker in another rack may be better than a slow one here.
            slowness if too_slow else 0.0,
            off_data_rack,
            -worker.speed_class,
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
