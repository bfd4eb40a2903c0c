"""Announce the ownership of a partition."""

import msgspec

from basilspindle import decoding


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A partition that the sender owns, with the epoch of its ownership.

    ``active`` is true once the owner has recovered the partition and accepts
    jobs.
    """

    partition: decoding.Count
    epoch: decoding.Count
    active: bool
