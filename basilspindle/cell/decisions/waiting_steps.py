"""Keep the ready steps by what they wait for.

A scheduling pass takes from here the steps that an event may help, so that
its cost follows the events and not the number of steps.
"""

import bisect
import collections
import collections.abc
import itertools
import typing

from basilspindle.cell import ready_steps as ready_steps_module
from basilspindle.indexing import lazy_heap
from basilspindle.indexing import operation_count
from basilspindle.workflow import need as need_module
from basilspindle.workflow import step_run as step_run_module

Key = tuple[typing.Any, ...]
Order = collections.abc.Callable[[step_run_module.StepRun], Key]
# A step that found no capacity is examined again at least this often, even if
# no worker has been freed since.
RECHECK_INTERVAL_MS = 1_000
# Spreads the rechecks of groups over the interval; no divisor of it.
_PHASE_STEP_MS = 387
# Sorts steps that are not limited by the free CPU of a worker first.
_ANY_CPU = -(1 << 60)


class Shape(typing.NamedTuple):
    """What decides whether a step finds room or headroom.

    Steps of the same shape share one answer. ``own_key`` is the key of a step
    that shares its shape with no other, or empty. ``gang_tasks`` is 0 for
    steps that are no gangs. ``has_reservation`` tells that room is reserved
    for the step.
    """

    pool: str
    label: str
    need: need_module.Need
    workspace: str
    gang_tasks: int
    same_rack: bool
    own_key: str
    has_reservation: bool


class WaitingStep:
    """What a ready step waits for.

    ``due_ms`` is when it is examined at the latest. ``woken_key`` is its place
    among the steps to examine now, None if it is not one of them, and
    ``group_key`` that in its group. ``visited_pass`` is the number of the pass
    that examined it last, and ``visited_group`` its group then.
    """

    __slots__ = (
        'run',
        'sequence',
        'due_ms',
        'woken_key',
        'group',
        'group_key',
        'visited_pass',
        'visited_group',
        'scarce_ids',
    )

    def __init__(self, run: step_run_module.StepRun, sequence: int) -> None:
        self.run = run
        self.sequence = sequence
        self.due_ms: int | None = None
        self.woken_key: Key | None = None
        self.group: StepGroup | None = None
        self.group_key: Key | None = None
        self.visited_pass = 0
        self.visited_group: StepGroup | None = None
        self.scarce_ids: tuple[str, ...] = ()


class StepGroup:
    """Waiting steps of one shape, the most urgent first.

    ``freed_ids`` are workers that were freed and may help the group.
    ``is_due`` tells that its first step is to be examined without one, and
    ``due_ms`` when it is examined at the latest, None for groups whose steps
    have times of their own.
    """

    __slots__ = (
        'shape',
        'sequence',
        'freed_ids',
        'is_due',
        'due_ms',
        'size',
        '_latest',
        '_heap',
    )

    def __init__(
        self,
        shape: Shape,
        sequence: int,
        operations: operation_count.OperationCount,
    ) -> None:
        self.shape = shape
        self.sequence = sequence
        self.freed_ids: set[str] = set()
        self.is_due = False
        self.due_ms: int | None = None
        self.size = 0
        # The step that was put last.
        self._latest: WaitingStep | None = None
        self._heap: lazy_heap.LazyHeap[Key, WaitingStep] = lazy_heap.LazyHeap(
            self._is_current, operations
        )

    def _is_current(self, key: Key, step: WaitingStep) -> bool:
        return step.group is self and step.group_key == key

    def put(self, step: WaitingStep, key: Key) -> None:
        """Add a step, or change its key."""
        self._latest = step
        if step.group is self:
            if step.group_key == key:
                return
            self._heap.mark_dead()
        else:
            self.size += 1
        step.group = self
        step.group_key = key
        self._heap.add(key, step)

    def remove(self, step: WaitingStep) -> None:
        """Remove a step."""
        step.group = step.group_key = None
        self.size -= 1
        self._heap.mark_dead()

    def any_step(self) -> WaitingStep | None:
        """Return one of the steps, or None."""
        latest = self._latest
        if latest is not None and latest.group is self:
            return latest
        item = self._heap.first()
        return item[1] if item is not None else None

    def first(self, order: Order) -> tuple[Key, WaitingStep] | None:
        """Return the most urgent step and its present key, or None."""
        while (item := self._heap.first()) is not None:
            key, step = item
            present_key = order(step.run)
            # Keys rise with time, so a step that stays first is the first.
            # Steps whose keys fall are woken.
            if present_key <= key:
                return item
            self.put(step, present_key)
        return None


