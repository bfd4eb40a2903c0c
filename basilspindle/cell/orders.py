"""Describe orders of the scheduler to workers and advisers."""

import enum

from basilspindle.workflow import step_run as step_run_module
from basilspindle.workflow import task as task_module


class StartOrder:
    """Start one run of a task on a worker."""

    __slots__ = ('worker_id', 'task', 'run', 'ticket')

    def __init__(
        self, worker_id: str, task: task_module.Task, run: int, ticket: str
    ) -> None:
        self.worker_id = worker_id
        self.task = task
        self.run = run
        self.ticket = ticket


class StopOrder:
    """Stop one run, known or not, on a worker."""

    __slots__ = ('worker_id', 'name', 'run')

    def __init__(self, worker_id: str, name: str, run: int) -> None:
        self.worker_id = worker_id
        self.name = name
        self.run = run


class PaceOrder:
    """Let a task work at a part of its speed, in percent."""

    __slots__ = ('worker_id', 'task', 'run', 'percent')

    def __init__(
        self, worker_id: str, task: task_module.Task, percent: int
    ) -> None:
        self.worker_id = worker_id
        self.task = task
        self.run = task.run
        self.percent = percent


class AdviceRequest:
    """Ask which workers may run a step."""

    __slots__ = ('step_run', 'worker_ids')

    def __init__(
        self, step_run: step_run_module.StepRun, worker_ids: list[str]
    ) -> None:
        self.step_run = step_run
        self.worker_ids = worker_ids


class WaitReason(enum.StrEnum):
    """Name why a step whose turn has come does not start."""

    UNSEEN = 'workers_not_seen'
    LIMIT = 'workspace_limit'
    ROOM = 'no_room'
    TICKET = 'ticket_expired'


class WaitNote:
    """Why a step waits, with what decided it."""

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


class Orders:
    """Orders that one round of decisions produced, and why others wait."""

    __slots__ = ('starts', 'stops', 'paces', 'advice', 'waits')

    def __init__(self) -> None:
        self.starts: list[StartOrder] = []
        self.stops: list[StopOrder] = []
        self.paces: list[PaceOrder] = []
        self.advice: list[AdviceRequest] = []
        self.waits: list[WaitNote] = []
