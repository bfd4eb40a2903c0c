"""Score workers for a task, dispatched on the type of the policy."""

import collections.abc
import functools

from basilspindle import model
from basilspindle.policy import least_loaded
from basilspindle.policy import pack
from basilspindle.policy import spread
from basilspindle.policy import worker_view

Policy = pack.Pack | spread.Spread | least_loaded.LeastLoaded
# Returns the score of a worker; the lowest score wins.
Rank = collections.abc.Callable[[worker_view.WorkerView], tuple[float, ...]]

_PACK = pack.Pack()
_SPREAD = spread.Spread()
_LEAST_LOADED = least_loaded.LeastLoaded()
# Keeps workers with accelerators for the tasks that need them.
_ACCELERATOR_COST = 10_000.0
# Penalties below this are ignored: jobs that fail by their own fault give
# every worker a small one.
TOLERATED_PENALTY = 0.1
# Cost of a penalty of 1. It outweighs the packing cost of any task: a worker
# that fails every task stays empty and would otherwise attract all work.
_PENALTY_COST = 1_000.0
# Weight of best fit, which decides between workers that lose about the same
# number of slots.
_FIT_WEIGHT = 0.1


def policy_for(order: model.TaskOrder) -> Policy:
    """Return the placement policy for a task."""
    if order.service or order.priority == model.Priority.SERVICE:
        return _SPREAD
    if order.priority == model.Priority.URGENT:
        return _LEAST_LOADED
    return _PACK


def _health_cost(view: worker_view.WorkerView) -> float:
    penalty = view.penalty
    return penalty * _PENALTY_COST if penalty >= TOLERATED_PENALTY else 0.0


def _base_cost(order: model.TaskOrder, view: worker_view.WorkerView) -> float:
    if order.resources.accelerators or not view.total.accelerators:
        return _health_cost(view)
    return _health_cost(view) + _ACCELERATOR_COST


def _packing_cost(
    resources: model.Resources, view: worker_view.WorkerView
) -> float:
    # Slots that the worker can no longer use, then best fit on the largest
    # fraction that stays free. A large task costs a small worker several
    # slots, since no CPU or memory is left for them.
    scarcest_before, scarcest_after, largest_after = _free_fractions(
        resources, view
    )
    return (scarcest_before - scarcest_after) * (
        view.total.slots or 1
    ) + _FIT_WEIGHT * largest_after


def _free_fractions(
    resources: model.Resources, view: worker_view.WorkerView
) -> tuple[float, float, float]:
    # Returns the smallest free fraction without and with the task, and the
    # largest with it. Accelerators count only if the task needs some.
    free = view.free
    total = view.total
    scarcest_before = scarcest_after = 1.0
    largest_after = 0.0
    for available, need, size in (
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
            fraction = available / size
            if fraction < scarcest_before:
                scarcest_before = fraction
            fraction = (available - need) / size
            if fraction < scarcest_after:
                scarcest_after = fraction
            if fraction > largest_after:
                largest_after = fraction
    return scarcest_before, scarcest_after, largest_after


@functools.singledispatch
def ranking_for(policy: Policy, order: model.TaskOrder) -> Rank:
    """Return the function that scores a worker with room for the task."""
    raise TypeError(f'no ranking for {type(policy).__name__}')


@ranking_for.register
def _(policy: pack.Pack, order: model.TaskOrder) -> Rank:
    resources = order.resources

    def rank(view: worker_view.WorkerView) -> tuple[float, ...]:
        return (_base_cost(order, view) + _packing_cost(resources, view),)

    return rank


@ranking_for.register
def _(policy: spread.Spread, order: model.TaskOrder) -> Rank:
    resources = order.resources
    siblings = order.siblings
    job_id = order.job_id

    def rank(view: worker_view.WorkerView) -> tuple[float, ...]:
        return (
            _health_cost(view),
            siblings.get(view.failure_domain, 0),
            siblings.get(view.rack, 0),
            view.running_by_job.get(job_id, 0),
            _base_cost(order, view) + _packing_cost(resources, view),
        )

    return rank


@ranking_for.register
def _(policy: least_loaded.LeastLoaded, order: model.TaskOrder) -> Rank:
    resources = order.resources

    def rank(view: worker_view.WorkerView) -> tuple[float, ...]:
        return (_base_cost(order, view) - _free_fractions(resources, view)[1],)

    return rank
