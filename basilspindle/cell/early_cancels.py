"""Remember cancellations that arrive before their jobs.

For callers whose submission is delayed or repeated: a job that its caller has
cancelled must not start, also if its submission arrives last.
"""

# Longer than a submission can be under way, with the repeats of its caller.
_KEPT_MS = 60_000
# Beyond this number the oldest cancellations are forgotten.
_MAX_COUNT = 10_000


class EarlyCancels:
    """Ids of unknown jobs whose cancellation was answered, by workspace."""

    __slots__ = ('_noted_ms',)

    def __init__(self) -> None:
        self._noted_ms: dict[tuple[str, str], int] = {}

    def note(self, job_id: str, workspace: str, now_ms: int) -> None:
        """Remember the cancellation of an unknown job."""
        key = (workspace, job_id)
        # A repeated key moves to the end, so that the order is by time.
        self._noted_ms.pop(key, None)
        self._noted_ms[key] = now_ms
        while self._noted_ms:
            oldest = next(iter(self._noted_ms))
            age_ms = now_ms - self._noted_ms[oldest]
            if age_ms <= _KEPT_MS and len(self._noted_ms) <= _MAX_COUNT:
                return
            del self._noted_ms[oldest]

    def has(self, job_id: str, workspace: str, now_ms: int) -> bool:
        """Tell whether a job was cancelled before it arrived."""
        noted_ms = self._noted_ms.get((workspace, job_id))
        return noted_ms is not None and now_ms - noted_ms <= _KEPT_MS
