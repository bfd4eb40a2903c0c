"""Submit a job to the owner of its workspace's partition."""

import msgspec

from basilspindle import model


class Submit(msgspec.Struct, frozen=True, kw_only=True):
    """Submit a job to the owner of a partition.

    The reply is delayed for up to ``wait_ms`` until the job has ended, so
    that a short job needs only one call.
    """

    partition: int
    job: model.Job
    wait_ms: int = 0


class Submitted(msgspec.Struct, frozen=True, kw_only=True):
    """Confirm that the job is accepted.

    ``repeated`` means that it had been accepted before. ``view`` is the job
    after waiting.
    """

    job_id: str
    repeated: bool
    view: model.JobView | None = None
