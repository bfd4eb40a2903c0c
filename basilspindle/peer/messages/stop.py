"""Stop running tasks."""

import msgspec


class Stop(msgspec.Struct, frozen=True, kw_only=True):
    """Stop tasks, identified by (task id, attempt).

    Their ends are sent in a ``Report``.
    """

    partition: int
    partition_epoch: int
    tasks: list[tuple[str, int]]


class Stopping(msgspec.Struct, frozen=True, kw_only=True):
    """Confirm the request.

    ``unknown_tasks`` are not on any worker of the daemon that replies.
    """

    unknown_tasks: list[tuple[str, int]]
