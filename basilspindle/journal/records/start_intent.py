"""Announce the start of a non-idempotent task."""

import msgspec


class StartIntent(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """State that an attempt may run on a worker from now on."""

    job_id: str
    index: int
    attempt: int
    worker_id: str
