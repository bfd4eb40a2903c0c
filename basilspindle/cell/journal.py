"""Record jobs in the store, many in one append."""

import asyncio
import collections.abc
import typing

import msgspec

from basilspindle.cell import events as cell_events
from basilspindle.cell import hedged_call as hedged_call_module
from basilspindle.cell import ports
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.workflow import definition as definition_module
from basilspindle.workflow import job as job_module
from basilspindle.workflow import job_state
from basilspindle.workflow import progress as progress_module

_T = typing.TypeVar('_T')

STREAM = 'jobs'
# Least time between the starts of two appends; a shorter one costs calls.
_LINGER_MS = 25
# An idle leader appends this often, so that others see that it lives.
_BEAT_MS = 400
_BEAT_KEY = 'beat'
_DEFINITION = 'd'
_PROGRESS = 'p'
_FINAL = 'f'
_WORKER_ADDRESSES_KEY = 'roster'
# Longer than a slow store takes; the answer of a later try counts before.
_ANSWER_MS = 1_500
# An append is repeated when it takes this many times as long as usual, but
# neither sooner nor later than these bounds: a lost answer costs the wait.
_REPEAT_FACTOR = 4
_MIN_REPEAT_MS = 100
_MAX_REPEAT_MS = 700
# Weight of the newest append in the usual time.
_NEWEST_PART = 0.3
# The store bounds one call; a batch stays well below it.
_MAX_BATCH_BYTES = 1024 * 1024


class EndedJobRecord(msgspec.Struct, frozen=True, array_like=True):
    """What the store keeps of an ended job."""

    workspace: str
    queue: str
    state: job_state.JobState
    ended_wall_ms: int


class RecoveredState:
    """All that the store holds of the cell's jobs."""

    __slots__ = ('jobs', 'ended_jobs', 'worker_addresses')

    def __init__(self) -> None:
        self.jobs: list[
            tuple[
                definition_module.JobDefinition,
                progress_module.Progress | None,
            ]
        ] = []
        self.ended_jobs: dict[str, EndedJobRecord] = {}
        self.worker_addresses: dict[str, str] = {}


class Batch:
    """Records of one append and what becomes true with it."""

    __slots__ = ('records', 'jobs', 'ends', 'size_bytes')

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes | None]] = []
        self.jobs: list[tuple[job_module.Job, job_state.JobState]] = []
        # Highest end of each worker that the batch covers, with the life
        # of the worker that listed it.
        self.ends: dict[str, tuple[int, int]] = {}
        self.size_bytes = 0

    def put(self, key: str, value: bytes | None) -> None:
        """Add a record; None removes the key."""
        self.records.append((key, value))
        self.size_bytes += len(key) + len(value or b'') + 8


