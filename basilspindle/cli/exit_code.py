"""Define the exit codes of the command-line tool."""

import enum

from basilspindle import errors

_CONFLICT_KINDS = (errors.VersionConflict.kind, errors.KeyReused.kind)


class ExitCode(enum.IntEnum):
    """Exit codes for scripts; click itself exits with 2 on a usage error."""

    SUCCESS = 0
    WORK_FAILED = 1
    USAGE = 2
    REFUSED = 3
    OUTCOME_UNKNOWN = 4
    UNREACHABLE = 5
    CONFLICT = 6


def from_error(error: errors.BasilspindleError) -> ExitCode:
    """Return the exit code for an error."""
    if error.kind in _CONFLICT_KINDS:
        return ExitCode.CONFLICT
    if error.kind == errors.DaemonUnreachable.kind:
        return ExitCode.UNREACHABLE
    if error.ran is errors.Ran.UNKNOWN:
        return ExitCode.OUTCOME_UNKNOWN
    if error.ran is errors.Ran.NO:
        return ExitCode.REFUSED
    return ExitCode.WORK_FAILED


def from_job_state(state: str) -> ExitCode:
    """Return the exit code for the state of a job."""
    return _BY_JOB_STATE.get(state, ExitCode.SUCCESS)


_BY_JOB_STATE = {
    'failed': ExitCode.WORK_FAILED,
    'cancelled': ExitCode.WORK_FAILED,
    'expired': ExitCode.WORK_FAILED,
    'unschedulable': ExitCode.WORK_FAILED,
    'unknown': ExitCode.OUTCOME_UNKNOWN,
}
