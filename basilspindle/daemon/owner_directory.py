"""Look up the owners of partitions for the router."""

from basilspindle import cluster


class OwnerDirectory:
    """Look up the partition of a workspace and the address of its owner."""

    __slots__ = ('_ownership', '_membership', '_partition_count')

    def __init__(
        self,
        ownership: cluster.Ownership,
        membership: cluster.Membership,
        partition_count: int,
    ) -> None:
        self._ownership = ownership
        self._membership = membership
        self._partition_count = partition_count

    def partition_of(self, workspace: str) -> int:
        """Return the partition of a workspace."""
        return cluster.partition_of(workspace, self._partition_count)

    def owner_address(self, partition: int) -> str | None:
        """Return the peer address of the owner of a partition.

        Returns '' if it is this daemon and None if there is no owner.
        """
        owner = self._ownership.owner_of(partition)
        if owner is None:
            return None
        return '' if owner is self._membership.own else owner.address
