"""Measure how long accepted jobs have had nothing running."""

import typing

from basilspindle.workflow import job as job_module
from basilspindle.workflow import step_run as step_run_module


class _Stall(typing.NamedTuple):
    since_ms: int
    # Changes with any progress, also under another leader.
    progress: tuple[int, int]


class StalledWork:
    """Jobs with a task to start and none running, under all own leaderships.

    A daemon keeps it when it stops leading, so that a job that no leader
    starts counts from the first of them on. ``job_id`` is the job that has
    stalled longest, '' if there is none. ``reported_ms`` is when stalled jobs
    were last logged.
    """

    __slots__ = ('job_id', 'reported_ms', '_stalls')

    def __init__(self) -> None:
        self.job_id = ''
        self.reported_ms = 0
        self._stalls: dict[str, _Stall] = {}

    @property
    def count(self) -> int:
        """Return the number of stalled jobs."""
        return len(self._stalls)

    def longest_ms(self, now_ms: int) -> int:
        """Return how long the job that has stalled longest has done so."""
        if not self.job_id:
            return 0
        return max(0, now_ms - self._stalls[self.job_id].since_ms)

    def update(
        self,
        ready_steps: typing.Iterable[step_run_module.StepRun],
        now_ms: int,
    ) -> None:
        """Compare with the steps that have tasks to start."""
        jobs = {
            run.job.job_id: run.job
            for run in ready_steps
            if run.waiting and not run.job.occupying_tasks
        }
        stalls = {}
        for job_id, job in jobs.items():
            progress = _progress(job)
            known = self._stalls.get(job_id)
            if known is not None and known.progress == progress:
                stalls[job_id] = known
            else:
                stalls[job_id] = _Stall(now_ms, progress)
        self._stalls = stalls
        self.job_id = min(
            stalls, key=lambda job_id: stalls[job_id].since_ms, default=''
        )


def _progress(job: job_module.Job) -> tuple[int, int]:
    done = 0
    started = 0
    for run in job.runs.values():
        done += run.done
        newest = max((task.run for task in run.tasks), default=0)
        started = max(started, newest)
    return done, started
