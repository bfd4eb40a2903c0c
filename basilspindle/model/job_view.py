"""Show a job to its workspace."""

import msgspec

from basilspindle.model import state as state_module
from basilspindle.model import task_result


class JobView(msgspec.Struct, frozen=True, kw_only=True):
    """State of a job; ``counts`` is tasks by state name.

    ``results`` holds the ended tasks, ordered by index, and is empty in
    lists. ``reason`` says why a job is unschedulable, expired or waiting.
    """

    job_id: str
    workspace: str
    queue: str
    kind: str
    state: state_module.State
    tasks: int
    counts: dict[str, int]
    submitted_wall_ms: int
    results: list[task_result.TaskResult] = []
    reason: str = ''
