"""Report task ends and running tasks to the owners of partitions."""

from basilspindle.daemon import components as components_module
from basilspindle import errors
from basilspindle import model
from basilspindle.peer import messages

_REPORT_TIMEOUT_MS = 3_000


class TaskReporter:
    """Send reports to the owner of a partition, local or remote."""

    __slots__ = ('_components',)

    def __init__(self, components: components_module.Components) -> None:
        self._components = components

    async def report(
        self,
        partition: int,
        ends: list[model.TaskEnd],
        found: list[model.RunningTask],
    ) -> bool:
        """Send a report; return whether the owner has confirmed it.

        ``found`` are tasks that were running on newly leased workers.
        """
        request = messages.Report(
            holder_id=self._components.holder_id,
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
        owner = (
            self._components.ownership
            and self._components.ownership.owner_of(request.partition)
        )
        if owner is None:
            raise errors.NotOwner(
                'the partition has no known owner; report again later'
            )
        if owner is self._components.membership.own:
            await self._components.coordinator.report(request)
        else:
            await self._components.client.call(
                owner.address, request, _REPORT_TIMEOUT_MS
            )
