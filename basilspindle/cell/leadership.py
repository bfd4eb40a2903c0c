"""Tell why leaderships end, and how quickly leaders follow each other."""

import collections
import enum

_WINDOW_MS = 60_000


class EndCause(enum.StrEnum):
    """Why a daemon has stopped leading."""

    # A part of the leader failed.
    FAULT = 'fault'
    # The store, a worker or a daemon knows of a later leader.
    REPLACED = 'replaced'
    STORE_SILENT = 'store_silent'
    PLANNED = 'planned'


class ClaimRate:
    """Count the leaders of the last minute by the terms of their claims.

    A term counts the earlier records, so claims that this daemon did not see
    count too. A planned end that it did not see counts as well.
    """

    __slots__ = ('_samples', '_planned_ends', '_planned_epoch')

    def __init__(self) -> None:
        # Time at which a term was first known, and the term.
        self._samples: collections.deque[tuple[int, int]] = collections.deque()
        # Number of the planned ends seen, and the epoch of the latest.
        self._planned_ends = 0
        self._planned_epoch = 0

    def note_planned_end(self, epoch: int) -> None:
        """Note the record by which a leader ended, which is no claim."""
        if epoch > self._planned_epoch:
            self._planned_epoch = epoch
            self._planned_ends += 1

    def observe(self, term: int, now_ms: int) -> None:
        """Note the term of a claim."""
        term -= self._planned_ends
        if not self._samples or term > self._samples[-1][1]:
            self._samples.append((now_ms, term))
        self._trim(now_ms)

    def count(self, now_ms: int) -> int:
        """Return how many claims were made in the last minute."""
        self._trim(now_ms)
        if not self._samples:
            return 0
        return self._samples[-1][1] - self._samples[0][1]

    def _trim(self, now_ms: int) -> None:
        # The newest claim before the window is the one to count from.
        while len(self._samples) > 1:
            if self._samples[1][0] > now_ms - _WINDOW_MS:
                return
            self._samples.popleft()
