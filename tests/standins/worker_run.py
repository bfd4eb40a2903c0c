"""Record one run of a task on the stand-in worker."""

import msgspec

from basilspindle import fleet


class WorkerRun(msgspec.Struct, kw_only=True):
    """One run of a task; ``end_ms`` is -1 while it runs.

    ``due_ms`` is the time at which the task ends by itself.
    """

    worker_id: str
    incarnation: str
    task: fleet.TaskSpec
    start_ms: int
    end_ms: int = -1
    outcome: str = ''
    due_ms: int = 0
    lease_until_ms: int = 0
