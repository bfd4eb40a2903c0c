"""Persist jobs in the store, batching the changes of many jobs."""

import asyncio
import collections.abc
import typing

import msgspec

from basilspindle.cell import confirmation as confirmation_module
from basilspindle.cell import early_cancels
from basilspindle.cell import events as cell_events
from basilspindle.cell import hedged_call as hedged_call_module
from basilspindle.cell import orders as orders_module
from basilspindle.cell import ports
from basilspindle.cell import report as report_module
from basilspindle import clock as clock_module
from basilspindle import decoding
from basilspindle import errors
from basilspindle import events
from basilspindle.workflow import definition as definition_module
from basilspindle.workflow import job as job_module
from basilspindle.workflow import job_state
from basilspindle.workflow import need as need_module
from basilspindle.workflow import progress as progress_module

_T = typing.TypeVar('_T')

STREAM = 'jobs'
# Minimum time between the starts of two appends; limits calls to the store.
# Starts of tasks wait for appends.
_MIN_APPEND_INTERVAL_MS = 10
# An idle leader appends this often, so that followers see it is alive.
_HEARTBEAT_INTERVAL_MS = 400
_HEARTBEAT_KEY = 'beat'
# Prefixes of the keys of job records, one letter before the job id.
_DEFINITION_PREFIX = 'd'
_PROGRESS_PREFIX = 'p'
_ENDED_PREFIX = 'f'
_WORKER_ADDRESSES_KEY = 'roster'
_CAPACITIES_KEY = 'rooms'
_SETTLED_LIVES_KEY = 'lives'
_WAITS_KEY = 'waits'
_STOPPING_KEY = 'stopping'
_COPY_KEEPERS_KEY = 'keepers'
# Before the id of a worker.
_PLACEMENT_PREFIX = 't'
_EARLY_CANCEL_PREFIX = 'c'
# Before the task and the run. One record each, as a job may have more ends
# than fit into one.
_UNATTRIBUTED_END_PREFIX = 'e'
# Records without which a job is not known as it is.
_JOB_PREFIXES = (_DEFINITION_PREFIX, _ENDED_PREFIX)
# A new leader fences once more if its first fence is older than this once it
# has read the log.
_MAX_FENCE_AGE_MS = 2_000
# Timeout of each attempt, longer than a slow store takes to answer. After a
# lost answer the next attempt does not wait for this timeout.
_APPEND_TIMEOUT_MS = 1_500
# An append is sent again when it takes this many times the mean append time,
# within the bounds below. A lost answer delays the append by that long.
_HEDGE_FACTOR = 4
_MIN_HEDGE_DELAY_MS = 100
_MAX_HEDGE_DELAY_MS = 700
# Weight of the newest append in the moving average of append times.
_NEWEST_WEIGHT = 0.3
# The store takes 2 MiB in one call. Beyond this size, a batch may hold the
# records of one more job and those of the workers.
_MAX_BATCH_BYTES = 768 * 1024
# The store writes the length of a key as one byte.
_MAX_KEY_BYTES = 255


class EndedJobRecord(msgspec.Struct, frozen=True, array_like=True):
    """Stored record of an ended job."""

    workspace: str
    queue: str
    state: job_state.JobState
    ended_wall_ms: decoding.Count


class WaitsRecord(msgspec.Struct, frozen=True, array_like=True):
    """Stored record of the workers that a leader awaits.

    ``remaining_ms`` is how long it does so at most from the record on, by
    worker id; ``term`` is its own.
    """

    term: decoding.Count
    remaining_ms: dict[str, decoding.Count]


class StoppingRecord(msgspec.Struct, frozen=True, array_like=True):
    """Stored record of what ended jobs may still run, by workspace.

    It counts for a limited time from ``wall_ms`` on.
    """

    wall_ms: decoding.Count
    usage: dict[str, need_module.Need]


class PlacementRecord(msgspec.Struct, frozen=True, array_like=True):
    """Stored record of the runs that may be on one worker.

    ``runs`` are their numbers by task name. Written by the leader of ``term``
    before it sends a start that is not in the record before.
    """

    term: decoding.Count
    runs: dict[str, decoding.Count]


class CopyKeepersRecord(msgspec.Struct, frozen=True, array_like=True):
    """Stored record of the daemons that keep starts of a leader.

    Each of these processes knows all starts under ``epoch`` that the log
    does not hold.
    """

    epoch: decoding.Count
    incarnations: tuple[str, ...]


