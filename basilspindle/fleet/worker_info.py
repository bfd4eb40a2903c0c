"""Describe a worker as the VM list and the operators know it."""

import msgspec


class WorkerInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Address (``ip:port``) and place of a worker.

    A ``leaving`` (VM list) or ``drained`` (operator) worker gets no new
    work.
    """

    worker_id: str
    address: str
    failure_domain: str
    rack: str
    region: str = ''
    leaving: bool = False
    drained: bool = False
