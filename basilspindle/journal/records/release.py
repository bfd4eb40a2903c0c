"""Define the record that releases a partition."""

import msgspec


class Release(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """End the epoch; readers ignore later batches of it."""
