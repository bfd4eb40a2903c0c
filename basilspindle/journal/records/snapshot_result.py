"""Define the result of a task within a snapshot."""

import msgspec

from basilspindle import model


class SnapshotResult(msgspec.Struct, frozen=True, array_like=True):
    """A ``model.TaskResult`` that is encoded by position."""

    index: int
    state: model.State
    attempts: int
    worker_id: str
    result: bytes
    error: str
