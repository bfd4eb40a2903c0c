"""Derive the state of a partition from its stream."""

import collections
import functools

from basilspindle.journal import batch as batch_module
from basilspindle.journal import job_entry
from basilspindle.journal import records
from basilspindle.journal import snapshot
from basilspindle import model

# An owner has one batch in flight, so that only recent writers can still
# have a delayed duplicate.
_MAX_WRITERS = 64


class _Loading:
    """A snapshot that is not complete, and the records after its begin."""

    __slots__ = ('begin', 'parts', 'later')

    def __init__(self, begin: records.SnapshotBegin) -> None:
        self.begin = begin
        self.parts: list[records.SnapshotPart] = []
        self.later: list[tuple[int, records.Record]] = []


class PartitionState:
    """State machine that all readers of a stream run alike.

    ``epoch`` is the offset of the latest claim and ``claimant`` the member
    that made it. ``complete`` is False for a reader that started behind
    the first offset, until it has read a whole snapshot.
    """

    __slots__ = (
        'epoch',
        'claimant',
        'incarnation',
        'released',
        'complete',
        'jobs',
        'wall_ms',
        'writers',
        'snapshots',
        'records_since_snapshot',
        '_keep_ms',
        '_ended',
        '_loading',
    )

    def __init__(
        self, *, result_keep_ms: int = 900_000, complete: bool = True
    ) -> None:
        self.epoch = 0
        self.claimant = ''
        self.incarnation = ''
        self.released = False
        self.complete = complete
        self.jobs: dict[str, job_entry.JobEntry] = {}
        self.wall_ms = 0
        self.writers: dict[str, int] = {}
        self.snapshots = 0
        self.records_since_snapshot = 0
        self._keep_ms = result_keep_ms
        self._ended: collections.deque[job_entry.JobEntry] = (
            collections.deque()
        )
        self._loading: _Loading | None = None

    def apply(
        self, offset: int, batch: batch_module.Batch, own: bool = False
    ) -> bool:
        """Apply the batch at an offset; return whether it took effect.

        ``own`` says that this state is the source of the snapshots in the
        batch, which then replace nothing.
        """
        if batch.counter <= self.writers.get(batch.writer, 0):
            return False
        if not self._admit(offset, batch):
            return False
        self._note_writer(batch)
        self.wall_ms = max(self.wall_ms, batch.wall_ms)
        for record in batch.records:
            self.records_since_snapshot += 1
            if self._loading is not None:
                self._loading.later.append((self.wall_ms, record))
            _apply_record(record, self, own)
        self._drop_old()
        return True

    def _admit(self, offset: int, batch: batch_module.Batch) -> bool:
        if batch.records and isinstance(batch.records[0], records.Claim):
            self.epoch = offset
            return True
        if not self.complete and batch.epoch > self.epoch:
            # The claim was trimmed; its epoch is known from its batches.
            self._clear(batch.epoch)
        return batch.epoch == self.epoch and not self.released

    def _clear(self, epoch: int) -> None:
        self.epoch = epoch
        self.claimant = ''
        self.incarnation = ''
        self.released = False
        self.jobs = {}
        self._ended.clear()
        self._loading = None

    def _note_writer(self, batch: batch_module.Batch) -> None:
        self.writers.pop(batch.writer, None)
        self.writers[batch.writer] = batch.counter
        if len(self.writers) > _MAX_WRITERS:
            del self.writers[next(iter(self.writers))]

    def _drop_old(self) -> None:
        oldest_ms = self.wall_ms - self._keep_ms
        while self._ended and self._ended[0].ended_wall_ms < oldest_ms:
            entry = self._ended.popleft()
            del self.jobs[entry.job.job_id]

    def end(
        self, entry: job_entry.JobEntry, state: model.State, reason: str
    ) -> None:
        """Make the state of a job final."""
        entry.state = state
        entry.reason = reason
        entry.ended_wall_ms = self.wall_ms
        entry.intents.clear()
        self._ended.append(entry)

    def begin_snapshot(self, begin: records.SnapshotBegin) -> None:
        """Start to collect a snapshot."""
        self._loading = _Loading(begin)

    def add_part(self, part: records.SnapshotPart) -> None:
        """Collect a part if it is the next one."""
        loading = self._loading
        if loading is None:
            return
        if part.number == len(loading.parts):
            loading.parts.append(part)
        else:
            self._loading = None

    def end_snapshot(self, own: bool) -> None:
        """Count the collected snapshot if it is complete."""
        loading = self._loading
        self._loading = None
        if loading is None or len(loading.parts) != loading.begin.parts:
            return
        self.snapshots += 1
        self.records_since_snapshot = 0
        self.complete = True
        if not own:
            self._restore(loading)

    def _restore(self, loading: _Loading) -> None:
        begin = loading.begin
        self.claimant = begin.claimant
        self.incarnation = begin.incarnation
        self._merge_writers(begin.writers)
        self.jobs = snapshot.restore(loading.parts)
        finished = [entry for entry in self.jobs.values() if entry.final]
        finished.sort(key=lambda entry: entry.ended_wall_ms)
        self._ended = collections.deque(finished)
        last_wall_ms = self.wall_ms
        self.wall_ms = begin.wall_ms
        for wall_ms, record in loading.later:
            self.wall_ms = max(self.wall_ms, wall_ms)
            if not isinstance(record, _SNAPSHOT_RECORDS):
                _apply_record(record, self, False)
        self.wall_ms = max(self.wall_ms, last_wall_ms)

    def _merge_writers(self, writers: dict[str, int]) -> None:
        # Only the writer of the snapshot had effect since its begin.
        latest = next(reversed(self.writers))
        counter = self.writers[latest]
        self.writers = dict(writers)
        self.writers.pop(latest, None)
        self.writers[latest] = counter
        if len(self.writers) > _MAX_WRITERS:
            del self.writers[next(iter(self.writers))]

    def cancel_snapshot(self) -> None:
        """Forget a snapshot that is not complete."""
        self._loading = None

    def dump(self) -> dict:
        """Return the state without inputs and results, for diagnosis."""
        return {
            'epoch': self.epoch,
            'claimant': self.claimant,
            'incarnation': self.incarnation,
            'released': self.released,
            'complete': self.complete,
            'wall_ms': self.wall_ms,
            'records_since_snapshot': self.records_since_snapshot,
            'writers': dict(self.writers),
            'jobs': [entry.dump() for entry in self.jobs.values()],
        }


