"""Hold the state of one job as recorded in the stream."""

import collections.abc

from basilspindle.journal import records
from basilspindle import model

# A job takes the first of these states that one of its tasks has.
_WORST_FIRST = (
    model.State.UNKNOWN,
    model.State.FAILED,
    model.State.UNSCHEDULABLE,
    model.State.EXPIRED,
    model.State.CANCELLED,
)


class JobEntry:
    """Job and what the stream records of it.

    ``state`` is QUEUED until the job has ended, since the stream does not
    record which tasks run. ``ended`` holds the results of ended tasks and
    ``intents`` the announced starts of tasks that may still run, both by
    task index. ``ended_wall_ms`` is 0 until the job has ended.
    """

    __slots__ = (
        'job',
        'ended',
        'intents',
        'cancelled',
        'state',
        'reason',
        'ended_wall_ms',
    )

    def __init__(self, job: model.Job) -> None:
        self.job = job
        self.ended: dict[int, model.TaskResult] = {}
        self.intents: dict[int, records.StartIntent] = {}
        self.cancelled = False
        self.state = model.State.QUEUED
        self.reason = ''
        self.ended_wall_ms = 0

    @property
    def final(self) -> bool:
        """Tell whether the job has ended."""
        return self.state.final

    @property
    def open_tasks(self) -> int:
        """Return the number of tasks that have not ended."""
        return self.job.tasks - len(self.ended)

    def open_indexes(self) -> collections.abc.Iterator[int]:
        """Yield the indexes of the tasks that have not ended."""
        return (
            index for index in range(self.job.tasks) if index not in self.ended
        )

    def counts(self, starting: int = 0, running: int = 0) -> dict[str, int]:
        """Return the number of tasks by the name of their state.

        ``starting`` and ``running`` are not recorded, so the caller gives
        them. The other tasks without a result count as queued, or under
        the state of the job if it has ended.
        """
        counts_by_state: dict[str, int] = {}
        for result in self.ended.values():
            name = result.state.value
            counts_by_state[name] = counts_by_state.get(name, 0) + 1
        remaining = self.open_tasks - starting - running
        for state, count in (
            (model.State.STARTING, starting),
            (model.State.RUNNING, running),
            (self.state if self.final else model.State.QUEUED, remaining),
        ):
            if count > 0:
                counts_by_state[state.value] = (
                    counts_by_state.get(state.value, 0) + count
                )
        return counts_by_state

    def outcome(self) -> model.State:
        """Return the state of the job as given by its ended tasks."""
        states = {result.state for result in self.ended.values()}
        for state in _WORST_FIRST:
            if state in states:
                return state
        return model.State.SUCCEEDED

    def dump(self) -> dict:
        """Return the entry without inputs and results, for diagnosis."""
        return {
            'job_id': self.job.job_id,
            'workspace': self.job.workspace,
            'kind': self.job.kind,
            'tasks': self.job.tasks,
            'state': self.state.value,
            'reason': self.reason,
            'cancelled': self.cancelled,
            'ended': len(self.ended),
            'intents': sorted(self.intents),
            'ended_wall_ms': self.ended_wall_ms,
        }
