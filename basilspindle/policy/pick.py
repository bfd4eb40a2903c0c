"""Describe tasks that were selected to start."""

import msgspec

from basilspindle import model


class Pick(msgspec.Struct, frozen=True, kw_only=True):
    """Tasks of one job that were popped and count as running.

    ``resources`` are those of one task. A gang is always picked as a whole.
    """

    job_id: str
    workspace: str
    count: int
    gang: bool
    resources: model.Resources
    priority: model.Priority
