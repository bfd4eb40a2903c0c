"""Decide which members to ask to hold tasks of a gang."""

import collections.abc

from basilspindle import model
from basilspindle.peer.messages import room as room_module
from basilspindle.policy import room_estimate


class GangPlan:
    """Holds of one gang: what is held, and whom to ask for the rest.

    ``room`` is the advertised room by member id. Members are asked for as
    much as they may have, those with the most room first, so that few are
    involved; one that held less than asked is not asked again.
    """

    __slots__ = ('_count', '_may_have', 'held')

    def __init__(
        self,
        resources: model.Resources,
        count: int,
        room: collections.abc.Mapping[str, room_module.Room],
    ) -> None:
        self._count = count
        self._may_have = {
            member_id: room_estimate.max_tasks_in(resources, offered)
            for member_id, offered in room.items()
        }
        self.held: dict[str, int] = {}

    @property
    def missing(self) -> int:
        """Return the number of tasks not held yet."""
        return self._count - sum(self.held.values())

    @property
    def complete(self) -> bool:
        """Tell whether every task is held."""
        return self.missing <= 0

    def holds_to_request(self) -> dict[str, int]:
        """Return tasks to ask for by member id; {} if hopeless or done."""
        asks = {}
        left = self.missing
        order = sorted(
            self._may_have, key=lambda name: (-self._may_have[name], name)
        )
        for member_id in order:
            count = min(left, self._may_have[member_id])
            if count > 0:
                asks[member_id] = count
                left -= count
        return asks if left <= 0 else {}

    def record_hold(self, member_id: str, asked: int, held: int) -> None:
        """Take in how many of the tasks asked for a member holds now."""
        if held:
            self.held[member_id] = self.held.get(member_id, 0) + held
        may_have = self._may_have.get(member_id, 0) - held
        self._may_have[member_id] = may_have if held >= asked else 0
