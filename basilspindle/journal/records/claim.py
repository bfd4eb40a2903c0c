"""Define the record that claims a partition."""

import msgspec


class Claim(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Make a member the owner; the offset of this record is the epoch."""

    member_id: str
    incarnation: str
