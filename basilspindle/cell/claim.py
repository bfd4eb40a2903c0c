"""Decide in the store which daemon leads the cell."""

import msgspec

from basilspindle import errors
from basilspindle import events
from basilspindle.cell import events as cell_events
from basilspindle.cell import ports

STREAM = 'lead'
_KEY = 'leader'


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

    __slots__ = ('_store',)

    def __init__(self, store: ports.Store) -> None:
        self._store = store

    async def read(self) -> tuple[Claim | None, int]:
        """Return the newest claim and the end of the stream."""
        values, end = await self._store.newest(STREAM)
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
