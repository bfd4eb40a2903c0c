"""Account for one workspace: what waits, what runs, what it may use."""

from basilspindle import model
from basilspindle.policy import amounts as amounts_module
from basilspindle.policy import operation_count
from basilspindle.policy import queue_entry
from basilspindle.policy import shape_queue as shape_queue_module
from basilspindle.policy import workspace_policy

_CLASSES = len(model.Priority)
_RATE_WINDOW_MS = 1_000


class WorkspaceState:
    """Counts of one workspace; ``share`` is kept up to date by the queue.

    ``turn`` orders workspaces of equal share. A workspace without a policy may
    queue work, but starts none.
    """

    __slots__ = (
        'name',
        'policy',
        'weight',
        'running',
        'running_tasks',
        'share',
        'turn',
        'shape_queues',
        'waiting',
        '_limit',
        '_window_ms',
        '_window_tasks',
        '_rate',
        '_operations',
    )

    def __init__(
        self, name: str, turn: int, operations: operation_count.OperationCount
    ) -> None:
        self.name = name
        self.policy: workspace_policy.WorkspacePolicy | None = None
        self.weight = 1.0
        self.running = [0, 0, 0, 0]
        self.running_tasks = 0
        self.share = 0.0
        self.turn = turn
        self.shape_queues: list[
            dict[tuple[model.Resources, int], shape_queue_module.ShapeQueue]
        ] = [{} for _ in range(_CLASSES)]
        self.waiting = [0] * _CLASSES
        self._limit: amounts_module.Amounts | None = None
        self._window_ms = 0
        self._window_tasks = 0
        self._rate = 0.0
        self._operations = operations

    def set_policy(self, policy: workspace_policy.WorkspacePolicy) -> None:
        """Replace the policy."""
        self.policy = policy
        limit = policy.limit
        self._limit = (
            None if limit is None else amounts_module.from_resources(limit)
        )

    def allows(self, amounts: amounts_module.Amounts, count: int) -> bool:
        """Tell whether so many more tasks stay within every upper limit.

        A workspace above any of its limits starts nothing at all.
        """
        if self.policy is None:
            return False
        limit_tasks = self.policy.limit_tasks
        if limit_tasks >= 0 and self.running_tasks + count > limit_tasks:
            return False
        if self._limit is None:
            return True
        return all(
            limit < 0 or running + amount * count <= limit
            for amount, limit, running in zip(
                amounts, self._limit, self.running, strict=True
            )
        )

    def run(self, amounts: amounts_module.Amounts, count: int) -> None:
        """Count tasks as running; a negative count takes them back."""
        tasks = self.running_tasks + count
        running = [
            total + amount * count
            for total, amount in zip(self.running, amounts, strict=True)
        ]
        if tasks < 0 or min(running) < 0:
            raise ValueError(
                f'workspace {self.name!r} has fewer tasks running than ended; '
                'end a task once, with the resources it was started with'
            )
        self.running_tasks = tasks
        self.running = running

    def queue(self, entry: queue_entry.QueueEntry, count: int) -> None:
        """Add waiting tasks to an entry and to its shape_queue."""
        if entry.count == 0:
            shape_queues = self.shape_queues[entry.priority]
            shape_queue = shape_queues.get(entry.key)
            if shape_queue is None:
                shape_queue = shape_queues[entry.key] = (
                    shape_queue_module.ShapeQueue(self._operations)
                )
            shape_queue.put(entry)
        entry.count += count
        self.waiting[entry.priority] += count

    def unqueue(self, entry: queue_entry.QueueEntry, count: int) -> None:
        """Take waiting tasks off an entry, anywhere in its shape_queue."""
        if not count:
            return
        entry.count -= count
        if not entry.count:
            self.shape_queues[entry.priority][entry.key].mark_dead()
        self._shrink(entry.priority, count)

    def _shrink(self, priority: int, count: int) -> None:
        self.waiting[priority] -= count
        if not self.waiting[priority]:
            # What is left in the shape_queues is dead.
            self.shape_queues[priority].clear()

    def drained(self, count: int, now_ms: int) -> None:
        """Measure how fast the queue of the workspace moves."""
        self._window_tasks += count
        elapsed_ms = now_ms - self._window_ms
        if elapsed_ms >= _RATE_WINDOW_MS:
            self._rate = self._window_tasks / elapsed_ms
            self._window_ms = now_ms
            self._window_tasks = 0

    def drain_ms(self, count: int) -> int:
        """Estimate the ms until so many tasks have left; 0 if unknown."""
        return int(count / self._rate) if self._rate > 0 else 0
