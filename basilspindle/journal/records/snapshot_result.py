"""Hold the end of a task within a snapshot."""

import msgspec

from basilspindle import model


class SnapshotResult(msgspec.Struct, frozen=True, array_like=True):
    """A ``model.TaskResult`` without its field names."""

    index: int
    state: model.State
    attempts: int
    worker_id: str
    result: bytes
    error: str
