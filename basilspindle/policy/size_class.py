"""Index the workers with the same total resources."""

from basilspindle.indexing import amounts as amounts_module
from basilspindle.indexing import worker_index
from basilspindle.policy import worker_view


class SizeClass:
    """Workers of equal size, indexed together and by failure domain."""

    __slots__ = ('total', 'all_workers', 'by_domain')

    def __init__(self, total: amounts_module.Amounts) -> None:
        self.total = total
        self.all_workers = worker_index.WorkerIndex()
        self.by_domain: dict[str, worker_index.WorkerIndex] = {}

    def __len__(self) -> int:
        return len(self.all_workers)

    def add(
        self,
        serial: int,
        view: worker_view.WorkerView,
        free: amounts_module.Amounts,
    ) -> None:
        """Add a worker with its free amounts."""
        self.all_workers.add(serial, view, free)
        domain = self.by_domain.get(view.failure_domain)
        if domain is None:
            domain = worker_index.WorkerIndex()
            self.by_domain[view.failure_domain] = domain
        domain.add(serial, view, free)

    def remove(
        self, serial: int, domain: str, free: amounts_module.Amounts
    ) -> None:
        """Remove a worker that is indexed with these free amounts."""
        self.all_workers.remove(serial, free)
        self.by_domain[domain].remove(serial, free)
        if not len(self.by_domain[domain]):
            del self.by_domain[domain]

    def move(
        self,
        serial: int,
        domain: str,
        old: amounts_module.Amounts,
        new: amounts_module.Amounts,
    ) -> None:
        """Change the free amounts of a worker."""
        self.all_workers.move(serial, old, new)
        self.by_domain[domain].move(serial, old, new)
