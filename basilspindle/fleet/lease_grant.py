"""Carry the answer to a lease call."""

import msgspec

from basilspindle.fleet import amounts


class LeaseGrant(msgspec.Struct, frozen=True, kw_only=True):
    """A placement lease under an epoch, valid for ``ttl_ms``."""

    epoch: int
    incarnation: str
    capacity: amounts.Amounts
    ttl_ms: int
