"""Hold the workers of a cell and note which of them have changed."""

import typing

from basilspindle.cell import worker as worker_module


class WorkerTable(dict[str, worker_module.Worker]):
    """Workers by id.

    ``changed_ids`` are the workers that were added or removed, or whose pool
    or free amounts have changed, since they were last taken from it. Only
    item assignment, ``del`` and ``pop`` change the table.
    """

    __slots__ = ('changed_ids',)

    def __init__(self) -> None:
        super().__init__()
        self.changed_ids: set[str] = set()

    def __setitem__(
        self, worker_id: str, worker: worker_module.Worker
    ) -> None:
        super().__setitem__(worker_id, worker)
        worker.changed_ids = self.changed_ids
        self.changed_ids.add(worker_id)

    def __delitem__(self, worker_id: str) -> None:
        super().__delitem__(worker_id)
        self.changed_ids.add(worker_id)

    def pop(self, worker_id: str, *default: typing.Any) -> typing.Any:
        """Remove a worker and return it, or the default."""
        self.changed_ids.add(worker_id)
        return super().pop(worker_id, *default)
