"""Choose the next tasks during one call of the fair queue."""

import collections.abc

from basilspindle import model
from basilspindle.policy import pick
from basilspindle.policy import queue_entry
from basilspindle.policy import reservation as reservation_module
from basilspindle.policy import workspace_state

IsBlocked = collections.abc.Callable[[model.Resources], bool]
RoomFor = collections.abc.Callable[[model.Resources], int]


class SchedulingPass:
    """What one pop has found out and picked so far.

    Room only shrinks during one pop, so a shape found blocked stays so.
    """

    __slots__ = (
        'now_ms',
        'left',
        'picks',
        'reservation',
        '_blocked',
        '_room_for',
        '_full',
        '_rooms',
    )

    def __init__(
        self,
        now_ms: int,
        max_tasks: int,
        blocked: IsBlocked,
        room_for: RoomFor | None,
        reservation: reservation_module.Reservation | None,
    ) -> None:
        self.now_ms = now_ms
        self.left = max_tasks
        self.picks: list[pick.Pick] = []
        self.reservation = reservation
        self._blocked = blocked
        self._room_for = room_for
        self._full: set[model.Resources] = set()
        self._rooms: dict[model.Resources, int] = {}

    def next(
        self, workspace: workspace_state.WorkspaceState, priority: int
    ) -> queue_entry.QueueEntry | None:
        """Return the oldest waiting job of a workspace that may start."""
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
        """Tell whether the next task of a job, or the gang, may start."""
        count = entry.gang_tasks or 1
        return (
            entry.not_before_ms <= self.now_ms
            and entry.resources not in self._full
            and workspace.allows(entry.amounts, count)
            and self._spares_gang(entry)
            and self._has_room(entry)
        )

    def _spares_gang(self, entry: queue_entry.QueueEntry) -> bool:
        kept = self.reservation
        if kept is None or entry is kept.entry:
            return True
        if entry.priority < kept.entry.priority:
            return True
        return not entry.gang_tasks and kept.admits(entry, self.now_ms)

    def _has_room(self, entry: queue_entry.QueueEntry) -> bool:
        if self._blocked(entry.resources):
            self._full.add(entry.resources)
            return False
        if not entry.gang_tasks or self._room_for is None:
            return True
        room = self._rooms.get(entry.resources)
        if room is None:
            room = self._rooms[entry.resources] = self._room_for(
                entry.resources
            )
        return room >= entry.gang_tasks

    def take(self, entry: queue_entry.QueueEntry, count: int) -> None:
        """Add tasks of a job to the picks."""
        self.left -= count
        kept = self.reservation
        if kept is not None and entry is kept.entry:
            self.reservation = None
        elif kept is not None:
            kept.take(entry, count)
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
