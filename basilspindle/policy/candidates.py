"""Order the workers to examine; the policy type selects the behaviour."""

import collections.abc
import functools

from basilspindle import model
from basilspindle.policy import amounts
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
    """Yield workers of one size, the most promising first.

    ``dimension`` is the amount that the fewest workers have enough of.
    """
    raise TypeError(f'no walk for {type(policy).__name__}')


@iterate_candidates.register
def _(policy: pack.Pack, order, size, dimension, need) -> Candidates:
    return size.everywhere.fullest(dimension, need[dimension])


@iterate_candidates.register
def _(
    policy: least_loaded.LeastLoaded, order, size, dimension, need
) -> Candidates:
    return size.everywhere.emptiest(dimension, need[dimension])


@iterate_candidates.register
def _(policy: spread.Spread, order, size, dimension, need) -> Candidates:
    siblings = order.siblings
    if not siblings:
        yield from size.everywhere.fullest(dimension, need[dimension])
        return
    domains = size.domains
    for name in sorted(domains, key=lambda name: siblings.get(name, 0)):
        yield from domains[name].fullest(dimension, need[dimension])
