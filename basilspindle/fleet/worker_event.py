"""Describe the end of a task as a worker reports it."""

import enum

import msgspec

from basilspindle import decoding


class Outcome(enum.StrEnum):
    """How a task ended.

    ``EXPIRED`` means that the worker stopped the task because its task
    lease was not renewed, ``UNKNOWN`` that the worker did not report how
    the task ended, or not in a way that is known here.
    """

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    EXPIRED = 'expired'
    UNKNOWN = 'unknown'


class WorkerEvent(msgspec.Struct, frozen=True, kw_only=True):
    """End of one attempt of a task.

    ``seq`` counts the events of one incarnation of the worker; it is 0 if
    it is not known. ``result`` is JSON.
    """

    seq: decoding.Count
    task_id: str
    attempt: decoding.Count
    outcome: Outcome
    result: msgspec.Raw = msgspec.Raw(b'')
    error: str = ''
    run_time_ms: decoding.Count = 0
