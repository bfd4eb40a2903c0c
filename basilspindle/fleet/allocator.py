"""Account for the capacity of all workers held by this daemon."""

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

# The list of candidates is built again at the latest after this time.
_LONGEST_FRESH_MS = 1_000


class Allocator:
    """Reserve and free capacity; every change is a single step.

    Does no I/O and never awaits, so that concurrent orders cannot take
    the same capacity.
    """

    __slots__ = (
        'workers',
        'health',
        'on_capacity_freed',
        '_settings',
        '_choose',
        '_allocations',
        '_past',
        '_candidates',
        '_fresh_until_ms',
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
        self._past: collections.OrderedDict[
            allocation_module.AttemptKey, tuple[int, messages.Placement]
        ] = collections.OrderedDict()
        self._candidates: list[policy.WorkerView] = []
        self._fresh_until_ms = 0

    def allocation(self, task_id: str) -> allocation_module.Allocation | None:
        """Return the attempt of a task that is counted."""
        return self._allocations.get(task_id)

    def allocations(self) -> list[allocation_module.Allocation]:
        """Return all attempts that are counted."""
        return list(self._allocations.values())

    def worker_of(
        self, allocation: allocation_module.Allocation
    ) -> leased_worker.LeasedWorker:
        """Return the worker on which an attempt is counted."""
        return self.workers[allocation.running.worker_id]

    def past(
        self, key: allocation_module.AttemptKey, now_ms: int
    ) -> messages.Placement | None:
        """Return the answer to an attempt that is not counted any more."""
        found = self._past.get(key)
        if found is None or found[0] <= now_ms:
            return None
        return found[1]

    def refuse(
        self, key: allocation_module.AttemptKey, reason: str, now_ms: int
    ) -> messages.Placement:
        """Decide that an attempt is not started, now or later."""
        refusal = messages.Placement(
            task_id=key[0], attempt=key[1], reason=reason
        )
        self._remember(refusal, now_ms)
        return refusal

    def close(
        self, allocation: allocation_module.Allocation, now_ms: int
    ) -> None:
        """Free an attempt that may have run; remember its answer."""
        self._remember(allocation.placement(), now_ms)
        self.free(allocation)

    def _remember(self, placement: messages.Placement, now_ms: int) -> None:
        # A repetition of an order may arrive after the attempt was
        # decided and placed elsewhere under the next attempt.
        key = placement.task_id, placement.attempt
        until_ms = now_ms + self._settings.remember_ms
        self._past[key] = until_ms, placement
        self._past.move_to_end(key)
        while (
            len(self._past) > self._settings.remember_most
            or next(iter(self._past.values()))[0] <= now_ms
        ):
            self._past.popitem(last=False)

    def refresh(self) -> None:
        """Build the candidates again at the next order."""
        self._fresh_until_ms = 0

    def candidates(self, now_ms: int) -> list[policy.WorkerView]:
        """Return the workers that may get a task now."""
        if now_ms >= self._fresh_until_ms:
            self._rebuild(now_ms)
        return self._candidates

    def reserve(
        self,
        order: model.TaskOrder,
        now_ms: int,
        tried: collections.abc.Collection[str] = (),
    ) -> allocation_module.Allocation | None:
        """Choose a worker and reserve; None if there is no room."""
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
        """Count an attempt on its worker."""
        worker = self.worker_of(allocation)
        worker.add(allocation)
        self._allocations[allocation.running.task_id] = allocation
        self._limit(worker)

    def free(self, allocation: allocation_module.Allocation) -> None:
        """Give the capacity of an attempt back."""
        if allocation.over:
            return
        worker = self.worker_of(allocation)
        worker.remove(allocation)
        if self._allocations.get(allocation.running.task_id) is allocation:
            del self._allocations[allocation.running.task_id]
        self._limit(worker)
        self.notify()

    def notify(self) -> None:
        """Tell the owner of the fleet that capacity was freed."""
        if self.on_capacity_freed is not None:
            self.on_capacity_freed()

    def free_capacity(self, now_ms: int) -> messages.Room:
        """Sum up the free capacity of all candidates."""
        views = self.candidates(now_ms)
        zero = model.Resources()
        free = largest = total = zero
        for view in views:
            positive = view.free.largest(zero)
            free = free.add(positive)
            largest = largest.largest(positive)
            total = total.add(view.total)
        return messages.Room(len(views), free, largest, total)

    def _limit(self, worker: leased_worker.LeasedWorker) -> None:
        # A worker that is being readmitted has a limit on its tasks.
        if self.health.limited(worker.info.worker_id):
            self.refresh()

    def _rebuild(self, now_ms: int) -> None:
        send_ms = self._settings.send_ms
        fresh_until_ms = now_ms + _LONGEST_FRESH_MS
        candidates = []
        for worker in self.workers.values():
            if not worker.accepting or not worker.leased(now_ms + send_ms):
                continue
            worker_id = worker.info.worker_id
            allowance = self.health.allowance(worker_id, now_ms)
            if allowance is not None and len(worker.tasks) >= allowance:
                continue
            worker.view.penalty = self.health.penalty(worker_id)
            candidates.append(worker.view)
            fresh_until_ms = min(
                fresh_until_ms, worker.valid_until_ms() - send_ms
            )
        self._candidates = candidates
        self._fresh_until_ms = fresh_until_ms
