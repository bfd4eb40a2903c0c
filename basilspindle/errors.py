"""Define the one error hierarchy of the project."""

import enum
import typing


class Ran(enum.StrEnum):
    """Say whether the work behind an error was run."""

    NO = 'no'
    UNKNOWN = 'unknown'
    YES = 'yes'


class BasilspindleError(Exception):
    """Base of all errors; carries what a caller has to know.

    ``message`` names the fault and the remedy. ``ran`` is a promise:
    ``Ran.NO`` is used only where the work was certainly not run.
    ``retry_after_ms`` is 0 where waiting does not help.
    """

    kind = 'internal'
    status = 500
    ran = Ran.NO

    def __init__(
        self,
        message: str,
        *,
        ran: Ran | None = None,
        retry_after_ms: int = 0,
        job_id: str = '',
    ) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_ms = retry_after_ms
        self.job_id = job_id
        if ran is not None:
            self.ran = ran


class DocumentInvalid(BasilspindleError):
    """Base of the reports of all faults found in JSON documents.

    ``faults`` are ``document.Fault``; empty for an error that another
    process reported, whose message names them all.
    """

    faults: tuple[typing.Any, ...] = ()

    def __init__(
        self, message: str, *, faults: tuple[typing.Any, ...] = ()
    ) -> None:
        super().__init__(message)
        self.faults = faults


class SettingsInvalid(DocumentInvalid):
    """Report the faults of a settings file."""

    kind = 'settings_invalid'


class ConfigurationInvalid(DocumentInvalid):
    """Report the faults of a base and an overlay document."""

    kind = 'configuration_invalid'
    status = 400


class ConfigurationStale(BasilspindleError):
    """Refuse because the configuration may have been replaced unseen."""

    kind = 'configuration_stale'
    status = 503


class VersionConflict(BasilspindleError):
    """Refuse a publish made from a version that is not the current one.

    ``version``, ``author`` (key id) and ``wall_ms`` are those of the
    publish that won; 0 and '' where they are not known.
    """

    kind = 'version_conflict'
    status = 409
    version = 0
    author = ''
    wall_ms = 0

    def __init__(
        self, message: str, *, version: int, author: str, wall_ms: int
    ) -> None:
        super().__init__(message)
        self.version = version
        self.author = author
        self.wall_ms = wall_ms


class RecordUnreadable(BasilspindleError):
    """Report a record that does not decode; readers skip it."""

    kind = 'record_unreadable'


class NotReady(BasilspindleError):
    """Refuse because this daemon cannot serve yet or is stopping."""

    kind = 'not_ready'
    status = 503


class BadRequest(BasilspindleError):
    """Refuse a request that cannot be understood."""

    kind = 'bad_request'
    status = 400


class TooLarge(BasilspindleError):
    """Refuse a body over its size limit."""

    kind = 'too_large'
    status = 413


class KeyInvalid(BasilspindleError):
    """Refuse a missing, unknown or withdrawn key."""

    kind = 'key_invalid'
    status = 401


class Forbidden(BasilspindleError):
    """Refuse what the key's workspace may not do."""

    kind = 'forbidden'
    status = 403


class NotFound(BasilspindleError):
    """Report that the workspace has no such job, worker or queue."""

    kind = 'not_found'
    status = 404


class KeyReused(BasilspindleError):
    """Refuse an idempotency key that was used for another body."""

    kind = 'key_reused'
    status = 409


class QueueFull(BasilspindleError):
    """Refuse because the workspace's queue is at its bound."""

    kind = 'queue_full'
    status = 429


class Overloaded(BasilspindleError):
    """Refuse because this daemon is at a bound of its own."""

    kind = 'overloaded'
    status = 503


class Unschedulable(BasilspindleError):
    """Report that no worker can ever hold a task of the job."""

    kind = 'unschedulable'
    status = 422


class DeadlineExceeded(BasilspindleError):
    """Report that the time allowed has passed."""

    kind = 'deadline_exceeded'
    status = 504
    ran = Ran.UNKNOWN


class CallerGone(BasilspindleError):
    """Report that the caller closed its connection; nobody reads this."""

    kind = 'caller_gone'
    status = 499
    ran = Ran.UNKNOWN


