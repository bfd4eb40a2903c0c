"""Define a job within a snapshot."""

import msgspec

from basilspindle.journal.records import snapshot_result
from basilspindle.journal.records import start_intent
from basilspindle import model


class SnapshotJob(msgspec.Struct, frozen=True, array_like=True):
    """State of a job; with ``job`` None, more results of an earlier one."""

    job_id: str
    job: model.Job | None
    cancelled: bool
    state: model.State
    reason: str
    ended_wall_ms: int
    ended: list[snapshot_result.SnapshotResult]
    intents: list[start_intent.StartIntent]
