"""Choose a worker for a task from a plain list."""

import collections.abc
import math

from basilspindle import model
from basilspindle.policy import rank as rank_module
from basilspindle.policy import worker_view


def choose(
    order: model.TaskOrder,
    workers: collections.abc.Sequence[worker_view.WorkerView],
) -> worker_view.WorkerView | None:
    """Return the best worker that has room, or None.

    A worker in ``order.avoid`` is chosen only if no other has room, one
    with an infinite penalty never.
    """
    resources = order.resources
    fitting = [
        view
        for view in workers
        if resources.fits(view.free) and view.penalty != math.inf
    ]
    if order.avoid:
        preferred = [v for v in fitting if v.worker_id not in order.avoid]
        fitting = preferred or fitting
    rank = rank_module.ranking_for(rank_module.policy_for(order), order)
    return min(fitting, key=rank, default=None)
