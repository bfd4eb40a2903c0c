"""Estimate the free capacity of each holder between its heartbeats."""

import collections.abc

from basilspindle import model
from basilspindle.peer import messages

REFUSAL_MS = 300


class CapacityTracker:
    """Free capacity by holder: as last reported, less later assignments.

    A shape is the resources of one task. A holder that refused a shape is
    not offered it again until it reports its capacity or the refusal
    expires.
    """

    __slots__ = (
        '_rooms',
        '_stamps',
        '_refused_until_ms',
        '_max_worker',
        '_now_ms',
    )

    def __init__(self) -> None:
        self._rooms: dict[str, messages.Room] = {}
        self._stamps: dict[str, int] = {}
        self._refused_until_ms: dict[str, dict[model.Resources, int]] = {}
        self._now_ms = 0
        self._max_worker = model.Resources()

    def set_time(self, now_ms: int) -> None:
        """Set the current time, against which refusals expire."""
        self._now_ms = now_ms

    def update(self, holder_id: str, room: messages.Room, stamp: int) -> None:
        """Store a reported capacity, unless its ``stamp`` is known."""
        if self._stamps.get(holder_id) == stamp:
            return
        self._stamps[holder_id] = stamp
        self._rooms[holder_id] = room
        self._max_worker = self._max_worker.elementwise_max(room.largest_total)
        self._refused_until_ms.pop(holder_id, None)

    def retain(self, holder_ids: collections.abc.Collection[str]) -> None:
        """Remove all holders except the given ones."""
        for holder_id in [
            name for name in self._rooms if name not in holder_ids
        ]:
            del self._rooms[holder_id]
            self._stamps.pop(holder_id, None)
            self._refused_until_ms.pop(holder_id, None)

    def choose_holder(self, need: model.Resources) -> str:
        """Return the holder with the most free slots that fits, or ''."""
        best_holder_id = ''
        most_slots = 0
        for holder_id, room in self._rooms.items():
            if self._fits(holder_id, need) and room.free.slots > most_slots:
                best_holder_id = holder_id
                most_slots = room.free.slots
        return best_holder_id

    def reserve(self, holder_id: str, need: model.Resources) -> None:
        """Subtract a task that is assigned to a holder."""
        self._change_free(holder_id, model.Resources().subtract(need))

    def release(self, holder_id: str, need: model.Resources) -> None:
        """Add back a task that ended or was not placed."""
        self._change_free(holder_id, need)
        refusals = self._refused_until_ms.get(holder_id)
        if refusals:
            refusals.pop(need, None)

    def mark_refused(self, holder_id: str, need: model.Resources) -> None:
        """Stop offering a shape to a holder for a while.

        It is offered again when the holder reports its capacity, since a
        refusal for lack of capacity holds until then, or after
        ``REFUSAL_MS``, since other reasons can pass without a change of
        capacity.
        """
        refusals = self._refused_until_ms.setdefault(holder_id, {})
        refusals[need] = self._now_ms + REFUSAL_MS

    def fits_nowhere(self, need: model.Resources) -> bool:
        """Tell whether no holder has capacity for a shape."""
        return not any(
            self._fits(holder_id, need) for holder_id in self._rooms
        )

    def count_fitting(self, need: model.Resources) -> int:
        """Return how many tasks of a shape fit on all holders together."""
        return sum(
            _tasks_fitting(need, room.free)
            for holder_id, room in self._rooms.items()
            if self._fits(holder_id, need)
        )

    def total(self) -> model.Resources:
        """Return the total resources of all held workers."""
        total = model.Resources()
        for room in self._rooms.values():
            total = total.add(room.total)
        return total

    def max_worker_resources(self) -> model.Resources:
        """Return the largest amount of each resource seen on any worker.

        The amounts never decrease, since a worker is not reported for a
        while when its holder is replaced.
        """
        return self._max_worker

    def rooms(self) -> dict[str, messages.Room]:
        """Return the estimated free capacity by holder."""
        return dict(self._rooms)

    def _fits(self, holder_id: str, need: model.Resources) -> bool:
        room = self._rooms[holder_id]
        return (
            need.fits(room.free)
            and need.fits(room.largest)
            and not self._is_refused(holder_id, need)
        )

    def _is_refused(self, holder_id: str, need: model.Resources) -> bool:
        until_ms = self._refused_until_ms.get(holder_id, {}).get(need, 0)
        return self._now_ms < until_ms

    def _change_free(self, holder_id: str, change: model.Resources) -> None:
        room = self._rooms.get(holder_id)
        if room is None:
            return
        self._rooms[holder_id] = messages.Room(
            workers=room.workers,
            free=room.free.add(change),
            largest=room.largest,
            total=room.total,
            largest_total=room.largest_total,
        )


def _tasks_fitting(need: model.Resources, free: model.Resources) -> int:
    pairs = (
        (need.cpu_millicores, free.cpu_millicores),
        (need.memory_mb, free.memory_mb),
        (need.accelerators, free.accelerators),
        (need.slots, free.slots),
    )
    return min(
        (available // needed for needed, available in pairs if needed),
        default=0,
    )
