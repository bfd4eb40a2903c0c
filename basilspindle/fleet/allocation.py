"""Track one attempt of a task on a leased worker."""

import asyncio
import enum

import msgspec

from basilspindle import errors
from basilspindle import model
from basilspindle.peer import messages

AttemptKey = tuple[str, int]


class Phase(enum.Enum):
    """Progress of an attempt.

    HELD: capacity is reserved for a gang, and nothing was sent.
    STARTING: the start is being sent.
    UNCERTAIN: the outcome of the start is unknown.
    RUNNING: the worker has confirmed the start or lists the task.
    """

    HELD = 'held'
    STARTING = 'starting'
    UNCERTAIN = 'uncertain'
    RUNNING = 'running'


class Allocation:
    """One attempt of a task with capacity reserved on a worker.

    ``epoch`` is the latest lease epoch under which the start was sent or
    the task was seen; ``incarnation`` is that of the worker at the start.
    ``order`` is dropped once the task runs, to free its input.
    ``reserved`` is the larger of the declared and the observed resources.
    """

    __slots__ = (
        'task',
        'idempotent',
        'order',
        'phase',
        'reserved',
        'peak_usage',
        'epoch',
        'incarnation',
        'start_sent_ms',
        'hold_expires_ms',
        'stop_requested',
        'prior_failed_workers',
        'reported_to_owner',
        'freed',
        'placement_task',
    )

    def __init__(
        self,
        task: model.RunningTask,
        idempotent: bool,
        order: model.TaskOrder | None = None,
    ) -> None:
        self.task = task
        self.idempotent = idempotent
        self.order = order
        self.phase = Phase.STARTING if order else Phase.RUNNING
        self.reserved = task.resources
        self.peak_usage = model.Resources()
        self.epoch = 0
        self.incarnation = ''
        self.start_sent_ms = 0
        self.hold_expires_ms = 0
        self.stop_requested = False
        self.prior_failed_workers = len(order.avoid) if order else 0
        # Set once the owner of the partition has been told that the attempt
        # may run. A failed start must be reported to it from then on.
        self.reported_to_owner = False
        # Set once the capacity was returned to the worker.
        self.freed = False
        # Yields the answer to the order; repeated orders wait for it too.
        self.placement_task: asyncio.Future[messages.Placement] | None = None

    @property
    def key(self) -> AttemptKey:
        """Return the task id and the attempt number."""
        return self.task.task_id, self.task.attempt

    def placement(self, *, unknown: bool = False) -> messages.Placement:
        """Build the answer to the order of this attempt."""
        return messages.Placement(
            task_id=self.task.task_id,
            attempt=self.task.attempt,
            worker_id=self.task.worker_id,
            failure_domain=self.task.failure_domain,
            rack=self.task.rack,
            reason=errors.WorkerOutcomeUnknown.kind if unknown else '',
            unknown=unknown,
        )

    def running_task(self) -> model.RunningTask:
        """Return the task with the latest epoch under which it was seen."""
        return msgspec.structs.replace(self.task, worker_epoch=self.epoch)

    def task_end(
        self,
        state: model.State,
        *,
        started: bool = True,
        result: bytes = b'',
        error: str = '',
        run_time_ms: int = 0,
        worker_epoch: int = 0,
    ) -> model.TaskEnd:
        """Build the report of the end of this attempt."""
        return model.TaskEnd(
            task_id=self.task.task_id,
            attempt=self.task.attempt,
            workspace=self.task.workspace,
            partition=self.task.partition,
            worker_id=self.task.worker_id,
            state=state,
            started=started,
            result=result,
            error=error,
            run_time_ms=run_time_ms,
            used=self.peak_usage,
            worker_epoch=worker_epoch,
        )

    def lost_task_end(self, error: str, worker_epoch: int) -> model.TaskEnd:
        """Build the report of an attempt whose outcome was lost.

        An idempotent task is queued again; the state of any other is
        unknown, since it may have run.
        """
        state = model.State.QUEUED if self.idempotent else model.State.UNKNOWN
        return self.task_end(state, error=error, worker_epoch=worker_epoch)
