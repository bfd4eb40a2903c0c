"""Ask the owner of a partition to cancel a job."""

import msgspec

from basilspindle import model


class Cancel(msgspec.Struct, frozen=True, kw_only=True):
    """Cancel a job of a workspace; the results of ended tasks are kept."""

    partition: int
    workspace: str
    job_id: str


class Cancelled(msgspec.Struct, frozen=True, kw_only=True):
    """The job after its cancellation was recorded."""

    view: model.JobView
