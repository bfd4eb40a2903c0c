"""Tell which workers may get new tasks during a scheduling pass."""

from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module


class AcceptingWorkers:
    """Workers that accept tasks at a given time, found out when asked for."""

    __slots__ = ('_state', '_now_ms', '_accepts', '_lists', '_ordered_ids')

    def __init__(self, state: state_module.CellState, now_ms: int) -> None:
        self._state = state
        self._now_ms = now_ms
        self._accepts: dict[str, bool] = {}
        self._lists: dict[tuple[str, str], list[worker_module.Worker]] = {}
        self._ordered_ids: dict[tuple[str, str], list[str]] = {}

    def accepts(self, worker: worker_module.Worker) -> bool:
        """Tell whether new tasks may start on a worker."""
        accepts = self._accepts.get(worker.worker_id)
        if accepts is None:
            accepts = self._state.accepts(worker, self._now_ms)
            self._accepts[worker.worker_id] = accepts
        return accepts

    def of(self, pool: str, label: str) -> list[worker_module.Worker]:
        """Return those of a pool that have a label, or all for no label."""
        found = self._lists.get((pool, label))
        if found is None:
            found = self._lists[pool, label] = [
                worker
                for worker in self._state.workers.values()
                if worker.pool == pool
                and (not label or label in worker.labels)
                and self._state.accepts(worker, self._now_ms)
            ]
        return found

    def ordered_ids(self, pool: str, label: str) -> list[str]:
        """Return the ids of the same workers in their order."""
        found = self._ordered_ids.get((pool, label))
        if found is None:
            found = self._ordered_ids[pool, label] = sorted(
                worker.worker_id for worker in self.of(pool, label)
            )
        return found
