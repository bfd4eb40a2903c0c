"""Define how the coordinator reaches the holders of worker leases."""

import collections.abc
import typing

from basilspindle.peer import messages


class Holders(typing.Protocol):
    """Reach every daemon that holds workers, this one included.

    A holder id is ``member id@incarnation``: a restarted daemon is another
    holder, since it does not know what the one before was asked to do.
    """

    def rooms(
        self,
    ) -> collections.abc.Iterable[tuple[str, messages.Room, int]]:
        """Yield (holder id, room, stamp) of members that take work."""

    def is_lost(self, holder_id: str) -> bool:
        """Tell whether a holder is down, gone or unknown."""

    def lowest_waiting_shares(self) -> list[float]:
        """Return the lowest waiting shares at other daemons by class."""

    async def place(
        self, holder_id: str, request: messages.Place
    ) -> messages.Placed:
        """Ask a holder to place; fills in its incarnation and time."""

    async def commit(
        self, holder_id: str, request: messages.Commit
    ) -> messages.Committed:
        """Ask a member to start held tasks."""

    async def drop(self, holder_id: str, request: messages.Drop) -> None:
        """Ask a member to give up holds."""

    async def stop(
        self, holder_id: str, request: messages.Stop
    ) -> messages.Stopping:
        """Ask a member to stop tasks."""
