"""Orders of the scheduler to workers and to the advice service."""

import enum

from basilspindle.workflow import step_run as step_run_module
from basilspindle.workflow import task as task_module


class StartOrder:
    """Order to start a run of a task on a worker.

    ``is_released`` is set once a successor knows of it, so that it is sent.
    """

    __slots__ = ('worker_id', 'task', 'run', 'ticket', 'is_released')

    def __init__(
        self, worker_id: str, task: task_module.Task, run: int, ticket: str
    ) -> None:
        self.worker_id = worker_id
        self.task = task
        self.run = run
        self.ticket = ticket
        self.is_released = False


class StopOrder:
    """Order to stop a run on a worker, even one of an unknown task."""

    __slots__ = ('worker_id', 'name', 'run')

    def __init__(self, worker_id: str, name: str, run: int) -> None:
        self.worker_id = worker_id
        self.name = name
        self.run = run


class PaceOrder:
    """Order to run a task at a percentage of its full speed."""

    __slots__ = ('worker_id', 'task', 'run', 'percent')

    def __init__(
        self, worker_id: str, task: task_module.Task, percent: int
    ) -> None:
        self.worker_id = worker_id
        self.task = task
        self.run = task.run
        self.percent = percent


class AdviceRequest:
    """Request for advice on which of the workers may run a step."""

    __slots__ = ('step_run', 'worker_ids')

    def __init__(
        self, step_run: step_run_module.StepRun, worker_ids: list[str]
    ) -> None:
        self.step_run = step_run
        self.worker_ids = worker_ids


class WaitReason(enum.StrEnum):
    """Reason why a step with ready tasks does not start."""

    UNSEEN = 'workers_not_seen'
    LIMIT = 'workspace_limit'
    ROOM = 'no_room'
    TICKET = 'ticket_expired'


class WaitNote:
    """Reason why a step waits, with the number of workers considered."""

    __slots__ = ('step_run', 'reason', 'candidates')

    def __init__(
        self,
        step_run: step_run_module.StepRun,
        reason: WaitReason,
        candidates: int,
    ) -> None:
        self.step_run = step_run
        self.reason = reason
        self.candidates = candidates


class PreemptionNote:
    """Gang that gets room, and the tasks that give way to it."""

    __slots__ = ('step_run', 'tasks')

    def __init__(
        self,
        step_run: step_run_module.StepRun,
        tasks: list[task_module.Task],
    ) -> None:
        self.step_run = step_run
        self.tasks = tasks


class FaultNote:
    """Step that a scheduling pass could not place, and the error."""

    __slots__ = ('step_run', 'error')

    def __init__(
        self, step_run: step_run_module.StepRun, error: Exception
    ) -> None:
        self.step_run = step_run
        self.error = error


class Orders:
    """Orders of a scheduling pass, and the reasons why steps wait."""

    __slots__ = (
        'starts',
        'stops',
        'paces',
        'advice',
        'waits',
        'preemptions',
        'faults',
    )

    def __init__(self) -> None:
        self.starts: list[StartOrder] = []
        self.stops: list[StopOrder] = []
        self.paces: list[PaceOrder] = []
        self.advice: list[AdviceRequest] = []
        self.waits: list[WaitNote] = []
        self.preemptions: list[PreemptionNote] = []
        self.faults: list[FaultNote] = []
