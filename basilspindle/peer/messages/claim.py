"""Name the owner of a partition."""

import msgspec


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """A partition owned under an epoch.

    ``active`` tells whether the owner has recovered and takes work.
    """

    partition: int
    epoch: int
    active: bool
