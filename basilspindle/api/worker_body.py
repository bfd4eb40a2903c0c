"""Define the JSON bodies that list workers to operators."""

import msgspec


class WorkerBody(msgspec.Struct, frozen=True, kw_only=True):
    """A worker of the VM list.

    ``held`` tells whether the answering daemon holds the worker's lease and
    can place tasks on it.
    """

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
