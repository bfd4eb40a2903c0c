"""Map workspaces to partitions and partitions to regions."""

import collections.abc
import hashlib

_DIGEST_BYTES = 8


def partition_of(workspace: str, partitions: int) -> int:
    """Return the partition of a workspace, from 0 to ``partitions - 1``."""
    digest = hashlib.blake2b(workspace.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), 'big') % partitions


def home_region(partition: int, regions: collections.abc.Sequence[str]) -> str:
    """Return the region whose members may claim a partition."""
    return sorted(regions)[partition % len(regions)]
