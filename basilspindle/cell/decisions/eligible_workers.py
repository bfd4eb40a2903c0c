"""List the workers that may run the tasks of a step, if asked for."""

import collections.abc

from basilspindle.cell import worker as worker_module


class EligibleWorkers(collections.abc.Sequence[worker_module.Worker]):
    """Workers that are listed on first use: most examinations need none."""

    __slots__ = ('_find', '_found')

    def __init__(
        self,
        find: collections.abc.Callable[[], list[worker_module.Worker]],
    ) -> None:
        self._find = find
        self._found: list[worker_module.Worker] | None = None

    def _list(self) -> list[worker_module.Worker]:
        if self._found is None:
            self._found = self._find()
        return self._found

    def __len__(self) -> int:
        return len(self._list())

    def __getitem__(self, place):  # type: ignore[no-untyped-def]
        return self._list()[place]

    def __iter__(self) -> collections.abc.Iterator[worker_module.Worker]:
        return iter(self._list())
