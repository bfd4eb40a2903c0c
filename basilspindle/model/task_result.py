"""Define the outcome of one task."""

import msgspec

from basilspindle.model import state as state_module


class TaskResult(msgspec.Struct, frozen=True, kw_only=True):
    """State and result of one task of a job; ``result`` is JSON."""

    index: int
    state: state_module.State
    attempts: int = 0
    worker_id: str = ''
    result: bytes = b''
    error: str = ''
