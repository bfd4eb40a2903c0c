"""Track the live state of a job."""

from basilspindle.workflow import definition as definition_module
from basilspindle.workflow import job_state
from basilspindle.workflow import step_run as step_run_module
from basilspindle.workflow import task as task_module


class Job:
    """Live state of a job.

    ``state`` is the state decided in memory; ``durable_state`` is the one
    committed to the log, the only one shown to callers, and None before the
    first commit. ``append_started`` is set before the first append, after
    which the log may hold the job. ``accepted_ms`` is monotonic time.
    ``first_sent_ms`` is when the caller first sent the job, from which its
    objective counts: before ``accepted_ms`` if this leader refused it before.
    ``runs`` maps (occurrence, step index) to a step run. ``next_occurrence``
    is the number of the first occurrence that is not open yet; the log holds
    those below ``durable_occurrences``. ``occupying_tasks`` are the tasks
    that occupy a worker. ``recovered`` marks a job accepted under an earlier
    leader: its tasks may be running on workers that have not reported yet.
    ``started`` tells that a task was started. ``is_beyond_share`` marks a job
    submitted while its workspace was above its share. ``failed_worker_ids``
    are the workers on which runs of the job failed.
    """

    __slots__ = (
        'definition',
        'state',
        'durable_state',
        'accepted_ms',
        'first_sent_ms',
        'runs',
        'next_occurrence',
        'durable_occurrences',
        'recorded_parts',
        'progress_mark',
        '_done_occurrences',
        'recovered',
        'started',
        'final_wall_ms',
        'occupying_tasks',
        'append_started',
        'failed_worker_ids',
        'is_beyond_share',
    )

    def __init__(
        self, definition: definition_module.JobDefinition, accepted_ms: int
    ) -> None:
        self.definition = definition
        self.state = job_state.JobState.PENDING
        self.durable_state: job_state.JobState | None = None
        self.accepted_ms = accepted_ms
        self.first_sent_ms = accepted_ms
        self.runs: dict[tuple[int, int], step_run_module.StepRun] = {}
        self.next_occurrence = 0
        self.durable_occurrences = 0
        # Numbers of the progress records that the log may hold.
        self.recorded_parts: set[int] = set()
        # Shared by the progress records of the latest append.
        self.progress_mark = 0
        self._done_occurrences = 0
        self.recovered = False
        self.started = False
        self.final_wall_ms = 0
        self.occupying_tasks: set[task_module.Task] = set()
        self.append_started = False
        self.failed_worker_ids: set[str] = set()
        self.is_beyond_share = False
        if not definition.max_runs:
            self.open_occurrence()

    @property
    def job_id(self) -> str:
        """Return the job id chosen by the caller."""
        return self.definition.job_id

    @property
    def occurrences(self) -> int:
        """Return how many times the steps of the job run."""
        return self.definition.max_runs or 1

    @property
    def next_due_wall_ms(self) -> int | None:
        """Return when the next occurrence is due, None after the last."""
        if self.next_occurrence >= self.occurrences:
            return None
        return (
            self.definition.first_run_ms
            + self.next_occurrence * self.definition.interval_ms
        )

    def open_occurrence(self) -> list[step_run_module.StepRun]:
        """Create and return the step runs of the next occurrence."""
        number = self.next_occurrence
        self.next_occurrence += 1
        opened = []
        for index, step in enumerate(self.definition.steps):
            run = step_run_module.StepRun(self, number, index, step)
            self.runs[number, index] = run
            opened.append(run)
        return opened

    def count_done_occurrences(self) -> int:
        """Return the number of the first occurrence that is not done."""
        while self._done_occurrences < self.next_occurrence and all(
            self.runs[self._done_occurrences, index].is_done
            for index in range(len(self.definition.steps))
        ):
            self._done_occurrences += 1
        return self._done_occurrences

    @property
    def open_tasks(self) -> int:
        """Return how many tasks of the open occurrences are not done."""
        done = self.count_done_occurrences()
        return sum(
            run.step.count - run.done
            for (occurrence, _), run in self.runs.items()
            if occurrence >= done
        )

    def is_recorded(self, run: step_run_module.StepRun) -> bool:
        """Tell whether the log holds the job with this occurrence of it.

        A later leader knows nothing of any other, so none may start.
        """
        return (
            self.durable_state is not None
            and run.occurrence < self.durable_occurrences
        )

    def mark_started(self) -> None:
        """Note that a task has been started, or its start was ordered."""
        self.started = True
        if self.state is job_state.JobState.PENDING:
            self.state = job_state.JobState.RUNNING

    def is_placeable(self, run: step_run_module.StepRun) -> bool:
        """Tell whether an append has included this occurrence of the job.

        A start that is recorded by the same append, or a later one, is sent
        only once the log holds both.
        """
        return self.is_recorded(run) or (
            self.append_started and not self.definition.max_runs
        )

    def is_ready(self, run: step_run_module.StepRun) -> bool:
        """Tell whether all steps that a step run depends on are done."""
        return all(
            self.runs[run.occurrence, dependency].is_done
            for dependency in run.step.after
        )

    @property
    def is_complete(self) -> bool:
        """Tell whether every task of every occurrence is done."""
        if self.next_occurrence < self.occurrences:
            return False
        return all(run.is_done for run in self.runs.values())
