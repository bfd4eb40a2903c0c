"""Choose the worker that a task fits best."""

import collections.abc

from basilspindle.fleet import view as view_module
from basilspindle import model

Choose = collections.abc.Callable[
    [model.TaskOrder, collections.abc.Sequence[view_module.WorkerView]],
    view_module.WorkerView | None,
]


def choose_best_fit(
    order: model.TaskOrder,
    workers: collections.abc.Sequence[view_module.WorkerView],
) -> view_module.WorkerView | None:
    """Return the fitting worker with the least left over, or None."""
    need = order.resources
    best, best_left = None, 0.0
    for worker in workers:
        free = worker.free
        if not need.fits(free) or worker.worker_id in order.avoid:
            continue
        left = _left(free, need, worker.total) + worker.penalty
        if best is None or left < best_left:
            best, best_left = worker, left
    return best


def _left(
    free: model.Resources, need: model.Resources, total: model.Resources
) -> float:
    cpu = (free.cpu_millicores - need.cpu_millicores) / (
        total.cpu_millicores or 1
    )
    memory = (free.memory_mb - need.memory_mb) / (total.memory_mb or 1)
    return max(cpu, memory)
