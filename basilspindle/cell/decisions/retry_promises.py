"""Remember which callers were told when to come back.

A caller that comes back when it was told to is admitted before new callers of
its kind. Held in memory only: with a new leader, callers that come back count
as new ones.
"""

import heapq

from basilspindle.cell.decisions import backlog as backlog_module

# Bounds the memory to about 2 MB. Callers above it are refused as well, but
# are treated as new ones when they come back.
_MAX_PROMISES = 4_096
# One workspace holds at most this many, so that it doesn't use up all.
_MAX_PROMISES_PER_WORKSPACE = 512
# Room is kept for a caller that is late by this much; the times on the wire
# are whole seconds.
_GRACE_MS = 1_000
# Resolution of the times at which callers return.
_BUCKET_MS = 250


class RetryPromise:
    """When a refused job was first sent and is to be sent again."""

    __slots__ = (
        'workspace',
        'pool',
        'rank',
        'millicores',
        'first_sent_ms',
        'return_ms',
    )

    def __init__(
        self,
        workspace: str,
        pool: str,
        rank: backlog_module.Rank,
        millicores: int,
        first_sent_ms: int,
        return_ms: int,
    ) -> None:
        self.workspace = workspace
        self.pool = pool
        self.rank = rank
        self.millicores = millicores
        self.first_sent_ms = first_sent_ms
        self.return_ms = return_ms

    def is_due(self, now_ms: int) -> bool:
        """Tell whether the caller has waited for as long as it was told."""
        return now_ms >= self.return_ms


class RetryPromises:
    """Promises by job id, and the cores that they will need by second."""

    __slots__ = ('_promises', '_ends', '_buckets', '_by_workspace')

    def __init__(self) -> None:
        self._promises: dict[str, RetryPromise] = {}
        # Heap of (time, job id) at which promises are dropped.
        self._ends: list[tuple[int, str]] = []
        self._buckets: dict[
            str, dict[backlog_module.Rank, dict[int, int]]
        ] = {}
        self._by_workspace: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._promises)

    def copy(self) -> 'RetryPromises':
        """Return a copy whose changes don't affect this one."""
        made = RetryPromises()
        # Promises are replaced, never changed.
        made._promises = dict(self._promises)
        made._ends = list(self._ends)
        made._buckets = {
            pool: {rank: dict(seconds) for rank, seconds in ranks.items()}
            for pool, ranks in self._buckets.items()
        }
        made._by_workspace = dict(self._by_workspace)
        return made

    def get(self, job_id: str) -> RetryPromise | None:
        """Return the promise to the caller of a job, or None."""
        return self._promises.get(job_id)

    def note(self, job_id: str, promise: RetryPromise) -> None:
        """Remember a promise in place of an earlier one to the caller."""
        self.drop(job_id)
        held = self._by_workspace.get(promise.workspace, 0)
        if held >= _MAX_PROMISES_PER_WORKSPACE:
            return
        if len(self._promises) >= _MAX_PROMISES:
            return
        self._promises[job_id] = promise
        self._by_workspace[promise.workspace] = held + 1
        heapq.heappush(self._ends, (promise.return_ms + _GRACE_MS, job_id))
        self._add(promise, promise.millicores)

    def drop(self, job_id: str) -> None:
        """Forget a promise that was kept or is given anew."""
        promise = self._promises.pop(job_id, None)
        if promise is None:
            return
        self._add(promise, -promise.millicores)
        left = self._by_workspace[promise.workspace] - 1
        if left:
            self._by_workspace[promise.workspace] = left
        else:
            del self._by_workspace[promise.workspace]

    def expire(self, now_ms: int) -> None:
        """Forget the callers that have not come back in time."""
        while self._ends and self._ends[0][0] < now_ms:
            end_ms, job_id = heapq.heappop(self._ends)
            promise = self._promises.get(job_id)
            if promise and promise.return_ms + _GRACE_MS == end_ms:
                self.drop(job_id)

    def millicores_until(
        self,
        pool: str,
        last: backlog_module.Rank,
        until_ms: int | None = None,
        *,
        is_last_included: bool = True,
    ) -> int:
        """Return the cores of callers of up to a rank that return by then."""
        total = 0
        for rank, seconds in self._buckets.get(pool, {}).items():
            if rank > last or (rank == last and not is_last_included):
                continue
            for second, millicores in seconds.items():
                if until_ms is None or second * _BUCKET_MS <= until_ms:
                    total += millicores
        return total

    def _add(self, promise: RetryPromise, millicores: int) -> None:
        ranks = self._buckets.setdefault(promise.pool, {})
        seconds = ranks.setdefault(promise.rank, {})
        second = promise.return_ms // _BUCKET_MS
        seconds[second] = seconds.get(second, 0) + millicores
        if not seconds[second]:
            del seconds[second]
            if not seconds:
                del ranks[promise.rank]
