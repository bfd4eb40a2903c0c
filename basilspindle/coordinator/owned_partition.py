"""Hold the jobs of one owned partition."""

import asyncio
import typing

from basilspindle.coordinator import tracked_job
from basilspindle import model


class OwnedPartition:
    """Jobs of a partition, with what was found of jobs not known here.

    ``orphans`` are running tasks and ``orphan_ends`` ended ones of
    connection-held jobs that an earlier owner took; their entry daemons
    submit the jobs again. ``accepting`` are submissions on their way into
    the log, by job id. ``orphan_since_ms`` is when an orphan was found.
    """

    __slots__ = (
        'number',
        'journal',
        'epoch',
        'jobs',
        'orphans',
        'orphan_ends',
        'accepting',
    )

    def __init__(self, number: int, journal: typing.Any) -> None:
        self.number = number
        self.journal = journal
        self.epoch: int = journal.epoch
        self.jobs: dict[str, tracked_job.TrackedJob] = {}
        self.orphans: dict[str, model.RunningTask] = {}
        self.orphan_ends: dict[str, tuple[int, model.TaskEnd]] = {}
        self.accepting: dict[str, asyncio.Task[bool]] = {}
