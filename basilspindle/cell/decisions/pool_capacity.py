"""Sum up the workers of a pool that take work, for a short time."""

import collections.abc
import copy
import itertools

from basilspindle.cell.decisions import backlog as backlog_module
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import need as need_module
from basilspindle.workflow import step as step_module

# Room changes with each scheduling pass, and passes are at most this far
# apart while work waits.
_VALID_MS = 50
# Needs are rounded up to this much, so that few sizes are looked for.
_ROUNDING_MILLICORES = 250
# A worker that was known this long ago may return: a refused caller would be
# told to wait for about as long as a restart takes.
_MISSING_KEPT_MS = 30_000


class Ahead:
    """Work before a job, and the part of it that takes room that is free."""

    __slots__ = ('waiting', 'takes_free_room')

    def __init__(
        self,
        waiting: backlog_module.Waiting,
        takes_free_room: backlog_module.Waiting,
    ) -> None:
        self.waiting = waiting
        self.takes_free_room = takes_free_room


class PoolCapacity:
    """Workers of one pool at one time.

    ``workers`` take work now; ``kinds`` are the different capacities of all
    known workers; ``missing`` were known lately. ``total_millicores``,
    ``used_millicores`` and ``free_millicores`` are of the workers that take
    work, and ``slowness`` is their mean one. ``running_millicores`` ran on all
    workers back then. ``ahead`` caches what waits ahead of a rank and of a
    call for advice, with the version of the backlog.
    """

    __slots__ = (
        'made_ms',
        'known',
        'missing',
        'workers',
        'kinds',
        'total_millicores',
        'used_millicores',
        'running_millicores',
        'free_millicores',
        'slowness',
        'ahead',
        '_slots',
        '_empty_slots',
        '_label_millicores',
    )

    def __init__(
        self,
        known: list[worker_module.Worker],
        workers: list[worker_module.Worker],
        running_millicores: int,
        now_ms: int,
        missing: collections.abc.Sequence[worker_module.Worker] = (),
    ) -> None:
        self.made_ms = now_ms
        self.known = known
        self.missing = missing
        self.workers = workers
        self.kinds = frozenset(worker.capacity for worker in known)
        self.total_millicores = sum(
            worker.capacity.cpu_millicores for worker in workers
        )
        self.used_millicores = sum(
            worker.used.cpu_millicores for worker in workers
        )
        self.running_millicores = running_millicores
        self.free_millicores = sum(
            max(0, worker.available.cpu_millicores) for worker in workers
        )
        self.slowness = 1.0
        if workers:
            total = sum(worker.speed.slowness for worker in workers)
            self.slowness = total / len(workers)
        self.ahead: dict[
            tuple[backlog_module.Rank, float],
            tuple[int, Ahead],
        ] = {}
        self._slots: dict[tuple[str, need_module.Need], int] = {}
        self._empty_slots: dict[tuple[str, need_module.Need], int] = {}
        self._label_millicores: dict[str, int] = {}

    def copy(self) -> 'PoolCapacity':
        """Return a copy with caches of its own."""
        made = copy.copy(self)
        made.ahead = dict(self.ahead)
        made._slots = dict(self._slots)
        made._empty_slots = dict(self._empty_slots)
        made._label_millicores = dict(self._label_millicores)
        return made

    def part(self, label: str) -> float:
        """Return the fraction of the cores on workers with a label."""
        if not label or not self.total_millicores:
            return 1.0
        cores = self._label_millicores.get(label)
        if cores is None:
            cores = self._label_millicores[label] = sum(
                worker.capacity.cpu_millicores
                for worker in self.workers
                if label in worker.labels
            )
        return cores / self.total_millicores

    def free_slots(self, label: str, need: need_module.Need) -> int:
        """Return how many tasks of a need fit in the free room."""
        key = (label, _round(need))
        slots = self._slots.get(key)
        if slots is None:
            slots = self._slots[key] = sum(
                count_fitting(worker.available, key[1])
                for worker in self._labelled(label)
            )
        return slots

    def empty_slots(self, label: str, need: need_module.Need) -> int:
        """Return how many tasks of a need fit if nothing else runs."""
        key = (label, _round(need))
        slots = self._empty_slots.get(key)
        if slots is None:
            slots = self._empty_slots[key] = sum(
                count_fitting(worker.capacity, key[1])
                for worker in self._labelled(label)
            )
        return slots

    def _labelled(self, label: str) -> list[worker_module.Worker]:
        if not label:
            return self.workers
        return [worker for worker in self.workers if label in worker.labels]

    def can_ever_hold(self, step: step_module.Step) -> bool:
        """Tell whether a step can start on empty workers.

        Workers that were known lately count as well.
        """
        count = step.count if step.gang else 1
        is_in_one_rack = step.gang and step.same_rack
        slots: dict[str, int] = {}
        for worker in itertools.chain(self.known, self.missing):
            label = step.required_label
            if label and label not in worker.labels:
                continue
            fitting = count_fitting(worker.capacity, step.reserved)
            if step.max_per_worker:
                fitting = min(fitting, step.max_per_worker)
            rack = worker.rack if is_in_one_rack else ''
            slots[rack] = slots.get(rack, 0) + fitting
            if slots[rack] >= count:
                return True
        return False


