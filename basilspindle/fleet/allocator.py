"""Allocate the capacity of the workers that this daemon holds."""

import collections
import collections.abc

from basilspindle.fleet import allocation as allocation_module
from basilspindle.fleet import choose_worker
from basilspindle.fleet import health as health_module
from basilspindle.fleet import leased_worker
from basilspindle.fleet import settings as settings_module
from basilspindle import model
from basilspindle.peer import messages
from basilspindle import policy

_CANDIDATES_MAX_AGE_MS = 1_000


class Allocator:
    """Reserve and free the capacity of workers.

    Does no I/O and never awaits, so that concurrent orders cannot reserve
    the same capacity.
    """

    __slots__ = (
        'workers',
        'health',
        'on_capacity_freed',
        '_settings',
        '_choose',
        '_allocations',
        '_decided',
        '_candidates',
        '_candidates_until_ms',
    )

    def __init__(
        self,
        settings: settings_module.FleetSettings,
        choose: choose_worker.ChooseWorker,
    ) -> None:
        self.workers: dict[str, leased_worker.LeasedWorker] = {}
        self.health = health_module.Health()
        self.on_capacity_freed: collections.abc.Callable[[], None] | None = (
            None
        )
        self._settings = settings
        self._choose = choose
        self._allocations: dict[str, allocation_module.Allocation] = {}
        # Time until which an answer is kept, and the answer.
        self._decided: collections.OrderedDict[
            allocation_module.AttemptKey, tuple[int, messages.Placement]
        ] = collections.OrderedDict()
        self._candidates: list[policy.WorkerView] = []
        self._candidates_until_ms = 0

    def allocation(self, task_id: str) -> allocation_module.Allocation | None:
        """Return the allocation of a task, if any."""
        return self._allocations.get(task_id)

    def allocations(self) -> list[allocation_module.Allocation]:
        """Return all allocations."""
        return list(self._allocations.values())

    def worker_of(
        self, allocation: allocation_module.Allocation
    ) -> leased_worker.LeasedWorker:
        """Return the worker of an allocation."""
        return self.workers[allocation.task.worker_id]

    def decided_placement(
        self, key: allocation_module.AttemptKey, now_ms: int
    ) -> messages.Placement | None:
        """Return the kept answer for an attempt without an allocation."""
        found = self._decided.get(key)
        if found is None or found[0] <= now_ms:
            return None
        return found[1]

    def refuse(
        self, key: allocation_module.AttemptKey, reason: str, now_ms: int
    ) -> messages.Placement:
        """Decide that an attempt is never started."""
        refusal = messages.Placement(
            task_id=key[0], attempt=key[1], reason=reason
        )
        self._remember(refusal, now_ms)
        return refusal

    def close(
        self, allocation: allocation_module.Allocation, now_ms: int
    ) -> None:
        """Free the capacity of an attempt and keep the answer to its order.

        For attempts that may have run.
        """
        self._remember(allocation.placement(), now_ms)
        self.free(allocation)

    def _remember(self, placement: messages.Placement, now_ms: int) -> None:
        # An order may be repeated after its attempt was decided and the
        # task was placed elsewhere under the next attempt number.
        key = placement.task_id, placement.attempt
        until_ms = now_ms + self._settings.remember_ms
        self._decided[key] = until_ms, placement
        self._decided.move_to_end(key)
        while (
            len(self._decided) > self._settings.remember_most
            or next(iter(self._decided.values()))[0] <= now_ms
        ):
            self._decided.popitem(last=False)

    def invalidate_candidates(self) -> None:
        """Rebuild the list of candidates at its next use."""
        self._candidates_until_ms = 0

    def candidates(self, now_ms: int) -> list[policy.WorkerView]:
        """Return the workers that may get new tasks."""
        if now_ms >= self._candidates_until_ms:
            self._rebuild(now_ms)
        return self._candidates

    def reserve(
        self,
        order: model.TaskOrder,
        now_ms: int,
        tried: collections.abc.Collection[str] = (),
    ) -> allocation_module.Allocation | None:
        """Choose a worker and reserve capacity on it.

        Returns None if no worker outside ``tried`` fits.
        """
        views = self.candidates(now_ms)
        if tried:
            views = [v for v in views if v.worker_id not in tried]
        view = self._choose(order, views)
        if view is None or not order.resources.fits(view.free):
            return None
        allocation = allocation_module.Allocation(
            model.RunningTask(
                task_id=order.task_id,
                attempt=order.attempt,
                job_id=order.job_id,
                index=order.index,
                workspace=order.workspace,
                kind=order.kind,
                partition=order.partition,
                worker_id=view.worker_id,
                failure_domain=view.failure_domain,
                rack=view.rack,
                resources=order.resources,
            ),
            order.idempotent,
            order,
        )
        self.add(allocation)
        return allocation

    def add(self, allocation: allocation_module.Allocation) -> None:
        """Reserve the capacity of an attempt on its worker."""
        worker = self.worker_of(allocation)
        worker.add(allocation)
        self._allocations[allocation.task.task_id] = allocation
        self._invalidate_if_limited(worker)

    def free(self, allocation: allocation_module.Allocation) -> None:
        """Free the capacity of an attempt."""
        if allocation.freed:
            return
        worker = self.worker_of(allocation)
        worker.remove(allocation)
        if self._allocations.get(allocation.task.task_id) is allocation:
            del self._allocations[allocation.task.task_id]
        self._invalidate_if_limited(worker)
        self.notify_capacity_freed()

    def notify_capacity_freed(self) -> None:
        """Call ``on_capacity_freed`` if it is set."""
        if self.on_capacity_freed is not None:
            self.on_capacity_freed()

    def free_capacity(self, now_ms: int) -> messages.Room:
        """Return the total free capacity of all candidates."""
        views = self.candidates(now_ms)
        zero = model.Resources()
        free = largest = total = zero
        for view in views:
            positive = view.free.elementwise_max(zero)
            free = free.add(positive)
            largest = largest.elementwise_max(positive)
            total = total.add(view.total)
        return messages.Room(len(views), free, largest, total)

    def _invalidate_if_limited(
        self, worker: leased_worker.LeasedWorker
    ) -> None:
        # Whether a worker with a task limit is a candidate depends on the
        # number of its allocations.
        if self.health.limited(worker.info.worker_id):
            self.invalidate_candidates()

    def _rebuild(self, now_ms: int) -> None:
        send_ms = self._settings.send_ms
        valid_until_ms = now_ms + _CANDIDATES_MAX_AGE_MS
        candidates = []
        for worker in self.workers.values():
            if not worker.accepting or not worker.has_valid_lease(
                now_ms + send_ms
            ):
                continue
            worker_id = worker.info.worker_id
            task_limit = self.health.task_limit(worker_id, now_ms)
            if (
                task_limit is not None
                and len(worker.allocations) >= task_limit
            ):
                continue
            worker.view.penalty = self.health.penalty(worker_id)
            candidates.append(worker.view)
            valid_until_ms = min(
                valid_until_ms, worker.lease_valid_until_ms() - send_ms
            )
        self._candidates = candidates
        self._candidates_until_ms = valid_until_ms
