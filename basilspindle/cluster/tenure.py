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


class Tenure:
    """One claim of this daemon on a partition.

    ``confirmed_ms`` is the time at which the claim was confirmed.
    ``changed`` wakes the task that runs the tenure.
    """

    __slots__ = (
        'changed',
        'confirmed_ms',
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
        self.confirmed_ms = 0
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

    def step(self, phase: Phase) -> None:
        """Enter a phase, unless the partition was lost."""
        if not self.lost:
            self.phase = phase

    def lose(self) -> None:
        """Note that another daemon has claimed the partition."""
        self.phase = Phase.LOST
        self.changed.set()

    def hand_over(self) -> None:
        """Ask for a handover to another daemon."""
        self.wanted = False
        self.changed.set()

    def keep(self) -> None:
        """Take a request for a handover back."""
        self.wanted = True


_ENDED = frozenset({Phase.LOST, Phase.RELEASED})
