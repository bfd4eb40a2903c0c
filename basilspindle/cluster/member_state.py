"""Define the states of a member."""

import enum


class MemberState(enum.StrEnum):
    """State of another daemon as this one sees it.

    A suspect member was not heard from for suspect_ms and may still run.
    A down member's address has refused connections for suspect_ms: its
    process has ended, or it is cut off with resets. A gone member left the
    VM list or was replaced by a newer process.
    """

    LIVE = 'live'
    LEAVING = 'leaving'
    SUSPECT = 'suspect'
    DOWN = 'down'
    GONE = 'gone'

    @property
    def must_reply(self) -> bool:
        """Tell whether assurance needs this member's reply."""
        return self is not MemberState.GONE

    @property
    def responsive(self) -> bool:
        """Tell whether the member was heard from within suspect_ms."""
        return self in _RESPONSIVE


_RESPONSIVE = frozenset({MemberState.LIVE, MemberState.LEAVING})