class RecoveredState:
    """State of the cell as read from the store.

    ``jobs`` are the live jobs with the parts of their progress and
    ``part_numbers`` the numbers of all progress records by job id,
    ``ended_jobs`` the ended ones by job id, and ``worker_addresses`` the
    addresses by worker id. ``settled_lives`` are the start times of workers
    whose leases orders for earlier incarnations cannot extend any more, by
    worker id, and ``capacities`` what workers had room for when a leader gave
    them tasks. ``waits`` is what the latest leader that recorded
    it was waiting for, and ``early_cancels`` are, by job id, the workspaces
    that have cancelled a job before it arrived. ``stopping`` is what jobs that
    have ended may still run, as last recorded. ``placements`` are the records
    of what may run on each worker, by worker id, and ``copy_keepers`` names
    the daemons that may know of more, None if it is not known.
    ``unreadable_job_ids`` are the jobs whose records cannot be decoded, and
    ``unattributed_ends`` the run ends noted by leaders that could not read the
    job.
    """

    __slots__ = (
        'jobs',
        'part_numbers',
        'ended_jobs',
        'worker_addresses',
        'settled_lives',
        'capacities',
        'waits',
        'early_cancels',
        'stopping',
        'placements',
        'copy_keepers',
        'unreadable_job_ids',
        'unattributed_ends',
    )

    def __init__(self) -> None:
        self.jobs: list[
            tuple[
                definition_module.JobDefinition,
                list[progress_module.Progress],
            ]
        ] = []
        self.part_numbers: dict[str, set[int]] = {}
        self.ended_jobs: dict[str, EndedJobRecord] = {}
        self.worker_addresses: dict[str, str] = {}
        self.settled_lives: dict[str, int] = {}
        self.capacities: dict[str, need_module.Need] = {}
        self.waits: WaitsRecord | None = None
        self.early_cancels: dict[str, list[str]] = {}
        self.stopping: StoppingRecord | None = None
        self.placements: dict[str, PlacementRecord] = {}
        self.copy_keepers: CopyKeepersRecord | None = None
        self.unreadable_job_ids: set[str] = set()
        self.unattributed_ends: list[report_module.RunEnd] = []


class Batch:
    """Records of one append, and what is durable once it is confirmed.

    ``jobs`` are the jobs with the state and the number of occurrences that
    are recorded, and ``starts`` the orders that may be sent once it is.
    """

    __slots__ = (
        'starts',
        'copy_keepers',
        'covered_copies',
        'records',
        'jobs',
        'ends',
        'worker_addresses',
        'capacities',
        'waits',
        'waiters',
        'size_bytes',
    )

    def __init__(self) -> None:
        self.starts: list[orders_module.StartOrder] = []
        # The daemons that keep starts, if the batch names them, and the
        # number of the latest copy that it makes needless.
        self.copy_keepers: frozenset[str] | None = None
        self.covered_copies = 0
        self.records: list[tuple[str, bytes | None]] = []
        self.jobs: list[tuple[job_module.Job, job_state.JobState, int]] = []
        # By worker id: start time that identifies the worker's incarnation,
        # and the highest number of its run ends that the batch covers.
        self.ends: dict[str, tuple[int, int]] = {}
        # The addresses and the capacities by worker id, and the waits, if the
        # batch records them.
        self.worker_addresses: dict[str, str] | None = None
        self.capacities: dict[str, need_module.Need] | None = None
        self.waits: WaitsRecord | None = None
        # Resolved once the batch is confirmed.
        self.waiters: list[asyncio.Future[None]] = []
        self.size_bytes = 0

    def put(self, key: str, value: bytes | None) -> None:
        """Add a record; a value of None removes the key.

        Raises ``ValueError`` if the store cannot hold the key.
        """
        key_bytes = len(key.encode())
        if key_bytes > _MAX_KEY_BYTES:
            raise ValueError(
                f'a key takes {key_bytes} bytes, more than {_MAX_KEY_BYTES}'
            )
        self.records.append((key, value))
        # Includes an estimate of the overhead of each record.
        self.size_bytes += key_bytes + len(value or b'') + 8

    def add(self, other: 'Batch') -> None:
        """Add the records and jobs of another batch."""
        self.records += other.records
        self.jobs += other.jobs
        self.size_bytes += other.size_bytes