class Journal:
    """Append batches in order, one at a time, under one epoch."""

    __slots__ = (
        '_store',
        '_clock',
        '_epoch',
        '_sequence',
        '_wake',
        '_collect',
        '_applied',
        'confirmed_ms',
        'pending_since_ms',
        '_failing',
        '_usual_ms',
    )

    def __init__(
        self,
        store: ports.Store,
        clock: clock_module.Clock,
        epoch: int,
        collect: collections.abc.Callable[[], Batch],
        applied: collections.abc.Callable[[Batch], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._epoch = epoch
        self._sequence = 0
        self._wake = asyncio.Event()
        self._collect = collect
        self._applied = applied
        self.confirmed_ms = clock.now_ms()
        # When the append under way was first sent; None for none.
        self.pending_since_ms: int | None = None
        self._failing = False
        self._usual_ms = 0.0

    def request_append(self) -> None:
        """Have the changes so far appended soon."""
        self._wake.set()

    async def load(self) -> RecoveredState:
        """Fence earlier leaders and return all that they recorded.

        Raises ``Deposed`` if a later leader has fenced this one.
        """
        fencing = asyncio.ensure_future(
            self._repeat(lambda: self._store.fence(STREAM, self._epoch))
        )
        try:
            values, end = await self._read_all()
            await fencing
        finally:
            fencing.cancel()
        try:
            # What was appended after the first read and before the fence.
            values = await self._repeat(
                lambda: self._read_rest(values, end), _MAX_REPEAT_MS
            )
        except errors.LogTrimmed:
            values, _ = await self._read_all()
        self._note_success()
        return _decode(values)

    async def run(self) -> None:
        """Append until cancelled; raises ``Deposed``."""
        while True:
            try:
                async with asyncio.timeout(_BEAT_MS / 1000):
                    await self._wake.wait()
            except TimeoutError:
                # Nothing changed: an empty append shows that this one leads.
                pass
            self._wake.clear()
            begun_ms = self._clock.now_ms()
            batch = self._collect()
            if not batch.records:
                batch.put(_BEAT_KEY, b'')
            await self._append(batch)
            self._applied(batch)
            spent_ms = self._clock.now_ms() - begun_ms
            if spent_ms < _LINGER_MS:
                await self._clock.sleep_ms(_LINGER_MS - spent_ms)

    async def _append(self, batch: Batch) -> None:
        self._sequence += 1
        begun_ms = self.pending_since_ms = self._clock.now_ms()
        # The same sequence number takes effect at most once.
        sequence = self._sequence
        pause_ms = max(_REPEAT_FACTOR * int(self._usual_ms), _MIN_REPEAT_MS)
        await self._repeat(
            lambda: self._store.append(
                STREAM, batch.records, self._epoch, sequence, _ANSWER_MS
            ),
            min(pause_ms, _MAX_REPEAT_MS),
            lambda: self._store.probe_end(STREAM),
        )
        self.pending_since_ms = None
        took_ms = self._clock.now_ms() - begun_ms
        self._usual_ms += _NEWEST_PART * (took_ms - self._usual_ms)
        self._note_success()

    async def _read_all(self) -> tuple[dict[str, bytes], int]:
        return await self._repeat(
            lambda: self._store.read_latest(STREAM), _MAX_REPEAT_MS
        )

    async def _read_rest(
        self, values: dict[str, bytes], start: int
    ) -> dict[str, bytes]:
        values = dict(values)
        while True:
            chunk = await self._store.read(STREAM, start, 0)
            for key, value in chunk.records:
                if value is None:
                    values.pop(key, None)
                else:
                    values[key] = value
            start += len(chunk.records)
            if not chunk.records or start >= chunk.end:
                return values

    async def _repeat(
        self,
        call: collections.abc.Callable[[], collections.abc.Awaitable[_T]],
        pause_ms: int = _MIN_REPEAT_MS,
        probe: hedged_call_module.Probe | None = None,
    ) -> _T:
        hedged_call = hedged_call_module.HedgedCall(
            self._clock, call, self._note_failure, probe
        )
        with hedged_call:
            return await hedged_call.first_answer(pause_ms)

    def _note_failure(self, error: errors.BasilspindleError) -> None:
        if not self._failing:
            self._failing = True
            events.emit(
                cell_events.STORE_FAILED, call='append', error=error.message
            )

    def _note_success(self) -> None:
        self.confirmed_ms = self._clock.now_ms()
        if self._failing:
            self._failing = False
            events.emit(cell_events.STORE_REGAINED, call='append')


def put_job(batch: Batch, job: job_module.Job, now_wall_ms: int) -> None:
    """Add the records that make the log hold a job as it is now."""
    job_id = job.job_id
    state = job.state
    job.append_started = True
    if state.is_final:
        definition = job.definition
        if job.durable_state is not None:
            batch.put(_DEFINITION + job_id, None)
            batch.put(_PROGRESS + job_id, None)
        job.final_wall_ms = job.final_wall_ms or now_wall_ms
        final = EndedJobRecord(
            definition.workspace, definition.queue, state, job.final_wall_ms
        )
        batch.put(_FINAL + job_id, msgspec.msgpack.encode(final))
    elif job.durable_state is None:
        batch.put(_DEFINITION + job_id, msgspec.msgpack.encode(job.definition))
    else:
        progress = progress_module.capture(job)
        batch.put(_PROGRESS + job_id, msgspec.msgpack.encode(progress))
    batch.jobs.append((job, state))


def put_tombstone(batch: Batch, job_id: str) -> None:
    """Remove what is kept of a job that ended long ago."""
    batch.put(_FINAL + job_id, None)


def put_worker_addresses(
    batch: Batch, worker_addresses: dict[str, str]
) -> None:
    """Record the workers that the leader uses, by id with address."""
    batch.put(_WORKER_ADDRESSES_KEY, msgspec.msgpack.encode(worker_addresses))


def is_full(batch: Batch) -> bool:
    """Tell whether a batch should be sent before more is added."""
    return batch.size_bytes >= _MAX_BATCH_BYTES


def _decode(values: dict[str, bytes]) -> RecoveredState:
    found = RecoveredState()
    for key, raw in values.items():
        try:
            _decode_one(found, values, key, raw)
        except (msgspec.MsgspecError, ValueError) as error:
            events.emit(
                cell_events.RECORD_UNREADABLE, key=key, error=str(error)
            )
    return found


def _decode_one(
    found: RecoveredState, values: dict[str, bytes], key: str, raw: bytes
) -> None:
    decode: typing.Any = msgspec.msgpack.decode
    if key == _WORKER_ADDRESSES_KEY:
        found.worker_addresses = decode(raw, type=dict[str, str])
    elif key.startswith(_FINAL):
        found.ended_jobs[key[1:]] = decode(raw, type=EndedJobRecord)
    elif key.startswith(_DEFINITION):
        saved = values.get(_PROGRESS + key[1:])
        found.jobs.append(
            (
                decode(raw, type=definition_module.JobDefinition),
                decode(saved, type=progress_module.Progress)
                if saved is not None
                else None,
            )
        )
