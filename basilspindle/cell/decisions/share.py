"""Tell which jobs of a workspace are beyond its share.

Protects the other workspaces from one that submits far more than usual: its
jobs beyond the share are scheduled after all others and refused earlier.
"""

import collections.abc

from basilspindle.cell import configuration as configuration_module

# A burst may use up the share of this time at once, since the share is a rate
# and jobs don't arrive evenly.
_BURST_MS = 2_000
_MIN_BURST_JOBS = 2.0


class _TokenBucket:
    __slots__ = ('tokens', 'refilled_ms')

    def __init__(self, tokens: float, refilled_ms: int) -> None:
        self.tokens = tokens
        self.refilled_ms = refilled_ms


class ShareLimiter:
    """Count accepted jobs against the share of each workspace.

    Each workspace has a token bucket, with one token for each job.
    """

    __slots__ = ('_buckets',)

    def __init__(self) -> None:
        self._buckets: dict[str, _TokenBucket] = {}

    def is_beyond(
        self,
        workspace: configuration_module.WorkspaceConfig | None,
        now_ms: int,
    ) -> bool:
        """Tell whether another job now is beyond the share; takes nothing."""
        if workspace is None or workspace.share_jobs_s <= 0:
            return False
        return self._tokens(workspace, now_ms) < 1.0

    def consume(
        self,
        workspace: configuration_module.WorkspaceConfig | None,
        now_ms: int,
    ) -> None:
        """Take a token for an accepted job that is within the share."""
        if workspace is not None and workspace.share_jobs_s > 0:
            tokens = self._tokens(workspace, now_ms) - 1.0
            self._buckets[workspace.name] = _TokenBucket(tokens, now_ms)

    def refund(self, name: str) -> None:
        """Return the token of a job that was withdrawn before acceptance."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.tokens += 1.0

    def retain(self, workspaces: collections.abc.Container[str]) -> None:
        """Drop the buckets of workspaces that are no longer configured."""
        for name in list(self._buckets):
            if name not in workspaces:
                del self._buckets[name]

    def _tokens(
        self, workspace: configuration_module.WorkspaceConfig, now_ms: int
    ) -> float:
        capacity = max(
            workspace.share_jobs_s * _BURST_MS / 1000, _MIN_BURST_JOBS
        )
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            return capacity
        elapsed_ms = now_ms - bucket.refilled_ms
        added = elapsed_ms / 1000 * workspace.share_jobs_s
        return min(capacity, bucket.tokens + added)
