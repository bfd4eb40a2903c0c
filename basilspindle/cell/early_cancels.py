"""Remember cancellations that arrive before their jobs.

For callers whose submission is delayed or repeated: a job that its caller has
cancelled must not start, also if its submission arrives last.
"""

# Longer than a submission can be under way, with the repeats of its caller.
_KEPT_MS = 60_000
# Beyond this number the oldest cancellations are forgotten.
_MAX_COUNT = 10_000
# Stands for every workspace. The empty name is that of open queues, and the
# name of a workspace has no control characters.
ANY_WORKSPACE = '\0'


class EarlyCancels:
    """Unknown jobs whose cancellation was answered, by id and workspace."""

    __slots__ = ('_noted_ms', '_changed_ids')

    def __init__(self) -> None:
        self._noted_ms: dict[tuple[str, str], int] = {}
        # Ids of the jobs whose record in the log is out of date.
        self._changed_ids: set[str] = set()

    def note(self, job_id: str, workspace: str, now_ms: int) -> None:
        """Remember the cancellation of an unknown job."""
        key = (job_id, workspace)
        # A repeated key moves to the end, so that the order is by time.
        if self._noted_ms.pop(key, None) is None:
            self._changed_ids.add(job_id)
        self._noted_ms[key] = now_ms
        self.expire(now_ms)

    def restore(self, job_id: str, workspaces: list[str], now_ms: int) -> None:
        """Remember cancellations that an earlier leader has recorded."""
        for workspace in workspaces:
            self._noted_ms[job_id, workspace] = now_ms

    def expire(self, now_ms: int) -> None:
        """Forget cancellations whose jobs cannot arrive any more."""
        while self._noted_ms:
            oldest = next(iter(self._noted_ms))
            age_ms = now_ms - self._noted_ms[oldest]
            if age_ms <= _KEPT_MS and len(self._noted_ms) <= _MAX_COUNT:
                return
            del self._noted_ms[oldest]
            self._changed_ids.add(oldest[0])

    def has(self, job_id: str, workspace: str, now_ms: int) -> bool:
        """Tell whether a job was cancelled before it arrived."""
        for key in ((job_id, workspace), (job_id, ANY_WORKSPACE)):
            noted_ms = self._noted_ms.get(key)
            if noted_ms is not None and now_ms - noted_ms <= _KEPT_MS:
                return True
        return False

    def take_changed(self) -> dict[str, list[str]]:
        """Return the workspaces to record by job id, none to remove it."""
        changed: dict[str, list[str]] = {
            job_id: [] for job_id in self._changed_ids
        }
        if changed:
            for job_id, workspace in self._noted_ms:
                if job_id in changed:
                    changed[job_id].append(workspace)
        self._changed_ids.clear()
        return changed
