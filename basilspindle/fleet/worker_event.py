"""Carry the end of a task from a worker."""

import enum

import msgspec


class Outcome(enum.StrEnum):
    """How a worker says that a task ended."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    EXPIRED = 'expired'


class WorkerEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One end, numbered per incarnation; ``result`` is JSON."""

    seq: int
    task_id: str
    attempt: int
    outcome: Outcome
    result: msgspec.Raw = msgspec.Raw(b'')
    error: str = ''
    run_time_ms: int = 0
