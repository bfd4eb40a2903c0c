"""Describe a job as it was accepted."""

import msgspec

from basilspindle.model import priority as priority_module
from basilspindle.model import resources as resources_module


class Job(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A job of one or more equal tasks; never changed after acceptance.

    ``resources`` are for one task. ``input`` is JSON, given to every task
    together with its index. ``deadline_ms`` is the time from acceptance
    after which queued tasks expire; 0 means no deadline. ``body_hash``
    recognises a repeated hand-in under the same idempotency key.
    """

    job_id: str
    workspace: str
    queue: str
    kind: str
    priority: priority_module.Priority
    tasks: int
    resources: resources_module.Resources
    run_time_ms: int
    deadline_ms: int
    gang: bool
    service: bool
    idempotent: bool
    durable: bool
    max_attempts: int
    input: bytes
    key_id: str
    body_hash: str
    submitted_wall_ms: int

    def task_id(self, index: int) -> str:
        """Return the id of the task with an index."""
        return f'{self.job_id}/{index}'
