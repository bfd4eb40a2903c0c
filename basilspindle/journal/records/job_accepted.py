"""Define the record that accepts a durable job."""

import msgspec

from basilspindle import model


class JobAccepted(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Add a job, unless there is one with the same id."""

    job: model.Job
