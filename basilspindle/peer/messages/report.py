"""Report task ends and running tasks to the owner of a partition."""

import msgspec

from basilspindle import model


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Task ends, and tasks that were running on newly leased workers.

    ``holder_id`` is the reporting holder as ``member id@incarnation``.
    """

    holder_id: str
    partition: int
    ends: list[model.TaskEnd]
    found: list[model.RunningTask] = []


class Reported(msgspec.Struct, frozen=True, kw_only=True):
    """Confirm that the ends are recorded; the holder may forget them."""