_SNAPSHOT_RECORDS = (
    records.SnapshotBegin,
    records.SnapshotPart,
    records.SnapshotEnd,
)


@functools.singledispatch
def _apply_record(
    record: records.Record, state: PartitionState, own: bool
) -> None:
    raise TypeError(f'no rule for a record of type {type(record).__name__}')


@_apply_record.register
def _(record: records.Claim, state: PartitionState, own: bool) -> None:
    state.claimant = record.member_id
    state.incarnation = record.incarnation
    state.released = False
    state.cancel_snapshot()


@_apply_record.register
def _(record: records.Release, state: PartitionState, own: bool) -> None:
    state.released = True


@_apply_record.register
def _(record: records.JobAccepted, state: PartitionState, own: bool) -> None:
    job_id = record.job.job_id
    if job_id not in state.jobs:
        state.jobs[job_id] = job_entry.JobEntry(record.job)


@_apply_record.register
def _(record: records.JobCancelled, state: PartitionState, own: bool) -> None:
    entry = state.jobs.get(record.job_id)
    if entry is not None and not entry.final:
        entry.cancelled = True


@_apply_record.register
def _(record: records.StartIntent, state: PartitionState, own: bool) -> None:
    entry = state.jobs.get(record.job_id)
    if entry is None or entry.final or record.index in entry.ended:
        return
    entry.intents[record.index] = record


@_apply_record.register
def _(record: records.TaskEnded, state: PartitionState, own: bool) -> None:
    entry = state.jobs.get(record.job_id)
    if entry is None or record.index in entry.ended:
        return
    intent = entry.intents.get(record.index)
    if intent is not None and intent.attempt <= record.attempt:
        del entry.intents[record.index]
    if not record.state.final:
        return
    entry.intents.pop(record.index, None)
    entry.ended[record.index] = model.TaskResult(
        index=record.index,
        state=record.state,
        attempts=record.attempt,
        worker_id=record.worker_id,
        result=record.result,
        error=record.error,
    )
    if not entry.final and entry.open_tasks == 0:
        state.end(entry, entry.outcome(), record.error)


@_apply_record.register
def _(record: records.JobEnded, state: PartitionState, own: bool) -> None:
    entry = state.jobs.get(record.job_id)
    if entry is not None and not entry.final:
        state.end(entry, record.state, record.reason)


@_apply_record.register
def _(record: records.SnapshotBegin, state: PartitionState, own: bool) -> None:
    state.begin_snapshot(record)


@_apply_record.register
def _(record: records.SnapshotPart, state: PartitionState, own: bool) -> None:
    state.add_part(record)


@_apply_record.register
def _(record: records.SnapshotEnd, state: PartitionState, own: bool) -> None:
    state.end_snapshot(own)
