"""Track this daemon's claim on a partition until release or loss."""

import asyncio
import enum

from basilspindle.cluster import journal as journal_module


class Phase(enum.Enum):
    """Phase in the ownership of a partition."""

    CLAIMING = 'claiming'
    RECOVERING = 'recovering'
    ACTIVE = 'active'
    HANDING_OVER = 'handing over'
    LOST = 'lost'
    RELEASED = 'released'


class PartitionClaim:
    """A claim of this daemon on a partition.

    ``claimed_at_ms`` is when the log confirmed the claim. ``wanted`` is
    False while a handover is requested. ``changed`` wakes the task that
    runs the claim.
    """

    __slots__ = (
        'changed',
        'claimed_at_ms',
        'epoch',
        'journal',
        'partition',
        'phase',
        'wanted',
    )

    def __init__(self, partition: int) -> None:
        self.partition = partition
        self.phase = Phase.CLAIMING
        self.epoch = 0
        self.claimed_at_ms = 0
        self.journal: journal_module.Journal | None = None
        self.wanted = True
        self.changed = asyncio.Event()

    @property
    def lost(self) -> bool:
        """Tell whether another daemon has superseded the claim."""
        return self.phase is Phase.LOST

    @property
    def owned(self) -> bool:
        """Tell whether the claim is in force, as far as is known."""
        return self.epoch > 0 and self.phase not in _ENDED

    def enter(self, phase: Phase) -> None:
        """Enter a phase, unless the claim was lost."""
        if not self.lost:
            self.phase = phase

    def mark_lost(self) -> None:
        """Record that another daemon has superseded the claim."""
        self.phase = Phase.LOST
        self.changed.set()

    def request_handover(self) -> None:
        """Request a handover to another daemon."""
        self.wanted = False
        self.changed.set()

    def cancel_handover(self) -> None:
        """Withdraw the request for a handover."""
        self.wanted = True


_ENDED = frozenset({Phase.LOST, Phase.RELEASED})
