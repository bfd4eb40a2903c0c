"""Track the workers of earlier leaders that have not reported yet."""

import collections.abc


class AwaitedWorkers:
    """Workers that may run tasks that this leader does not know of.

    Each is awaited until it reports, or until no earlier leader can keep the
    lease of a run there alive any more. Workers that the predecessor was
    awaiting itself are continued: it granted them nothing, so that the rest
    of its wait is enough, whatever has become of it.

    Of those in ``accounted_ids`` the log tells what they may run, so that only
    these tasks wait for them.

    A wait ends only once the store has confirmed this leadership after it,
    at ``confirmed_ms``: otherwise a successor may have heard of the worker.
    While that is None, for decisions without a store, the clock decides.
    """

    __slots__ = (
        '_until_ms',
        '_continued_ids',
        'accounted_ids',
        'confirmed_ms',
    )

    def __init__(self) -> None:
        self._until_ms: dict[str, int] = {}
        self._continued_ids: set[str] = set()
        self.accounted_ids: set[str] = set()
        self.confirmed_ms: int | None = None

    def __len__(self) -> int:
        return len(self._until_ms)

    def __iter__(self) -> collections.abc.Iterator[str]:
        return iter(self._until_ms)

    def expect(self, worker_id: str, until_ms: int) -> None:
        """Await a worker to which the predecessor may have granted a lease."""
        self._until_ms[worker_id] = until_ms

    def continue_for(self, worker_id: str, until_ms: int) -> None:
        """Await a worker for the rest of the predecessor's own wait."""
        self._until_ms[worker_id] = until_ms
        self._continued_ids.add(worker_id)

    def limit(self, until_ms: int) -> None:
        """Shorten the wait, as the predecessor grants no more leases."""
        for worker_id, current_ms in self._until_ms.items():
            if worker_id not in self._continued_ids:
                self._until_ms[worker_id] = min(current_ms, until_ms)

    def discard(self, worker_id: str) -> None:
        """Await a worker no longer."""
        self._until_ms.pop(worker_id, None)
        self._continued_ids.discard(worker_id)
        self.accounted_ids.discard(worker_id)

    def awaits(self, worker_id: str, now_ms: int) -> bool:
        """Tell whether a worker is awaited."""
        return self._proven_ms(now_ms) < self._until_ms.get(worker_id, 0)

    def any(self, now_ms: int) -> bool:
        """Tell whether any worker is awaited."""
        return self._proven_ms(now_ms) < max(
            self._until_ms.values(), default=0
        )

    def any_unaccounted(self, now_ms: int) -> bool:
        """Tell whether a worker is awaited that may run any task."""
        proven_ms = self._proven_ms(now_ms)
        return any(
            proven_ms < until_ms
            for worker_id, until_ms in self._until_ms.items()
            if worker_id not in self.accounted_ids
        )

    def _proven_ms(self, now_ms: int) -> int:
        return now_ms if self.confirmed_ms is None else self.confirmed_ms

    def remaining_ms(self, now_ms: int) -> dict[str, int]:
        """Return how long each worker is still awaited, by worker id."""
        return {
            worker_id: until_ms - now_ms
            for worker_id, until_ms in self._until_ms.items()
            if now_ms < until_ms
        }
