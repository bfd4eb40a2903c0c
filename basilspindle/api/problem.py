"""Show errors in the one documented JSON form."""

import msgspec

from basilspindle import errors


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an error; ``ran`` tells whether the work was run."""

    kind: str
    message: str
    ran: errors.Ran
    retry_after_ms: int = 0
    job_id: str = ''


class ProblemBody(msgspec.Struct, frozen=True):
    """Wrap a problem, so that an error is never taken for a result."""

    error: Problem


def make(error: errors.BasilspindleError) -> ProblemBody:
    """Return the body for an error."""
    return ProblemBody(
        Problem(
            kind=error.kind,
            message=error.message,
            ran=error.ran,
            retry_after_ms=error.retry_after_ms,
            job_id=error.job_id,
        )
    )
