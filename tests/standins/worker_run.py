"""Record one run of a task on the stand-in worker."""

import msgspec

from basilspindle import fleet


class WorkerRun(msgspec.Struct, kw_only=True):
    """Start and end of a run in ms; ``end_ms`` is -1 while it runs."""

    worker_id: str
    incarnation: str
    task: fleet.TaskSpec
    start_ms: int
    end_ms: int = -1
    outcome: str = ''
    due_ms: int = 0
    lease_until_ms: int = 0
