"""Bound what a workspace may have running."""

import msgspec

from basilspindle.config import task_resources


class Limit(msgspec.Struct, frozen=True, kw_only=True):
    """Most that a workspace may have running at once; None is no limit."""

    cpu_millicores: task_resources.Amount | None = None
    memory_mb: task_resources.Amount | None = None
    accelerators: task_resources.Amount | None = None
    tasks: task_resources.Amount | None = None
