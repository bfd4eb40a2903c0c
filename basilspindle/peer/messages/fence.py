"""Fence off earlier owners of a partition."""

import msgspec

from basilspindle import decoding


class Fence(msgspec.Struct, frozen=True, kw_only=True):
    """Ask to reject task starts of a partition with a lower epoch."""

    partition: decoding.Count
    epoch: decoding.Count
    member_id: str


class Fenced(msgspec.Struct, frozen=True, kw_only=True):
    """Confirm the fence; ``epoch`` is the highest known epoch.

    ``active_epoch`` is the highest epoch whose owner was seen active, 0 if
    there is none.
    """

    epoch: decoding.Count
    active_epoch: decoding.Count = 0
