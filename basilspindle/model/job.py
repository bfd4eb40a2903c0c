"""Define an accepted job."""

import typing

import msgspec

from basilspindle.model import priority as priority_module
from basilspindle.model import resources as resources_module

# An owner keeps an entry for each task of its jobs.
MAX_TASKS: typing.Final = 1_000_000


class Job(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A job of one or more identical tasks; immutable once accepted.

    ``resources`` are those of one task. ``input`` is JSON that every task
    receives together with its index. ``deadline_ms`` is the time from
    acceptance after which queued tasks expire; 0 means no deadline. A
    ``durable`` job is recorded in the log and survives a change of owner.
    ``body_hash`` tells a repeated submission under an idempotency key from
    a different one under the same key.
    """

    job_id: str
    workspace: str
    queue: str
    kind: str
    priority: priority_module.Priority
    tasks: typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)]
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
        """Return the id of the task at an index."""
        return f'{self.job_id}/{index}'
