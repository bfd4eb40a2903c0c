"""Accept a durable job."""

import msgspec

from basilspindle import model


class JobAccepted(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Add a job; a second one with the same id has no effect."""

    job: model.Job
