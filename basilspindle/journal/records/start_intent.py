"""Define the record that precedes the start of a non-idempotent task."""

import msgspec


class StartIntent(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Announce an attempt: it may run on a worker after this record."""

    job_id: str
    index: int
    attempt: int
    worker_id: str
