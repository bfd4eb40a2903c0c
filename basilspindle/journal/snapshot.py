"""Convert the state of a partition to snapshot records and back."""

import collections.abc
import typing

from basilspindle.journal import job_entry
from basilspindle.journal import records
from basilspindle.journal import soundness
from basilspindle import model

if typing.TYPE_CHECKING:
    from basilspindle.journal import partition_state

_MAX_PART_BYTES = 65_536
# Approximate encoded sizes of a job without its input and of a task result
# without its result and error.
_JOB_OVERHEAD_BYTES = 300
_RESULT_OVERHEAD_BYTES = 40


def make_records(
    state: 'partition_state.PartitionState',
) -> list[records.Record]:
    """Return the records of a snapshot of a state, in stream order."""
    parts = [
        records.SnapshotPart(number, jobs)
        for number, jobs in enumerate(_group_pieces(state.jobs.values()))
    ]
    begin = records.SnapshotBegin(
        claimant=state.claimant,
        incarnation=state.incarnation,
        wall_ms=state.wall_ms,
        writers=dict(state.writers),
        parts=len(parts),
    )
    return [begin, *parts, records.SnapshotEnd()]


def restore(
    parts: collections.abc.Iterable[records.SnapshotPart],
) -> dict[str, job_entry.JobEntry]:
    """Return the jobs of a complete snapshot by job id."""
    jobs: dict[str, job_entry.JobEntry] = {}
    for part in parts:
        for piece in part.jobs:
            _restore_piece(jobs, piece)
    return jobs


def _restore_piece(
    jobs: dict[str, job_entry.JobEntry], piece: records.SnapshotJob
) -> None:
    if piece.job is not None and soundness.check_job(piece.job):
        entry = job_entry.JobEntry(piece.job)
        entry.cancelled = piece.cancelled
        entry.state = piece.state
        entry.reason = piece.reason
        entry.ended_wall_ms = piece.ended_wall_ms
        jobs[piece.job.job_id] = entry
    entry = jobs.get(piece.job_id)
    if entry is None:
        # Written by another build: results of a job that is not there.
        return
    for end in piece.ended:
        if not end.state.final:
            continue
        if not soundness.has_task(entry.job, end.index):
            continue
        entry.ended[end.index] = model.TaskResult(
            index=end.index,
            state=end.state,
            attempts=end.attempts,
            worker_id=end.worker_id,
            result=end.result,
            error=end.error,
        )
    for intent in piece.intents:
        if soundness.has_task(entry.job, intent.index):
            entry.intents[intent.index] = intent


def _group_pieces(
    entries: collections.abc.Iterable[job_entry.JobEntry],
) -> collections.abc.Iterator[list[records.SnapshotJob]]:
    group: list[records.SnapshotJob] = []
    part_bytes = 0
    for entry in entries:
        for piece, piece_bytes in _split_job(entry):
            if group and part_bytes + piece_bytes > _MAX_PART_BYTES:
                yield group
                group = []
                part_bytes = 0
            group.append(piece)
            part_bytes += piece_bytes
    if group:
        yield group


def _split_job(
    entry: job_entry.JobEntry,
) -> collections.abc.Iterator[tuple[records.SnapshotJob, int]]:
    # A job of 10,000 tasks with results exceeds the maximum size of an
    # append.
    intents = list(entry.intents.values())
    piece_bytes = (
        _JOB_OVERHEAD_BYTES
        + len(entry.job.input)
        + _RESULT_OVERHEAD_BYTES * len(intents)
    )
    job: model.Job | None = entry.job
    ended: list[records.SnapshotResult] = []
    for result in entry.ended.values():
        result_bytes = (
            _RESULT_OVERHEAD_BYTES + len(result.result) + len(result.error)
        )
        if ended and piece_bytes + result_bytes > _MAX_PART_BYTES:
            yield _make_piece(entry, job, ended, intents), piece_bytes
            job, ended, intents, piece_bytes = (
                None,
                [],
                [],
                _RESULT_OVERHEAD_BYTES,
            )
        ended.append(_make_result(result))
        piece_bytes += result_bytes
    yield _make_piece(entry, job, ended, intents), piece_bytes


def _make_piece(
    entry: job_entry.JobEntry,
    job: model.Job | None,
    ended: list[records.SnapshotResult],
    intents: list[records.StartIntent],
) -> records.SnapshotJob:
    return records.SnapshotJob(
        job_id=entry.job.job_id,
        job=job,
        cancelled=entry.cancelled,
        state=entry.state,
        reason=entry.reason,
        ended_wall_ms=entry.ended_wall_ms,
        ended=ended,
        intents=intents,
    )


def _make_result(result: model.TaskResult) -> records.SnapshotResult:
    return records.SnapshotResult(
        index=result.index,
        state=result.state,
        attempts=result.attempts,
        worker_id=result.worker_id,
        result=result.result,
        error=result.error,
    )
