"""Define the JSON body of a submission."""

import msgspec


class ResourceRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resources of one task; omitted amounts default to the kind's."""

    cpu_millicores: int | None = None
    memory_mb: int | None = None
    accelerators: int | None = None


class Submission(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Body of ``POST /v1/requests`` and ``POST /v1/jobs``.

    ``input`` is any JSON value and is passed to every task. ``idempotent``
    can turn off the idempotence of the kind, but cannot turn it on.
    """

    kind: str
    queue: str = 'default'
    tasks: int = 1
    input: msgspec.Raw = msgspec.Raw(b'null')
    resources: ResourceRequest = ResourceRequest()
    run_time_ms: int | None = None
    deadline_ms: int | None = None
    idempotent: bool | None = None
