"""Reserve room for a waiting gang while smaller tasks are backfilled."""

import collections.abc

from basilspindle.indexing import amounts as amounts_module
from basilspindle.policy import expected_ends
from basilspindle.policy import queue_entry


class Reservation:
    """Reservation for one waiting gang, in units of tasks of its shape.

    ``start_ms`` is when running tasks are expected to have freed enough room
    for the gang, 0 if they never do. ``spare_tasks`` is the room that is left
    alongside the gang at that time. ``ready`` tells that the gang fits now.
    """

    __slots__ = ('entry', 'since_ms', 'spare_tasks', 'start_ms', 'ready')

    def __init__(self, entry: queue_entry.QueueEntry, now_ms: int) -> None:
        self.entry = entry
        self.since_ms = now_ms
        self.spare_tasks = 0
        self.start_ms = 0
        self.ready = False

    def update(self, room: int, ends: expected_ends.ExpectedEnds) -> None:
        """Update the estimates; ``room`` tasks of the gang's shape fit now."""
        missing = self.entry.gang_tasks - room
        self.ready = missing <= 0
        self.start_ms = freed_tasks = 0
        if not self.ready:
            self.start_ms, freed_tasks = ends.room_at(
                self.entry.amounts, missing
            )
        self.spare_tasks = max(0, freed_tasks - missing)

    def admits(self, entry: queue_entry.QueueEntry, now_ms: int) -> bool:
        """Tell whether a single task can be backfilled.

        It does not delay the gang if it fits alongside the gang or ends before
        the gang is expected to start.
        """
        if self.displaced_tasks(entry.amounts) <= self.spare_tasks:
            return True
        run_time_ms = entry.run_time_ms
        return 0 < run_time_ms and now_ms + run_time_ms <= self.start_ms

    def use_spare(self, entry: queue_entry.QueueEntry, count: int) -> None:
        """Subtract tasks from the room alongside the gang."""
        displaced = self.displaced_tasks(entry.amounts) * count
        self.spare_tasks = max(0, self.spare_tasks - displaced)

    def displaced_tasks(self, amounts: collections.abc.Sequence[int]) -> int:
        """Return how many tasks of the gang another task may displace."""
        return amounts_module.displaced_tasks(self.entry.amounts, amounts)
