"""Order candidate workers, dispatched on the type of the policy."""

import collections.abc
import functools

from basilspindle.indexing import amounts
from basilspindle import model
from basilspindle.policy import least_loaded
from basilspindle.policy import pack
from basilspindle.policy import rank
from basilspindle.policy import size_class
from basilspindle.policy import spread
from basilspindle.policy import worker_view

Candidates = collections.abc.Iterator[worker_view.WorkerView]


@functools.singledispatch
def iterate_candidates(
    policy: rank.Policy,
    order: model.TaskOrder,
    size: size_class.SizeClass,
    dimension: int,
    need: amounts.Amounts,
) -> Candidates:
    """Yield the workers of one size class, the most promising first.

    Workers are ordered by their free amount in ``dimension``, the one in
    which the fewest of them have enough.
    """
    raise TypeError(f'no candidate order for {type(policy).__name__}')


@iterate_candidates.register
def _(policy: pack.Pack, order, size, dimension, need) -> Candidates:
    return size.all_workers.least_free_first(dimension, need[dimension])


@iterate_candidates.register
def _(
    policy: least_loaded.LeastLoaded, order, size, dimension, need
) -> Candidates:
    return size.all_workers.most_free_first(dimension, need[dimension])


@iterate_candidates.register
def _(policy: spread.Spread, order, size, dimension, need) -> Candidates:
    siblings = order.siblings
    if not siblings:
        yield from size.all_workers.least_free_first(
            dimension, need[dimension]
        )
        return
    domains = size.by_domain
    for name in sorted(domains, key=lambda name: siblings.get(name, 0)):
        yield from domains[name].least_free_first(dimension, need[dimension])
