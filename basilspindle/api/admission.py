"""Authorize callers, validate submissions and build jobs."""

import hashlib
import secrets

import msgspec

from basilspindle.api import submission as submission_module
from basilspindle import clock as clock_module
from basilspindle import config
from basilspindle import errors
from basilspindle import model
from basilspindle import settings as settings_package

_MAX_DURATION_MS = 366 * 24 * 3_600_000
_MAX_IDEMPOTENCY_KEY_CHARS = 200
# More than any worker has, and still an integer that every encoding holds.
_MAX_RESOURCE_AMOUNT = 1_000_000_000
_DIGEST_BYTES = 16
_BEARER_PREFIX = 'Bearer '

_decoder = msgspec.json.Decoder(submission_module.Submission)


class Admission:
    """Authorize and validate requests against the configuration in force.

    Requests are refused with ``ConfigurationStale`` while ``store`` cannot
    confirm that its configuration is the latest one.
    """

    __slots__ = ('_clock', '_limits', '_store')

    def __init__(
        self,
        clock: clock_module.Clock,
        store: config.ConfigStore,
        limits: settings_package.RequestLimits,
    ) -> None:
        self._clock = clock
        self._store = store
        self._limits = limits

    def authenticate(self, authorization: str) -> config.Identity:
        """Return the identity that a key belongs to.

        Raises ``ConfigurationStale`` and ``KeyInvalid``.
        """
        return self._store.authenticate(_bearer_key(authorization))

    def authenticate_operator(self, authorization: str) -> config.Identity:
        """Return the identity of an operator key.

        Raises ``KeyInvalid``, ``Forbidden`` and ``ConfigurationStale``.
        """
        identity = self.authenticate(authorization)
        if identity.role != 'operator':
            raise errors.Forbidden(
                'the key is a caller key; use an operator key'
            )
        return identity

    def authorize_queue(
        self, authorization: str, queue: str
    ) -> tuple[str, str]:
        """Return (workspace, key id) of a caller that uses a queue.

        The key id is '' for a request without a key to an open queue.
        Raises ``KeyInvalid``, ``Forbidden`` and ``ConfigurationStale``.
        """
        self._store.check_fresh()
        queue_config = self._store.current.document.queues.get(queue)
        if (
            queue_config is not None
            and queue_config.open
            and not authorization
        ):
            return queue_config.workspace or '', ''
        identity = self.authenticate(authorization)
        if not identity.workspace:
            raise errors.Forbidden(
                'an operator key cannot submit or read jobs; use a caller '
                'key of the workspace'
            )
        if (
            queue_config is None
            or queue_config.open
            or not queue_config.workspace
        ):
            return identity.workspace, identity.key_id
        if queue_config.workspace != identity.workspace:
            raise errors.Forbidden(
                f'queue {queue!r} belongs to another workspace than '
                f'{identity.workspace!r}; use another queue'
            )
        return identity.workspace, identity.key_id

    def build_job(
        self,
        body: bytes,
        authorization: str,
        idempotency_key: str,
        *,
        caller_waits: bool,
    ) -> model.Job:
        """Authorize and validate a submission and return its job.

        ``caller_waits`` is true if the caller keeps its connection open
        for the result. Raises ``BadRequest``, ``TooLarge``, ``NotFound``
        and the errors of ``authorize_queue``.
        """
        request = _decode_submission(body)
        workspace, key_id = self.authorize_queue(authorization, request.queue)
        kind = self._authorize_kind(request, workspace)
        idempotent = kind.idempotent and request.idempotent is not False
        _validate(request, kind, idempotency_key, self._limits)
        _validate_input(request.input)
        durable = not caller_waits or not idempotent or bool(idempotency_key)
        return model.Job(
            job_id=_make_job_id(
                workspace, key_id, request.queue, idempotency_key
            ),
            workspace=workspace,
            queue=request.queue,
            kind=request.kind,
            priority=kind.model_priority(),
            tasks=request.tasks,
            resources=_task_resources(
                request.resources, kind.model_resources()
            ),
            run_time_ms=_value_or_default(
                request.run_time_ms, kind.run_time_ms
            ),
            deadline_ms=_value_or_default(
                request.deadline_ms, kind.deadline_ms
            ),
            gang=kind.gang and request.tasks > 1,
            service=kind.service,
            idempotent=idempotent,
            durable=durable,
            max_attempts=kind.max_attempts if idempotent else 1,
            input=bytes(request.input),
            key_id=key_id,
            body_hash=hashlib.blake2b(
                body, digest_size=_DIGEST_BYTES
            ).hexdigest(),
            submitted_wall_ms=self._clock.wall_ms(),
        )

    def _authorize_kind(
        self, request: submission_module.Submission, workspace: str
    ) -> config.Kind:
        document = self._store.current.document
        workspace_config = document.workspaces.get(workspace)
        allowed = (
            workspace_config.kinds if workspace_config is not None else []
        )
        kind = document.kinds.get(request.kind)
        if kind is None:
            raise errors.NotFound(
                f'kind {request.kind!r} does not exist; the kinds that the '
                'workspace may submit are: '
                f'{", ".join(sorted(allowed)) or "none"}'
            )
        if request.kind not in allowed:
            raise errors.Forbidden(
                f'workspace {workspace!r} may not submit kind '
                f'{request.kind!r}; ask an operator to add the kind to the '
                'workspace'
            )
        queue = document.queues.get(request.queue)
        if queue is None and request.queue != _DEFAULT_QUEUE:
            raise errors.NotFound(
                f'queue {request.queue!r} does not exist; use '
                f'{_DEFAULT_QUEUE!r} or ask an operator for the queue name'
            )
        kinds = queue.kinds if queue is not None else None
        if kinds is not None and request.kind not in kinds:
            raise errors.Forbidden(
                f'queue {request.queue!r} does not accept kind '
                f'{request.kind!r}; use another queue'
            )
        return kind


