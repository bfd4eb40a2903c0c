"""Record leadership claims in the store, which admits one at a time."""

import asyncio

import msgspec

from basilspindle.cell import events as cell_events
from basilspindle.cell import ports
from basilspindle import decoding
from basilspindle import errors
from basilspindle import events

# Holds nothing but claims, so that its end offset changes only with a claim
# and a conditional append decides between claimants.
STREAM = 'lead'
_KEY = 'leader'
_MEMBERS_STREAM = 'members'
# An unanswered claim is read back after this time: it may have succeeded.
_LOOKUP_DELAY_MS = 250


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A claim of one daemon to lead the cell.

    ``epoch`` is unique to the claim and higher than that of any earlier
    one. ``incarnation`` identifies the process that made the claim.
    ``resigned`` is set in a claim by which a leader records that it has
    stopped. ``term`` counts the claims. ``first_recording_term`` is the term
    from which on all leaders have recorded what may run on each worker before
    they started it, None for a leader of an older build.
    """

    node: str
    address: str
    incarnation: str
    term: decoding.Count
    resigned: bool = False
    epoch: decoding.Count = 0
    first_recording_term: decoding.Count | None = None


def first_recording_term(previous: Claim | None, term: int) -> int:
    """Return the first recording term of a claim after a previous one."""
    if previous is None or previous.first_recording_term is None:
        return term
    return previous.first_recording_term


class ClaimRegister:
    """Read and make claims, and keep the list of members.

    Of several concurrent claims the store accepts only one.
    """

    __slots__ = ('members', '_store')

    def __init__(self, store: ports.Store) -> None:
        # Addresses of the daemons of the cell, by node name.
        self.members: dict[str, str] = {}
        self._store = store

    async def add_member(self, node: str, address: str) -> None:
        """Record the address of a daemon."""
        record = (node, msgspec.msgpack.encode(address))
        await self._store.put(_MEMBERS_STREAM, [record])

    async def remove_member(self, node: str) -> None:
        """Remove the address of a daemon."""
        await self._store.put(_MEMBERS_STREAM, [(node, None)])

    async def read_members(self) -> None:
        """Read the addresses of the daemons from the store."""
        values, _ = await self._store.read_latest(_MEMBERS_STREAM)
        self._decode_members(values)

    async def read(self) -> tuple[Claim | None, int]:
        """Return the newest claim and the end offset of the stream."""
        values, end = await self._store.read_latest(STREAM)
        raw = values.get(_KEY)
        if raw is None:
            return None, end
        try:
            return msgspec.msgpack.decode(raw, type=Claim), end
        except decoding.FAULTS as error:
            events.emit(cell_events.RECORD_UNREADABLE, key=_KEY, error=error)
            return None, end

    async def try_claim(self, claim: Claim, at: int) -> Claim | None:
        """Make a claim if the stream of claims still ends at ``at``.

        Returns the claim with its epoch, or None if another claim was made
        first. If the append is not answered, the stream is read back, since
        the claim may have been recorded.
        """
        written = msgspec.structs.replace(claim, epoch=at + 1)
        record = (_KEY, msgspec.msgpack.encode(written))
        appending = asyncio.ensure_future(
            self._store.append_at(STREAM, [record], at)
        )
        looking_up = asyncio.ensure_future(self._look_up(written))
        try:
            await asyncio.wait(
                {appending, looking_up},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not appending.done() and looking_up.result():
                return written
            offset = await appending
        except errors.LogOutcomeUnknown:
            return written if await self._is_current(written) else None
        finally:
            appending.cancel()
            looking_up.cancel()
        return written if offset is not None else None

    async def _look_up(self, claim: Claim) -> bool:
        """Tell whether a claim is recorded, once its answer is late."""
        await asyncio.sleep(_LOOKUP_DELAY_MS / 1000)
        try:
            return await self._is_current(claim)
        except errors.LogError as error:
            # The answer to the append may still come.
            events.emit(cell_events.CLAIM_FAILED, error=error.message)
            return False

    async def _is_current(self, claim: Claim) -> bool:
        current, _ = await self.read()
        return current == claim

    def _decode_members(self, values: dict[str, bytes]) -> None:
        members = {}
        for node, raw in values.items():
            try:
                members[node] = msgspec.msgpack.decode(raw, type=str)
            except decoding.FAULTS as error:
                events.emit(
                    cell_events.RECORD_UNREADABLE, key=node, error=error
                )
        self.members = members
