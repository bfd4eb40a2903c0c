"""Track one task of a job."""

import typing

from basilspindle.workflow import task_state

if typing.TYPE_CHECKING:
    from basilspindle.workflow import step_run


def job_id_of(name: str) -> str:
    """Return the id of the job that a task belongs to."""
    return name.partition('.')[0]


class Task:
    """Live state of a task.

    ``run`` is the number of its latest start. ``worker_id`` is set while the
    task occupies a worker. ``ended_run`` is the highest run known to have
    ended and ``failed_runs`` are those that failed: if a task ran on two
    workers, their ends may be reported in any order. ``started_ms`` is the
    monotonic time at which the worker answered the latest start order, 0
    before the answer. ``stop_sent_ms`` is the time of the latest stop order,
    0 if none was sent. ``avoided_worker_ids`` are the workers that the task
    should not run on again.

    ``percent`` is the progress in the latest report, ``sampled_percent`` the
    progress at ``sampled_ms``, from which its speed is measured. ``lag`` is
    the ratio of expected to actual progress in the latest sample, 0 before the
    first, and ``is_stalled`` tells that there was none. ``is_timed``
    tells that the progress at ``started_ms`` is known: ``base_percent``. It is
    not if the run may have begun with a checkpoint. ``measured_ms`` is the
    duration of the whole run as measured when the speed of the worker was
    learnt from it, 0 before. ``load`` is taken from the latest report: the
    response time in ms of a service, the CPU usage of any other task.
    ``pace_percent`` is the speed ordered at ``paced_ms``, in percent of full
    speed; None if it is unknown.
    ``has_unanswered_pace`` is set by an order without an answer, after which
    orders are repeated until ``pace_repeated_until_ms``.
    ``preemptions`` counts the stops in favour of more urgent work.
    ``answered_ms`` and ``answered_clock_ms`` are when a worker acknowledged
    the latest start and what its clock showed, None if it did not tell;
    ``unanswered_start_ms`` is when the latest attempt at it was sent that got
    no answer and may still be carried out, 0 if there is none.
    ``listed_born_wall_ms`` is the start time of the worker that has listed
    the latest run, 0 if none has. ``is_restored`` tells that the run is known
    from the log of an earlier leader only.
    """

    __slots__ = (
        'name',
        'step_run',
        'index',
        'state',
        'run',
        'worker_id',
        'ended_run',
        'failed_runs',
        'checkpoint',
        'started_ms',
        'percent',
        'sampled_ms',
        'sampled_percent',
        'is_timed',
        'measured_ms',
        'base_percent',
        'lag',
        'is_stalled',
        'avoided_worker_ids',
        'stop_sent_ms',
        'load',
        'pace_percent',
        'paced_ms',
        'has_unanswered_pace',
        'pace_repeated_until_ms',
        'preemptions',
        'answered_ms',
        'answered_clock_ms',
        'unanswered_start_ms',
        'listed_born_wall_ms',
        'is_restored',
    )

    def __init__(
        self, name: str, step_run: 'step_run.StepRun', index: int
    ) -> None:
        self.name = name
        self.step_run = step_run
        self.index = index
        self.state = task_state.TaskState.WAITING
        self.run = 0
        self.worker_id = ''
        self.ended_run = 0
        self.failed_runs: set[int] = set()
        self.checkpoint = ''
        self.started_ms = 0
        self.percent = 0
        self.sampled_ms = 0
        self.sampled_percent = 0
        self.is_timed = False
        self.measured_ms = 0.0
        self.base_percent = 0
        self.lag = 0.0
        self.is_stalled = False
        self.avoided_worker_ids: set[str] = set()
        self.stop_sent_ms = 0
        self.load = 0
        self.pace_percent: int | None = 100
        self.paced_ms = 0
        self.has_unanswered_pace = False
        self.pace_repeated_until_ms = 0
        self.preemptions = 0
        self.answered_ms = 0
        self.answered_clock_ms: int | None = None
        self.unanswered_start_ms = 0
        self.listed_born_wall_ms = 0
        self.is_restored = False

    @property
    def occupies_worker(self) -> bool:
        """Tell whether the task occupies a worker."""
        return (
            task_state.TaskState.WAITING
            < self.state
            < task_state.TaskState.DONE
        )
