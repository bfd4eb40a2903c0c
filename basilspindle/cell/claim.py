"""Decide in the store which daemon leads the cell."""

import msgspec

from basilspindle.cell import events as cell_events
from basilspindle.cell import ports
from basilspindle import errors
from basilspindle import events

STREAM = 'lead'
_KEY = 'leader'
_MEMBER = 'node:'


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

    async def enter(self, node: str, address: str) -> None:
        """Record a daemon's address for the others."""
        record = (_MEMBER + node, msgspec.msgpack.encode(address))
        await self._store.put(STREAM, [record])

    async def leave(self, node: str) -> None:
        """Remove a daemon's address."""
        await self._store.put(STREAM, [(_MEMBER + node, None)])

    async def read(self) -> tuple[Claim | None, int]:
        """Return the newest claim and the end of the stream."""
        values, end = await self._store.newest(STREAM)
        self._note_members(values)
        raw = values.get(_KEY)
        if raw is None:
            return None, end
        try:
            return msgspec.msgpack.decode(raw, type=Claim), end
        except msgspec.MsgspecError as error:
            events.emit(cell_events.RECORD_UNREADABLE, key=_KEY, error=error)
            return None, end

    async def make(self, claim: Claim, at: int) -> Claim | None:
        """Claim if no other claim came; None if one did.

        An append without an answer is looked up: it may have won.
        """
        written = msgspec.structs.replace(claim, epoch=at + 1)
        record = (_KEY, msgspec.msgpack.encode(written))
        try:
            offset = await self._store.append_at(STREAM, [record], at)
        except errors.LogOutcomeUnknown:
            current, _ = await self.read()
            return written if current == written else None
        return written if offset is not None else None

    def _note_members(self, values: dict[str, bytes]) -> None:
        members = {}
        for key, raw in values.items():
            if not key.startswith(_MEMBER):
                continue
            try:
                address = msgspec.msgpack.decode(raw, type=str)
            except msgspec.MsgspecError as error:
                events.emit(
                    cell_events.RECORD_UNREADABLE, key=key, error=error
                )
                continue
            members[key.removeprefix(_MEMBER)] = address
        self.members = members
