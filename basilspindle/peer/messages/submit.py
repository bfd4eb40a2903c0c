"""Hand a job in at the owner of its team's partition."""

import msgspec

from basilspindle import model


class Submit(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the owner to take a job under a partition number."""

    partition: int
    job: model.Job


class Submitted(msgspec.Struct, frozen=True, kw_only=True):
    """Confirm that the job is accepted; ``repeated`` if it was before."""

    job_id: str
    repeated: bool
