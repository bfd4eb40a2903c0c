"""Follow one task of a job."""

import typing

from basilspindle.workflow import task_state

if typing.TYPE_CHECKING:
    from basilspindle.workflow import step_run


class Task:
    """Live state of a task; ``run`` is the number of its latest start.

    ``worker_id`` is set while the task occupies a worker. ``ended_run`` is
    the highest run that is known to be over, ``failed_runs`` are those that
    ended in failure; ends of one task at two workers come in any order.
    ``started_ms`` is the monotonic time at which the worker answered the
    last order for the task; 0 while none is answered. ``percent`` is the
    progress in the last report, ``sampled_percent`` that at ``sampled_ms``.
    ``load`` is what the last report says of the task: its response time in
    ms for a service, otherwise the cpu in use. ``pace_percent`` is how fast
    it works since ``paced_ms``; None if that is not known.
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
        'avoided_worker_ids',
        'stop_sent_ms',
        'load',
        'pace_percent',
        'paced_ms',
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
        self.avoided_worker_ids: set[str] = set()
        self.stop_sent_ms = 0
        self.load = 0
        self.pace_percent: int | None = 100
        self.paced_ms = 0

    @property
    def occupies_worker(self) -> bool:
        """Tell whether the task takes room on a worker."""
        return (
            task_state.TaskState.WAITING
            < self.state
            < task_state.TaskState.DONE
        )
