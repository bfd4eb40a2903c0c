"""Describe a worker from the VM list and the drained workers."""

import msgspec


class WorkerInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Address (``ip:port``) and location of a worker.

    A worker gets no new tasks while it is ``leaving`` (according to the
    VM list) or ``drained`` (by an operator).
    """

    worker_id: str
    address: str
    failure_domain: str
    rack: str
    region: str = ''
    leaving: bool = False
    drained: bool = False
