"""Fence the starts of an earlier owner of a partition."""

import msgspec


class Fence(msgspec.Struct, frozen=True, kw_only=True):
    """Ask to refuse starts of a partition under a lower epoch."""

    partition: int
    epoch: int
    member_id: str


class Fenced(msgspec.Struct, frozen=True, kw_only=True):
    """Confirm the fence; ``epoch`` is the highest one known.

    ``active_epoch`` is the highest one that was seen active, 0 if none.
    """

    epoch: int
    active_epoch: int = 0
