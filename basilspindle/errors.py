"""Define the exception hierarchy of the project."""

import enum
import typing


class Ran(enum.StrEnum):
    """Whether the work that a failed request asked for was run."""

    NO = 'no'
    UNKNOWN = 'unknown'
    YES = 'yes'


class BasilspindleError(Exception):
    """Base of all errors, with the fields that are returned to callers.

    ``message`` states the cause and the remedy. ``ran`` is a guarantee:
    ``Ran.NO`` is used only if the work was certainly not run.
    ``retry_after_ms`` is 0 if waiting does not help.
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
    """Base of errors that list every fault found in JSON documents.

    ``faults`` holds ``document.Fault`` objects. It is empty for an error
    received from another process, whose message lists them all.
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
    """Refuse because a newer configuration may be in force elsewhere."""

    kind = 'configuration_stale'
    status = 503


class VersionConflict(BasilspindleError):
    """Refuse a publication that is not based on the current version.

    ``version``, ``author`` (a key id) and ``wall_ms`` describe the
    publication that was accepted instead; 0 and '' if unknown.
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
    """Report a record that cannot be decoded; readers skip it."""

    kind = 'record_unreadable'


class NotReady(BasilspindleError):
    """Refuse because the request cannot be served yet or at the moment."""

    kind = 'not_ready'
    status = 503


class BadRequest(BasilspindleError):
    """Refuse a malformed or invalid request."""

    kind = 'bad_request'
    status = 400


class TooLarge(BasilspindleError):
    """Refuse a body that exceeds its size limit."""

    kind = 'too_large'
    status = 413


class KeyInvalid(BasilspindleError):
    """Refuse a missing, unknown or revoked API key."""

    kind = 'key_invalid'
    status = 401


class Forbidden(BasilspindleError):
    """Refuse an operation that the role or workspace of the key forbids."""

    kind = 'forbidden'
    status = 403


class NotFound(BasilspindleError):
    """Report a job, worker, queue or other resource that does not exist."""

    kind = 'not_found'
    status = 404


class KeyReused(BasilspindleError):
    """Refuse an idempotency key that was used with a different body."""

    kind = 'key_reused'
    status = 409


class AlreadyCancelled(BasilspindleError):
    """Refuse a job whose cancellation arrived before it."""

    kind = 'already_cancelled'
    status = 429


class QueueFull(BasilspindleError):
    """Refuse because the workspace has reached its limit of queued tasks."""

    kind = 'queue_full'
    status = 429


class Overloaded(BasilspindleError):
    """Refuse because this daemon has reached one of its own limits."""

    kind = 'overloaded'
    status = 503


class CapacityShort(Overloaded):
    """Refuse a job that can't be served in time; tells what it waits for.

    ``details`` are the fields of the log event.
    """

    def __init__(
        self,
        message: str,
        *,
        retry_after_ms: int,
        job_id: str,
        details: dict[str, typing.Any],
    ) -> None:
        super().__init__(
            message,
            ran=Ran.NO,
            retry_after_ms=retry_after_ms,
            job_id=job_id,
        )
        self.details = details


class Unschedulable(BasilspindleError):
    """Report that no worker is able to run a task of the job."""

    kind = 'unschedulable'
    status = 422


class DeadlineExceeded(BasilspindleError):
    """Report that the time limit has passed."""

    kind = 'deadline_exceeded'
    status = 504
    ran = Ran.UNKNOWN


class CallerGone(BasilspindleError):
    """Report that the caller disconnected and cannot read the response."""

    kind = 'caller_gone'
    status = 499
    ran = Ran.UNKNOWN


class OutcomeUnknown(BasilspindleError):
    """Report that the work may or may not have been run."""

    kind = 'outcome_unknown'
    status = 504
    ran = Ran.UNKNOWN


class LogError(BasilspindleError):
    """Base of the errors of the log service."""

    kind = 'log_error'
    status = 503


class LogUnavailable(LogError):
    """Report that a call to the log service certainly had no effect."""

    kind = 'log_unavailable'


class LogOutcomeUnknown(LogError):
    """Report that an append was sent but its outcome is unknown."""

    kind = 'log_outcome_unknown'
    ran = Ran.UNKNOWN


class LogTrimmed(LogError):
    """Report a read below the first offset that the log still holds."""

    kind = 'log_trimmed'

    def __init__(self, message: str, *, first_offset: int) -> None:
        super().__init__(message)
        self.first_offset = first_offset


class ConfigurationDiverged(BasilspindleError):
    """Report a change of the configuration that does not fit its base."""

    kind = 'configuration_diverged'
    status = 503


class PeerError(BasilspindleError):
    """Base of the errors of a call to another daemon."""

    kind = 'peer_error'
    status = 503


class PeerUnavailable(PeerError):
    """Report that a call certainly did not reach the other daemon."""

    kind = 'peer_unavailable'


class PeerOutcomeUnknown(PeerError):
    """Report that a call was sent but no reply arrived."""

    kind = 'peer_outcome_unknown'
    ran = Ran.UNKNOWN


class NotOwner(PeerError):
    """Refuse because this daemon does not own the partition."""

    kind = 'not_owner'


class Deposed(PeerError):
    """Report that another daemon owns the partition or leads the cell."""

    kind = 'deposed'


class Fenced(PeerError):
    """Refuse a task start whose partition epoch is out of date."""

    kind = 'fenced'


class DaemonUnreachable(BasilspindleError):
    """Report that no daemon accepted a connection: nothing was sent."""

    kind = 'daemon_unreachable'
    status = 503


class PlacementExpired(PeerError):
    """Refuse a placement that is too old or meant for an earlier process."""

    kind = 'placement_expired'


class StaleIncarnation(PeerError):
    """Refuse a heartbeat of a process that has been replaced."""

    kind = 'stale_incarnation'


class VmListUnavailable(BasilspindleError):
    """Report that the VM list did not answer."""

    kind = 'vm_list_unavailable'
    status = 503


class WorkerError(BasilspindleError):
    """Base of the errors of a call to a worker."""

    kind = 'worker_error'
    status = 503


class WorkerRefused(WorkerError):
    """Report that a worker refused to start a task: it was not run."""

    kind = 'worker_refused'


class StaleEpoch(WorkerRefused):
    """Report a refusal because the lease epoch is not the current one."""

    kind = 'stale_epoch'


class LeaseHeld(WorkerRefused):
    """Report that another daemon holds the worker's placement lease."""

    kind = 'lease_held'

    def __init__(self, message: str, *, holder: str, remaining_ms: int):
        super().__init__(message, retry_after_ms=remaining_ms)
        self.holder = holder
        self.remaining_ms = remaining_ms


