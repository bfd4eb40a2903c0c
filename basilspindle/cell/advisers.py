"""Distribute calls for advice over the daemons of the cell.

The advice service handles the calls of each daemon one after the other. Each
daemon is thus a queue of its own, where short calls may wait behind long ones.
"""

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


def choose(
    advisers: list[Adviser], expected_ms: float, now_ms: int
) -> Adviser | None:
    """Return the daemon with the least pending time; None if all pause."""
    usable = [
        adviser for adviser in advisers if adviser.paused_until_ms <= now_ms
    ]
    if expected_ms > _LONG_CALL_MS and len(usable) > 1:
        usable = usable[: (len(usable) + 1) // 2]
    return min(usable, key=lambda adviser: adviser.pending_ms, default=None)
