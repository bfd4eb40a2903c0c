"""Name the states of a job."""

import enum


class JobState(enum.StrEnum):
    """State of a job as its caller sees it."""

    PENDING = 'pending'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Tell whether the state never changes again."""
        return self in _FINAL


_FINAL = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})
