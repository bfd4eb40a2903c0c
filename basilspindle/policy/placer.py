"""Choose workers for tasks with the help of an index."""

import collections.abc
import itertools
import math

from basilspindle.indexing import amounts as amounts_module
from basilspindle import model
from basilspindle.peer.messages import room as room_module
from basilspindle.policy import candidates as candidates_module
from basilspindle.policy import rank as rank_module
from basilspindle.policy import size_class
from basilspindle.policy import unplaceable_shapes
from basilspindle.policy import worker_view

# The search of a size class ends after this many suitable workers.
_MAX_CANDIDATES = 8


class Placer:
    """Index of the workers of one lease holder, for placement decisions.

    Free amounts are changed through ``allocate`` and ``release``; any other
    change must be followed by ``reindex``, except that the ``penalty`` of a
    view may be set at any time. Workers are indexed by size class, and the
    best of every class are compared. For tasks that need no accelerators,
    workers with accelerators are considered last.
    """

    __slots__ = (
        '_views',
        '_index_keys',
        '_plain_sizes',
        '_accelerated_sizes',
        '_serial',
        '_max_candidates',
        '_unplaceable',
    )

    def __init__(self, *, max_candidates: int = _MAX_CANDIDATES) -> None:
        self._views: dict[str, worker_view.WorkerView] = {}
        # Serial number, size class and free amounts of every indexed worker.
        self._index_keys: dict[
            str, tuple[int, size_class.SizeClass, amounts_module.Amounts]
        ] = {}
        self._plain_sizes: dict[
            amounts_module.Amounts, size_class.SizeClass
        ] = {}
        self._accelerated_sizes: dict[
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
        """Add a worker, replacing any with the same id."""
        self.remove(view.worker_id)
        serial = next(self._serial)
        free = amounts_module.from_resources(view.free)
        total = amounts_module.from_resources(view.total)
        sizes = (
            self._accelerated_sizes
            if view.total.accelerators
            else self._plain_sizes
        )
        size = sizes.get(total)
        if size is None:
            size = sizes[total] = size_class.SizeClass(total)
        size.add(serial, view, free)
        self._views[view.worker_id] = view
        self._index_keys[view.worker_id] = (serial, size, free)
        self._unplaceable.mark_room_gained(view.worker_id)

    def remove(self, worker_id: str) -> worker_view.WorkerView | None:
        """Remove a worker and return its view, or None if unknown."""
        view = self._views.pop(worker_id, None)
        if view is None:
            return None
        serial, size, free = self._index_keys.pop(worker_id)
        size.remove(serial, view.failure_domain, free)
        if not len(size):
            self._plain_sizes.pop(size.total, None)
            self._accelerated_sizes.pop(size.total, None)
        return view

    def allocate(
        self, worker_id: str, resources: model.Resources, job_id: str
    ) -> None:
        """Allocate resources to a task, even above the worker's capacity.

        Raises ``KeyError`` for an unknown worker.
        """
        view = self._views[worker_id]
        view.free = view.free.subtract(resources)
        running = view.running_by_job
        running[job_id] = running.get(job_id, 0) + 1
        self._update_index(worker_id, view)

    def release(
        self, worker_id: str, resources: model.Resources, job_id: str
    ) -> None:
        """Release the resources of a task; ignores an unknown worker."""
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
        """Update the index after a change of a worker's free amounts."""
        self._unplaceable.mark_room_gained(worker_id)
        self._update_index(worker_id, self._views[worker_id])

    def _update_index(
        self, worker_id: str, view: worker_view.WorkerView
    ) -> None:
        serial, size, old = self._index_keys[worker_id]
        new = amounts_module.from_resources(view.free)
        self._index_keys[worker_id] = (serial, size, new)
        size.move(serial, view.failure_domain, old, new)

    def choose(self, order: model.TaskOrder) -> worker_view.WorkerView | None:
        """Return the best of the first candidates with room, or None.

        A worker in ``order.avoid`` is chosen only if no other has room. A
        worker with an infinite penalty is never chosen.
        """
        policy = rank_module.policy_for(order)
        rank = rank_module.ranking_for(policy, order)
        need = amounts_module.from_resources(order.resources)
        changed = self._unplaceable.changed_workers(need)
        if changed is not None:
            # No worker had room before, so only the changed ones may have.
            groups = [[self._views_of(changed)]]
        else:
            groups = [
                [
                    self._candidates_of(policy, order, need, size)
                    for size in sizes
                ]
                for sizes in self._size_class_groups(order.resources)
            ]
        fallback = None
        some_unavailable = False
        for candidates_by_size in groups:
            best, avoided, unavailable = self._best_of_group(
                order, rank, candidates_by_size
            )
            if best is not None:
                return best
            fallback = fallback or avoided
            some_unavailable = some_unavailable or unavailable
        if fallback is None and not some_unavailable:
            self._unplaceable.mark_unplaceable(need)
        return fallback

    def _candidates_of(
        self,
        policy: rank_module.Policy,
        order: model.TaskOrder,
        need: amounts_module.Amounts,
        size: size_class.SizeClass,
    ) -> candidates_module.Candidates:
        dimension = size.all_workers.most_selective(need)
        return candidates_module.iterate_candidates(
            policy, order, size, dimension, need
        )

    def fits(self, resources: model.Resources) -> bool:
        """Tell whether any worker has room for a task."""
        need = amounts_module.from_resources(resources)
        some_unavailable = False
        for view in self._views_that_may_fit(resources, need):
            if resources.fits(view.free):
                if view.penalty != math.inf:
                    return True
                some_unavailable = True
        if not some_unavailable:
            self._unplaceable.mark_unplaceable(need)
        return False

    def _views_that_may_fit(
        self, resources: model.Resources, need: amounts_module.Amounts
    ) -> collections.abc.Iterator[worker_view.WorkerView]:
        changed = self._unplaceable.changed_workers(need)
        if changed is not None:
            yield from self._views_of(changed)
            return
        for sizes in self._size_class_groups(resources):
            for size in sizes:
                dimension = size.all_workers.most_selective(need)
                yield from size.all_workers.most_free_first(
                    dimension, need[dimension]
                )

    def _views_of(
        self, worker_ids: list[str]
    ) -> collections.abc.Iterator[worker_view.WorkerView]:
        for worker_id in dict.fromkeys(worker_ids):
            view = self._views.get(worker_id)
            if view is not None:
                yield view

    def _size_class_groups(
        self, resources: model.Resources
    ) -> list[collections.abc.Iterable[size_class.SizeClass]]:
        if resources.accelerators:
            return [self._accelerated_sizes.values()]
        return [self._plain_sizes.values(), self._accelerated_sizes.values()]

    def _best_of_group(
        self,
        order: model.TaskOrder,
        rank: rank_module.Rank,
        candidates_by_size: list[candidates_module.Candidates],
    ) -> tuple[
        worker_view.WorkerView | None, worker_view.WorkerView | None, bool
    ]:
        # Returns the best worker, the best of those to avoid, and whether a
        # worker with room was skipped for its infinite penalty. A change of
        # the penalty is not logged as room gained, so in that case the shape
        # must not be cached as unplaceable.
        siblings = order.siblings
        avoid = order.avoid
        need = order.resources
        cpu = need.cpu_millicores
        memory = need.memory_mb
        accelerators = need.accelerators
        slots = need.slots
        preferred = []
        avoided = []
        some_unavailable = False
        for candidates in candidates_by_size:
            good_candidates = 0
            for view in candidates:
                free = view.free
                if (
                    cpu > free.cpu_millicores
                    or memory > free.memory_mb
                    or slots > free.slots
                    or accelerators > free.accelerators
                ):
                    continue
                if view.penalty == math.inf:
                    some_unavailable = True
                    continue
                if avoid and view.worker_id in avoid:
                    avoided.append(view)
                    continue
                preferred.append(view)
                # Unhealthy workers and those in the rack of a sibling task
                # do not end the search, since a better one may follow.
                healthy = view.penalty < rank_module.TOLERATED_PENALTY
                if healthy and view.rack not in siblings:
                    good_candidates += 1
                    if good_candidates >= self._max_candidates:
                        break
        return (
            min(preferred, key=rank, default=None),
            min(avoided, key=rank, default=None),
            some_unavailable,
        )

    def room(self) -> room_module.Room:
        """Return the room on the workers that take new work."""
        workers = 0
        free = [0, 0, 0, 0]
        largest = [0, 0, 0, 0]
        total = [0, 0, 0, 0]
        for view in self._views.values():
            if view.penalty == math.inf:
                continue
            workers += 1
            amounts = amounts_module.from_resources(view.free)
            for dimension, amount in enumerate(amounts):
                if amount > 0:
                    free[dimension] += amount
                if amount > largest[dimension]:
                    largest[dimension] = amount
            for dimension, amount in enumerate(
                amounts_module.from_resources(view.total)
            ):
                total[dimension] += amount
        return room_module.Room(
            workers=workers,
            free=model.Resources(*free),
            largest=model.Resources(*largest),
            total=model.Resources(*total),
        )
