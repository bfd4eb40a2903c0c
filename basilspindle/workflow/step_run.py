"""Track one step of one occurrence of a job."""

import typing

from basilspindle.workflow import step as step_module
from basilspindle.workflow import step_timing
from basilspindle.workflow import task as task_module
from basilspindle.workflow import task_state
from basilspindle.workflow import ticket as ticket_module

if typing.TYPE_CHECKING:
    from basilspindle.workflow import job as job_module


class StepRun:
    """Live state of one step in one occurrence of its job.

    ``waiting`` holds the tasks to start, by index; they start once the
    steps before are done, at ``ready_ms``. ``done`` counts finished tasks.
    ``started_ms`` is the time of the latest start orders.

    ``tickets`` maps worker ids to their tickets, None before the first
    advice. ``advised_worker_ids`` are the workers named in calls for advice
    so far. ``pending_advice_calls`` counts the calls without an answer, and
    ``advice_requested_ms`` is the time at which they were made, 0 if there
    is none. ``reserved_tasks`` maps worker ids to the number of tasks for
    which room is reserved during a call, until ``reserved_until_ms``.
    ``awaits_preempted`` tells that it is reserved while tasks that give way
    to the step are being stopped; ``room_sought_ms`` is when such tasks were
    last looked for.

    ``wait_reason`` is why the step did not start when it was last planned,
    and ``retry_at_ms`` when it is planned again at the latest.
    ``is_limited_by_workspace`` tells that the limit of its workspace held
    tasks back then. ``gang_failed_runs`` are the numbers of the failed runs
    of a gang. ``timing`` holds the measured durations of its tasks, None
    before the first. ``path_ms`` caches the declared time from its start to
    the end of the job, None before it is needed.
    """

    __slots__ = (
        'key',
        'job',
        'occurrence',
        'index',
        'step',
        'tasks',
        'waiting',
        'done',
        'tickets',
        'advice_requested_ms',
        'pending_advice_calls',
        'advised_worker_ids',
        'ready_ms',
        'started_ms',
        'reserved_tasks',
        'reserved_until_ms',
        'awaits_preempted',
        'room_sought_ms',
        'retry_at_ms',
        'wait_reason',
        'is_limited_by_workspace',
        'gang_failed_runs',
        'timing',
        'path_ms',
    )

    def __init__(
        self,
        job: 'job_module.Job',
        occurrence: int,
        index: int,
        step: step_module.Step,
    ) -> None:
        self.key = f'{job.definition.job_id}.{occurrence}.{index}'
        self.job = job
        self.occurrence = occurrence
        self.index = index
        self.step = step
        self.tasks = [
            task_module.Task(f'{self.key}.{number}', self, number)
            for number in range(step.count)
        ]
        self.waiting: dict[int, task_module.Task] = dict(enumerate(self.tasks))
        self.done = 0
        self.tickets: dict[str, ticket_module.Ticket] | None = None
        self.advice_requested_ms = 0
        self.pending_advice_calls = 0
        self.advised_worker_ids: set[str] = set()
        self.ready_ms = 0
        self.started_ms = 0
        self.reserved_tasks: dict[str, int] = {}
        self.reserved_until_ms = 0
        self.awaits_preempted = False
        self.room_sought_ms = 0
        self.retry_at_ms = 0
        self.wait_reason = ''
        self.is_limited_by_workspace = False
        self.gang_failed_runs: set[int] = set()
        self.timing: step_timing.StepTiming | None = None
        self.path_ms: float | None = None

    @property
    def is_done(self) -> bool:
        """Tell whether all tasks are done."""
        return self.done == self.step.count

    @property
    def work_left_millicore_ms(self) -> int:
        """Return the declared core time of the tasks to start."""
        step = self.step
        return (
            len(self.waiting) * step.reserved.cpu_millicores * step.estimate_ms
        )

    def mark_done(self, task: task_module.Task) -> None:
        """Mark a task as done; a repeated call has no effect."""
        if task.state is not task_state.TaskState.DONE:
            task.state = task_state.TaskState.DONE
            self.done += 1
        self.waiting.pop(task.index, None)

    def mark_waiting(self, task: task_module.Task) -> None:
        """Put a task back among those to start."""
        task.state = task_state.TaskState.WAITING
        task.worker_id = ''
        self.waiting[task.index] = task
