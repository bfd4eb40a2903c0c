"""Ask the owner of a partition to cancel a job."""

import msgspec

from basilspindle import model


class Cancel(msgspec.Struct, frozen=True, kw_only=True):
    """Cancel a job of a workspace; ended tasks keep their outcome."""

    partition: int
    workspace: str
    job_id: str


class Cancelled(msgspec.Struct, frozen=True, kw_only=True):
    """Show the job after the cancellation was recorded."""

    view: model.JobView
