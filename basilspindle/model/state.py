"""Define the states of tasks and jobs."""

import enum


class State(enum.StrEnum):
    """State of a task or a job; the last six are final."""

    QUEUED = 'queued'
    STARTING = 'starting'
    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNKNOWN = 'unknown'
    UNSCHEDULABLE = 'unschedulable'
    EXPIRED = 'expired'

    @property
    def final(self) -> bool:
        """Tell whether a task or job in this state never changes again."""
        return self not in _NON_FINAL


_NON_FINAL = frozenset({State.QUEUED, State.STARTING, State.RUNNING})
