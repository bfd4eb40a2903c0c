"""Cancel a job."""

import msgspec


class JobCancelled(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Start no further task of a job."""

    job_id: str
