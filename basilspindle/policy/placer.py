"""Choose workers out of many, kept in an index."""

import collections.abc
import itertools
import math

from basilspindle import model
from basilspindle.peer.messages import room as room_module
from basilspindle.policy import amounts as amounts_module
from basilspindle.policy import rank as rank_module
from basilspindle.policy import walk as walk_module
from basilspindle.policy import worker_index
from basilspindle.policy import worker_view

# Good candidates that are compared before the best of them is taken.
_CANDIDATES = 24
_PLAIN = 0
_ACCELERATED = 1


class Placer:
    """Views of the workers of one lease holder, ready for choices.

    Free amounts change only through ``take``, ``give`` and ``refresh``;
    ``penalty`` may be set at any time. Workers with accelerators are
    apart, for the tasks that need them.
    """

    __slots__ = (
        '_views',
        '_keys',
        '_everywhere',
        '_domains',
        '_serial',
        '_candidates',
        '_largest',
    )

    def __init__(self, *, candidates: int = _CANDIDATES) -> None:
        self._views: dict[str, worker_view.WorkerView] = {}
        # Serial, kind and the amounts under which a worker is indexed.
        self._keys: dict[str, tuple[int, int, amounts_module.Amounts]] = {}
        self._everywhere = (
            worker_index.WorkerIndex(),
            worker_index.WorkerIndex(),
        )
        self._domains: tuple[
            dict[str, worker_index.WorkerIndex],
            dict[str, worker_index.WorkerIndex],
        ] = ({}, {})
        self._serial = itertools.count()
        self._candidates = candidates
        self._largest: amounts_module.Amounts = (1, 1, 1, 1)

    def __len__(self) -> int:
        return len(self._views)

    @property
    def views(
        self,
    ) -> collections.abc.Mapping[str, worker_view.WorkerView]:
        """Return the views by worker id."""
        return self._views

    def add(self, view: worker_view.WorkerView) -> None:
        """Add a worker, or replace the one with the same id."""
        self.remove(view.worker_id)
        kind = _ACCELERATED if view.total.accelerators else _PLAIN
        serial = next(self._serial)
        free = amounts_module.split(view.free)
        self._views[view.worker_id] = view
        self._keys[view.worker_id] = (serial, kind, free)
        self._everywhere[kind].add(serial, view, free)
        domain = self._domains[kind].setdefault(
            view.failure_domain, worker_index.WorkerIndex()
        )
        domain.add(serial, view, free)
        total = amounts_module.split(view.total)
        pairs = zip(self._largest, total, strict=True)
        self._largest = tuple(max(pair) for pair in pairs)

    def remove(self, worker_id: str) -> worker_view.WorkerView | None:
        """Remove a worker and return its view, or None if unknown."""
        view = self._views.pop(worker_id, None)
        if view is None:
            return None
        serial, kind, free = self._keys.pop(worker_id)
        self._everywhere[kind].remove(serial, free)
        domain = self._domains[kind][view.failure_domain]
        domain.remove(serial, free)
        if not len(domain):
            del self._domains[kind][view.failure_domain]
        return view

    def take(
        self, worker_id: str, resources: model.Resources, job_id: str
    ) -> None:
        """Count a task on a worker, also above its capacity.

        Raises ``KeyError`` for an unknown worker.
        """
        view = self._views[worker_id]
        view.free = view.free.subtract(resources)
        running = view.running_by_job
        running[job_id] = running.get(job_id, 0) + 1
        self.refresh(worker_id)

    def give(
        self, worker_id: str, resources: model.Resources, job_id: str
    ) -> None:
        """Count a task off a worker; an unknown worker is ignored."""
        view = self._views.get(worker_id)
        if view is None:
            return
        view.free = view.free.add(resources)
        left = view.running_by_job.get(job_id, 0) - 1
        if left > 0:
            view.running_by_job[job_id] = left
        else:
            view.running_by_job.pop(job_id, None)
        self.refresh(worker_id)

    def refresh(self, worker_id: str) -> None:
        """Index a worker again after its free amounts were changed."""
        view = self._views[worker_id]
        serial, kind, old = self._keys[worker_id]
        new = amounts_module.split(view.free)
        self._keys[worker_id] = (serial, kind, new)
        self._everywhere[kind].move(serial, old, new)
        self._domains[kind][view.failure_domain].move(serial, old, new)

    def choose(self, order: model.TaskOrder) -> worker_view.WorkerView | None:
        """Return the best of the first candidates with room, or None.

        Workers in ``order.avoid`` are used only if no other has room,
        those with an infinite penalty never.
        """
        policy = rank_module.policy_for(order)
        rank = rank_module.ranker(policy, order)
        need = amounts_module.split(order.resources)
        dimension = self._dominant(need)
        kinds = (_PLAIN, _ACCELERATED)
        if order.resources.accelerators:
            kinds = (_ACCELERATED,)
        fallback = None
        for kind in kinds:
            walk = walk_module.walk(
                policy,
                order,
                self._domains[kind],
                self._everywhere[kind],
                dimension,
                need[dimension],
            )
            best, avoided = self._best(order, rank, walk)
            if best is not None:
                return best
            fallback = fallback or avoided
        return fallback

    def _best(
        self,
        order: model.TaskOrder,
        rank: rank_module.Rank,
        walk: walk_module.Walk,
    ) -> tuple[worker_view.WorkerView | None, worker_view.WorkerView | None]:
        resources = order.resources
        siblings = order.siblings
        avoid = order.avoid
        found = []
        avoided = []
        good = 0
        for view in walk:
            if not resources.fits(view.free) or view.penalty == math.inf:
                continue
            if avoid and view.worker_id in avoid:
                avoided.append(view)
                continue
            found.append(view)
            if not view.penalty and view.rack not in siblings:
                good += 1
                if good >= self._candidates:
                    break
        return (
            min(found, key=rank, default=None),
            min(avoided, key=rank, default=None),
        )

    def _dominant(self, need: amounts_module.Amounts) -> int:
        parts = [
            amount / largest
            for amount, largest in zip(need, self._largest, strict=True)
        ]
        return parts.index(max(parts))

    def room(self) -> room_module.Room:
        """Return the free capacity of the workers that take new work."""
        workers = 0
        free = [0, 0, 0, 0]
        largest = [0, 0, 0, 0]
        total = [0, 0, 0, 0]
        for view in self._views.values():
            if view.penalty == math.inf:
                continue
            workers += 1
            amounts = amounts_module.split(view.free)
            for place, amount in enumerate(amounts):
                if amount > 0:
                    free[place] += amount
                if amount > largest[place]:
                    largest[place] = amount
            for place, amount in enumerate(amounts_module.split(view.total)):
                total[place] += amount
        return room_module.Room(
            workers=workers,
            free=model.Resources(*free),
            largest=model.Resources(*largest),
            total=model.Resources(*total),
        )
