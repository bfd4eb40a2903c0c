"""Find the workers of a pool with room for a task."""

from basilspindle.cell import worker as worker_module
from basilspindle.cell import worker_table
from basilspindle.indexing import worker_index
from basilspindle.workflow import need as need_module

_DIMENSIONS = 3
_Amounts = tuple[int, int, int]
_Index = worker_index.WorkerIndex[worker_module.Worker]


class _Row:
    """How a worker is indexed at present."""

    __slots__ = ('serial', 'worker', 'pool', 'free')

    def __init__(
        self,
        serial: int,
        worker: worker_module.Worker,
        free: _Amounts,
    ) -> None:
        self.serial = serial
        self.worker = worker
        self.pool = worker.pool
        self.free = free


class FreeWorkers:
    """Index of the workers by pool and free amounts.

    It is brought up to date from the changes that the table has noted, so
    that its cost follows their number.
    """

    __slots__ = ('_workers', '_rows', '_indexes', '_next_serial')

    def __init__(self, workers: worker_table.WorkerTable) -> None:
        self._workers = workers
        self._rows: dict[str, _Row] = {}
        self._indexes: dict[str, _Index] = {}
        self._next_serial = 0
        workers.changed_ids.update(workers)

    def with_room(
        self, pool: str, need: need_module.Need
    ) -> list[worker_module.Worker]:
        """Return the workers of a pool where one task of a need fits.

        Reserved capacity counts as used, also that of the task's own step.
        """
        self._refresh()
        index = self._indexes.get(pool)
        if index is None:
            return []
        amounts = _amounts(need)
        if not any(amounts):
            return [row.worker for row in self._rows_of(pool)]
        dimension = index.most_selective(amounts)
        return [
            worker
            for worker in index.least_free_first(dimension, amounts[dimension])
            if _has_room(self._rows[worker.worker_id].free, amounts)
        ]

    def has_room(
        self, worker: worker_module.Worker, need: need_module.Need
    ) -> bool:
        """Tell whether one task of a need fits on a worker."""
        self._refresh()
        row = self._rows.get(worker.worker_id)
        return row is not None and _has_room(row.free, _amounts(need))

    def in_table_order(
        self, workers: list[worker_module.Worker]
    ) -> list[worker_module.Worker]:
        """Return workers in the order in which they were added."""
        rows = self._rows
        return sorted(workers, key=lambda w: rows[w.worker_id].serial)

    def _rows_of(self, pool: str) -> list[_Row]:
        return [row for row in self._rows.values() if row.pool == pool]

    def _refresh(self) -> None:
        changed_ids = self._workers.changed_ids
        if not changed_ids:
            return
        # A pass notes few changes; all workers are new to a new leader.
        known = [i for i in changed_ids if i in self._rows]
        ordered = known
        if len(known) < len(changed_ids):
            # Serial numbers follow the order of the table.
            ordered = known + [
                worker_id
                for worker_id in self._workers
                if worker_id in changed_ids and worker_id not in self._rows
            ]
        for worker_id in ordered:
            self._update(worker_id)
        changed_ids.clear()

    def _update(self, worker_id: str) -> None:
        row = self._rows.get(worker_id)
        worker = self._workers.get(worker_id)
        if row is not None and (
            row.worker is not worker or row.pool != row.worker.pool
        ):
            self._indexes[row.pool].remove(row.serial, row.free)
            del self._rows[worker_id]
            if worker is None:
                return
            self._add(worker, row.serial)
        elif row is not None:
            free = _amounts(row.worker.available)
            self._indexes[row.pool].move(row.serial, row.free, free)
            row.free = free
        elif worker is not None:
            self._next_serial += 1
            self._add(worker, self._next_serial)

    def _add(self, worker: worker_module.Worker, serial: int) -> None:
        row = _Row(serial, worker, _amounts(worker.available))
        self._rows[worker.worker_id] = row
        index = self._indexes.get(row.pool)
        if index is None:
            index = self._indexes[row.pool] = worker_index.WorkerIndex(
                _DIMENSIONS
            )
        index.add(serial, worker, row.free)


def _amounts(need: need_module.Need) -> _Amounts:
    return need.cpu_millicores, need.memory_mb, need.accelerators


def _has_room(free: _Amounts, need: _Amounts) -> bool:
    # An amount that is not needed may be overcommitted.
    return (
        (not need[0] or need[0] <= free[0])
        and (not need[1] or need[1] <= free[1])
        and (not need[2] or need[2] <= free[2])
    )
