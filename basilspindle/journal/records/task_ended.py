"""Define the record that ends one attempt of a task."""

import msgspec

from basilspindle import model


class TaskEnded(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Record the outcome of an attempt.

    A final ``state`` ends the task. QUEUED removes the start intent of an
    attempt that certainly did not run.
    """

    job_id: str
    index: int
    attempt: int
    state: model.State
    worker_id: str
    result: bytes
    error: str
