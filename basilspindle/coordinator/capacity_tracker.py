"""Estimate the free capacity of each holder between its heartbeats."""

import collections.abc

from basilspindle import model
from basilspindle.peer import messages

REFUSAL_MS = 300


class CapacityTracker:
    """Free capacity by member, less what was sent since it was told.

    A member that refused a shape is not asked for it again before it
    tells its capacity anew.
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
        """Set the time by which refusals lapse."""
        self._now_ms = now_ms

    def update(self, holder_id: str, room: messages.Room, stamp: int) -> None:
        """Take a member's own figures; ``stamp`` tells new from known."""
        if self._stamps.get(holder_id) == stamp:
            return
        self._stamps[holder_id] = stamp
        self._rooms[holder_id] = room
        self._max_worker = self._max_worker.largest(room.largest_total)
        self._refused_until_ms.pop(holder_id, None)

    def retain(self, holder_ids: collections.abc.Collection[str]) -> None:
        """Forget members that must not get work."""
        for holder_id in [h for h in self._rooms if h not in holder_ids]:
            del self._rooms[holder_id]
            self._stamps.pop(holder_id, None)
            self._refused_until_ms.pop(holder_id, None)

    def choose_holder(self, need: model.Resources) -> str:
        """Return the fitting member with the most free slots, or ''."""
        best = ''
        most = 0
        for holder_id, room in self._rooms.items():
            if self._fits(holder_id, need) and room.free.slots > most:
                best = holder_id
                most = room.free.slots
        return best

    def reserve(self, holder_id: str, need: model.Resources) -> None:
        """Count a task that is being sent to a member."""
        self._change_free(holder_id, model.Resources().subtract(need))

    def release(self, holder_id: str, need: model.Resources) -> None:
        """Count a task that ended or was not placed at a member."""
        self._change_free(holder_id, need)
        refused = self._refused_until_ms.get(holder_id)
        if refused:
            refused.pop(need, None)

    def mark_refused(self, holder_id: str, need: model.Resources) -> None:
        """Do not ask a holder for a shape for a while.

        It is asked again when it tells its capacity anew, since a refusal
        for lack of room stands until then, or after ``REFUSAL_MS``, since
        other reasons pass without a change of its capacity.
        """
        refused = self._refused_until_ms.setdefault(holder_id, {})
        refused[need] = self._now_ms + REFUSAL_MS

    def fits_nowhere(self, need: model.Resources) -> bool:
        """Tell whether no member has room for a shape."""
        return not any(self._fits(h, need) for h in self._rooms)

    def count_fitting(self, need: model.Resources) -> int:
        """Return how many tasks of a shape fit all members together."""
        return sum(
            _tasks_fitting(need, room.free)
            for holder_id, room in self._rooms.items()
            if self._fits(holder_id, need)
        )

    def total(self) -> model.Resources:
        """Return the sum of all workers held."""
        total = model.Resources()
        for room in self._rooms.values():
            total = total.add(room.total)
        return total

    def max_worker_resources(self) -> model.Resources:
        """Return the largest amounts that any one worker has had.

        A worker whose holder is being replaced is not told for a while,
        so the figure never falls.
        """
        return self._max_worker

    def rooms(self) -> dict[str, messages.Room]:
        """Return the estimated room by member."""
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
    return min((have // want for want, have in pairs if want), default=0)
