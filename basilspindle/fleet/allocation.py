"""Account for one attempt of a task on a leased worker."""

import asyncio
import enum

import msgspec

from basilspindle import errors
from basilspindle import model
from basilspindle.peer import messages

AttemptKey = tuple[str, int]


class Phase(enum.Enum):
    """How far an attempt has got."""

    HELD = 'held'
    STARTING = 'starting'
    UNCERTAIN = 'uncertain'
    RUNNING = 'running'


class Allocation:
    """One attempt that has capacity reserved on a worker.

    ``epoch`` and ``incarnation`` are those under which the start was
    sent. ``order`` is dropped once the task runs, to free its input.
    ``counted`` is the larger of the declared and the observed amounts.
    """

    __slots__ = (
        'running',
        'idempotent',
        'order',
        'phase',
        'counted',
        'used',
        'epoch',
        'incarnation',
        'sent_ms',
        'hold_until_ms',
        'stop_wanted',
        'avoided',
        'announced',
        'over',
        'placed',
    )

    def __init__(
        self,
        running: model.RunningTask,
        idempotent: bool,
        order: model.TaskOrder | None = None,
    ) -> None:
        self.running = running
        self.idempotent = idempotent
        self.order = order
        self.phase = Phase.STARTING if order else Phase.RUNNING
        self.counted = running.resources
        self.used = model.Resources()
        self.epoch = 0
        self.incarnation = ''
        self.sent_ms = 0
        self.hold_until_ms = 0
        self.stop_wanted = False
        self.avoided = len(order.avoid) if order else 0
        # Set once an owner has been told that the attempt may run, so that
        # a failed start has to be reported as well.
        self.announced = False
        # Set once the allocation has left its worker's account.
        self.over = False
        # The answer to the order, for repeated orders.
        self.placed: asyncio.Future[messages.Placement] | None = None

    @property
    def key(self) -> AttemptKey:
        """Return task id and attempt."""
        return self.running.task_id, self.running.attempt

    def placement(self, *, unknown: bool = False) -> messages.Placement:
        """Say where the attempt went."""
        return messages.Placement(
            task_id=self.running.task_id,
            attempt=self.running.attempt,
            worker_id=self.running.worker_id,
            failure_domain=self.running.failure_domain,
            rack=self.running.rack,
            reason=errors.WorkerOutcomeUnknown.kind if unknown else '',
            unknown=unknown,
        )

    def listed(self) -> model.RunningTask:
        """Return the task with the latest epoch under which it is known."""
        return msgspec.structs.replace(self.running, worker_epoch=self.epoch)

    def end(
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
            task_id=self.running.task_id,
            attempt=self.running.attempt,
            workspace=self.running.workspace,
            partition=self.running.partition,
            worker_id=self.running.worker_id,
            state=state,
            started=started,
            result=result,
            error=error,
            run_time_ms=run_time_ms,
            used=self.used,
            worker_epoch=worker_epoch,
        )

    def loss(self, error: str, worker_epoch: int) -> model.TaskEnd:
        """Build the report of an attempt that ended without outcome."""
        state = model.State.QUEUED if self.idempotent else model.State.UNKNOWN
        return self.end(state, error=error, worker_epoch=worker_epoch)