class WaitingSteps:
    """Ready steps of a cell by what they wait for.

    A step is *woken* when it is to be examined in the next pass: it is new,
    its recheck is due, or advice for it has come. Until then it is in a
    group of steps of its shape, which freed capacity wakes as one.
    """

    __slots__ = (
        'operations',
        'unsorted',
        'limited_gangs',
        'woken_groups',
        '_ready_steps',
        '_steps',
        '_sequence',
        '_due',
        '_woken',
        '_woken_in_turn',
        '_asked',
        '_groups',
        '_groups_by_cpu',
        '_limited_groups',
        '_scarce_changes',
        '_scarce_counts',
        '_scarce_ids',
    )

    def __init__(self, ready_steps: ready_steps_module.ReadySteps) -> None:
        self.operations = operation_count.OperationCount()
        # Steps that may not start yet whatever is freed, such as those whose
        # job is not recorded, and new ones.
        self.unsorted: dict[str, WaitingStep] = {}
        self.limited_gangs: dict[str, WaitingStep] = {}
        self.woken_groups: dict[StepGroup, None] = {}
        self._ready_steps = ready_steps
        self._steps: dict[str, WaitingStep] = {}
        self._sequence = itertools.count(1)
        self._due: lazy_heap.LazyHeap[int, WaitingStep | StepGroup] = (
            lazy_heap.LazyHeap(
                lambda due_ms, item: item.due_ms == due_ms, self.operations
            )
        )
        self._woken: lazy_heap.LazyHeap[Key, WaitingStep] = lazy_heap.LazyHeap(
            lambda key, step: step.woken_key == key, self.operations
        )
        self._woken_in_turn: collections.deque[WaitingStep] = (
            collections.deque()
        )
        # Steps with a call for advice under way.
        self._asked: dict[str, WaitingStep] = {}
        self._groups: dict[Shape, StepGroup] = {}
        self._groups_by_cpu: dict[str, list[tuple[int, int, StepGroup]]] = {}
        self._limited_groups: dict[str, dict[StepGroup, None]] = {}
        self._scarce_changes: dict[str, WaitingStep] = {}
        self._scarce_counts: collections.Counter[str] = collections.Counter()
        self._scarce_ids: frozenset[str] = frozenset()
        ready_steps.changed_keys.update(ready_steps)

    def count_woken(self) -> int:
        """Count the steps and groups that wait for the next pass."""
        return len(self.woken_groups) + len(self._woken)

    def refresh(self, order: Order, now_ms: int) -> None:
        """Take in what has changed, and wake the steps that are due."""
        for key in sorted(self._ready_steps.changed_keys):
            run = self._ready_steps.get(key)
            step = self._steps.get(key)
            if step is not None and step.run is not run:
                self.remove(step)
                step = None
            if run is None:
                continue
            if step is None:
                step = WaitingStep(run, next(self._sequence))
                self._steps[key] = step
            self.unsorted[key] = step
            self._scarce_changes[key] = step
        self._ready_steps.changed_keys.clear()
        for key, step in list(self._asked.items()):
            run = step.run
            if not run.advice_requested_ms:
                del self._asked[key]
            elif run.retry_at_ms > now_ms or run.tickets is None:
                continue
            self._scarce_changes[key] = step
            self.unsorted[key] = step
        while (item := self._due.first()) is not None and item[0] <= now_ms:
            due = item[1]
            due.due_ms = None
            if isinstance(due, StepGroup):
                due.is_due = True
                self.woken_groups[due] = None
                self._schedule_group(due, now_ms)
            else:
                self.wake(due, order)

    def wake(self, step: WaitingStep, order: Order) -> None:
        """Have a step examined."""
        if step.woken_key is not None or step.run.key in self.unsorted:
            return
        step.woken_key = order(step.run)
        self._woken.add(step.woken_key, step)
        self._woken_in_turn.append(step)

    def wake_matching(
        self,
        matches: collections.abc.Callable[[step_run_module.StepRun], bool],
        order: Order,
    ) -> None:
        """Have steps examined whose keys have fallen; visits all steps."""
        for step in self._steps.values():
            if matches(step.run):
                self.wake(step, order)

    def first_woken(self, order: Order) -> tuple[Key, WaitingStep] | None:
        """Return the most urgent woken step and its key, or None."""
        while (item := self._woken.first()) is not None:
            key, step = item
            present_key = order(step.run)
            if present_key <= key:
                return item
            step.woken_key = present_key
            self._woken.mark_dead()
            self._woken.add(present_key, step)
        return None

    def longest_woken(self, count: int) -> list[WaitingStep]:
        """Return the steps that were woken first, at most ``count``."""
        turn = self._woken_in_turn
        found: list[WaitingStep] = []
        while turn and len(found) < count:
            step = turn.popleft()
            if step.woken_key is not None:
                found.append(step)
        turn.extendleft(reversed(found))
        return found

    def begin_visit(self, step: WaitingStep) -> None:
        """Take a step from the woken ones."""
        if step.woken_key is not None:
            step.woken_key = None
            self._woken.mark_dead()
        turn = self._woken_in_turn
        while turn and turn[0].woken_key is None:
            turn.popleft()

    def block(self, step: WaitingStep) -> None:
        """Keep a step that may not start yet whatever is freed."""
        self._leave(step)
        self.unsorted[step.run.key] = step

    def park(
        self, step: WaitingStep, shape: Shape, order: Order, now_ms: int
    ) -> None:
        """Let a step wait for freed capacity, or until it is due."""
        run = step.run
        self.unsorted.pop(run.key, None)
        # One recheck answers for all steps of a shape. Each gang has its own,
        # as it is to start in time also if other tasks have to give way.
        has_group_recheck = not shape.own_key and not shape.gang_tasks
        due_ms = None if has_group_recheck else run.retry_at_ms
        if step.due_ms != due_ms:
            if step.due_ms is not None:
                self._due.mark_dead()
            step.due_ms = due_ms
            if due_ms is not None:
                self._due.add(due_ms, step)
        if run.is_limited_by_workspace and run.step.gang:
            self.limited_gangs[run.key] = step
        else:
            self.limited_gangs.pop(run.key, None)
        if run.advice_requested_ms:
            self._asked[run.key] = step
        self._scarce_changes[run.key] = step
        if step.group is not None and step.group.shape != shape:
            self._leave_group(step)
        group = self._groups.get(shape)
        if group is None:
            group = self._add_group(shape)
            if has_group_recheck:
                self._schedule_group(group, now_ms)
        group.put(step, order(run))
        limited_groups = self._limited_groups[shape.workspace]
        if run.is_limited_by_workspace:
            # Others of the shape are held back as well.
            limited_groups[group] = None
        elif shape.own_key:
            limited_groups.pop(group, None)

    def _schedule_group(self, group: StepGroup, now_ms: int) -> None:
        # Each group has a time of its own within the interval.
        phase_ms = group.sequence * _PHASE_STEP_MS - now_ms - 1
        group.due_ms = now_ms + 1 + phase_ms % RECHECK_INTERVAL_MS
        self._due.add(group.due_ms, group)

    def await_advice(self, step: WaitingStep) -> None:
        """Let a step wait for its first advice."""
        self._leave(step)
        self.unsorted.pop(step.run.key, None)
        self._scarce_changes[step.run.key] = step
        self._asked[step.run.key] = step

    def remove(self, step: WaitingStep) -> None:
        """Forget a step that is no longer ready."""
        key = step.run.key
        self._leave(step)
        if self._steps.get(key) is step:
            del self._steps[key]
        self.unsorted.pop(key, None)
        self.limited_gangs.pop(key, None)
        self._asked.pop(key, None)
        self._scarce_changes.pop(key, None)
        if step.scarce_ids:
            self._count_scarce(step, ())
            self._scarce_ids = frozenset(self._scarce_counts)

    def _leave(self, step: WaitingStep) -> None:
        if step.due_ms is not None:
            step.due_ms = None
            self._due.mark_dead()
        self.begin_visit(step)
        if step.group is not None:
            self._leave_group(step)

    def _leave_group(self, step: WaitingStep) -> None:
        group = step.group
        if group is None:
            return
        group.remove(step)
        if group.size:
            return
        shape = group.shape
        if group.due_ms is not None:
            group.due_ms = None
            self._due.mark_dead()
        del self._groups[shape]
        ordered = self._groups_by_cpu[shape.pool]
        place = bisect.bisect_left(ordered, (_cpu(shape), group.sequence))
        del ordered[place]
        self._limited_groups[shape.workspace].pop(group, None)
        self.woken_groups.pop(group, None)

    def _add_group(self, shape: Shape) -> StepGroup:
        group = StepGroup(shape, next(self._sequence), self.operations)
        self._groups[shape] = group
        bisect.insort(
            self._groups_by_cpu.setdefault(shape.pool, []),
            (_cpu(shape), group.sequence, group),
        )
        self._limited_groups.setdefault(shape.workspace, {})
        return group

    def groups_that_fit(
        self, pool: str, free_cpu_millicores: int
    ) -> collections.abc.Iterator[StepGroup]:
        """Yield the groups of a pool with a task within an amount of CPU."""
        for cpu, _, group in self._groups_by_cpu.get(pool, ()):
            if cpu > free_cpu_millicores:
                return
            yield group

    def wake_workspace(self, workspace: str) -> None:
        """Wake the groups that the limit of a workspace held back."""
        groups = self._limited_groups.get(workspace)
        if not groups:
            return
        for group in groups:
            group.is_due = True
            self.woken_groups[group] = None
        groups.clear()

    def settle(self, group: StepGroup) -> None:
        """Note that nothing that was freed helps a group any more."""
        group.freed_ids.clear()
        group.is_due = False
        self.woken_groups.pop(group, None)

    def update_scarce(
        self,
        scarce_ids: collections.abc.Callable[
            [step_run_module.StepRun], tuple[str, ...]
        ],
    ) -> collections.abc.Set[str]:
        """Return the workers that steps with few eligible ones wait for."""
        if self._scarce_changes:
            for step in self._scarce_changes.values():
                self._count_scarce(step, scarce_ids(step.run))
            self._scarce_changes.clear()
            self._scarce_ids = frozenset(self._scarce_counts)
        return self._scarce_ids

    def _count_scarce(
        self, step: WaitingStep, scarce_ids: tuple[str, ...]
    ) -> None:
        counts = self._scarce_counts
        for worker_id in step.scarce_ids:
            counts[worker_id] -= 1
            if not counts[worker_id]:
                del counts[worker_id]
        counts.update(scarce_ids)
        step.scarce_ids = scarce_ids


def _cpu(shape: Shape) -> int:
    # The free amounts of a worker don't include what is reserved there.
    if shape.has_reservation or not shape.need.cpu_millicores:
        return _ANY_CPU
    return shape.need.cpu_millicores
