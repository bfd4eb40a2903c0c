"""Query a job at the owner of its partition."""

import msgspec

from basilspindle import model


class View(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for a job, and wait for its end for up to ``wait_ms``."""

    partition: int
    workspace: str
    job_id: str
    wait_ms: int = 0


class Viewed(msgspec.Struct, frozen=True, kw_only=True):
    """The current state of the job."""

    view: model.JobView
