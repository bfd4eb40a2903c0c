"""Decide which workers are quarantined because their tasks fail."""

import collections
import statistics

_MAX_OUTCOMES = 20  # per worker
_MIN_STARTS = 5
_MAX_FAILURE_RATE = 0.5
_MIN_MEDIAN_MULTIPLE = 3.0
# A job that failed on this many workers is considered the cause itself.
_JOB_FAULT_WORKERS = 3
_MAX_TRACKED_JOBS = 2_000
_QUARANTINE_MS = 30_000
_MAX_QUARANTINE_MS = 600_000
# The last task limit on the way to full readmission.
_MAX_READMISSION_TASKS = 8


class _WorkerRecord:
    """Outcomes of one worker in its current incarnation."""

    __slots__ = (
        'failure_domain',
        'incarnation',
        'outcomes',
        'quarantined_until_ms',
        'quarantine_ms',
        'task_limit',
        'succeeded',
    )

    def __init__(self, failure_domain: str, incarnation: str) -> None:
        self.failure_domain = failure_domain
        self.incarnation = incarnation
        # Job id, and whether the task failed, of the last tasks.
        self.outcomes: collections.deque[tuple[str, bool]] = collections.deque(
            maxlen=_MAX_OUTCOMES
        )
        self.quarantined_until_ms = 0
        self.quarantine_ms = _QUARANTINE_MS
        # Largest number of concurrent tasks during readmission; 0 means no
        # limit.
        self.task_limit = 0
        # Successes since the task limit was last changed.
        self.succeeded = 0

    def failure_rate(self) -> float:
        if not self.outcomes:
            return 0.0
        failed = sum(failed for _, failed in self.outcomes)
        return failed / len(self.outcomes)


class Health:
    """Track task failures by worker.

    Does no I/O; the time is passed in. A worker is quarantined if, in its
    current incarnation, it has at least 5 outcomes, more than half of them
    failures, and at least 3 times the median failure rate of the other
    workers in its failure domain.

    A quarantined worker gets no tasks for a while. It may then run one
    task at a time, and its limit doubles each time that as many tasks have
    succeeded. A failure during readmission quarantines it again, for twice
    as long. Only the last 20 outcomes count, so that a worker that starts
    to fail after many successes is noticed.
    """

    __slots__ = ('_records', '_failed_workers_by_job')

    def __init__(self) -> None:
        self._records: dict[str, _WorkerRecord] = {}
        self._failed_workers_by_job: dict[str, set[str]] = {}

    def track(
        self, worker_id: str, failure_domain: str, incarnation: str
    ) -> None:
        """Track a worker; a new incarnation starts without outcomes."""
        record = self._records.get(worker_id)
        if record is None or record.incarnation != incarnation:
            self._records[worker_id] = _WorkerRecord(
                failure_domain, incarnation
            )

    def forget(self, worker_id: str) -> None:
        """Stop tracking a worker."""
        self._records.pop(worker_id, None)

    def record(
        self,
        worker_id: str,
        job_id: str,
        failed: bool,
        now_ms: int,
        other_failed_workers: int = 0,
    ) -> bool:
        """Record an outcome; return whether it starts a quarantine.

        ``other_failed_workers`` is the number of other workers on which
        the task failed before.
        """
        record = self._records.get(worker_id)
        if record is None:
            return False
        if failed and self._is_job_at_fault(
            worker_id, job_id, other_failed_workers
        ):
            return False
        record.outcomes.append((job_id, failed))
        if record.task_limit:
            return self._record_readmission(record, failed, now_ms)
        if failed and self._exceeds_failure_limits(worker_id, record):
            self._start_quarantine(record, now_ms)
            return True
        return False

    def task_limit(self, worker_id: str, now_ms: int) -> int | None:
        """Return how many tasks may run at once; None means no limit."""
        record = self._records.get(worker_id)
        if record is None or not record.task_limit:
            return None
        if now_ms < record.quarantined_until_ms:
            return 0
        return record.task_limit

    def limited(self, worker_id: str) -> bool:
        """Return whether a worker is quarantined or being readmitted."""
        record = self._records.get(worker_id)
        return record is not None and record.task_limit > 0

    def penalty(self, worker_id: str) -> float:
        """Return the share of the last tasks that failed."""
        record = self._records.get(worker_id)
        return record.failure_rate() if record is not None else 0.0

    def _is_job_at_fault(
        self, worker_id: str, job_id: str, other_failed_workers: int
    ) -> bool:
        if len(self._failed_workers_by_job) >= _MAX_TRACKED_JOBS:
            self._failed_workers_by_job.pop(
                next(iter(self._failed_workers_by_job))
            )
        workers = self._failed_workers_by_job.setdefault(job_id, set())
        workers.add(worker_id)
        if max(len(workers), other_failed_workers + 1) < _JOB_FAULT_WORKERS:
            return False
        for record in self._records.values():
            kept = [o for o in record.outcomes if o != (job_id, True)]
            if len(kept) < len(record.outcomes):
                record.outcomes = collections.deque(kept, maxlen=_MAX_OUTCOMES)
        return True

    def _exceeds_failure_limits(
        self, worker_id: str, record: _WorkerRecord
    ) -> bool:
        if len(record.outcomes) < _MIN_STARTS:
            return False
        rate = record.failure_rate()
        if rate <= _MAX_FAILURE_RATE:
            return False
        return rate >= _MIN_MEDIAN_MULTIPLE * self._median_failure_rate(
            worker_id, record
        )

    def _median_failure_rate(
        self, worker_id: str, record: _WorkerRecord
    ) -> float:
        others = [
            (
                other.failure_domain == record.failure_domain,
                other.failure_rate(),
            )
            for other_id, other in self._records.items()
            if other_id != worker_id and other.outcomes
        ]
        # This daemon may hold no other worker of the failure domain; then
        # all its other workers are compared.
        same_domain = [rate for same, rate in others if same]
        rates = same_domain or [rate for _, rate in others]
        return statistics.median(rates) if rates else 0.0

    def _start_quarantine(self, record: _WorkerRecord, now_ms: int) -> None:
        record.task_limit = 1
        record.succeeded = 0
        record.quarantined_until_ms = now_ms + record.quarantine_ms
        record.quarantine_ms = min(
            2 * record.quarantine_ms, _MAX_QUARANTINE_MS
        )

    def _record_readmission(
        self, record: _WorkerRecord, failed: bool, now_ms: int
    ) -> bool:
        if now_ms < record.quarantined_until_ms:
            # The task was started before the quarantine.
            return False
        if failed:
            self._start_quarantine(record, now_ms)
            return True
        record.succeeded += 1
        if record.succeeded >= record.task_limit:
            record.succeeded = 0
            record.task_limit *= 2
        if record.task_limit > _MAX_READMISSION_TASKS:
            record.task_limit = 0
            record.quarantine_ms = _QUARANTINE_MS
            record.outcomes.clear()
        return False