_DEFAULT_QUEUE = 'default'


def _bearer_key(authorization: str) -> str:
    if not authorization.startswith(_BEARER_PREFIX):
        raise errors.KeyInvalid(
            'the request has no API key; send the header '
            '"Authorization: Bearer <key>"'
        )
    return authorization.removeprefix(_BEARER_PREFIX).strip()


def _decode_submission(body: bytes) -> submission_module.Submission:
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.BadRequest(
            f'the request body is not a valid submission: {error}; see '
            'docs/callers.md for the fields'
        ) from None


def _validate(
    request: submission_module.Submission,
    kind: config.Kind,
    idempotency_key: str,
    limits: settings_package.RequestLimits,
) -> None:
    if not 1 <= request.tasks <= limits.max_tasks:
        raise errors.BadRequest(f'tasks must be from 1 to {limits.max_tasks}')
    if len(request.input) > limits.max_input_bytes:
        raise errors.TooLarge(
            f'input has {len(request.input)} bytes, but the limit is '
            f'{limits.max_input_bytes} bytes; send a smaller input'
        )
    if len(idempotency_key) > _MAX_IDEMPOTENCY_KEY_CHARS:
        raise errors.BadRequest(
            'the idempotency key is longer than '
            f'{_MAX_IDEMPOTENCY_KEY_CHARS} characters; use a shorter key'
        )
    if request.idempotent and not kind.idempotent:
        raise errors.BadRequest(
            f'kind {request.kind!r} is not idempotent and a request cannot '
            'change that; omit "idempotent" or set it to false'
        )
    if request.run_time_ms == 0:
        raise errors.BadRequest('run_time_ms must be at least 1')
    for name in ('run_time_ms', 'deadline_ms'):
        value = getattr(request, name)
        if value is not None and not 0 <= value <= _MAX_DURATION_MS:
            raise errors.BadRequest(
                f'{name} must be from 0 to {_MAX_DURATION_MS}'
            )
    for name in request.resources.__struct_fields__:
        value = getattr(request.resources, name)
        if value is not None and not 0 <= value <= _MAX_RESOURCE_AMOUNT:
            raise errors.BadRequest(
                f'resources.{name} must be from 0 to {_MAX_RESOURCE_AMOUNT}'
            )


def _validate_input(value: msgspec.Raw) -> None:
    # The submission decoder finds the end of the input but does not validate
    # it. Input that a worker cannot decode would count as a worker failure.
    try:
        msgspec.json.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.BadRequest(
            f'input is not valid JSON: {error}; send valid JSON'
        ) from None


def _task_resources(
    request: submission_module.ResourceRequest, default: model.Resources
) -> model.Resources:
    return model.Resources(
        _value_or_default(request.cpu_millicores, default.cpu_millicores),
        _value_or_default(request.memory_mb, default.memory_mb),
        _value_or_default(request.accelerators, default.accelerators),
        default.slots,
    )


def _value_or_default(value: int | None, default: int) -> int:
    return default if value is None else value


def _make_job_id(
    workspace: str, key_id: str, queue: str, idempotency_key: str
) -> str:
    """Derive the job id from the workspace and the idempotency key.

    Without an idempotency key the id is random. Callers without an API key
    on an open queue cannot be told apart, so their idempotency keys are
    scoped to the queue and never match those of the workspace's own keys.
    """
    if not idempotency_key:
        return f'r{secrets.token_hex(_DIGEST_BYTES)}'
    scope = workspace if key_id else f'{workspace}/{queue}/open'
    text = f'{scope}\0{idempotency_key}'.encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES)
    return f'k{digest.hexdigest()}'
