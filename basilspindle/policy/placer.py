"""Choose workers out of many, kept in an index."""

import collections.abc
import itertools
import math

from basilspindle import model
from basilspindle.peer.messages import room as room_module
from basilspindle.policy import amounts as amounts_module
from basilspindle.policy import candidates as candidates_module
from basilspindle.policy import rank as rank_module
from basilspindle.policy import size_class
from basilspindle.policy import unplaceable_shapes
from basilspindle.policy import worker_view

# Good candidates of each size that are compared.
_MAX_CANDIDATES = 8


class Placer:
    """Views of the workers of one lease holder, ready for choices.

    Free amounts change only through ``allocate`` and ``release``, or are
    followed by ``reindex``; ``penalty`` may be set at any time. Workers are
    indexed by size, since the best of each size differ; those with
    accelerators come last for tasks that need none.
    """

    __slots__ = (
        '_views',
        '_keys',
        '_plain',
        '_accelerated',
        '_serial',
        '_max_candidates',
        '_unplaceable',
    )

    def __init__(self, *, max_candidates: int = _MAX_CANDIDATES) -> None:
        self._views: dict[str, worker_view.WorkerView] = {}
        # Serial, size and the amounts under which a worker is indexed.
        self._keys: dict[
            str, tuple[int, size_class.SizeClass, amounts_module.Amounts]
        ] = {}
        self._plain: dict[amounts_module.Amounts, size_class.SizeClass] = {}
        self._accelerated: dict[
            amounts_module.Amounts, size_class.SizeClass
        ] = {}
        self._serial = itertools.count()
        self._max_candidates = max_candidates
        self._unplaceable = unplaceable_shapes.UnplaceableShapes()

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
        serial = next(self._serial)
        free = amounts_module.from_resources(view.free)
        total = amounts_module.from_resources(view.total)
        sizes = self._accelerated if view.total.accelerators else self._plain
        size = sizes.get(total)
        if size is None:
            size = sizes[total] = size_class.SizeClass(total)
        size.add(serial, view, free)
        self._views[view.worker_id] = view
        self._keys[view.worker_id] = (serial, size, free)
        self._unplaceable.mark_gained(view.worker_id)

    def remove(self, worker_id: str) -> worker_view.WorkerView | None:
        """Remove a worker and return its view, or None if unknown."""
        view = self._views.pop(worker_id, None)
        if view is None:
            return None
        serial, size, free = self._keys.pop(worker_id)
        size.remove(serial, view.failure_domain, free)
        if not len(size):
            self._plain.pop(size.total, None)
            self._accelerated.pop(size.total, None)
        return view

    def allocate(
        self, worker_id: str, resources: model.Resources, job_id: str
    ) -> None:
        """Count a task on a worker, also above its capacity.

        Raises ``KeyError`` for an unknown worker.
        """
        view = self._views[worker_id]
        view.free = view.free.subtract(resources)
        running = view.running_by_job
        running[job_id] = running.get(job_id, 0) + 1
        self._move(worker_id, view)

    def release(
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
        self.reindex(worker_id)

    def reindex(self, worker_id: str) -> None:
        """Index a worker again after its free amounts were changed."""
        self._unplaceable.mark_gained(worker_id)
        self._move(worker_id, self._views[worker_id])

    def _move(self, worker_id: str, view: worker_view.WorkerView) -> None:
        serial, size, old = self._keys[worker_id]
        new = amounts_module.from_resources(view.free)
        self._keys[worker_id] = (serial, size, new)
        size.move(serial, view.failure_domain, old, new)

    def choose(self, order: model.TaskOrder) -> worker_view.WorkerView | None:
        """Return the best of the first candidates with room, or None.

        Workers in ``order.avoid`` are used only if no other has room,
        those with an infinite penalty never.
        """
        policy = rank_module.policy_for(order)
        rank = rank_module.ranker(policy, order)
        need = amounts_module.from_resources(order.resources)
        changed = self._unplaceable.changed_workers(need)
        if changed is not None:
            groups = [[self._known(changed)]]
        else:
            groups = [
                [
                    self._candidates_of(policy, order, need, size)
                    for size in sizes
                ]
                for sizes in self._groups(order.resources)
            ]
        fallback = None
        closed = False
        for walks in groups:
            best, avoided, skipped = self._best(order, rank, walks)
            if best is not None:
                return best
            fallback = fallback or avoided
            closed = closed or skipped
        if fallback is None and not closed:
            self._unplaceable.mark_unplaceable(need)
        return fallback

    def _candidates_of(
        self,
        policy: rank_module.Policy,
        order: model.TaskOrder,
        need: amounts_module.Amounts,
        size: size_class.SizeClass,
    ) -> candidates_module.Candidates:
        dimension = size.everywhere.scarcest(need)
        return candidates_module.iterate_candidates(
            policy, order, size, dimension, need
        )

    def fits(self, resources: model.Resources) -> bool:
        """Tell whether any worker has room for a task."""
        need = amounts_module.from_resources(resources)
        closed = False
        for view in self._may_fit(resources, need):
            if resources.fits(view.free):
                if view.penalty != math.inf:
                    return True
                closed = True
        if not closed:
            self._unplaceable.mark_unplaceable(need)
        return False

    def _may_fit(
        self, resources: model.Resources, need: amounts_module.Amounts
    ) -> collections.abc.Iterator[worker_view.WorkerView]:
        changed = self._unplaceable.changed_workers(need)
        if changed is not None:
            yield from self._known(changed)
            return
        for sizes in self._groups(resources):
            for size in sizes:
                dimension = size.everywhere.scarcest(need)
                yield from size.everywhere.emptiest(dimension, need[dimension])

    def _known(
        self, worker_ids: list[str]
    ) -> collections.abc.Iterator[worker_view.WorkerView]:
        for worker_id in dict.fromkeys(worker_ids):
            view = self._views.get(worker_id)
            if view is not None:
                yield view

    def _groups(
        self, resources: model.Resources
    ) -> list[collections.abc.Iterable[size_class.SizeClass]]:
        if resources.accelerators:
            return [self._accelerated.values()]
        return [self._plain.values(), self._accelerated.values()]

    def _best(
        self,
        order: model.TaskOrder,
        rank: rank_module.Rank,
        walks: list[candidates_module.Candidates],
    ) -> tuple[
        worker_view.WorkerView | None, worker_view.WorkerView | None, bool
    ]:
        # The last part of the result tells whether a worker had room, but
        # takes no new work now; its penalty may end without notice.
        siblings = order.siblings
        avoid = order.avoid
        need = order.resources
        cpu = need.cpu_millicores
        memory = need.memory_mb
        accelerators = need.accelerators
        slots = need.slots
        found = []
        avoided = []
        closed = False
        for walk in walks:
            good = 0
            for view in walk:
                free = view.free
                if (
                    cpu > free.cpu_millicores
                    or memory > free.memory_mb
                    or slots > free.slots
                    or accelerators > free.accelerators
                ):
                    continue
                if view.penalty == math.inf:
                    closed = True
                    continue
                if avoid and view.worker_id in avoid:
                    avoided.append(view)
                    continue
                found.append(view)
                healthy = view.penalty < rank_module.TOLERATED_PENALTY
                if healthy and view.rack not in siblings:
                    good += 1
                    if good >= self._max_candidates:
                        break
        return (
            min(found, key=rank, default=None),
            min(avoided, key=rank, default=None),
            closed,
        )

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
            amounts = amounts_module.from_resources(view.free)
            for place, amount in enumerate(amounts):
                if amount > 0:
                    free[place] += amount
                if amount > largest[place]:
                    largest[place] = amount
            for place, amount in enumerate(
                amounts_module.from_resources(view.total)
            ):
                total[place] += amount
        return room_module.Room(
            workers=workers,
            free=model.Resources(*free),
            largest=model.Resources(*largest),
            total=model.Resources(*total),
        )
