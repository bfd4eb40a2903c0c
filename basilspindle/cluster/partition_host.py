"""Define what ownership requires of the coordinator."""

import typing

from basilspindle.cluster import journal as journal_module
from basilspindle import model


class PartitionHost(typing.Protocol):
    """Run the jobs of owned partitions."""

    async def activate(
        self,
        partition: int,
        journal: journal_module.Journal,
        running: list[model.RunningTask],
        ends: list[model.TaskEnd],
        unseen_until_ms: int,
    ) -> None:
        """Start running the jobs of a partition.

        Until ``unseen_until_ms`` (monotonic), tasks may still run on
        workers that no inventory covered.
        """

    async def deactivate(self, partition: int, handover: bool) -> None:
        """Stop starting tasks; return once no start request is in flight."""
