"""Follow one partition from its claim to its release or loss."""

import asyncio
import enum

from basilspindle.cluster import journal as journal_module


class Phase(enum.Enum):
    """Step in the ownership of one partition."""

    CLAIMING = 'claiming'
    RECOVERING = 'recovering'
    ACTIVE = 'active'
    HANDING_OVER = 'handing over'
    LOST = 'lost'
    RELEASED = 'released'


class PartitionClaim:
    """One claim of this daemon on a partition.

    ``claimed_at_ms`` is the time at which the claim was confirmed.
    ``changed`` wakes the task that runs the own_claim.
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
        """Tell whether another daemon has claimed the partition."""
        return self.phase is Phase.LOST

    @property
    def owned(self) -> bool:
        """Tell whether the claim stands, as far as is known."""
        return self.epoch > 0 and self.phase not in _ENDED

    def enter(self, phase: Phase) -> None:
        """Enter a phase, unless the partition was lost."""
        if not self.lost:
            self.phase = phase

    def mark_lost(self) -> None:
        """Note that another daemon has claimed the partition."""
        self.phase = Phase.LOST
        self.changed.set()

    def request_handover(self) -> None:
        """Ask for a handover to another daemon."""
        self.wanted = False
        self.changed.set()

    def cancel_handover(self) -> None:
        """Take a request for a handover back."""
        self.wanted = True


_ENDED = frozenset({Phase.LOST, Phase.RELEASED})
