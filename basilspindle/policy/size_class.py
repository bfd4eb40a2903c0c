"""Index the workers of one size."""

from basilspindle.policy import amounts as amounts_module
from basilspindle.policy import worker_index
from basilspindle.policy import worker_view


class SizeClass:
    """Workers with equal totals, everywhere and by failure domain."""

    __slots__ = ('total', 'everywhere', 'domains')

    def __init__(self, total: amounts_module.Amounts) -> None:
        self.total = total
        self.everywhere = worker_index.WorkerIndex()
        self.domains: dict[str, worker_index.WorkerIndex] = {}

    def __len__(self) -> int:
        return len(self.everywhere)

    def add(
        self,
        serial: int,
        view: worker_view.WorkerView,
        free: amounts_module.Amounts,
    ) -> None:
        """Add a worker under its free amounts."""
        self.everywhere.add(serial, view, free)
        domain = self.domains.get(view.failure_domain)
        if domain is None:
            domain = worker_index.WorkerIndex()
            self.domains[view.failure_domain] = domain
        domain.add(serial, view, free)

    def remove(
        self, serial: int, domain: str, free: amounts_module.Amounts
    ) -> None:
        """Remove a worker that was added under these amounts."""
        self.everywhere.remove(serial, free)
        self.domains[domain].remove(serial, free)
        if not len(self.domains[domain]):
            del self.domains[domain]

    def move(
        self,
        serial: int,
        domain: str,
        old: amounts_module.Amounts,
        new: amounts_module.Amounts,
    ) -> None:
        """Change the free amounts of a worker."""
        self.everywhere.move(serial, old, new)
        self.domains[domain].move(serial, old, new)
