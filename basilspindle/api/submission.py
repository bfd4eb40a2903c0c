"""Describe the body of a submission."""

import msgspec


class ResourceRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resources of one task; what is left out is taken from the kind."""

    cpu_millicores: int | None = None
    memory_mb: int | None = None
    accelerators: int | None = None


class Submission(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Body of ``POST /v1/requests`` and ``POST /v1/jobs``.

    ``input`` is any JSON and is given to every task. Times are in ms.
    ``idempotent`` may only be false, which makes a kind stricter.
    """

    kind: str
    queue: str = 'default'
    tasks: int = 1
    input: msgspec.Raw = msgspec.Raw(b'null')
    resources: ResourceRequest = ResourceRequest()
    run_time_ms: int | None = None
    deadline_ms: int | None = None
    idempotent: bool | None = None
