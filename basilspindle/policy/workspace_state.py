"""Account for the waiting and running tasks of one workspace."""

from basilspindle.indexing import amounts as amounts_module
from basilspindle.indexing import operation_count
from basilspindle import model
from basilspindle.policy import queue_entry
from basilspindle.policy import shape_queue as shape_queue_module
from basilspindle.policy import workspace_policy

_PRIORITY_CLASSES = len(model.Priority)
_DRAIN_WINDOW_MS = 1_000


class WorkspaceState:
    """Counts of one workspace.

    ``share`` and ``weight`` are maintained by the fair queue. Among
    workspaces of equal share the one with the lowest ``turn`` is next; it
    rises with every start, which makes them alternate. ``waiting`` counts
    tasks by priority class. A workspace without a policy may queue work, but
    starts none.
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
        '_window_start_ms',
        '_window_tasks',
        '_tasks_per_ms',
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
        ] = [{} for _ in range(_PRIORITY_CLASSES)]
        self.waiting = [0] * _PRIORITY_CLASSES
        self._limit: amounts_module.Amounts | None = None
        self._window_start_ms = 0
        self._window_tasks = 0
        self._tasks_per_ms = 0.0
        self._operations = operations

    def set_policy(self, policy: workspace_policy.WorkspacePolicy) -> None:
        """Replace the policy."""
        self.policy = policy
        limit = policy.limit
        self._limit = (
            None if limit is None else amounts_module.from_resources(limit)
        )

    def allows(self, amounts: amounts_module.Amounts, count: int) -> bool:
        """Tell whether ``count`` more tasks stay within every upper limit.

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

    def count_running(
        self, amounts: amounts_module.Amounts, count: int
    ) -> None:
        """Count tasks as running, or as ended if ``count`` is negative."""
        tasks = self.running_tasks + count
        running = [
            used + amount * count
            for used, amount in zip(self.running, amounts, strict=True)
        ]
        if tasks < 0 or min(running) < 0:
            raise ValueError(
                f'more tasks of workspace {self.name!r} ended than were '
                'running; end each task once, with the resources it was '
                'started with'
            )
        self.running_tasks = tasks
        self.running = running

    def add_waiting(self, entry: queue_entry.QueueEntry, count: int) -> None:
        """Add waiting tasks to an entry, and the entry to its shape queue."""
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

    def remove_waiting(
        self, entry: queue_entry.QueueEntry, count: int
    ) -> None:
        """Remove waiting tasks from an entry at any place in its queue."""
        if not count:
            return
        entry.count -= count
        if not entry.count:
            self.shape_queues[entry.priority][entry.key].mark_dead()
        self._reduce_waiting(entry.priority, count)

    def _reduce_waiting(self, priority: int, count: int) -> None:
        self.waiting[priority] -= count
        if not self.waiting[priority]:
            # Only dead items are left in the queues.
            self.shape_queues[priority].clear()

    def record_started(self, count: int, now_ms: int) -> None:
        """Record started tasks to measure the drain rate of the queue."""
        self._window_tasks += count
        elapsed_ms = now_ms - self._window_start_ms
        if elapsed_ms >= _DRAIN_WINDOW_MS:
            self._tasks_per_ms = self._window_tasks / elapsed_ms
            self._window_start_ms = now_ms
            self._window_tasks = 0

    def estimate_drain_ms(self, count: int) -> int:
        """Estimate the time in which ``count`` tasks start, 0 if unknown."""
        return int(count / self._tasks_per_ms) if self._tasks_per_ms > 0 else 0
