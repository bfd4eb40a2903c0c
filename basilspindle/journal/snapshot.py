"""Turn the state of a partition into snapshot records and back."""

import collections.abc
import typing

from basilspindle.journal import job_entry
from basilspindle.journal import records
from basilspindle import model

if typing.TYPE_CHECKING:
    from basilspindle.journal import partition_state

_PART_BYTES = 65_536
# Sizes of the fields of a job and of a result besides input and result.
_JOB_BYTES = 300
_RESULT_BYTES = 40


def write(
    state: 'partition_state.PartitionState',
) -> list[records.Record]:
    """Return the records of a snapshot of a state, in order."""
    parts = [
        records.SnapshotPart(number, jobs)
        for number, jobs in enumerate(_group(state.jobs.values()))
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
    """Return the jobs of the parts of a complete snapshot."""
    jobs: dict[str, job_entry.JobEntry] = {}
    for part in parts:
        for saved in part.jobs:
            _restore_job(jobs, saved)
    return jobs


def _restore_job(
    jobs: dict[str, job_entry.JobEntry], saved: records.SnapshotJob
) -> None:
    if saved.job is not None:
        entry = job_entry.JobEntry(saved.job)
        entry.cancelled = saved.cancelled
        entry.state = saved.state
        entry.reason = saved.reason
        entry.ended_wall_ms = saved.ended_wall_ms
        jobs[saved.job_id] = entry
    entry = jobs[saved.job_id]
    for end in saved.ended:
        entry.ended[end.index] = model.TaskResult(
            index=end.index,
            state=end.state,
            attempts=end.attempts,
            worker_id=end.worker_id,
            result=end.result,
            error=end.error,
        )
    for intent in saved.intents:
        entry.intents[intent.index] = intent


def _group(
    entries: collections.abc.Iterable[job_entry.JobEntry],
) -> collections.abc.Iterator[list[records.SnapshotJob]]:
    group: list[records.SnapshotJob] = []
    size = 0
    for entry in entries:
        for piece, piece_size in _split(entry):
            if group and size + piece_size > _PART_BYTES:
                yield group
                group = []
                size = 0
            group.append(piece)
            size += piece_size
    if group:
        yield group


def _split(
    entry: job_entry.JobEntry,
) -> collections.abc.Iterator[tuple[records.SnapshotJob, int]]:
    # A job of 10,000 tasks with results is larger than one append may be.
    intents = list(entry.intents.values())
    size = _JOB_BYTES + len(entry.job.input) + _RESULT_BYTES * len(intents)
    job: model.Job | None = entry.job
    ended: list[records.SnapshotResult] = []
    for result in entry.ended.values():
        result_size = _RESULT_BYTES + len(result.result) + len(result.error)
        if ended and size + result_size > _PART_BYTES:
            yield _piece(entry, job, ended, intents), size
            job, ended, intents, size = None, [], [], _RESULT_BYTES
        ended.append(_pack(result))
        size += result_size
    yield _piece(entry, job, ended, intents), size


def _piece(
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


def _pack(result: model.TaskResult) -> records.SnapshotResult:
    return records.SnapshotResult(
        index=result.index,
        state=result.state,
        attempts=result.attempts,
        worker_id=result.worker_id,
        result=result.result,
        error=result.error,
    )
