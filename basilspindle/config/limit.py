"""Bound what a workspace may have running."""

import msgspec

from basilspindle.config import amounts


class Limit(msgspec.Struct, frozen=True, kw_only=True):
    """Most that a workspace may have running at once; None is no limit."""

    cpu_millicores: amounts.Amount | None = None
    memory_mb: amounts.Amount | None = None
    accelerators: amounts.Amount | None = None
    tasks: amounts.Amount | None = None
