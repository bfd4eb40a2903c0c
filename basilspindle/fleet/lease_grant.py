"""Describe the answer to a lease call."""

import msgspec

from basilspindle import decoding
from basilspindle.fleet import amounts


class LeaseGrant(msgspec.Struct, frozen=True, kw_only=True):
    """A placement lease that is valid for ``ttl_ms``.

    The worker accepts calls only under ``epoch``. ``incarnation`` changes
    whenever the worker loses its state.
    """

    epoch: decoding.Count
    incarnation: str
    capacity: amounts.Amounts
    ttl_ms: decoding.Count
