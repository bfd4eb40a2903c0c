"""Define the interface to the daemons that hold worker leases."""

import collections.abc
import typing

from basilspindle.peer import messages


class Holders(typing.Protocol):
    """Reach every daemon that holds worker leases, this one included.

    A holder id is ``member id@incarnation``: a restarted daemon is a new
    holder, since it does not know the requests that were sent to it before.
    """

    def rooms(
        self,
    ) -> collections.abc.Iterable[tuple[str, messages.Room, int]]:
        """Yield (holder id, free capacity, stamp) of available holders.

        A stamp changes when the holder reports its capacity again.
        """

    def is_lost(self, holder_id: str) -> bool:
        """Tell whether a holder has failed, has left or is unknown."""

    def all_heard_since_ms(self) -> int:
        """Return since when no daemon that may hold workers was silent."""

    def lowest_waiting_shares(self) -> list[float]:
        """Return the lowest waiting share elsewhere by priority class.

        Only other daemons are counted; -1.0 means that no task waits.
        """

    async def place(
        self, holder_id: str, request: messages.Place
    ) -> messages.Placed:
        """Ask a holder to place tasks; adds its incarnation and time."""

    async def commit(
        self, holder_id: str, request: messages.Commit
    ) -> messages.Committed:
        """Ask a holder to start the tasks of its holds."""

    async def drop(self, holder_id: str, request: messages.Drop) -> None:
        """Ask a holder to release its holds."""

    async def stop(
        self, holder_id: str, request: messages.Stop
    ) -> messages.Stopping:
        """Ask a holder to stop tasks."""
