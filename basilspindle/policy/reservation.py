"""Keep room for the oldest gang while smaller work goes on."""

import collections.abc

from basilspindle.policy import amounts as amounts_module
from basilspindle.policy import expected_ends
from basilspindle.policy import queue_entry


class Reservation:
    """Room kept for one waiting gang, counted in tasks of its shape.

    ``start_ms`` is when the running tasks are expected to have left
    enough, 0 if they never do; ``spare`` is the room beside the gang then.
    """

    __slots__ = ('entry', 'since_ms', 'spare', 'start_ms', 'ready')

    def __init__(self, entry: queue_entry.QueueEntry, now_ms: int) -> None:
        self.entry = entry
        self.since_ms = now_ms
        self.spare = 0
        self.start_ms = 0
        self.ready = False

    def update(self, room: int, ends: expected_ends.ExpectedEnds) -> None:
        """Take in how many tasks of the gang's shape fit now."""
        missing = self.entry.gang_tasks - room
        self.ready = missing <= 0
        self.start_ms = freed = 0
        if not self.ready:
            self.start_ms, freed = ends.when(self.entry.amounts, missing)
        self.spare = max(0, freed - missing)

    def admits(self, entry: queue_entry.QueueEntry, now_ms: int) -> bool:
        """Tell whether a smaller task delays the gang by nothing.

        It does not if it fits beside the gang or ends before the gang is
        expected to start.
        """
        if self.units(entry.amounts) <= self.spare:
            return True
        run_time_ms = entry.run_time_ms
        return 0 < run_time_ms and now_ms + run_time_ms <= self.start_ms

    def take(self, entry: queue_entry.QueueEntry, count: int) -> None:
        """Use room beside the gang."""
        units = self.units(entry.amounts) * count
        self.spare = max(0, self.spare - units)

    def units(self, amounts: collections.abc.Sequence[int]) -> int:
        """Return how many tasks of the gang a task may displace."""
        return amounts_module.displaces(self.entry.amounts, amounts)
