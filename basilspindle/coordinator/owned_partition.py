"""Hold the jobs of one owned partition."""

import asyncio
import typing

from basilspindle.coordinator import tracked_job
from basilspindle import model


class OwnedPartition:
    """Jobs of a partition, with what was found of jobs not known here.

    Nothing is started before it is ``open``: until ``dispatch_at_ms`` tasks
    may run that no holder has reported. Once ``closed`` it is given up.
    ``recovered`` are the jobs that are queued when it opens. ``orphans``
    are running tasks and ``orphan_ends`` ended ones, with the time of their
    report, of connection-held jobs that an earlier owner took; their entry
    daemons submit the jobs again. ``accepting`` are submissions on their
    way into the log, by job id.
    """

    __slots__ = (
        'number',
        'journal',
        'epoch',
        'jobs',
        'orphans',
        'orphan_ends',
        'accepting',
        'dispatching',
        'closed',
        'dispatch_at_ms',
        'recovered_jobs',
    )

    def __init__(self, number: int, journal: typing.Any) -> None:
        self.number = number
        self.journal = journal
        self.epoch: int = journal.epoch
        self.jobs: dict[str, tracked_job.TrackedJob] = {}
        self.orphans: dict[str, model.RunningTask] = {}
        self.orphan_ends: dict[str, tuple[int, model.TaskEnd]] = {}
        self.accepting: dict[str, asyncio.Task[bool]] = {}
        self.dispatching = False
        self.closed = False
        self.dispatch_at_ms = 0
        self.recovered_jobs: list[tracked_job.TrackedJob] = []
