"""Reject task starts under superseded partition epochs."""

import collections.abc

from basilspindle import errors
from basilspindle.peer import messages


class FenceTable:
    """Track the highest known epoch of each partition."""

    __slots__ = ('_epochs',)

    def __init__(self) -> None:
        self._epochs: dict[int, int] = {}

    def epoch(self, partition: int) -> int:
        """Return the highest known epoch, 0 if none."""
        return self._epochs.get(partition, 0)

    def check(self, partition: int, epoch: int) -> None:
        """Raise ``Fenced`` if a higher epoch is known."""
        highest = self.epoch(partition)
        if epoch < highest:
            raise errors.Fenced(
                f'partition {partition} is owned under epoch {highest}, '
                f'not {epoch}; only its current owner may start its tasks'
            )

    def advance(self, partition: int, epoch: int) -> int:
        """Record an epoch and return the highest known one."""
        highest = max(epoch, self.epoch(partition))
        self._epochs[partition] = highest
        return highest

    def record_claims(
        self, claims: collections.abc.Iterable[messages.Claim]
    ) -> None:
        """Record the epochs of claims reported by another member."""
        for claim in claims:
            self.advance(claim.partition, claim.epoch)

    def superseding(
        self, claims: collections.abc.Iterable[messages.Claim]
    ) -> list[messages.Claim]:
        """Return the higher epoch for each claim that is superseded."""
        return [
            messages.Claim(claim.partition, self.epoch(claim.partition), False)
            for claim in claims
            if claim.epoch < self.epoch(claim.partition)
        ]
