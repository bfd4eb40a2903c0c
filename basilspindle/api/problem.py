"""Define the documented JSON body of an error."""

import msgspec

from basilspindle import errors

# Statuses by which callers and proxies take a request for not run.
_REFUSAL_STATUSES = frozenset({429, 503})


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """Details of an error; ``ran`` tells whether the work was run."""

    kind: str
    message: str
    ran: errors.Ran
    retry_after_ms: int = 0
    job_id: str = ''


class ProblemBody(msgspec.Struct, frozen=True):
    """Envelope that keeps an error from being mistaken for a result."""

    error: Problem


def from_error(error: errors.BasilspindleError) -> ProblemBody:
    """Return the body of an error."""
    return ProblemBody(
        Problem(
            kind=error.kind,
            message=error.message,
            ran=error.ran,
            retry_after_ms=error.retry_after_ms,
            job_id=error.job_id,
        )
    )


def as_answered(
    error: errors.BasilspindleError,
) -> errors.BasilspindleError:
    """Return the error that the caller gets for an error."""
    if error.status not in _REFUSAL_STATUSES or error.ran is errors.Ran.NO:
        return error
    return errors.OutcomeUnknown(
        f'{error.message}; the request may have taken effect all the same, '
        'so look up the job before submitting it again',
        retry_after_ms=error.retry_after_ms,
        job_id=error.job_id,
    )
