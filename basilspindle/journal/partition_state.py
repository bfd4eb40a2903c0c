"""Derive the state of a partition from its stream."""

import collections
import functools

from basilspindle.journal import batch as batch_module
from basilspindle.journal import job_entry
from basilspindle.journal import records
from basilspindle.journal import snapshot
from basilspindle.journal import soundness
from basilspindle import model

# An owner has one batch in flight at a time, so that a delayed duplicate of
# a batch can only come from a recent writer.
_MAX_WRITERS = 64


class _PartialSnapshot:
    """Snapshot that is being read, and the records since its begin."""

    __slots__ = ('begin', 'parts', 'later_records')

    def __init__(self, begin: records.SnapshotBegin) -> None:
        self.begin = begin
        self.parts: list[records.SnapshotPart] = []
        self.later_records: list[tuple[int, records.Record]] = []


class PartitionState:
    """State that every reader of a stream derives alike from its batches.

    ``epoch`` is the offset of the latest claim and ``claimant`` the member
    that made it. ``writers`` holds the counter of the last batch of each
    recent writer, oldest first. ``wall_ms`` is the latest wall time that the
    batches agree on; results expire by it. ``complete`` is False if the reader
    started after the first offset, until it has read a whole snapshot.
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
        'snapshot_count',
        'records_since_snapshot',
        '_result_keep_ms',
        '_last_wall_ms',
        '_date_ms',
        '_ended_jobs',
        '_partial_snapshot',
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
        self.snapshot_count = 0
        self.records_since_snapshot = 0
        self._result_keep_ms = result_keep_ms
        # The wall time of the last batch, None before the first one.
        self._last_wall_ms: int | None = None
        # The wall time at which jobs end.
        self._date_ms = 0
        self._ended_jobs: collections.deque[job_entry.JobEntry] = (
            collections.deque()
        )
        self._partial_snapshot: _PartialSnapshot | None = None

    def apply(
        self, offset: int, batch: batch_module.Batch, is_source: bool = False
    ) -> bool:
        """Apply the batch at an offset; return whether it took effect.

        ``is_source`` tells that snapshots in the batch were made from this
        state, so that they need not replace it.
        """
        if batch.counter <= self.writers.get(batch.writer, 0):
            return False
        if not self._accept(offset, batch):
            return False
        self._note_writer(batch)
        self._advance_wall(batch.wall_ms)
        for record in batch.records:
            self.records_since_snapshot += 1
            if self._partial_snapshot is not None:
                self._partial_snapshot.later_records.append(
                    (self._date_ms, record)
                )
            _apply_record(record, self, is_source)
        self._drop_expired_jobs()
        return True

    def _accept(self, offset: int, batch: batch_module.Batch) -> bool:
        if batch.records and isinstance(batch.records[0], records.Claim):
            self.epoch = offset
            return True
        if not self.complete and self.epoch < batch.epoch < offset:
            # The claim was trimmed; later batches hold its offset.
            self._reset(batch.epoch)
        return batch.epoch == self.epoch and not self.released

    def _reset(self, epoch: int) -> None:
        self.epoch = epoch
        self.claimant = ''
        self.incarnation = ''
        self.released = False
        self.jobs = {}
        self._ended_jobs.clear()
        self._partial_snapshot = None

    def _note_writer(self, batch: batch_module.Batch) -> None:
        self.writers.pop(batch.writer, None)
        self.writers[batch.writer] = batch.counter
        if len(self.writers) > _MAX_WRITERS:
            del self.writers[next(iter(self.writers))]

    def _advance_wall(self, wall_ms: int) -> None:
        """Apply the wall time of a batch.

        A step by more than the time for which results are kept, in either
        direction, is made only if two batches in a row are beyond it, and
        as far as both are. The clock of one writer may be wrong, and a time
        that is far too high would end the keeping of all results.
        """
        last_ms, self._last_wall_ms = self._last_wall_ms, wall_ms
        latest_ms = self.wall_ms + self._result_keep_ms
        earliest_ms = self.wall_ms - self._result_keep_ms
        self._date_ms = wall_ms
        if wall_ms > latest_ms:
            if last_ms is not None and last_ms > latest_ms:
                self.wall_ms = min(wall_ms, last_ms)
        elif wall_ms < earliest_ms:
            if last_ms is not None and last_ms < earliest_ms:
                self.wall_ms = max(wall_ms, last_ms)
            self._date_ms = self.wall_ms
        else:
            self.wall_ms = self._date_ms = max(self.wall_ms, wall_ms)
        if (
            self._ended_jobs
            and self._ended_jobs[-1].ended_wall_ms > self._date_ms
        ):
            self._redate_ended_jobs()

    def _redate_ended_jobs(self) -> None:
        # Their end was dated by a time that no other batch confirmed.
        for entry in self._ended_jobs:
            entry.ended_wall_ms = min(entry.ended_wall_ms, self._date_ms)

    def _drop_expired_jobs(self) -> None:
        oldest_kept_ms = self.wall_ms - self._result_keep_ms
        while (
            self._ended_jobs
            and self._ended_jobs[0].ended_wall_ms < oldest_kept_ms
        ):
            entry = self._ended_jobs.popleft()
            del self.jobs[entry.job.job_id]

    def end_job(
        self, entry: job_entry.JobEntry, state: model.State, reason: str
    ) -> None:
        """Set the final state of a job."""
        entry.state = state
        entry.reason = reason
        entry.ended_wall_ms = self._date_ms
        entry.intents.clear()
        self._ended_jobs.append(entry)

    def begin_snapshot(self, begin: records.SnapshotBegin) -> None:
        """Start to collect the parts of a snapshot."""
        self._partial_snapshot = _PartialSnapshot(begin)

    def add_snapshot_part(self, part: records.SnapshotPart) -> None:
        """Add a part; if it is not the next one, discard the snapshot."""
        partial = self._partial_snapshot
        if partial is None:
            return
        if part.number == len(partial.parts):
            partial.parts.append(part)
        else:
            self._partial_snapshot = None

    def end_snapshot(self, is_source: bool) -> None:
        """Count the collected snapshot if it is complete, and restore it.

        A snapshot that was made from this state is only counted.
        """
        partial = self._partial_snapshot
        self._partial_snapshot = None
        if partial is None or len(partial.parts) != partial.begin.parts:
            return
        self.snapshot_count += 1
        self.records_since_snapshot = 0
        self.complete = True
        if not is_source:
            self._restore(partial)

    def _restore(self, partial: _PartialSnapshot) -> None:
        begin = partial.begin
        self.claimant = begin.claimant
        self.incarnation = begin.incarnation
        self._merge_writers(begin.writers)
        self.jobs = snapshot.restore(partial.parts)
        ended_jobs = [entry for entry in self.jobs.values() if entry.final]
        ended_jobs.sort(key=lambda entry: entry.ended_wall_ms)
        self._ended_jobs = collections.deque(ended_jobs)
        date_ms = self._date_ms
        # The snapshot of an earlier build may hold a time that one batch had.
        self.wall_ms = max(self.wall_ms, min(begin.wall_ms, date_ms))
        for wall_ms, record in partial.later_records:
            self._date_ms = wall_ms
            if not isinstance(record, _SNAPSHOT_RECORDS):
                _apply_record(record, self, False)
        self._date_ms = date_ms
        self._redate_ended_jobs()

    def _merge_writers(self, writers: dict[str, int]) -> None:
        # Since the begin of the snapshot only its writer had batches that
        # took effect; its counter here is newer than in the snapshot.
        latest = next(reversed(self.writers))
        counter = self.writers[latest]
        self.writers = dict(writers)
        self.writers.pop(latest, None)
        self.writers[latest] = counter
        if len(self.writers) > _MAX_WRITERS:
            del self.writers[next(iter(self.writers))]

    def discard_snapshot(self) -> None:
        """Discard the parts of a snapshot that is not complete."""
        self._partial_snapshot = None

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
    record: records.Record, state: PartitionState, is_source: bool
) -> None:
    raise TypeError(f'no handler for records of {type(record).__name__}')


@_apply_record.register
def _(record: records.Claim, state: PartitionState, is_source: bool) -> None:
    state.claimant = record.member_id
    state.incarnation = record.incarnation
    state.released = False
    state.discard_snapshot()


@_apply_record.register
def _(record: records.Release, state: PartitionState, is_source: bool) -> None:
    state.released = True


@_apply_record.register
def _(
    record: records.JobAccepted, state: PartitionState, is_source: bool
) -> None:
    job_id = record.job.job_id
    if job_id not in state.jobs and soundness.check_job(record.job):
        state.jobs[job_id] = job_entry.JobEntry(record.job)


@_apply_record.register
def _(
    record: records.JobCancelled, state: PartitionState, is_source: bool
) -> None:
    entry = state.jobs.get(record.job_id)
    if entry is not None and not entry.final:
        entry.cancelled = True


@_apply_record.register
def _(
    record: records.StartIntent, state: PartitionState, is_source: bool
) -> None:
    entry = state.jobs.get(record.job_id)
    if entry is None or entry.final or record.index in entry.ended:
        return
    if not soundness.has_task(entry.job, record.index):
        return
    entry.intents[record.index] = record


@_apply_record.register
def _(
    record: records.TaskEnded, state: PartitionState, is_source: bool
) -> None:
    entry = state.jobs.get(record.job_id)
    if entry is None or record.index in entry.ended:
        return
    if not soundness.has_task(entry.job, record.index):
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
        state.end_job(entry, entry.outcome(), record.error)


@_apply_record.register
def _(
    record: records.JobEnded, state: PartitionState, is_source: bool
) -> None:
    entry = state.jobs.get(record.job_id)
    if entry is None or entry.final or not record.state.final:
        return
    state.end_job(entry, record.state, record.reason)


@_apply_record.register
def _(
    record: records.SnapshotBegin, state: PartitionState, is_source: bool
) -> None:
    state.begin_snapshot(record)


@_apply_record.register
def _(
    record: records.SnapshotPart, state: PartitionState, is_source: bool
) -> None:
    state.add_snapshot_part(record)


@_apply_record.register
def _(
    record: records.SnapshotEnd, state: PartitionState, is_source: bool
) -> None:
    state.end_snapshot(is_source)
