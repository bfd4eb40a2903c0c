"""Hold the state of one owned partition."""

import asyncio
import typing

from basilspindle.coordinator import tracked_job
from basilspindle import model


class OwnedPartition:
    """Jobs of a partition and reports on jobs that are not known here.

    No task is started until ``dispatching`` is set, at ``dispatch_at_ms``
    or earlier: before then tasks may be running that no holder has
    reported. ``closed`` is set when the partition is given up.

    ``recovered_jobs`` are queued when dispatching starts. ``orphans`` are
    running tasks, and ``orphan_ends`` ended ones with the time of their
    report, of jobs that an earlier owner accepted without recording them;
    the daemons that hold the clients' connections submit these jobs again.
    ``accepting`` holds the submissions that are being recorded, by job id.
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
