"""Select the next tasks during one pop of the fair queue."""

import collections.abc

from basilspindle import model
from basilspindle.policy import pick
from basilspindle.policy import queue_entry
from basilspindle.policy import reservation as reservation_module
from basilspindle.policy import workspace_state

IsBlocked = collections.abc.Callable[[model.Resources], bool]
RoomFor = collections.abc.Callable[[model.Resources], int]


class SchedulingPass:
    """State of one pop: the picks so far and what is known about room.

    Room only shrinks during a pop, so a shape that was found blocked stays
    blocked until its end.
    """

    __slots__ = (
        'now_ms',
        'remaining_tasks',
        'picks',
        'reservation',
        '_is_blocked',
        '_room_for',
        '_shapes_without_room',
        '_room_by_shape',
    )

    def __init__(
        self,
        now_ms: int,
        max_tasks: int,
        is_blocked: IsBlocked,
        room_for: RoomFor | None,
        reservation: reservation_module.Reservation | None,
    ) -> None:
        self.now_ms = now_ms
        self.remaining_tasks = max_tasks
        self.picks: list[pick.Pick] = []
        self.reservation = reservation
        self._is_blocked = is_blocked
        self._room_for = room_for
        self._shapes_without_room: set[model.Resources] = set()
        self._room_by_shape: dict[model.Resources, int] = {}

    def next_entry(
        self, workspace: workspace_state.WorkspaceState, priority: int
    ) -> queue_entry.QueueEntry | None:
        """Return the oldest entry of a workspace that may start, or None."""
        heads = []
        for key, shape_queue in list(workspace.shape_queues[priority].items()):
            entry = shape_queue.head()
            if entry is None:
                del workspace.shape_queues[priority][key]
            else:
                heads.append((entry.sequence, entry))
        heads.sort()
        for _, entry in heads:
            if self.admits(workspace, entry):
                return entry
        return None

    def admits(
        self,
        workspace: workspace_state.WorkspaceState,
        entry: queue_entry.QueueEntry,
    ) -> bool:
        """Tell whether the next task of an entry, or its gang, may start."""
        count = entry.gang_tasks or 1
        return (
            entry.not_before_ms <= self.now_ms
            and entry.resources not in self._shapes_without_room
            and workspace.allows(entry.amounts, count)
            and self._respects_reservation(entry)
            and self._has_room(entry)
        )

    def _respects_reservation(self, entry: queue_entry.QueueEntry) -> bool:
        reservation = self.reservation
        if reservation is None or entry is reservation.entry:
            return True
        if entry.priority < reservation.entry.priority:
            return True
        return not entry.gang_tasks and reservation.admits(entry, self.now_ms)

    def _has_room(self, entry: queue_entry.QueueEntry) -> bool:
        if self._is_blocked(entry.resources):
            self._shapes_without_room.add(entry.resources)
            return False
        if not entry.gang_tasks or self._room_for is None:
            return True
        room = self._room_by_shape.get(entry.resources)
        if room is None:
            room = self._room_by_shape[entry.resources] = self._room_for(
                entry.resources
            )
        return room >= entry.gang_tasks

    def add_pick(self, entry: queue_entry.QueueEntry, count: int) -> None:
        """Add tasks of an entry to the picks."""
        self.remaining_tasks -= count
        reservation = self.reservation
        if reservation is not None and entry is reservation.entry:
            self.reservation = None
        elif reservation is not None:
            reservation.use_spare(entry, count)
        last = self.picks[-1] if self.picks else None
        if last is not None and last.job_id == entry.job_id:
            self.picks.pop()
            count += last.count
        self.picks.append(
            pick.Pick(
                job_id=entry.job_id,
                workspace=entry.workspace,
                count=count,
                gang=entry.gang_tasks > 0,
                resources=entry.resources,
                priority=entry.priority,
            )
        )
