"""Hand a job in at the owner of its workspace's partition."""

import msgspec

from basilspindle import model


class Submit(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the owner to take a job under a partition number.

    With ``wait_ms`` the reply waits up to that long for the job's end, so
    that a short request needs one call.
    """

    partition: int
    job: model.Job
    wait_ms: int = 0


class Submitted(msgspec.Struct, frozen=True, kw_only=True):
    """Confirm that the job is accepted; ``repeated`` if it was before.

    ``view`` is the job after ``wait_ms``.
    """

    job_id: str
    repeated: bool
    view: model.JobView | None = None
