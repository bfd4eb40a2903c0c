"""Define the record that cancels a job."""

import msgspec


class JobCancelled(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Cancel a job: none of its queued tasks is started."""

    job_id: str
