"""Follow one step of one occurrence of a job."""

import typing

from basilspindle.workflow import step as step_module
from basilspindle.workflow import task as task_module
from basilspindle.workflow import task_state
from basilspindle.workflow import ticket as ticket_module

if typing.TYPE_CHECKING:
    from basilspindle.workflow import job as job_module


class StepRun:
    """Live state of a step; ``tickets`` is None before any advice.

    ``advised_worker_ids`` are the workers that the advice so far was about.
    ``waiting`` holds the tasks that may start once the step is ready.
    ``advice_requested_ms`` is the time of a pending call for advice, 0 for
    none.
    ``started_ms`` is the time of the latest orders to start, and
    ``ready_ms`` the time at which the earlier steps were done.
    ``timed_tasks`` tasks took ``timed_total_ms`` together, as on a sound
    worker. ``is_limited_by_workspace`` tells that the workspace's limit held
    tasks back then.
    ``wait_reason`` is why the step did not start when last planned.
    ``reserved_until_ms`` bounds a reservation of room in ``reserved_tasks``.
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
        'advised_worker_ids',
        'ready_ms',
        'started_ms',
        'reserved_tasks',
        'reserved_until_ms',
        'retry_at_ms',
        'wait_reason',
        'is_limited_by_workspace',
        'gang_failed_runs',
        'timed_tasks',
        'timed_total_ms',
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
            task_module.Task(f'{self.key}.{place}', self, place)
            for place in range(step.count)
        ]
        self.waiting: dict[int, task_module.Task] = dict(enumerate(self.tasks))
        self.done = 0
        self.tickets: dict[str, ticket_module.Ticket] | None = None
        self.advice_requested_ms = 0
        self.advised_worker_ids: set[str] = set()
        self.ready_ms = 0
        self.started_ms = 0
        self.reserved_tasks: dict[str, int] = {}
        self.reserved_until_ms = 0
        self.retry_at_ms = 0
        self.wait_reason = ''
        self.is_limited_by_workspace = False
        self.gang_failed_runs: set[int] = set()
        self.timed_tasks = 0
        self.timed_total_ms = 0.0

    @property
    def is_done(self) -> bool:
        """Tell whether all tasks are done."""
        return self.done == self.step.count

    def mark_done(self, task: task_module.Task) -> None:
        """Count a task as done, once."""
        if task.state is not task_state.TaskState.DONE:
            task.state = task_state.TaskState.DONE
            self.done += 1
        self.waiting.pop(task.index, None)

    def mark_waiting(self, task: task_module.Task) -> None:
        """Let a task start again."""
        task.state = task_state.TaskState.WAITING
        task.worker_id = ''
        self.waiting[task.index] = task
