"""Define the record that ends a job as a whole."""

import msgspec

from basilspindle import model


class JobEnded(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Set the final state of a job of which not all tasks have a result."""

    job_id: str
    state: model.State
    reason: str
