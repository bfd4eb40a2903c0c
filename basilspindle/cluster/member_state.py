"""Define the states of a member."""

import enum


class MemberState(enum.StrEnum):
    """State of another daemon as this one sees it.

    A suspect member was not heard from for suspect_ms and may still run.
    A down member's address has refused connections for suspect_ms, so no
    process runs there. A gone member left the VM list or was replaced by a
    newer process.
    """

    LIVE = 'live'
    LEAVING = 'leaving'
    SUSPECT = 'suspect'
    DOWN = 'down'
    GONE = 'gone'

    @property
    def must_reply(self) -> bool:
        """Tell whether assurance and fencing need this member's reply."""
        return self not in _STOPPED

    @property
    def responsive(self) -> bool:
        """Tell whether the member was heard from within suspect_ms."""
        return self in _RESPONSIVE


_STOPPED = frozenset({MemberState.DOWN, MemberState.GONE})
_RESPONSIVE = frozenset({MemberState.LIVE, MemberState.LEAVING})