class OutcomeUnknown(BasilspindleError):
    """Report that the work may or may not have been run."""

    kind = 'outcome_unknown'
    status = 504
    ran = Ran.UNKNOWN


class LogError(BasilspindleError):
    """Base of the faults of the log service."""

    kind = 'log_error'
    status = 503


class LogUnavailable(LogError):
    """Report that the log took nothing: the append had no effect."""

    kind = 'log_unavailable'


class LogOutcomeUnknown(LogError):
    """Report that an append was sent and its answer was lost."""

    kind = 'log_outcome_unknown'
    ran = Ran.UNKNOWN


class LogTrimmed(LogError):
    """Report a read below the first offset that the log still keeps."""

    kind = 'log_trimmed'

    def __init__(self, message: str, *, first_offset: int) -> None:
        super().__init__(message)
        self.first_offset = first_offset


class PeerError(BasilspindleError):
    """Base of the faults of a call to another daemon."""

    kind = 'peer_error'
    status = 503


class PeerUnavailable(PeerError):
    """Report that a call certainly did not reach the other daemon."""

    kind = 'peer_unavailable'


class PeerOutcomeUnknown(PeerError):
    """Report that a call was sent and its reply was lost."""

    kind = 'peer_outcome_unknown'
    ran = Ran.UNKNOWN


class NotOwner(PeerError):
    """Refuse because this daemon does not own the partition."""

    kind = 'not_owner'


class Deposed(PeerError):
    """Report that another daemon has claimed the partition."""

    kind = 'deposed'


class Fenced(PeerError):
    """Refuse a start under a lower epoch than the fence of a partition."""

    kind = 'fenced'


class DaemonUnreachable(BasilspindleError):
    """Report that no daemon could be connected to: nothing was sent."""

    kind = 'daemon_unreachable'
    status = 503


class PlacementExpired(PeerError):
    """Refuse a placement that waited too long before it was received."""

    kind = 'placement_expired'


class StaleIncarnation(PeerError):
    """Refuse a heartbeat of a process that was replaced."""

    kind = 'stale_incarnation'


class VmListUnavailable(BasilspindleError):
    """Report that the VM list did not answer."""

    kind = 'vm_list_unavailable'
    status = 503


class WorkerError(BasilspindleError):
    """Base of the faults of a worker."""

    kind = 'worker_error'
    status = 503


class WorkerRefused(WorkerError):
    """Report that a worker refused a start: the task was not run."""

    kind = 'worker_refused'


class StaleEpoch(WorkerRefused):
    """Report a refusal because the lease epoch is not the live one."""

    kind = 'stale_epoch'


class LeaseHeld(WorkerRefused):
    """Report that another daemon holds the placement lease."""

    kind = 'lease_held'

    def __init__(self, message: str, *, holder: str, remaining_ms: int):
        super().__init__(message, retry_after_ms=remaining_ms)
        self.holder = holder
        self.remaining_ms = remaining_ms


class WorkerReplaced(WorkerError):
    """Report that another life of a worker answers at its address."""

    kind = 'worker_replaced'


class WorkerStopped(WorkerError):
    """Report that no process listens at a worker's address any more."""

    kind = 'worker_stopped'


class WorkerUnavailable(WorkerError):
    """Report that a call certainly did not reach the worker."""

    kind = 'worker_unavailable'


class WorkerOutcomeUnknown(WorkerError):
    """Report that a call was sent to a worker and its answer was lost."""

    kind = 'worker_outcome_unknown'
    ran = Ran.UNKNOWN


def _walk(cls: type[BasilspindleError]) -> dict[str, type]:
    found = {cls.kind: cls}
    for child in cls.__subclasses__():
        found.update(_walk(child))
    return found


def build(
    kind: str,
    message: str,
    ran: Ran,
    retry_after_ms: int = 0,
    job_id: str = '',
) -> BasilspindleError:
    """Build the error of a kind that another process reported."""
    cls = _walk(BasilspindleError).get(kind, BasilspindleError)
    error = cls.__new__(cls)
    BasilspindleError.__init__(
        error,
        message,
        ran=ran,
        retry_after_ms=retry_after_ms,
        job_id=job_id,
    )
    return error
