"""Score workers for a task; the policy type selects the behaviour."""

import collections.abc
import functools

from basilspindle import model
from basilspindle.policy import pack
from basilspindle.policy import quick
from basilspindle.policy import spread
from basilspindle.policy import worker_view

Policy = pack.Pack | spread.Spread | quick.Quick
# Lower is better.
Rank = collections.abc.Callable[[worker_view.WorkerView], tuple[float, ...]]

_PACK = pack.Pack()
_SPREAD = spread.Spread()
_QUICK = quick.Quick()
# Keeps workers with accelerators for the tasks that need them.
_ACCELERATOR_COST = 10.0


def policy_for(order: model.TaskOrder) -> Policy:
    """Return the policy of the class of a task."""
    if order.service or order.priority == model.Priority.SERVICE:
        return _SPREAD
    if order.priority == model.Priority.URGENT:
        return _QUICK
    return _PACK


def _kept(order: model.TaskOrder, view: worker_view.WorkerView) -> float:
    if order.resources.accelerators or not view.total.accelerators:
        return view.penalty
    return view.penalty + _ACCELERATOR_COST


def _parts(
    resources: model.Resources, view: worker_view.WorkerView
) -> list[float]:
    # The part of each amount that the task uses which would stay free.
    free = view.free
    total = view.total
    parts = []
    if resources.cpu_millicores:
        rest = free.cpu_millicores - resources.cpu_millicores
        parts.append(rest / total.cpu_millicores)
    if resources.memory_mb:
        parts.append((free.memory_mb - resources.memory_mb) / total.memory_mb)
    if resources.accelerators:
        rest = free.accelerators - resources.accelerators
        parts.append(rest / total.accelerators)
    if resources.slots:
        parts.append((free.slots - resources.slots) / total.slots)
    return parts or [0.0]


@functools.singledispatch
def ranker(policy: Policy, order: model.TaskOrder) -> Rank:
    """Return the function that ranks a worker that fits; lowest wins."""
    raise TypeError(f'no ranking for {type(policy).__name__}')


@ranker.register
def _(policy: pack.Pack, order: model.TaskOrder) -> Rank:
    resources = order.resources

    def rank(view: worker_view.WorkerView) -> tuple[float, ...]:
        return (_kept(order, view) + max(_parts(resources, view)),)

    return rank


@ranker.register
def _(policy: spread.Spread, order: model.TaskOrder) -> Rank:
    resources = order.resources
    siblings = order.siblings
    job_id = order.job_id

    def rank(view: worker_view.WorkerView) -> tuple[float, ...]:
        return (
            siblings.get(view.failure_domain, 0),
            siblings.get(view.rack, 0),
            view.running_by_job.get(job_id, 0),
            _kept(order, view) + max(_parts(resources, view)),
        )

    return rank


@ranker.register
def _(policy: quick.Quick, order: model.TaskOrder) -> Rank:
    resources = order.resources

    def rank(view: worker_view.WorkerView) -> tuple[float, ...]:
        return (_kept(order, view) - min(_parts(resources, view)),)

    return rank
