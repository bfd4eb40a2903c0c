"""Define the state of a job as shown to its workspace."""

import msgspec

from basilspindle.model import state as state_module
from basilspindle.model import task_result


class JobView(msgspec.Struct, frozen=True, kw_only=True):
    """State of a job; ``counts`` is the number of tasks by state name.

    ``results`` holds the ended tasks in order of their index and is empty
    in job lists. ``reason`` says why a job is unschedulable, expired or
    waiting.
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