class Journal:
    """Append batches in order, one at a time, under one epoch.

    ``pending_since_ms`` is when the append under way was first sent, None if
    there is none.
    """

    __slots__ = (
        '_store',
        '_clock',
        '_epoch',
        '_sequence',
        '_wake',
        '_collect',
        '_on_confirmed',
        '_confirmation',
        'pending_since_ms',
        '_store_failing',
        '_mean_append_ms',
    )

    def __init__(
        self,
        store: ports.Store,
        clock: clock_module.Clock,
        epoch: int,
        confirmation: confirmation_module.Confirmation,
        collect: collections.abc.Callable[[], Batch],
        on_confirmed: collections.abc.Callable[[Batch], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._epoch = epoch
        self._sequence = 0
        self._wake = asyncio.Event()
        self._collect = collect
        self._on_confirmed = on_confirmed
        self._confirmation = confirmation
        self.pending_since_ms: int | None = None
        self._store_failing = False
        self._mean_append_ms = 0.0

    def request_append(self) -> None:
        """Request an append of the changes made so far."""
        self._wake.set()

    async def load(self) -> RecoveredState:
        """Fence off earlier leaders and return the state they recorded.

        Raises ``Deposed`` if a later leader has fenced off this one.
        """
        # Fence and read at the same time, to shorten the change of leader.
        fencing = asyncio.ensure_future(self._call_until_answered(self._fence))
        try:
            values, end = await self._read_all()
            begun_ms = await fencing
        finally:
            fencing.cancel()
        try:
            # Records that an earlier leader appended after the first read and
            # before the fence took effect.
            values = await self._call_until_answered(
                lambda: self._read_later_records(values, end),
                _MAX_HEDGE_DELAY_MS,
            )
        except errors.LogTrimmed:
            values, _ = await self._read_all()
        if self._clock.now_ms() - begun_ms > _MAX_FENCE_AGE_MS:
            # The reads took long and must not use up the leader's time.
            begun_ms = await self._call_until_answered(self._fence)
        self._note_store_success(begun_ms)
        return _decode(values)

    async def _fence(self) -> int:
        # Returns when the attempt began: it tells that no later leader had
        # fenced off this one by then.
        begun_ms = self._clock.now_ms()
        await self._store.fence(STREAM, self._epoch)
        return begun_ms

    async def run(self) -> None:
        """Append until cancelled; raises ``Deposed`` if fenced off."""
        while True:
            try:
                async with asyncio.timeout(_HEARTBEAT_INTERVAL_MS / 1000):
                    await self._wake.wait()
            except TimeoutError:
                # Nothing changed: a heartbeat shows that this leader is alive.
                pass
            self._wake.clear()
            begun_ms = self._clock.now_ms()
            batch = self._collect()
            if not batch.records:
                batch.put(_HEARTBEAT_KEY, b'')
            await self._append(batch)
            self._on_confirmed(batch)
            spent_ms = self._clock.now_ms() - begun_ms
            if spent_ms < _MIN_APPEND_INTERVAL_MS:
                await self._clock.sleep_ms(_MIN_APPEND_INTERVAL_MS - spent_ms)

    async def _append(self, batch: Batch) -> None:
        self._sequence += 1
        begun_ms = self.pending_since_ms = self._clock.now_ms()
        # The store applies each sequence number at most once.
        sequence = self._sequence
        delay_ms = max(
            _HEDGE_FACTOR * int(self._mean_append_ms), _MIN_HEDGE_DELAY_MS
        )
        await self._call_until_answered(
            lambda: self._store.append(
                STREAM,
                batch.records,
                self._epoch,
                sequence,
                _APPEND_TIMEOUT_MS,
            ),
            min(delay_ms, _MAX_HEDGE_DELAY_MS),
            lambda: self._store.probe_end(STREAM),
        )
        self.pending_since_ms = None
        took_ms = self._clock.now_ms() - begun_ms
        self._mean_append_ms += _NEWEST_WEIGHT * (
            took_ms - self._mean_append_ms
        )
        self._note_store_success(begun_ms)

    async def _read_all(self) -> tuple[dict[str, bytes], int]:
        hedged_call = hedged_call_module.HedgedCall(
            self._clock,
            lambda: self._store.read_latest(STREAM, hedged_call.note_progress),
            self._note_store_failure,
        )
        with hedged_call:
            return await hedged_call.first_answer(_MAX_HEDGE_DELAY_MS)

    async def _read_later_records(
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
            if chunk.end < start:
                raise errors.LogTrimmed(
                    f'the log ends at {chunk.end}, before the records that '
                    'were read; read it from its start',
                    first_offset=chunk.first,
                )
            start += len(chunk.records)
            if start >= chunk.end:
                return values
            if not chunk.records:
                # Not the end: what follows may be accepted jobs.
                raise errors.LogUnavailable(
                    f'the answer has no record from offset {start} on, and '
                    f'the log ends at {chunk.end}; read it again'
                )

    async def _call_until_answered(
        self,
        call: collections.abc.Callable[[], collections.abc.Awaitable[_T]],
        delay_ms: int = _MIN_HEDGE_DELAY_MS,
        probe: hedged_call_module.Probe | None = None,
    ) -> _T:
        hedged_call = hedged_call_module.HedgedCall(
            self._clock, call, self._note_store_failure, probe
        )
        with hedged_call:
            return await hedged_call.first_answer(delay_ms)

    def _note_store_failure(self, error: errors.BasilspindleError) -> None:
        if not self._store_failing:
            self._store_failing = True
            events.emit(
                cell_events.STORE_FAILED, call='append', error=error.message
            )

    def _note_store_success(self, begun_ms: int) -> None:
        # The answer may have been on its way for long, or this process may
        # have stood still: it tells only what held when the call began.
        if self._confirmation.extend(begun_ms):
            self._wake.set()
        if self._store_failing:
            self._store_failing = False
            events.emit(cell_events.STORE_REGAINED, call='append')


def put_job(batch: Batch, job: job_module.Job, now_wall_ms: int) -> None:
    """Add the records that store the current state of a job."""
    job_id = job.job_id
    state = job.state
    occurrences = job.next_occurrence
    if state.is_final:
        definition = job.definition
        if job.durable_state is not None:
            batch.put(_DEFINITION_PREFIX + job_id, None)
            _put_progress(batch, job, [])
        job.final_wall_ms = job.final_wall_ms or now_wall_ms
        record = EndedJobRecord(
            definition.workspace, definition.queue, state, job.final_wall_ms
        )
        batch.put(_ENDED_PREFIX + job_id, msgspec.msgpack.encode(record))
    elif job.durable_state is None:
        batch.put(
            _DEFINITION_PREFIX + job_id, msgspec.msgpack.encode(job.definition)
        )
        if job.definition.max_runs:
            # The definition names no occurrence as open.
            occurrences = 0
    else:
        progress = progress_module.capture(job)
        _put_progress(batch, job, progress_module.divide(progress))
    batch.jobs.append((job, state, occurrences))
    job.append_started = True


def _put_progress(
    batch: Batch, job: job_module.Job, parts: list[progress_module.Progress]
) -> None:
    mark = (job.progress_mark + 1) % decoding.MAX_INTEGER
    for number, part in enumerate(parts):
        part = msgspec.structs.replace(part, mark=mark)
        batch.put(
            _progress_key(job.job_id, number), msgspec.msgpack.encode(part)
        )
    numbers = set(range(len(parts)))
    for number in sorted((job.recorded_parts | {0}) - numbers):
        batch.put(_progress_key(job.job_id, number), None)
    job.recorded_parts = numbers
    job.progress_mark = mark


def _progress_key(job_id: str, number: int) -> str:
    suffix = f'.{number}' if number else ''
    return f'{_PROGRESS_PREFIX}{job_id}{suffix}'


def _part_numbers(values: dict[str, bytes]) -> dict[str, set[int]]:
    numbers: dict[str, set[int]] = {}
    for key in values:
        if not key.startswith(_PROGRESS_PREFIX):
            continue
        job_id, _, suffix = key[1:].partition('.')
        if suffix and not (suffix.isascii() and suffix.isdecimal()):
            continue
        number = int(suffix or 0)
        if key == _progress_key(job_id, number):
            numbers.setdefault(job_id, set()).add(number)
    return numbers


def put_tombstone(batch: Batch, job_id: str) -> None:
    """Add a record that deletes an expired job from the store."""
    batch.put(_ENDED_PREFIX + job_id, None)


def put_worker_addresses(
    batch: Batch, worker_addresses: dict[str, str]
) -> None:
    """Add a record of the workers that the leader uses, id to address."""
    batch.put(_WORKER_ADDRESSES_KEY, msgspec.msgpack.encode(worker_addresses))


def put_settled_lives(batch: Batch, settled_lives: dict[str, int]) -> None:
    """Add a record of the settled lives of workers, id to start time."""
    batch.put(_SETTLED_LIVES_KEY, msgspec.msgpack.encode(settled_lives))


def put_capacities(
    batch: Batch, capacities: dict[str, need_module.Need]
) -> None:
    """Add a record of what workers have room for, by worker id."""
    batch.put(_CAPACITIES_KEY, msgspec.msgpack.encode(capacities))


def put_early_cancel(batch: Batch, job_id: str, workspaces: list[str]) -> None:
    """Add the cancellations of a job that has not arrived, or remove them."""
    batch.put(
        _EARLY_CANCEL_PREFIX + job_id,
        msgspec.msgpack.encode(workspaces) if workspaces else None,
    )


def put_unattributed_end(batch: Batch, end: report_module.RunEnd) -> None:
    """Add a record of the end of a run whose job cannot be read."""
    # A checkpoint only saves work, and might not fit.
    stored = msgspec.structs.replace(end, checkpoint='')
    batch.put(_unattributed_end_key(end), msgspec.msgpack.encode(stored))


def remove_unattributed_end(batch: Batch, end: report_module.RunEnd) -> None:
    """Remove the record of an end that is part of its job's progress."""
    batch.put(_unattributed_end_key(end), None)


def _unattributed_end_key(end: report_module.RunEnd) -> str:
    return f'{_UNATTRIBUTED_END_PREFIX}{end.name}.{end.run}'


def put_waits(batch: Batch, waits: WaitsRecord) -> None:
    """Add a record of the workers that the leader awaits."""
    batch.put(_WAITS_KEY, msgspec.msgpack.encode(waits))


def put_stopping(batch: Batch, record: StoppingRecord) -> None:
    """Add a record of what ended jobs may still run, or remove it."""
    batch.put(
        _STOPPING_KEY,
        msgspec.msgpack.encode(record) if record.usage else None,
    )


def put_placement(
    batch: Batch, worker_id: str, record: PlacementRecord | None
) -> None:
    """Add a record of what may run on a worker, or remove it."""
    batch.put(
        _PLACEMENT_PREFIX + worker_id,
        None if record is None else msgspec.msgpack.encode(record),
    )


def put_copy_keepers(batch: Batch, record: CopyKeepersRecord) -> None:
    """Add a record of the daemons that keep starts of the leader."""
    batch.put(_COPY_KEEPERS_KEY, msgspec.msgpack.encode(record))


def is_full(batch: Batch) -> bool:
    """Tell whether a batch has reached the size limit of an append."""
    return batch.size_bytes >= _MAX_BATCH_BYTES


def _decode(values: dict[str, bytes]) -> RecoveredState:
    recovered = RecoveredState()
    recovered.part_numbers = _part_numbers(values)
    for key, raw in values.items():
        try:
            _decode_record(recovered, values, key, raw)
        except decoding.FAULTS as error:
            events.emit(
                cell_events.RECORD_UNREADABLE, key=key, error=str(error)
            )
            if key.startswith(_JOB_PREFIXES):
                recovered.unreadable_job_ids.add(key[1:])
            elif key.startswith(_EARLY_CANCEL_PREFIX):
                # Its caller was told that the job never runs.
                recovered.early_cancels[key[1:]] = [
                    early_cancels.ANY_WORKSPACE
                ]
    return recovered


def _decode_record(
    recovered: RecoveredState, values: dict[str, bytes], key: str, raw: bytes
) -> None:
    decode: typing.Any = msgspec.msgpack.decode
    if key == _WORKER_ADDRESSES_KEY:
        recovered.worker_addresses = decode(raw, type=dict[str, str])
    elif key == _SETTLED_LIVES_KEY:
        recovered.settled_lives = decode(raw, type=dict[str, decoding.Count])
    elif key == _CAPACITIES_KEY:
        recovered.capacities = decode(raw, type=dict[str, need_module.Need])
    elif key == _WAITS_KEY:
        recovered.waits = decode(raw, type=WaitsRecord)
    elif key == _STOPPING_KEY:
        recovered.stopping = decode(raw, type=StoppingRecord)
    elif key == _COPY_KEEPERS_KEY:
        recovered.copy_keepers = decode(raw, type=CopyKeepersRecord)
    elif key.startswith(_PLACEMENT_PREFIX):
        recovered.placements[key[1:]] = decode(raw, type=PlacementRecord)
    elif key.startswith(_EARLY_CANCEL_PREFIX):
        recovered.early_cancels[key[1:]] = decode(raw, type=list[str])
    elif key.startswith(_UNATTRIBUTED_END_PREFIX):
        recovered.unattributed_ends.append(
            decode(raw, type=report_module.RunEnd)
        )
    elif key.startswith(_ENDED_PREFIX):
        recovered.ended_jobs[key[1:]] = decode(raw, type=EndedJobRecord)
    elif key.startswith(_DEFINITION_PREFIX):
        parts: list[progress_module.Progress] = []
        for number in sorted(recovered.part_numbers.get(key[1:], ())):
            if number >= (parts[0].parts if parts else 1):
                break
            raw_part = values[_progress_key(key[1:], number)]
            parts.append(decode(raw_part, type=progress_module.Progress))
        recovered.jobs.append(
            (
                decode(raw, type=definition_module.JobDefinition),
                parts,
            )
        )
