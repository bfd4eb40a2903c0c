"""Reject task starts under superseded partition epochs."""

import collections.abc

from basilspindle import errors
from basilspindle.peer import messages


# Epochs that are kept for each partition, in case that the log refutes the
# highest ones.
_MAX_EPOCHS = 16


class FenceTable:
    """Track the highest known epoch of each partition.

    A fence is in force from when it is heard. Epochs are offsets of the log,
    so the log shows later whether there is a claim of that epoch.
    """

    __slots__ = ('_epochs', '_heard', '_heard_count')

    def __init__(self) -> None:
        self._epochs: dict[int, int] = {}
        # When each epoch was last heard, as a count, by partition and epoch.
        self._heard: dict[int, dict[int, int]] = {}
        self._heard_count = 0

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
        heard = self._heard.setdefault(partition, {})
        self._heard_count += 1
        heard[epoch] = self._heard_count
        if len(heard) > _MAX_EPOCHS:
            # If the highest one is true, the others do not matter any more;
            # if it is not, the lowest ones are the likely ones.
            del heard[sorted(heard)[-2]]
        highest = max(epoch, self.epoch(partition))
        self._epochs[partition] = highest
        return highest

    def highest_epochs(self) -> dict[int, int]:
        """Return the highest known epoch of each partition."""
        return dict(self._epochs)

    def last_heard(self, partition: int, epoch: int) -> int:
        """Return a number that changes when the epoch is heard again."""
        return self._heard.get(partition, {}).get(epoch, 0)

    def refute(self, partition: int, epoch: int, last_heard: int) -> bool:
        """Remove an epoch for which the log holds no claim.

        ``last_heard`` is from before the log was read. An epoch that was
        heard again since is kept and the result is False: its claim may be
        newer than the answer of the log.
        """
        heard = self._heard.get(partition, {})
        if heard.get(epoch) != last_heard:
            return False
        del heard[epoch]
        self._epochs[partition] = max(heard, default=0)
        return True

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
