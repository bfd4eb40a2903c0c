"""Decide which workers are quarantined for failing what they start."""

import collections
import statistics

_WINDOW = 20
_LEAST_STARTS = 5
_MOST_FAILED = 0.5
_ABOVE_MEDIAN = 3.0
_JOB_FAILS_ON = 3
_REMEMBERED_JOBS = 2_000
_QUARANTINE_MS = 30_000
_LONGEST_QUARANTINE_MS = 600_000
# A worker that completed this many tasks at once is fully readmitted.
_READMITTED = 8


class _Record:
    """Outcomes of one worker in its current incarnation."""

    __slots__ = (
        'failure_domain',
        'incarnation',
        'outcomes',
        'until_ms',
        'wait_ms',
        'allowed',
        'succeeded',
    )

    def __init__(self, failure_domain: str, incarnation: str) -> None:
        self.failure_domain = failure_domain
        self.incarnation = incarnation
        # (job id, failed) of the last starts.
        self.outcomes: collections.deque[tuple[str, bool]] = collections.deque(
            maxlen=_WINDOW
        )
        self.until_ms = 0
        self.wait_ms = _QUARANTINE_MS
        # Tasks allowed at once while being readmitted; 0 means no limit.
        self.allowed = 0
        self.succeeded = 0

    def rate(self) -> float:
        if not self.outcomes:
            return 0.0
        failed = sum(failed for _, failed in self.outcomes)
        return failed / len(self.outcomes)


class Health:
    """Track failures by worker; pure, time is passed in.

    A worker with at least 5 starts in its incarnation of which more than
    half failed, and 3 times the median failure rate of the other workers
    of its failure domain, gets nothing for a while, then one task at a
    time, then two, doubling with every full set of successes. A failure
    on the way doubles the wait. Only the last 20 outcomes count, so that
    an old worker that turns bad is noticed.
    """

    __slots__ = ('_records', '_failed_on')

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._failed_on: dict[str, set[str]] = {}

    def watch(
        self, worker_id: str, failure_domain: str, incarnation: str
    ) -> None:
        """Begin anew with a worker unless its incarnation is known."""
        record = self._records.get(worker_id)
        if record is None or record.incarnation != incarnation:
            self._records[worker_id] = _Record(failure_domain, incarnation)

    def forget(self, worker_id: str) -> None:
        """Drop a worker that is no longer held."""
        self._records.pop(worker_id, None)

    def record(
        self,
        worker_id: str,
        job_id: str,
        failed: bool,
        now_ms: int,
        elsewhere: int = 0,
    ) -> bool:
        """Count an end; return whether the worker enters quarantine.

        ``elsewhere`` is the number of other workers on which the task
        failed before.
        """
        record = self._records.get(worker_id)
        if record is None:
            return False
        if failed and self._blame_job(worker_id, job_id, elsewhere):
            return False
        record.outcomes.append((job_id, failed))
        if record.allowed:
            return self._readmit(record, failed, now_ms)
        if failed and self._bad(worker_id, record):
            self._quarantine(record, now_ms)
            return True
        return False

    def allowance(self, worker_id: str, now_ms: int) -> int | None:
        """Return how many tasks may run at once; None means any number."""
        record = self._records.get(worker_id)
        if record is None or not record.allowed:
            return None
        if now_ms < record.until_ms:
            return 0
        return record.allowed

    def limited(self, worker_id: str) -> bool:
        """Tell whether a worker is quarantined or being readmitted."""
        record = self._records.get(worker_id)
        return record is not None and record.allowed > 0

    def penalty(self, worker_id: str) -> float:
        """Return the part of the last starts that failed."""
        record = self._records.get(worker_id)
        return record.rate() if record is not None else 0.0

    def _blame_job(self, worker_id: str, job_id: str, elsewhere: int) -> bool:
        if len(self._failed_on) >= _REMEMBERED_JOBS:
            self._failed_on.pop(next(iter(self._failed_on)))
        workers = self._failed_on.setdefault(job_id, set())
        workers.add(worker_id)
        if max(len(workers), elsewhere + 1) < _JOB_FAILS_ON:
            return False
        for record in self._records.values():
            kept = [o for o in record.outcomes if o != (job_id, True)]
            if len(kept) < len(record.outcomes):
                record.outcomes = collections.deque(kept, maxlen=_WINDOW)
        return True

    def _bad(self, worker_id: str, record: _Record) -> bool:
        if len(record.outcomes) < _LEAST_STARTS:
            return False
        rate = record.rate()
        if rate <= _MOST_FAILED:
            return False
        return rate >= _ABOVE_MEDIAN * self._median(worker_id, record)

    def _median(self, worker_id: str, record: _Record) -> float:
        others = [
            (other.failure_domain == record.failure_domain, other.rate())
            for other_id, other in self._records.items()
            if other_id != worker_id and other.outcomes
        ]
        # A holder may have no other worker of the failure domain; the
        # rest of its workers are the next best measure.
        near = [rate for same, rate in others if same]
        rates = near or [rate for _, rate in others]
        return statistics.median(rates) if rates else 0.0

    def _quarantine(self, record: _Record, now_ms: int) -> None:
        record.allowed = 1
        record.succeeded = 0
        record.until_ms = now_ms + record.wait_ms
        record.wait_ms = min(2 * record.wait_ms, _LONGEST_QUARANTINE_MS)

    def _readmit(self, record: _Record, failed: bool, now_ms: int) -> bool:
        if now_ms < record.until_ms:
            # Ends of tasks that were started before the quarantine.
            return False
        if failed:
            self._quarantine(record, now_ms)
            return True
        record.succeeded += 1
        if record.succeeded >= record.allowed:
            record.succeeded = 0
            record.allowed *= 2
        if record.allowed > _READMITTED:
            record.allowed = 0
            record.wait_ms = _QUARANTINE_MS
            record.outcomes.clear()
        return False
