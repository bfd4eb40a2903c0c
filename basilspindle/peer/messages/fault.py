"""Send an error instead of a reply."""

import msgspec

from basilspindle import errors


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """An error that was raised by the handler of a request.

    ``kind`` and ``ran`` identify the error class and say whether the request
    was run.
    """

    kind: str
    message: str
    ran: errors.Ran
    retry_after_ms: int = 0
    job_id: str = ''
