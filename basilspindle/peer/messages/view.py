"""Ask the owner of a partition about one job."""

import msgspec

from basilspindle import model


class View(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for a job of a workspace, waiting for its end up to ``wait_ms``."""

    partition: int
    workspace: str
    job_id: str
    wait_ms: int = 0


class Viewed(msgspec.Struct, frozen=True, kw_only=True):
    """Show the job as it is."""

    view: model.JobView
