"""Tell which jobs of a workspace lie beyond its share.

Answers a workspace that sends many times its usual: what it sends beyond
its share goes after the work of all others, and is turned away sooner.
"""

import collections.abc

from basilspindle.cell import configuration as configuration_module

# A workspace may send as much at once as its share is in this time; the
# share is a rate, and callers do not come evenly.
_BURST_MS = 2_000
_LEAST_BURST_JOBS = 2.0


class _Bucket:
    __slots__ = ('jobs', 'filled_ms')

    def __init__(self, jobs: float, filled_ms: int) -> None:
        self.jobs = jobs
        self.filled_ms = filled_ms


class ShareLimiter:
    """Count accepted jobs against the rate that each workspace may send."""

    __slots__ = ('_buckets',)

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def is_beyond(
        self, terms: configuration_module.WorkspaceConfig | None, now_ms: int
    ) -> bool:
        """Tell whether another job now is beyond a workspace's share."""
        if terms is None or terms.share_jobs_s <= 0:
            return False
        return self._fill(terms, now_ms).jobs < 1.0

    def consume(
        self, terms: configuration_module.WorkspaceConfig | None, now_ms: int
    ) -> None:
        """Count an accepted job that is within the share."""
        if terms is not None and terms.share_jobs_s > 0:
            self._fill(terms, now_ms).jobs -= 1.0

    def refund(self, workspace: str) -> None:
        """Count off a job that was withdrawn before it was accepted."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.jobs += 1.0

    def retain(self, workspaces: collections.abc.Container[str]) -> None:
        """Forget workspaces that no configuration has any more."""
        for name in list(self._buckets):
            if name not in workspaces:
                del self._buckets[name]

    def _fill(
        self, terms: configuration_module.WorkspaceConfig, now_ms: int
    ) -> _Bucket:
        most = max(terms.share_jobs_s * _BURST_MS / 1000, _LEAST_BURST_JOBS)
        bucket = self._buckets.get(terms.name)
        if bucket is None:
            bucket = self._buckets[terms.name] = _Bucket(most, now_ms)
        passed_ms = now_ms - bucket.filled_ms
        bucket.filled_ms = now_ms
        added = passed_ms / 1000 * terms.share_jobs_s
        bucket.jobs = min(most, bucket.jobs + added)
        return bucket
