"""Define the last record of a snapshot."""

import msgspec


class SnapshotEnd(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Complete the snapshot that the last ``SnapshotBegin`` started."""
