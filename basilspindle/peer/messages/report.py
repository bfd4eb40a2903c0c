"""Report ends of tasks to the owner of their partition."""

import msgspec

from basilspindle import model


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Ends of tasks, and tasks found on newly leased workers.

    ``holder_id`` is the holder that reports, as ``member id@incarnation``.
    """

    holder_id: str
    partition: int
    ends: list[model.TaskEnd]
    found: list[model.RunningTask] = []


class Reported(msgspec.Struct, frozen=True, kw_only=True):
    """Confirm that the ends are recorded and may be released."""
