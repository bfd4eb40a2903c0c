"""Describe a queue."""

import msgspec

from basilspindle import document


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """An entry for work; an open one takes it without a key.

    ``team`` of a queue that is not open restricts it to that team.
    ``kinds`` restricts it to these kinds; None means all of the team's.
    """

    open: bool = False
    team: document.Name | None = None
    kinds: list[document.Name] | None = None
