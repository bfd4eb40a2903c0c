"""Score workers for a task; the policy type selects the behaviour."""

import collections.abc
import functools

from basilspindle import model
from basilspindle.policy import least_loaded
from basilspindle.policy import pack
from basilspindle.policy import spread
from basilspindle.policy import worker_view

Policy = pack.Pack | spread.Spread | least_loaded.LeastLoaded
# Lower is better.
Rank = collections.abc.Callable[[worker_view.WorkerView], tuple[float, ...]]

_PACK = pack.Pack()
_SPREAD = spread.Spread()
_LEAST_LOADED = least_loaded.LeastLoaded()
# Keeps workers with accelerators for the tasks that need them.
_ACCELERATOR_COST = 10_000.0
# Failures of jobs give every worker a small penalty.
TOLERATED_PENALTY = 0.1
# Above the cost of any task in slots: a worker that fails what it starts is
# empty, and would attract all work.
_PENALTY_COST = 1_000.0
# Decides between workers that lose about the same.
_FIT_WEIGHT = 0.1


def policy_for(order: model.TaskOrder) -> Policy:
    """Return the policy of the class of a task."""
    if order.service or order.priority == model.Priority.SERVICE:
        return _SPREAD
    if order.priority == model.Priority.URGENT:
        return _LEAST_LOADED
    return _PACK


def _sick(view: worker_view.WorkerView) -> float:
    penalty = view.penalty
    return penalty * _PENALTY_COST if penalty >= TOLERATED_PENALTY else 0.0


def _kept(order: model.TaskOrder, view: worker_view.WorkerView) -> float:
    if order.resources.accelerators or not view.total.accelerators:
        return _sick(view)
    return _sick(view) + _ACCELERATOR_COST


def _cost(resources: model.Resources, view: worker_view.WorkerView) -> float:
    # Slots that the worker loses for typical further work, then best fit
    # over the dominant remaining amount. A large task costs a small worker
    # several slots, since the others stay without processor or memory.
    before, after, most = _parts(resources, view)
    return (before - after) * (view.total.slots or 1) + _FIT_WEIGHT * most


def _parts(
    resources: model.Resources, view: worker_view.WorkerView
) -> tuple[float, float, float]:
    # The scarcest free part before and after, and the largest after.
    free = view.free
    total = view.total
    before = after = 1.0
    most = 0.0
    for have, need, size in (
        (free.cpu_millicores, resources.cpu_millicores, total.cpu_millicores),
        (free.memory_mb, resources.memory_mb, total.memory_mb),
        (free.slots, resources.slots, total.slots),
        (
            free.accelerators,
            resources.accelerators,
            resources.accelerators and total.accelerators,
        ),
    ):
        if size:
            part = have / size
            if part < before:
                before = part
            part = (have - need) / size
            if part < after:
                after = part
            if part > most:
                most = part
    return before, after, most


@functools.singledispatch
def ranker(policy: Policy, order: model.TaskOrder) -> Rank:
    """Return the function that ranks a worker that fits; lowest wins."""
    raise TypeError(f'no ranking for {type(policy).__name__}')


@ranker.register
def _(policy: pack.Pack, order: model.TaskOrder) -> Rank:
    resources = order.resources

    def rank(view: worker_view.WorkerView) -> tuple[float, ...]:
        return (_kept(order, view) + _cost(resources, view),)

    return rank


@ranker.register
def _(policy: spread.Spread, order: model.TaskOrder) -> Rank:
    resources = order.resources
    siblings = order.siblings
    job_id = order.job_id

    def rank(view: worker_view.WorkerView) -> tuple[float, ...]:
        return (
            _sick(view),
            siblings.get(view.failure_domain, 0),
            siblings.get(view.rack, 0),
            view.running_by_job.get(job_id, 0),
            _kept(order, view) + _cost(resources, view),
        )

    return rank


@ranker.register
def _(policy: least_loaded.LeastLoaded, order: model.TaskOrder) -> Rank:
    resources = order.resources

    def rank(view: worker_view.WorkerView) -> tuple[float, ...]:
        return (_kept(order, view) - _parts(resources, view)[1],)

    return rank
