"""Read the worker registry from the platform's store."""

import re

import msgspec

from basilspindle.cell import events as cell_events
from basilspindle.cell import ports
from basilspindle import decoding
from basilspindle import errors
from basilspindle import events
from basilspindle.platform import store as store_module
from basilspindle.workflow import need as need_module

_STREAM = 'servers'
_READY = 'ready'
_DRAINING = 'draining'
# A worker's id is sent in a header, and addresses are connected to.
_WORKER_ID = re.compile(r'[!-~]{1,200}')
_ADDRESS = re.compile(r'[0-9A-Za-z._-]{1,253}:([0-9]{1,5})')
_MAX_PORT = 65_535
# Index of the rack in the labels, after the kind of the worker.
_RACK_LABEL_INDEX = 1


class _Capacity(msgspec.Struct):
    cpu: decoding.Count = 0
    mem_mb: decoding.Count = 0
    gpus: decoding.Count = 0


class _Entry(msgspec.Struct):
    # Name of the worker's pool.
    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    # Kind of the worker, then its rack.
    labels: list[str] = []
    # Time until a draining worker leaves.
    remaining_ms: decoding.Count = 0
    # Unix time of the worker's start in ms.
    born: decoding.Count = 0


class StoreRegistry:
    """Copy of the registry; a refresh reads only the changes."""

    __slots__ = ('_store', '_workers', '_next_offset', '_unread_keys')

    def __init__(self, store: store_module.LogStore) -> None:
        self._store = store
        self._workers: dict[str, ports.RegisteredWorker] = {}
        self._next_offset: int | None = None
        # Keys whose newest record was logged as unreadable.
        self._unread_keys: set[str] = set()

    async def refresh(self) -> dict[str, ports.RegisteredWorker]:
        """Return all workers by id; raises ``LogUnavailable``."""
        if self._next_offset is None:
            await self._read_all()
        else:
            try:
                await self._read_changes(self._next_offset)
            except errors.LogTrimmed:
                await self._read_all()
        return self._workers

    async def _read_all(self) -> None:
        records, end = await self._store.read_latest_records(_STREAM)
        self._workers = {}
        self._unread_keys &= records.keys()
        for key, (raw, offset) in records.items():
            self._apply(key, raw, offset)
        self._next_offset = end

    async def _read_changes(self, start: int) -> None:
        # The size of a response is limited, so reading continues to the end.
        while True:
            chunk = await self._store.read(_STREAM, start, 0)
            if chunk.end < start:
                raise errors.LogTrimmed(
                    'the registry stream was reset; read it from its start',
                    first_offset=chunk.first,
                )
            for offset, (key, raw) in enumerate(chunk.records, start):
                self._apply(key, raw, offset)
            start += len(chunk.records)
            self._next_offset = start
            if not chunk.records or start >= chunk.end:
                return

    def _apply(self, key: str, raw: bytes | None, offset: int) -> None:
        if raw is None:
            self._workers.pop(key, None)
            self._unread_keys.discard(key)
            return
        try:
            self._workers[key] = _decode(key, raw, offset)
        except Exception as error:
            # Any error costs this record only: a read that ends here would
            # begin here again, also after the record was replaced. The last
            # valid entry of the key stays.
            if key not in self._unread_keys:
                self._unread_keys.add(key)
                events.emit(
                    cell_events.REGISTRY_ENTRY_UNREADABLE,
                    key=key,
                    offset=offset,
                    error=repr(error)[:200],
                )
            return
        self._unread_keys.discard(key)


def _decode(key: str, raw: bytes, offset: int) -> ports.RegisteredWorker:
    entry = msgspec.json.decode(raw, type=_Entry)
    _check(key, entry)
    return ports.RegisteredWorker(
        key,
        entry.address,
        entry.service,
        entry.zone,
        entry.labels[_RACK_LABEL_INDEX]
        if len(entry.labels) > _RACK_LABEL_INDEX
        else '',
        tuple(entry.labels),
        need_module.Need(
            entry.capacity.cpu, entry.capacity.mem_mb, entry.capacity.gpus
        ),
        entry.state == _READY,
        entry.remaining_ms,
        entry.born,
        offset,
    )


def _check(worker_id: str, entry: _Entry) -> None:
    if not _WORKER_ID.fullmatch(worker_id):
        raise ValueError('the key is not a worker id')
    if entry.state not in (_READY, _DRAINING):
        raise ValueError(f'state {entry.state[:40]!r}')
    address = _ADDRESS.fullmatch(entry.address)
    if address is None or not 0 < int(address[1]) <= _MAX_PORT:
        raise ValueError(f'address {entry.address[:60]!r}')
