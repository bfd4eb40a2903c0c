"""Name the states of a member."""

import enum


class MemberState(enum.StrEnum):
    """State of another daemon as this one sees it."""

    LIVE = 'live'
    LEAVING = 'leaving'
    SUSPECT = 'suspect'
    DOWN = 'down'
    GONE = 'gone'

    @property
    def must_reply(self) -> bool:
        """Tell whether the member counts for assurance and fences."""
        return self not in _ENDED

    @property
    def responsive(self) -> bool:
        """Tell whether the member was heard within suspect_ms."""
        return self in _TALKING


_ENDED = frozenset({MemberState.DOWN, MemberState.GONE})
_TALKING = frozenset({MemberState.LIVE, MemberState.LEAVING})
