"""Decide in the store which daemon leads the cell."""

import asyncio

import msgspec

from basilspindle.cell import events as cell_events
from basilspindle.cell import ports
from basilspindle import errors
from basilspindle import events

# Holds claims only, so that its end changes with each claim alone.
STREAM = 'lead'
_KEY = 'leader'
_MEMBERS = 'members'
# A claim without an answer for this long is looked up: it may have won.
_LOOK_UP_MS = 250


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The newest claim to lead.

    ``epoch`` rises with each claim and is used by no other; ``incarnation``
    names one process. ``resigned`` tells that the leader has stopped.
    ``term`` counts the claims.
    """

    node: str
    address: str
    incarnation: str
    term: int
    resigned: bool = False
    epoch: int = 0


class ClaimRegister:
    """Read and make claims; the store lets one of several win."""

    __slots__ = ('members', '_store')

    def __init__(self, store: ports.Store) -> None:
        # Addresses of the daemons that have entered, by node name.
        self.members: dict[str, str] = {}
        self._store = store

    async def add_member(self, node: str, address: str) -> None:
        """Record a daemon's address for the others."""
        record = (node, msgspec.msgpack.encode(address))
        await self._store.put(_MEMBERS, [record])

    async def remove_member(self, node: str) -> None:
        """Remove a daemon's address."""
        await self._store.put(_MEMBERS, [(node, None)])

    async def read_members(self) -> None:
        """Read the addresses of the daemons that have entered."""
        values, _ = await self._store.read_latest(_MEMBERS)
        self._note_members(values)

    async def read(self) -> tuple[Claim | None, int]:
        """Return the newest claim and the end of the stream."""
        values, end = await self._store.read_latest(STREAM)
        raw = values.get(_KEY)
        if raw is None:
            return None, end
        try:
            return msgspec.msgpack.decode(raw, type=Claim), end
        except msgspec.MsgspecError as error:
            events.emit(cell_events.RECORD_UNREADABLE, key=_KEY, error=error)
            return None, end

    async def try_claim(self, claim: Claim, at: int) -> Claim | None:
        """Claim if no other claim came; None if one did.

        An append without an answer is looked up: it may have won.
        """
        written = msgspec.structs.replace(claim, epoch=at + 1)
        record = (_KEY, msgspec.msgpack.encode(written))
        appending = asyncio.ensure_future(
            self._store.append_at(STREAM, [record], at)
        )
        try:
            await asyncio.wait({appending}, timeout=_LOOK_UP_MS / 1000)
            if not appending.done() and await self._is_seen(written):
                return written
            offset = await appending
        except errors.LogOutcomeUnknown:
            return written if await self._holds(written) else None
        finally:
            appending.cancel()
        return written if offset is not None else None

    async def _is_seen(self, claim: Claim) -> bool:
        try:
            return await self._holds(claim)
        except errors.LogError as error:
            # The append may still be answered.
            events.emit(cell_events.CLAIM_FAILED, error=error.message)
            return False

    async def _holds(self, claim: Claim) -> bool:
        current, _ = await self.read()
        return current == claim

    def _note_members(self, values: dict[str, bytes]) -> None:
        members = {}
        for node, raw in values.items():
            try:
                members[node] = msgspec.msgpack.decode(raw, type=str)
            except msgspec.MsgspecError as error:
                events.emit(
                    cell_events.RECORD_UNREADABLE, key=node, error=error
                )
        self.members = members
