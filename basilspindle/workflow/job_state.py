"""Define the states of a job."""

import enum


class JobState(enum.StrEnum):
    """State of a job as shown to its caller."""

    PENDING = 'pending'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Tell whether no other state can follow."""
        return self in _FINAL_STATES


_FINAL_STATES = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}
)
