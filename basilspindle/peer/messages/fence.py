"""Fence off earlier owners of a partition."""

import msgspec


class Fence(msgspec.Struct, frozen=True, kw_only=True):
    """Ask to reject task starts of a partition with a lower epoch."""

    partition: int
    epoch: int
    member_id: str


class Fenced(msgspec.Struct, frozen=True, kw_only=True):
    """Confirm the fence; ``epoch`` is the highest known epoch.

    ``active_epoch`` is the highest epoch whose owner was seen active, 0 if
    there is none.
    """

    epoch: int
    active_epoch: int = 0
