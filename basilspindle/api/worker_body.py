"""Show a worker to operators."""

import msgspec


class WorkerBody(msgspec.Struct, frozen=True, kw_only=True):
    """A worker of the VM list; ``held`` tells whether it is held here."""

    worker_id: str
    address: str
    failure_domain: str
    rack: str
    state: str
    drained: bool
    held: bool


class WorkersBody(msgspec.Struct, frozen=True):
    """All workers of the cell."""

    workers: list[WorkerBody]
