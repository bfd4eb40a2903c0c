"""Count which workers of a pool would take a task of a step, and why not."""

import collections
import enum
import typing

import msgspec

from basilspindle.cell.decisions import packing
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import definition as definition_module
from basilspindle.workflow import job as job_module
from basilspindle.workflow import step_run as step_run_module

# Enough to look up in the state dump.
_MAX_NAMED_WORKERS = 5


class Obstacle(enum.StrEnum):
    """Why a worker takes no task of a step; the first that applies counts.

    Those that no event can remove for this worker come first.
    """

    LABEL = 'label'
    TOO_SMALL = 'capacity_too_small'
    CLOSED_DOMAIN = 'closed_failure_domain'
    # Also workers that the registry lists as not ready for another reason.
    DRAINING = 'draining'
    SUSPECT = 'suspect'
    # No complete report, none lately, or no valid registry entry.
    NOT_REPORTING = 'not_reporting'
    ROOM = 'room'
    WORKSPACE_LIMIT = 'workspace_limit'


class SpeedClass(typing.NamedTuple):
    """Number of a speed class, 0 for the fastest, and its mean slowness."""

    number: int
    slowness: float


class Fit:
    """Workers of a pool that would take a task of a step now.

    ``obstacles`` counts the others by reason. ``task_slots`` is how many
    tasks fit, ``start_now`` how many of the step's tasks could start at
    once. The speed classes are None if no worker takes a task.
    """

    __slots__ = (
        'workers',
        'obstacles',
        'task_slots',
        'start_now',
        'fastest',
        'slowest',
        'worker_ids',
    )

    def __init__(
        self,
        rows: list[tuple[worker_module.Worker, int]],
        obstacles: dict[Obstacle, int],
        start_now: int,
    ) -> None:
        self.workers = len(rows)
        self.obstacles = obstacles
        self.task_slots = sum(slots for _, slots in rows)
        self.start_now = start_now
        classes = [
            SpeedClass(worker.speed_class, worker.class_slowness)
            for worker, _ in rows
        ]
        self.fastest = min(classes, default=None)
        self.slowest = max(classes, default=None)
        self.worker_ids = sorted(worker.worker_id for worker, _ in rows)[
            :_MAX_NAMED_WORKERS
        ]


def count_workers(
    state: state_module.CellState,
    definition: definition_module.JobDefinition,
    index: int,
    headroom: int,
    now_ms: int,
) -> Fit:
    """Return what the workers of the pool would do; changes nothing.

    ``headroom`` is how many tasks of the step the limit of the workspace
    lets start.
    """
    step = definition.steps[index]
    run = _step_run(definition, index, now_ms)
    rows = []
    counts: collections.Counter[Obstacle] = collections.Counter()
    for worker in state.workers.values():
        if worker.pool != definition.pool:
            continue
        obstacle = _find_obstacle(state, worker, run, now_ms)
        if obstacle is None:
            slots = packing.slots(worker, run)
            if slots and headroom:
                rows.append((worker, slots))
                continue
            obstacle = Obstacle.WORKSPACE_LIMIT if slots else Obstacle.ROOM
        counts[obstacle] += 1
    room = sum(slots for _, slots in rows)
    if step.same_rack and step.gang:
        racks: collections.Counter[str] = collections.Counter()
        for worker, slots in rows:
            racks[worker.rack] += slots
        room = max(racks.values(), default=0)
    start_now = min(step.count, headroom, room)
    if step.gang and start_now < step.count:
        start_now = 0
    obstacles = {reason: counts[reason] for reason in Obstacle}
    return Fit(rows, obstacles, start_now)


def _step_run(
    definition: definition_module.JobDefinition, index: int, now_ms: int
) -> step_run_module.StepRun:
    # The room on a worker doesn't depend on the number of tasks, and a run
    # makes an object for each.
    step = definition.steps[index]
    replace = msgspec.structs.replace
    job = job_module.Job(replace(definition, steps=()), now_ms)
    run = step_run_module.StepRun(job, 0, index, replace(step, count=0))
    run.step = step
    return run


def _find_obstacle(
    state: state_module.CellState,
    worker: worker_module.Worker,
    run: step_run_module.StepRun,
    now_ms: int,
) -> Obstacle | None:
    step = run.step
    if step.required_label and step.required_label not in worker.labels:
        return Obstacle.LABEL
    if not step.reserved.fits(worker.capacity):
        return Obstacle.TOO_SMALL
    if state.accepts(worker, now_ms):
        return None
    if state.is_closed(worker):
        return Obstacle.CLOSED_DOMAIN
    if not worker.ready:
        return Obstacle.DRAINING
    if now_ms < worker.suspect_until_ms:
        return Obstacle.SUSPECT
    return Obstacle.NOT_REPORTING
