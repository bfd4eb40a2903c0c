"""Define the resource limit of a workspace."""

import msgspec

from basilspindle.config import task_resources


class Limit(msgspec.Struct, frozen=True, kw_only=True):
    """Maximum in use by running tasks of a workspace; None is unlimited."""

    cpu_millicores: task_resources.Amount | None = None
    memory_mb: task_resources.Amount | None = None
    accelerators: task_resources.Amount | None = None
    tasks: task_resources.Amount | None = None