class WorkerReplaced(WorkerError):
    """Report that a different worker process answers at the address."""

    kind = 'worker_replaced'


class WorkerUnavailable(WorkerError):
    """Report that a call certainly did not reach the worker."""

    kind = 'worker_unavailable'


class WorkerOutcomeUnknown(WorkerError):
    """Report that a call was sent to a worker but no reply arrived."""

    kind = 'worker_outcome_unknown'
    ran = Ran.UNKNOWN


def _errors_by_kind(cls: type[BasilspindleError]) -> dict[str, type]:
    found = {cls.kind: cls}
    for child in cls.__subclasses__():
        found.update(_errors_by_kind(child))
    return found


def build(
    kind: str,
    message: str,
    ran: Ran,
    retry_after_ms: int = 0,
    job_id: str = '',
) -> BasilspindleError:
    """Recreate an error that another process reported.

    An unknown kind becomes a ``BasilspindleError``.
    """
    cls = _errors_by_kind(BasilspindleError).get(kind, BasilspindleError)
    error = cls.__new__(cls)
    BasilspindleError.__init__(
        error,
        message,
        ran=ran,
        retry_after_ms=retry_after_ms,
        job_id=job_id,
    )
    return error


def restate(
    error: BasilspindleError, ran: Ran, job_id: str
) -> BasilspindleError:
    """Return a copy of an error for one caller.

    The same instance may be raised to others, as by a batch that fails.
    """
    copy = type(error).__new__(type(error), error.message)
    copy.__dict__.update(error.__dict__)
    copy.ran = ran
    copy.job_id = job_id
    return copy
