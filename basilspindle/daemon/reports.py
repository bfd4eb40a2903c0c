"""Report what happens on held workers to the owners of partitions."""

from basilspindle.daemon import parts as parts_module
from basilspindle import errors
from basilspindle import model
from basilspindle.peer import messages

_REPORT_MS = 3_000


class Reports:
    """Send ends and found tasks to the owner, here or elsewhere."""

    __slots__ = ('_parts',)

    def __init__(self, parts: parts_module.Parts) -> None:
        self._parts = parts

    async def report(
        self,
        partition: int,
        ends: list[model.TaskEnd],
        found: list[model.RunningTask],
    ) -> bool:
        """Return True once the owner of the partition has confirmed."""
        request = messages.Report(
            holder_id=self._parts.holder_id,
            partition=partition,
            ends=ends,
            found=found,
        )
        try:
            await self._send(request)
        except errors.BasilspindleError:
            return False
        return True

    async def _send(self, request: messages.Report) -> None:
        owner = self._parts.ownership and self._parts.ownership.owner_of(
            request.partition
        )
        if owner is None:
            raise errors.NotOwner('no owner is known; report again')
        if owner is self._parts.membership.own:
            await self._parts.coordinator.report(request)
        else:
            await self._parts.client.call(owner.address, request, _REPORT_MS)
