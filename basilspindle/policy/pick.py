"""Name the tasks that are to start next."""

import msgspec

from basilspindle import model


class Pick(msgspec.Struct, frozen=True, kw_only=True):
    """Tasks of one job, counted as running since they were popped.

    ``resources`` are for one task. A gang is picked as a whole.
    """

    job_id: str
    workspace: str
    count: int
    gang: bool
    resources: model.Resources
    priority: model.Priority
