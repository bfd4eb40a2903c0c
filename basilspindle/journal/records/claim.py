"""Claim a partition."""

import msgspec


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Start the epoch that equals the offset of this record."""

    member_id: str
    incarnation: str
