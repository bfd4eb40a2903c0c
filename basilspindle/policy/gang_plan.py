"""Plan which members to ask to hold room for the tasks of a gang."""

import collections.abc

from basilspindle import model
from basilspindle.peer.messages import room as room_module
from basilspindle.policy import room_estimate


class GangPlan:
    """Holds for one gang: those granted, and those still to request.

    ``room`` is the advertised room by member id. Members with the most room
    are asked first, for as many tasks as they may have room for, so that few
    members are involved. A member that granted less than it was asked for is
    not asked again.
    """

    __slots__ = ('_count', '_estimated_tasks', 'held')

    def __init__(
        self,
        resources: model.Resources,
        count: int,
        room: collections.abc.Mapping[str, room_module.Room],
    ) -> None:
        self._count = count
        self._estimated_tasks = {
            member_id: room_estimate.max_tasks_in(resources, offered)
            for member_id, offered in room.items()
        }
        self.held: dict[str, int] = {}

    @property
    def missing(self) -> int:
        """Return the number of tasks without a hold."""
        return self._count - sum(self.held.values())

    @property
    def complete(self) -> bool:
        """Tell whether every task has a hold."""
        return self.missing <= 0

    def holds_to_request(self) -> dict[str, int]:
        """Return the number of tasks to request by member id.

        Returns {} if every task has a hold, or if the members together do
        not have enough room.
        """
        requests = {}
        remaining = self.missing
        order = sorted(
            self._estimated_tasks,
            key=lambda name: (-self._estimated_tasks[name], name),
        )
        for member_id in order:
            count = min(remaining, self._estimated_tasks[member_id])
            if count > 0:
                requests[member_id] = count
                remaining -= count
        return requests if remaining <= 0 else {}

    def record_hold(self, member_id: str, requested: int, held: int) -> None:
        """Record how many of the requested tasks a member holds."""
        if held:
            self.held[member_id] = self.held.get(member_id, 0) + held
        estimated_tasks = self._estimated_tasks.get(member_id, 0) - held
        self._estimated_tasks[member_id] = (
            estimated_tasks if held >= requested else 0
        )
