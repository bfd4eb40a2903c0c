"""Track one job of an owned partition."""

import asyncio
import collections

from basilspindle.coordinator import tracked_task
from basilspindle import model


class TrackedJob:
    """A job with its queued, started and ended tasks.

    Queued tasks are those from ``next_index`` on and those in
    ``retry_indexes``; ``started`` and ``ended`` hold the others by index.
    Every task is in exactly one of these. ``declared_resources`` are those
    submitted, before they were adjusted to the usage of the kind; None for
    a job that another daemon accepted. ``last_schedulable_ms`` is when a
    worker was last known that could run its tasks. ``closed`` is set when
    its partition is given up.
    """

    __slots__ = (
        'job',
        'partition',
        'next_index',
        'retry_indexes',
        'started',
        'ended',
        'attempts',
        'declared_resources',
        'failed_workers',
        'cancelled',
        'closed',
        'state',
        'reason',
        'ended_at_ms',
        'last_schedulable_ms',
        '_changed',
        '_next_attempt',
    )

    def __init__(self, job: model.Job, partition: int) -> None:
        self.job = job
        self.partition = partition
        self.next_index = 0
        self.retry_indexes: collections.deque[int] = collections.deque()
        self.started: dict[int, tracked_task.TrackedTask] = {}
        self.ended: dict[int, model.TaskResult] = {}
        self.attempts: dict[int, int] = {}
        self.declared_resources: model.Resources | None = None
        self.failed_workers: dict[int, list[str]] = {}
        self.cancelled = False
        self.closed = False
        self.state = model.State.QUEUED
        self.reason = ''
        self.ended_at_ms = 0
        self.last_schedulable_ms = 0
        self._changed = asyncio.Event()
        self._next_attempt = 0

    @property
    def queued(self) -> int:
        """Return the number of tasks to start, including retries."""
        return self.job.tasks - self.next_index + len(self.retry_indexes)

    def start_next(self, epoch: int) -> tracked_task.TrackedTask:
        """Move the next queued task to the started ones.

        Attempt numbers contain the epoch of the owner, so that two owners
        never use the same one.
        """
        if self.retry_indexes:
            index = self.retry_indexes.popleft()
        else:
            index = self.next_index
            self.next_index += 1
        count = self.attempts.get(index, 0) + 1
        self.attempts[index] = count
        attempt = epoch * _ATTEMPTS_PER_EPOCH + self._next_attempt
        self._next_attempt += 1
        task = tracked_task.TrackedTask(index, attempt)
        self.started[index] = task
        return task

    def requeue(self, index: int, *, counted: bool) -> None:
        """Move a started task back to the queue.

        ``counted`` tells whether the attempt counts towards the job's
        ``max_attempts``; one that has certainly not run does not.
        """
        del self.started[index]
        self.retry_indexes.append(index)
        if not counted:
            self.attempts[index] -= 1

    def adopt(self, task: tracked_task.TrackedTask) -> None:
        """Add a task that was found running to the started ones."""
        self.started[task.index] = task
        self.attempts.setdefault(task.index, 1)

    def end(self, result: model.TaskResult) -> None:
        """Move a task to the ended ones."""
        self.started.pop(result.index, None)
        self.ended[result.index] = result

    def end_queued(self, state: model.State, reason: str) -> None:
        """End every queued task without starting it."""
        indexes = [
            *self.retry_indexes,
            *range(self.next_index, self.job.tasks),
        ]
        self.retry_indexes.clear()
        self.next_index = self.job.tasks
        for index in indexes:
            self.ended[index] = model.TaskResult(
                index=index,
                state=state,
                attempts=self.attempts.get(index, 0),
                error=reason,
            )
        self.reason = self.reason or reason

    def update_state(self, now_ms: int) -> bool:
        """Update the state of the job; tell whether it has just ended."""
        if self.state.final:
            return False
        self._derive_state()
        if self.state.final:
            self.ended_at_ms = now_ms
        self.notify()
        return self.state.final

    def notify(self) -> None:
        """Wake the callers that wait for a change of the job."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _derive_state(self) -> None:
        if len(self.ended) < self.job.tasks:
            running = bool(self.started or self.ended)
            self.state = model.State.RUNNING if running else model.State.QUEUED
            return
        states = {result.state for result in self.ended.values()}
        for state in _STATE_PRECEDENCE:
            if state in states:
                self.state = state
                return

    @property
    def changed(self) -> asyncio.Event:
        """Return an event that is set when the state is next updated."""
        return self._changed

    def view(self, *, with_results: bool) -> model.JobView:
        """Return the job as shown to its workspace."""
        counts = collections.Counter(
            result.state.value for result in self.ended.values()
        )
        counts.update(task.state.value for task in self.started.values())
        if self.queued:
            counts[model.State.QUEUED.value] += self.queued
        results = sorted(self.ended.values(), key=_by_index)
        return model.JobView(
            job_id=self.job.job_id,
            workspace=self.job.workspace,
            queue=self.job.queue,
            kind=self.job.kind,
            state=self.state,
            tasks=self.job.tasks,
            counts=dict(counts),
            submitted_wall_ms=self.job.submitted_wall_ms,
            results=results[:_MAX_VIEW_RESULTS] if with_results else [],
            reason=self.reason,
        )


# An ended job takes the first of these states that one of its tasks has.
_STATE_PRECEDENCE = (
    model.State.UNKNOWN,
    model.State.FAILED,
    model.State.UNSCHEDULABLE,
    model.State.EXPIRED,
    model.State.CANCELLED,
    model.State.SUCCEEDED,
)
_MAX_VIEW_RESULTS = 1000
# Enough for 100 attempts of each of 10,000 tasks under one owner.
_ATTEMPTS_PER_EPOCH = 1_000_000


def _by_index(result: model.TaskResult) -> int:
    return result.index
