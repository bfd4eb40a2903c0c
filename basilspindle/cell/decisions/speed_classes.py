"""Divide the workers of a pool into classes of about the same speed.

The estimates of equal workers differ by noise. Workers get different classes
only if they differ by more than that, so that placement among equal workers
depends on how full they are.
"""

import collections.abc
import math
import statistics

from basilspindle.cell import queue_durations
from basilspindle.cell import worker as worker_module

# A worker is slower than those of a class if its log slowness exceeds their
# mean by this, and by some standard deviations of its estimate: many where the
# pool as a whole gives no reason to believe that workers differ, as one of
# hundreds of equal workers deviates by three and more.
_MIN_DIFFERENCE = 0.1
_DEVIATIONS_IF_ALIKE = 4.5
_DEVIATIONS_IF_MIXED = 2.0
# The mean squared deviation of equal workers, in units of the variance of
# their estimates, has been seen at up to 1.7 (60 workers); it varies the more
# the fewer they are.
_MAX_DISPERSION_IF_ALIKE = 1.5
_DISPERSION_DEVIATIONS = 4.0
# One worker adds at most this much.
_MAX_SQUARE = 9.0
_INTERVAL_MS = 500


class SpeedClasses:
    """Speed classes of the workers, renewed from time to time.

    Class 0 is the fastest of a pool. ``mixed_pools`` are the pools with more
    than one class, with the slowness of the fastest. ``changed`` are
    the workers whose class has changed since they were last taken.
    """

    __slots__ = ('mixed_pools', 'changed', '_renewed_ms')

    def __init__(self) -> None:
        self.mixed_pools: dict[str, float] = {}
        self.changed: list[worker_module.Worker] = []
        self._renewed_ms = 0

    def take_changed(self) -> list[worker_module.Worker]:
        """Return the workers whose class has changed, and clear them."""
        taken, self.changed = self.changed, []
        return taken

    def renew(
        self,
        workers: collections.abc.Mapping[str, worker_module.Worker],
        queues: collections.abc.Iterable[queue_durations.QueueDurations],
        now_ms: int,
    ) -> None:
        """Classify all workers if that has not been done recently."""
        if now_ms - self._renewed_ms < _INTERVAL_MS:
            return
        self._renewed_ms = now_ms
        pools: dict[str, list[worker_module.Worker]] = {}
        for worker in workers.values():
            pools.setdefault(worker.pool, []).append(worker)
        shifts = {pool: _center(members) for pool, members in pools.items()}
        for queue in queues:
            queue.shift(shifts.get(queue.pool, 0.0))
        classes = {
            worker.worker_id: worker.speed_class for worker in workers.values()
        }
        self.mixed_pools = {
            pool: fastest
            for pool, members in pools.items()
            if (fastest := _classify(members)) is not None
        }
        self.changed += [
            worker
            for worker in workers.values()
            if worker.speed_class != classes[worker.worker_id]
        ]


def _center(workers: list[worker_module.Worker]) -> float:
    # The normal speed is the mean of the pool: durations alone do not tell
    # whether all workers are slow or all tasks long, and a new worker is
    # expected to be like the others.
    information = math.fsum(worker.speed.information for worker in workers)
    if not information:
        return 0.0
    mean = (
        math.fsum(
            worker.speed.information * worker.speed.log_slowness
            for worker in workers
        )
        / information
    )
    for worker in workers:
        worker.speed.shift(-mean)
    return mean


def _classify(workers: list[worker_module.Worker]) -> float | None:
    # Returns the slowness of the fastest class, None if there is but one.
    rows = sorted(
        workers,
        key=lambda worker: (worker.speed.log_slowness, worker.worker_id),
    )
    deviations = (
        _DEVIATIONS_IF_MIXED if _are_mixed(workers) else _DEVIATIONS_IF_ALIKE
    )
    classes: list[list[worker_module.Worker]] = []
    total = information = 0.0
    for worker in rows:
        estimate = worker.speed
        # A worker that is little known joins its neighbours.
        least = estimate.log_slowness - deviations * estimate.deviation
        if not classes or (
            information and least - _MIN_DIFFERENCE > total / information
        ):
            classes.append([])
            total = information = 0.0
        classes[-1].append(worker)
        total += estimate.information * estimate.log_slowness
        information += estimate.information
    means = [_mean(members) for members in classes]
    for number, members in enumerate(classes):
        for worker in members:
            worker.speed_class = _nearest_class(worker, number, means)
            worker.class_slowness = math.exp(means[worker.speed_class])
    return math.exp(means[0]) if len(means) > 1 else None


def _are_mixed(workers: list[worker_module.Worker]) -> bool:
    # The mean of their log slowness is 0.
    squares = [
        min(estimate.log_slowness**2 / estimate.variance, _MAX_SQUARE)
        for worker in workers
        if (estimate := worker.speed).samples
    ]
    if not squares:
        return False
    limit = _MAX_DISPERSION_IF_ALIKE + _DISPERSION_DEVIATIONS * math.sqrt(
        2 / len(squares)
    )
    return statistics.fmean(squares) > limit


def _mean(workers: list[worker_module.Worker]) -> float:
    return statistics.fmean(worker.speed.log_slowness for worker in workers)


def _nearest_class(
    worker: worker_module.Worker, number: int, means: list[float]
) -> int:
    # Where workers are known to differ, less evidence is needed of each.
    estimate = worker.speed
    least = estimate.log_slowness - estimate.deviation
    most = estimate.log_slowness + estimate.deviation
    while number + 1 < len(means) and least > (
        (means[number] + means[number + 1]) / 2
    ):
        number += 1
    while number and most < (means[number - 1] + means[number]) / 2:
        number -= 1
    return number
