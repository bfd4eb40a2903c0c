"""Order the workers to examine; the policy type selects the behaviour."""

import collections.abc
import functools

from basilspindle import model
from basilspindle.policy import pack
from basilspindle.policy import quick
from basilspindle.policy import rank
from basilspindle.policy import spread
from basilspindle.policy import worker_index
from basilspindle.policy import worker_view

Walk = collections.abc.Iterator[worker_view.WorkerView]


@functools.singledispatch
def walk(
    policy: rank.Policy,
    order: model.TaskOrder,
    domains: dict[str, worker_index.WorkerIndex],
    everywhere: worker_index.WorkerIndex,
    dimension: int,
    need: int,
) -> Walk:
    """Yield workers, the most promising first.

    ``dimension`` is the dominant amount of the task, ``need`` how much of
    it the task needs.
    """
    raise TypeError(f'no walk for {type(policy).__name__}')


@walk.register
def _(policy: pack.Pack, order, domains, everywhere, dimension, need) -> Walk:
    return everywhere.fullest(dimension, need)


@walk.register
def _(
    policy: quick.Quick, order, domains, everywhere, dimension, need
) -> Walk:
    return everywhere.emptiest(dimension, need)


@walk.register
def _(
    policy: spread.Spread, order, domains, everywhere, dimension, need
) -> Walk:
    siblings = order.siblings
    if not siblings:
        yield from everywhere.fullest(dimension, need)
        return
    for name in sorted(domains, key=lambda name: siblings.get(name, 0)):
        yield from domains[name].fullest(dimension, need)
