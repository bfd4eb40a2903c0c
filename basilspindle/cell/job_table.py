"""Index the live jobs of the cell and the final states of ended ones."""

import collections.abc

from basilspindle.cell.decisions import backlog as backlog_module
from basilspindle.cell import ready_steps
from basilspindle.workflow import job as job_module
from basilspindle.workflow import job_state
from basilspindle.workflow import step_run as step_run_module
from basilspindle.workflow import task as task_module


class EndedJob:
    """Final state of a job that ended and is no longer live."""

    __slots__ = ('workspace', 'queue', 'state', 'ended_wall_ms')

    def __init__(
        self,
        workspace: str,
        queue: str,
        state: job_state.JobState,
        ended_wall_ms: int,
    ) -> None:
        self.workspace = workspace
        self.queue = queue
        self.state = state
        self.ended_wall_ms = ended_wall_ms


class JobTable:
    """Jobs by id, tasks by name, and the steps with tasks ready to start.

    ``unreadable_job_ids`` are the jobs whose records this build cannot read.
    They are live or ended, and nothing else is known of them. ``backlog``
    holds the totals of the ready steps and of the running tasks.
    """

    __slots__ = (
        'jobs',
        'ended_jobs',
        'unreadable_job_ids',
        'tasks',
        'ready_steps',
        'backlog',
    )

    def __init__(self) -> None:
        self.jobs: dict[str, job_module.Job] = {}
        self.ended_jobs: dict[str, EndedJob] = {}
        self.unreadable_job_ids: set[str] = set()
        self.tasks: dict[str, task_module.Task] = {}
        self.ready_steps = ready_steps.ReadySteps()
        self.backlog = backlog_module.Backlog()

    def add(self, job: job_module.Job) -> None:
        """Add a live job with its tasks."""
        self.jobs[job.job_id] = job
        self.add_tasks(job.runs.values())

    def add_tasks(
        self, runs: collections.abc.Iterable[step_run_module.StepRun]
    ) -> None:
        """Index the tasks of step runs by name."""
        for run in runs:
            for task in run.tasks:
                self.tasks[task.name] = task

    def knows(self, job_id: str) -> bool:
        """Tell whether a job is live or a record of it is still kept."""
        return (
            job_id in self.jobs
            or job_id in self.ended_jobs
            or job_id in self.unreadable_job_ids
        )

    def add_ready_steps(self, job: job_module.Job, now_ms: int) -> None:
        """Add the steps whose dependencies are done to the ready steps."""
        if job.state.is_final:
            return
        for run in job.runs.values():
            if (
                run.is_done
                or run.key in self.ready_steps
                or not job.is_ready(run)
            ):
                continue
            if not run.ready_ms:
                run.ready_ms = now_ms
            if run.waiting:
                self.add_ready_step(run)

    def add_ready_step(self, run: step_run_module.StepRun) -> None:
        """Add a step with tasks ready to start."""
        self.ready_steps[run.key] = run
        self.backlog.update_step(run, True)

    def remove_ready_step(self, run: step_run_module.StepRun) -> None:
        """Remove a step from the ready steps."""
        self.ready_steps.pop(run.key, None)
        self.backlog.update_step(run, False)

    def count_ready_step(self, run: step_run_module.StepRun) -> None:
        """Update the backlog after a change of a step's waiting tasks."""
        self.backlog.update_step(run, run.key in self.ready_steps)

    def remove_ready_steps(self, job: job_module.Job) -> None:
        """Remove the steps of a job from the ready steps."""
        for run in job.runs.values():
            self.remove_ready_step(run)

    def remove(self, job: job_module.Job) -> None:
        """Remove a job and its tasks."""
        self.remove_ready_steps(job)
        for run in job.runs.values():
            for task in run.tasks:
                self.tasks.pop(task.name, None)
        self.jobs.pop(job.job_id, None)

    def archive(self, job: job_module.Job, ended_wall_ms: int) -> None:
        """Remove a job but keep its final state."""
        definition = job.definition
        self.remove(job)
        self.ended_jobs[job.job_id] = EndedJob(
            definition.workspace, definition.queue, job.state, ended_wall_ms
        )

    def expire(self, before_wall_ms: int) -> list[str]:
        """Drop jobs that ended before a time and return their ids."""
        expired = []
        for job_id, ended in self.ended_jobs.items():
            if ended.ended_wall_ms >= before_wall_ms:
                continue
            expired.append(job_id)
        for job_id in expired:
            del self.ended_jobs[job_id]
        return expired

    def count_unstarted(self, queue: str) -> int:
        """Count the jobs of a queue that have not started any task."""
        return sum(
            1
            for job in self.jobs.values()
            if job.definition.queue == queue
            and not job.started
            and not job.state.is_final
        )
