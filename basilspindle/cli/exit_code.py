"""Define the exit codes."""

import enum

from basilspindle import errors

_CONFLICTS = (errors.VersionConflict.kind, errors.KeyReused.kind)


class ExitCode(enum.IntEnum):
    """Tell scripts what happened; 2 is click's own for wrong usage."""

    SUCCESS = 0
    WORK_FAILED = 1
    USAGE = 2
    REFUSED = 3
    OUTCOME_UNKNOWN = 4
    UNREACHABLE = 5
    CONFLICT = 6


def of_error(error: errors.BasilspindleError) -> ExitCode:
    """Return the exit code of an error."""
    if error.kind in _CONFLICTS:
        return ExitCode.CONFLICT
    if error.kind == errors.DaemonUnreachable.kind:
        return ExitCode.UNREACHABLE
    if error.ran is errors.Ran.UNKNOWN:
        return ExitCode.OUTCOME_UNKNOWN
    if error.ran is errors.Ran.NO:
        return ExitCode.REFUSED
    return ExitCode.WORK_FAILED


def of_state(state: str) -> ExitCode:
    """Return the exit code of a job in a state."""
    return _OF_STATE.get(state, ExitCode.SUCCESS)


_OF_STATE = {
    'failed': ExitCode.WORK_FAILED,
    'cancelled': ExitCode.WORK_FAILED,
    'expired': ExitCode.WORK_FAILED,
    'unschedulable': ExitCode.WORK_FAILED,
    'unknown': ExitCode.OUTCOME_UNKNOWN,
}
