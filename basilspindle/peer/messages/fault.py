"""Carry an error from one daemon to another."""

import msgspec

from basilspindle import errors


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """An error raised by the handler of a call."""

    kind: str
    message: str
    ran: errors.Ran
    retry_after_ms: int = 0
    job_id: str = ''