class PoolCapacities:
    """Capacity of each pool, made again when it is too old."""

    __slots__ = ('_by_pool', '_known_workers', '_seen')

    def __init__(self) -> None:
        self._by_pool: dict[str, PoolCapacity] = {}
        self._known_workers = 0
        # Workers by pool and id, and when they were known last.
        self._seen: dict[str, dict[str, tuple[worker_module.Worker, int]]] = {}

    def copy(self) -> 'PoolCapacities':
        """Return a copy whose changes don't affect this one."""
        made = PoolCapacities()
        made._known_workers = self._known_workers
        made._by_pool = {
            pool: capacity.copy() for pool, capacity in self._by_pool.items()
        }
        made._seen = {pool: dict(seen) for pool, seen in self._seen.items()}
        return made

    def get(
        self,
        workers: dict[str, worker_module.Worker],
        pool: str,
        running_millicores: int,
        closed_domains: frozenset[str],
        now_ms: int,
    ) -> PoolCapacity:
        """Return the capacity of a pool, which runs so many millicores."""
        if len(workers) != self._known_workers:
            self._known_workers = len(workers)
            self._by_pool.clear()
        found = self._by_pool.get(pool)
        if found is None or not 0 <= now_ms - found.made_ms < _VALID_MS:
            known = [
                worker for worker in workers.values() if worker.pool == pool
            ]
            taking = [
                worker
                for worker in known
                if worker.accepts(now_ms)
                and worker.failure_domain not in closed_domains
            ]
            found = self._by_pool[pool] = PoolCapacity(
                known,
                taking,
                running_millicores,
                now_ms,
                self._missing(workers, pool, known, now_ms),
            )
        return found

    def _missing(
        self,
        workers: dict[str, worker_module.Worker],
        pool: str,
        known: list[worker_module.Worker],
        now_ms: int,
    ) -> list[worker_module.Worker]:
        seen = self._seen.setdefault(pool, {})
        for worker in known:
            seen[worker.worker_id] = worker, now_ms
        missing = []
        for worker_id, (worker, seen_ms) in list(seen.items()):
            if seen_ms == now_ms and worker_id in workers:
                continue
            if worker_id in workers or now_ms - seen_ms > _MISSING_KEPT_MS:
                del seen[worker_id]
            else:
                missing.append(worker)
        return missing


def _round(need: need_module.Need) -> need_module.Need:
    parts = -(-need.cpu_millicores // _ROUNDING_MILLICORES)
    return need_module.Need(
        parts * _ROUNDING_MILLICORES, need.memory_mb, need.accelerators
    )


def count_fitting(available: need_module.Need, need: need_module.Need) -> int:
    """Return how many tasks of a need fit; a need of nothing fits often."""
    rows = (
        (need.cpu_millicores, available.cpu_millicores),
        (need.memory_mb, available.memory_mb),
        (need.accelerators, available.accelerators),
    )
    return max(
        0,
        min((left // each for each, left in rows if each), default=1 << 20),
    )
