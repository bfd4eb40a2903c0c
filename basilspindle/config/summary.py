"""Remember who published an accepted version."""

import msgspec


class Summary(msgspec.Struct, frozen=True, kw_only=True):
    """Version, author (key id), wall time and digest of a publish."""

    version: int
    author: str
    wall_ms: int
    digest: bytes
