"""Give the coordinator access to the holders of worker leases."""

import collections.abc
import typing

import msgspec

from basilspindle import clock as clock_module
from basilspindle import cluster
from basilspindle import errors
from basilspindle import fleet as fleet_package
from basilspindle import model
from basilspindle.peer import messages

_CALL_TIMEOUT_MS = 2_000
_NO_SHARE = -1.0


def holder_id_of(member: cluster.Member) -> str:
    """Return the holder id of a member, ``member id@incarnation``."""
    return f'{member.member_id}@{member.incarnation}'


class HolderDirectory:
    """Find and call the members that hold workers, including this daemon.

    Calls to this daemon go to its fleet directly.
    """

    __slots__ = (
        '_clock',
        '_membership',
        '_client',
        '_fleet',
        '_own_capacity',
        '_own_stamp',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        membership: cluster.Membership,
        client: cluster.membership.PeerCaller,
        fleet: fleet_package.Fleet,
    ) -> None:
        self._clock = clock
        self._membership = membership
        self._client = client
        self._fleet = fleet
        self._own_capacity = messages.Room()
        self._own_stamp = 0

    def rooms(
        self,
    ) -> collections.abc.Iterator[tuple[str, messages.Room, int]]:
        """Yield (holder id, free capacity, stamp) of live members.

        The stamp changes with every new report of the capacity: it is the
        send time of the heartbeat, and for this daemon a counter.
        """
        own_capacity = self._fleet.free_capacity()
        if own_capacity != self._own_capacity:
            self._own_capacity = own_capacity
            self._own_stamp += 1
        own = self._membership.own
        for member in self._membership.live():
            if member is own:
                yield holder_id_of(own), own_capacity, self._own_stamp
            elif member.heartbeat is not None:
                heartbeat = member.heartbeat
                stamp = heartbeat.sent_at_ms
                yield holder_id_of(member), heartbeat.room, stamp

    def is_lost(self, holder_id: str) -> bool:
        """Tell whether a holder has left, was replaced or is unknown.

        One whose address refuses connections may be cut off with resets: it
        renews the leases of its tasks for as long as it reaches its workers.
        Once it has ended, the next holder of each worker reports them.
        """
        member = self._find(holder_id)
        if member is self._membership.own:
            return False
        return member is None or member.state is cluster.MemberState.GONE

    def all_heard_since_ms(self) -> int:
        """Return since when no member that may hold workers was silent."""
        return self._membership.all_heard_since_ms()

    def lowest_waiting_shares(self) -> list[float]:
        """Return the lowest waiting share elsewhere by priority class.

        Only other live daemons are counted; -1.0 means that no task waits.
        A daemon of another build may report fewer or more classes.
        """
        own = self._membership.own
        waiting = [
            member.heartbeat.waiting_shares
            for member in self._membership.live()
            if member is not own and member.heartbeat is not None
        ]
        return [
            min(
                (
                    shares[priority]
                    for shares in waiting
                    if priority < len(shares) and shares[priority] >= 0
                ),
                default=_NO_SHARE,
            )
            for priority in model.Priority
        ]

    async def place(
        self, holder_id: str, request: messages.Place
    ) -> messages.Placed:
        """Ask a holder to place tasks.

        The request carries the holder's incarnation and the send time of its
        last heartbeat, so that the holder can refuse it if it is delayed.
        """
        member = self._get(holder_id)
        if member is self._membership.own:
            return await self._fleet.place(request)
        heartbeat = member.heartbeat
        request = msgspec.structs.replace(
            request,
            member_id=self._membership.own.member_id,
            receiver_incarnation=member.incarnation,
            receiver_time_ms=heartbeat.sent_at_ms if heartbeat else 0,
        )
        return await self._client.call(
            member.address, request, _CALL_TIMEOUT_MS
        )

    async def commit(
        self, holder_id: str, request: messages.Commit
    ) -> messages.Committed:
        """Ask a holder to start the tasks of its holds."""
        return await self._call(holder_id, request, self._fleet.commit)

    async def drop(self, holder_id: str, request: messages.Drop) -> None:
        """Ask a holder to release its holds."""
        await self._call(holder_id, request, self._fleet.drop)

    async def stop(
        self, holder_id: str, request: messages.Stop
    ) -> messages.Stopping:
        """Ask a holder to stop tasks."""
        return await self._call(holder_id, request, self._fleet.stop)

    async def _call(
        self,
        holder_id: str,
        request: msgspec.Struct,
        local: collections.abc.Callable[
            [typing.Any], collections.abc.Awaitable[typing.Any]
        ],
    ) -> typing.Any:
        member = self._get(holder_id)
        if member is self._membership.own:
            return await local(request)
        return await self._client.call(
            member.address, request, _CALL_TIMEOUT_MS
        )

    def _find(self, holder_id: str) -> cluster.Member | None:
        member = self._membership.get(holder_id.partition('@')[0])
        if member is None or holder_id_of(member) != holder_id:
            return None
        return member

    def _get(self, holder_id: str) -> cluster.Member:
        member = self._find(holder_id)
        if member is None:
            raise errors.PeerUnavailable(
                f'{holder_id} is not a known holder; choose another holder'
            )
        return member
