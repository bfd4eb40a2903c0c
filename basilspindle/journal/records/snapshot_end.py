"""End a snapshot of a partition."""

import msgspec


class SnapshotEnd(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Make the snapshot since the last ``SnapshotBegin`` count."""
