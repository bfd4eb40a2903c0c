"""Spread calls for advice over the daemons of the cell.

The service takes the calls of one daemon in turn, so that a short call may
wait behind a long one; each daemon is a queue of its own.
"""

from basilspindle.cell import link as link_module

# Calls that take longer keep to every second daemon, so that short ones
# always find a queue without them.
_LONG_MS = 100.0


class Adviser:
    """One daemon as a queue of calls; ``link`` is None for this daemon."""

    __slots__ = ('link', 'pending_ms', 'paused_until_ms')

    def __init__(self, link: link_module.Link | None) -> None:
        self.link = link
        self.pending_ms = 0.0
        self.paused_until_ms = 0


def choose(
    advisers: list[Adviser], expected_ms: float, now_ms: int
) -> Adviser | None:
    """Return the daemon that answers a call soonest; None if all pause."""
    usable = [row for row in advisers if row.paused_until_ms <= now_ms]
    if expected_ms > _LONG_MS and len(usable) > 1:
        usable = usable[: (len(usable) + 1) // 2]
    return min(usable, key=lambda row: row.pending_ms, default=None)
