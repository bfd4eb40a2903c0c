"""Decide whether a caller may submit, and build the job."""

import hashlib
import secrets

import msgspec

from basilspindle.api import submission as submission_module
from basilspindle import clock as clock_module
from basilspindle import config
from basilspindle import errors
from basilspindle import model
from basilspindle import settings as settings_package

_MAX_MS = 366 * 24 * 3_600_000
_MAX_KEY_CHARS = 200
# Larger than any worker, and small enough for every format on the way.
_MAX_AMOUNT = 1_000_000_000
_DIGEST_BYTES = 16
_BEARER = 'Bearer '

_decoder = msgspec.json.Decoder(submission_module.Submission)


class Admission:
    """Check keys, workspaces, queues and bounds against one configuration.

    A configuration is used only while ``store`` is assured that it is the
    latest one.
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

    def identify(self, authorization: str) -> config.Identity:
        """Return whom a key speaks for.

        Raises ``ConfigurationStale`` and ``KeyInvalid``.
        """
        return self._store.authenticate(_key(authorization))

    def identify_operator(self, authorization: str) -> config.Identity:
        """Return the operator that a key speaks for.

        Raises ``KeyInvalid``, ``Forbidden`` and ``ConfigurationStale``.
        """
        identity = self.identify(authorization)
        if identity.role != 'operator':
            raise errors.Forbidden(
                "the key is a caller's; use an operator key"
            )
        return identity

    def workspace_of(self, authorization: str, queue: str) -> tuple[str, str]:
        """Return (workspace, key id) for work on a queue.

        The key id is '' on an open queue without a key. Raises
        ``KeyInvalid``, ``Forbidden`` and ``ConfigurationStale``.
        """
        self._store.check_fresh()
        settings = self._store.current.document.queues.get(queue)
        if settings is not None and settings.open and not authorization:
            return settings.workspace or '', ''
        identity = self.identify(authorization)
        if not identity.workspace:
            raise errors.Forbidden(
                'an operator key does not submit work; use a key of the '
                'workspace'
            )
        if settings is None or settings.open or not settings.workspace:
            return identity.workspace, identity.key_id
        if settings.workspace != identity.workspace:
            raise errors.Forbidden(
                f'queue {queue!r} is not open to workspace '
                f'{identity.workspace!r}; '
                'use another queue'
            )
        return identity.workspace, identity.key_id

    def build(
        self,
        body: bytes,
        authorization: str,
        idempotency_key: str,
        *,
        waits: bool,
    ) -> model.Job:
        """Build the job of a submission.

        ``waits`` tells whether the caller holds the connection. Raises
        ``BadRequest``, ``TooLarge``, ``NotFound`` and the errors of
        ``workspace_of``.
        """
        request = _decode(body)
        workspace, key_id = self.workspace_of(authorization, request.queue)
        kind = self._kind(request, workspace)
        idempotent = kind.idempotent and request.idempotent is not False
        _check(request, kind, idempotency_key, self._limits)
        _check_json(request.input)
        durable = not waits or not idempotent or bool(idempotency_key)
        return model.Job(
            job_id=_job_id(workspace, key_id, request.queue, idempotency_key),
            workspace=workspace,
            queue=request.queue,
            kind=request.kind,
            priority=kind.model_priority(),
            tasks=request.tasks,
            resources=_resources(request.resources, kind.model_resources()),
            run_time_ms=_first(request.run_time_ms, kind.run_time_ms),
            deadline_ms=_first(request.deadline_ms, kind.deadline_ms),
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

    def _kind(
        self, request: submission_module.Submission, workspace: str
    ) -> config.Kind:
        document = self._store.current.document
        settings = document.workspaces.get(workspace)
        allowed = settings.kinds if settings is not None else []
        kind = document.kinds.get(request.kind)
        if kind is None:
            raise errors.NotFound(
                f'there is no kind {request.kind!r}; the workspace may submit '
                f'{", ".join(sorted(allowed)) or "none"}'
            )
        if request.kind not in allowed:
            raise errors.Forbidden(
                f'workspace {workspace!r} may not submit kind '
                f'{request.kind!r}; ask '
                'an operator to add it to the workspace'
            )
        queue = document.queues.get(request.queue)
        if queue is None and request.queue != _DEFAULT_QUEUE:
            raise errors.NotFound(
                f'there is no queue {request.queue!r}; use '
                f'{_DEFAULT_QUEUE!r} or ask an operator for the name'
            )
        kinds = queue.kinds if queue is not None else None
        if kinds is not None and request.kind not in kinds:
            raise errors.Forbidden(
                f'queue {request.queue!r} does not take kind '
                f'{request.kind!r}; use another queue'
            )
        return kind


_DEFAULT_QUEUE = 'default'


def _key(authorization: str) -> str:
    if not authorization.startswith(_BEARER):
        raise errors.KeyInvalid(
            'the request has no key; send the header '
            '"Authorization: Bearer <key>"'
        )
    return authorization.removeprefix(_BEARER).strip()


def _decode(body: bytes) -> submission_module.Submission:
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.BadRequest(
            f'the body is not a valid submission: {error}; see '
            'docs/callers.md for its fields'
        ) from None


def _check(
    request: submission_module.Submission,
    kind: config.Kind,
    idempotency_key: str,
    limits: settings_package.RequestLimits,
) -> None:
    if not 1 <= request.tasks <= limits.max_tasks:
        raise errors.BadRequest(f'tasks must be from 1 to {limits.max_tasks}')
    if len(request.input) > limits.max_input_bytes:
        raise errors.TooLarge(
            f'input has {len(request.input)} bytes; the most is '
            f'{limits.max_input_bytes}'
        )
    if len(idempotency_key) > _MAX_KEY_CHARS:
        raise errors.BadRequest(
            f'the idempotency key is longer than {_MAX_KEY_CHARS} characters'
        )
    if request.idempotent and not kind.idempotent:
        raise errors.BadRequest(
            f'kind {request.kind!r} is not idempotent and a request cannot '
            'make it so; leave "idempotent" out'
        )
    if request.run_time_ms == 0:
        raise errors.BadRequest('run_time_ms must be 1 or more')
    for name in ('run_time_ms', 'deadline_ms'):
        value = getattr(request, name)
        if value is not None and not 0 <= value <= _MAX_MS:
            raise errors.BadRequest(f'{name} must be from 0 to {_MAX_MS}')
    for name in request.resources.__struct_fields__:
        value = getattr(request.resources, name)
        if value is not None and not 0 <= value <= _MAX_AMOUNT:
            raise errors.BadRequest(
                f'resources.{name} must be from 0 to {_MAX_AMOUNT}'
            )


def _check_json(value: msgspec.Raw) -> None:
    # The decoder of the submission only looks for the end of the input.
    # What a worker cannot decode would count as a failure of the worker.
    try:
        msgspec.json.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.BadRequest(
            f'input is not valid JSON: {error}; correct it'
        ) from None


def _resources(
    request: submission_module.ResourceRequest, need: model.Resources
) -> model.Resources:
    return model.Resources(
        _first(request.cpu_millicores, need.cpu_millicores),
        _first(request.memory_mb, need.memory_mb),
        _first(request.accelerators, need.accelerators),
        need.slots,
    )


def _first(value: int | None, default: int) -> int:
    return default if value is None else value


def _job_id(
    workspace: str, key_id: str, queue: str, idempotency_key: str
) -> str:
    """Return the same id for the same idempotency key of a workspace.

    Without a key the id is random. On an open queue the callers are not
    told apart, so their keys are kept apart from those of the workspace.
    """
    if not idempotency_key:
        return f'r{secrets.token_hex(_DIGEST_BYTES)}'
    scope = workspace if key_id else f'{workspace}/{queue}/open'
    text = f'{scope}\0{idempotency_key}'.encode()
    digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES)
    return f'k{digest.hexdigest()}'
