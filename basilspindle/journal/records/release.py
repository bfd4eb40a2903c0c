"""Give up a partition."""

import msgspec


class Release(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """End the epoch of the writer; nothing of it counts afterwards."""
