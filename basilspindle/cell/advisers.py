"""Distribute calls for advice over the daemons of the cell.

The advice service handles the calls of each daemon one after the other. Each
daemon is thus a queue of its own, where short calls may wait behind long ones.
"""

import math

from basilspindle.cell import link as link_module

# Longer calls use only half of the daemons, so that short ones always find a
# queue without long calls.
_LONG_CALL_MS = 100.0


class Adviser:
    """Call queue of one daemon; ``link`` is None for this daemon."""

    __slots__ = ('link', 'pending_ms', 'paused_until_ms')

    def __init__(self, link: link_module.Link | None) -> None:
        self.link = link
        self.pending_ms = 0.0
        self.paused_until_ms = 0


# A call names at least this many workers, unless all of them are fewer: the
# largest part of its duration does not depend on the workers.
_MIN_WORKERS_PER_PART = 30
# The advice service accepts at most this many workers in one call.
_MAX_WORKERS_PER_CALL = 100


def split(
    advisers: list[Adviser], worker_ids: list[str], expected_ms: float
) -> list[list[str]]:
    """Divide the workers of a request into calls made at the same time.

    For gangs that need the approval of many workers: as many calls as there
    are daemons without a pending call, so that no call waits for another.
    """
    idle = sum(
        1
        for adviser in _allowed(advisers, expected_ms)
        if not adviser.pending_ms
    )
    count = len(worker_ids)
    parts = max(
        math.ceil(count / _MAX_WORKERS_PER_CALL),
        min(idle, count // _MIN_WORKERS_PER_PART),
        1,
    )
    # Neighbours in the list are alike, so each part gets some of all kinds.
    return [worker_ids[number::parts] for number in range(parts)]


def choose(
    advisers: list[Adviser], expected_ms: float, now_ms: int
) -> Adviser | None:
    """Return the daemon with the least pending time; None if all pause."""
    usable = [
        adviser for adviser in advisers if adviser.paused_until_ms <= now_ms
    ]
    return min(
        _allowed(usable, expected_ms),
        key=lambda adviser: adviser.pending_ms,
        default=None,
    )


def _allowed(advisers: list[Adviser], expected_ms: float) -> list[Adviser]:
    if expected_ms > _LONG_CALL_MS and len(advisers) > 1:
        return advisers[: (len(advisers) + 1) // 2]
    return advisers
