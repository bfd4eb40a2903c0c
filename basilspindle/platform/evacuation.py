"""Read which failure domains operators have evacuated, from the store."""

import collections.abc

from basilspindle.cell import ports
from basilspindle import errors
from basilspindle.platform import store as store_module

_STREAM = 'op'
# The platform calls a failure domain a zone.
_KEY_PREFIX = 'evacuate/'


class StoreEvacuationSource:
    """Reader of the records that close failure domains.

    A domain is closed while there is a record of its key, whatever the value.
    """

    __slots__ = ('_store',)

    def __init__(self, store: store_module.LogStore) -> None:
        self._store = store

    async def poll(
        self,
        next_offset: int | None,
        wait_ms: int,
        on_progress: collections.abc.Callable[[], None] | None = None,
    ) -> ports.EvacuationPoll:
        """Read what changed from an offset on, or all with None."""
        if next_offset is None:
            return await self._read_all(on_progress)
        try:
            chunk = await self._store.read(
                _STREAM, next_offset, wait_ms, on_progress=on_progress
            )
        except errors.LogTrimmed:
            return await self._read_all(on_progress)
        end = next_offset + len(chunk.records)
        if chunk.end < end or (chunk.end > end and not chunk.records):
            # The stream was reset, or its next record cannot be read.
            return await self._read_all(on_progress)
        changes = {
            domain: value is not None
            for key, value in chunk.records
            if (domain := _domain(key))
        }
        return ports.EvacuationPoll(changes, False, end, end == chunk.end)

    async def _read_all(
        self, on_progress: collections.abc.Callable[[], None] | None
    ) -> ports.EvacuationPoll:
        # Keys that are no text may fill a page of the listing. They must not
        # keep every daemon from leading.
        records, end = await self._store.read_latest_records(
            _STREAM, on_progress
        )
        changes = {
            domain: True
            for key, (value, _) in records.items()
            if value and (domain := _domain(key))
        }
        return ports.EvacuationPoll(changes, True, end, True)


def _domain(key: str) -> str:
    """Return the failure domain that a key names, '' if it names none."""
    return key.removeprefix(_KEY_PREFIX) if key.startswith(_KEY_PREFIX) else ''
