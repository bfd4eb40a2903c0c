"""Stop running tasks."""

import msgspec


class Stop(msgspec.Struct, frozen=True, kw_only=True):
    """Stop tasks, named by (task id, attempt); ends are reported."""

    partition: int
    partition_epoch: int
    tasks: list[tuple[str, int]]


class Stopping(msgspec.Struct, frozen=True, kw_only=True):
    """Confirm; ``unknown_tasks`` are not on a worker of the replier."""

    unknown_tasks: list[tuple[str, int]]
