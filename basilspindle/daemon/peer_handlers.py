"""Handle the requests of other daemons."""

import collections.abc
import typing

import msgspec

from basilspindle import clock as clock_module
from basilspindle import cluster
from basilspindle import config
from basilspindle import coordinator as coordinator_package
from basilspindle.daemon import holder_directory
from basilspindle import errors
from basilspindle import fleet as fleet_package
from basilspindle.peer import messages

PLACE_MAX_AGE_MS = 3_000

Handler = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[typing.Any]
]


class PeerHandlers:
    """Request handlers of a daemon that has a configuration."""

    __slots__ = (
        '_clock',
        '_membership',
        '_store',
        '_fleet',
        '_coordinator',
        '_ownership',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        membership: cluster.Membership,
        store: config.ConfigStore,
        fleet: fleet_package.Fleet,
        coordinator: coordinator_package.Coordinator,
        ownership: cluster.Ownership,
    ) -> None:
        self._clock = clock
        self._membership = membership
        self._store = store
        self._fleet = fleet
        self._coordinator = coordinator
        self._ownership = ownership

    def all_handlers(self) -> dict[type, Handler]:
        """Return all handlers by request type."""
        return {
            messages.Fence: self._ownership.handle_fence,
            messages.Inventory: self.inventory,
            messages.Place: self.place,
            messages.Commit: self._fleet.commit,
            messages.Drop: self._fleet.drop,
            messages.Stop: self._fleet.stop,
            **self.owner_handlers(),
        }

    def owner_handlers(self) -> dict[type, Handler]:
        """Return the handlers of requests to the owner of a partition."""
        return {
            messages.Submit: self._coordinator.submit,
            messages.View: self._coordinator.view,
            messages.ListJobs: self._coordinator.list_jobs,
            messages.Cancel: self._coordinator.cancel,
            messages.Report: self._coordinator.report,
        }

    async def place(self, request: messages.Place) -> messages.Placed:
        """Place tasks unless the request was delayed for too long.

        A request may have been delayed in a buffer, or in this process while
        it was paused, and its sender may have given up on it since. Its age
        is measured with the clock of this daemon. Raises
        ``PlacementExpired``, which says that nothing was started.
        """
        own = self._membership.own
        age_ms = self._clock.now_ms() - request.receiver_time_ms
        if (
            request.receiver_incarnation != own.incarnation
            or not 0 <= age_ms <= PLACE_MAX_AGE_MS
        ):
            raise errors.PlacementExpired(
                f'the placement request is {age_ms} ms old or was sent to an '
                'earlier process; retry after the next heartbeat'
            )
        return await self._fleet.place(request)

    async def inventory(
        self, request: messages.Inventory
    ) -> messages.Inventoried:
        """Return the inventory of a partition, with this daemon as holder."""
        reply = await self._fleet.inventory(request)
        holder_id = holder_directory.holder_id_of(self._membership.own)
        return msgspec.structs.replace(
            reply,
            running=[
                msgspec.structs.replace(task, holder_id=holder_id)
                for task in reply.running
            ],
        )
