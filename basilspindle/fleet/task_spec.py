"""Describe a task in the JSON of the worker interface."""

import msgspec

from basilspindle import decoding
from basilspindle.fleet import amounts
from basilspindle import model

_NO_INPUT = msgspec.Raw(b'null')


class TaskSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a task, in start requests and inventories.

    Inventories omit ``input``. A new lease holder rebuilds its state from
    the other fields alone.
    """

    task_id: str
    attempt: decoding.Count
    job_id: str
    index: decoding.Count
    workspace: str
    kind: str
    partition: decoding.Count
    resources: amounts.Amounts
    run_time_ms: decoding.Count = 0
    idempotent: bool = True
    service: bool = False
    input: msgspec.Raw = _NO_INPUT

    @classmethod
    def from_order(cls, order: model.TaskOrder) -> 'TaskSpec':
        """Convert the start order of a coordinator."""
        return cls(
            task_id=order.task_id,
            attempt=order.attempt,
            job_id=order.job_id,
            index=order.index,
            workspace=order.workspace,
            kind=order.kind,
            partition=order.partition,
            resources=amounts.Amounts.from_resources(order.resources),
            run_time_ms=order.run_time_ms,
            idempotent=order.idempotent,
            service=order.service,
            input=msgspec.Raw(order.input) if order.input else _NO_INPUT,
        )
