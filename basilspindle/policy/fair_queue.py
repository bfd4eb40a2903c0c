"""Order the waiting work of workspaces by priority class and share."""

import collections.abc
import heapq
import itertools

from basilspindle import errors
from basilspindle import model
from basilspindle.policy import amounts as amounts_module
from basilspindle.policy import expected_ends
from basilspindle.policy import lazy_heap
from basilspindle.policy import operation_count
from basilspindle.policy import pick
from basilspindle.policy import queue_entry
from basilspindle.policy import reservation as reservation_module
from basilspindle.policy import scheduling_pass as scheduling_pass_module
from basilspindle.policy import workspace_policy
from basilspindle.policy import workspace_state

FAIRNESS_MARGIN = 0.05
GANG_WAIT_MS = 30_000
# A gang that found no room in this time gives others a turn for as long.
GANG_RESERVE_MS = 300_000
RECALL_MS = 60_000
_RESERVE_CHECK_MS = 250
_RETRY_MIN_MS = 100
_RETRY_MAX_MS = 30_000
_RETRY_UNKNOWN_MS = 1_000
_NOBODY = -1.0


def _never(resources: model.Resources) -> bool:
    return False


def _expires(key: int, entry: queue_entry.QueueEntry) -> bool:
    return entry.count > 0 and entry.expires_ms == key


class FairQueue:
    """Waiting and running work of many workspaces; time is passed in as ms.

    The normalised share of a workspace is its dominant share of the fleet
    divided by its part of all weights: 1.0 is exactly its share. Strict
    order of classes; in a class the workspace with the lowest share is next.
    """

    __slots__ = (
        '_workspaces',
        '_entries',
        '_popped',
        '_classes',
        '_total',
        '_weights',
        '_sequence',
        '_turn',
        '_deadlines',
        '_ends',
        '_gangs',
        '_reservation',
        '_checked_ms',
        '_margin',
        '_gang_wait_ms',
        '_gang_reserve_ms',
        '_recall_ms',
        '_operations',
    )

    def __init__(
        self,
        *,
        margin: float = FAIRNESS_MARGIN,
        gang_wait_ms: int = GANG_WAIT_MS,
        gang_reserve_ms: int = GANG_RESERVE_MS,
        recall_ms: int = RECALL_MS,
    ) -> None:
        self._operations = operation_count.OperationCount()
        self._workspaces: dict[str, workspace_state.WorkspaceState] = {}
        # A job has a second entry if it is queued with another shape.
        self._entries: dict[str, list[queue_entry.QueueEntry]] = {}
        # Entries with tasks in flight and none waiting, by their last pop.
        self._popped: dict[queue_entry.QueueEntry, None] = {}
        self._classes: list[dict[str, workspace_state.WorkspaceState]] = [
            {} for _ in model.Priority
        ]
        self._total = (0, 0, 0, 0)
        self._weights = 0.0
        self._sequence = itertools.count(1)
        self._turn = itertools.count(1)
        self._deadlines = lazy_heap.LazyHeap(_expires, self._operations)
        self._ends = expected_ends.ExpectedEnds()
        self._gangs: dict[queue_entry.QueueEntry, None] = {}
        self._reservation: reservation_module.Reservation | None = None
        self._checked_ms = 0
        self._margin = margin
        self._gang_wait_ms = gang_wait_ms
        self._gang_reserve_ms = gang_reserve_ms
        self._recall_ms = recall_ms

    @property
    def operations(self) -> int:
        """Return the entries touched by removals and expiry so far."""
        return self._operations.count

    # Settings

    def set_workspaces(
        self,
        workspaces: collections.abc.Mapping[
            str, workspace_policy.WorkspacePolicy
        ],
    ) -> None:
        """Replace the policies of all workspaces of the cell.

        A workspace that is no longer named keeps its last policy as long as
        it has work. Nothing that runs is affected by a lower limit.
        """
        self._weights = sum(policy.share for policy in workspaces.values())
        for name, policy in workspaces.items():
            self._workspace(name).set_policy(policy)
        for name in [n for n in self._workspaces if n not in workspaces]:
            workspace = self._workspaces[name]
            if not workspace.running_tasks and not sum(workspace.waiting):
                del self._workspaces[name]
        self._measure_all()

    def set_fleet_resources(self, resources: model.Resources) -> None:
        """Set what the whole fleet has, the base of dominant shares."""
        total = amounts_module.from_resources(resources)
        if total != self._total:
            self._total = total
            self._measure_all()

    # Waiting work

    def push(
        self,
        job_id: str,
        workspace: str,
        priority: model.Priority,
        resources: model.Resources,
        count: int,
        gang: bool,
        now_ms: int,
        deadline_ms: int,
        *,
        run_time_ms: int = 0,
        accepted: bool = False,
    ) -> None:
        """Add waiting tasks of a job.

        ``resources`` are for one task; ``deadline_ms`` counts from
        ``now_ms``, 0 means none; ``run_time_ms`` 0 means unknown. Work
        that was ``accepted`` before is never refused. A known job takes
        its earlier turn and the new deadline if shape and class are the
        same. Raises ``QueueFull`` (not run).
        """
        state = self._workspace(workspace)
        if not accepted:
            self._check_bound(state, count)
        entry = self._known(job_id, priority, resources, gang)
        if entry is None:
            entry = self._enter(job_id, workspace, priority, resources, now_ms)
            entry.gang_tasks = count if gang else 0
        entry.run_time_ms = run_time_ms
        entry.expires_ms = now_ms + deadline_ms if deadline_ms > 0 else 0
        self._queue(state, entry, count)

    def check_queue_limit(self, workspace: str, count: int) -> None:
        """Raise ``QueueFull`` if so many more tasks may not wait."""
        self._check_bound(self._workspace(workspace), count)

    def requeue(
        self,
        job_id: str,
        count: int,
        now_ms: int,
        *,
        resources: model.Resources | None = None,
        wait_ms: int = 0,
    ) -> int:
        """Return popped tasks that were not placed to their earlier turn.

        They no longer count as running and are not picked for
        ``wait_ms``. The rest of a gang waits as single tasks.
        ``resources`` tells the picks of a job apart that was queued with
        several shapes. Returns the tasks that wait again: 0 if the job
        was removed. Raises ``NotFound`` if they are not in flight.
        """
        entry = self._in_flight(job_id, count, resources)
        workspace = self._workspace(entry.workspace)
        entry.in_flight -= count
        self._run(workspace, entry.amounts, -count)
        if entry.run_time_ms:
            self._ends.take_back(entry.amounts, count)
        if entry.removed:
            self._forget(entry)
            return 0
        if entry.gang_tasks and count != entry.gang_tasks:
            entry = self._split(entry)
        if wait_ms > 0:
            entry.not_before_ms = now_ms + wait_ms
        self._queue(workspace, entry, count)
        return count

    def confirm(
        self,
        job_id: str,
        count: int = 1,
        *,
        resources: model.Resources | None = None,
    ) -> None:
        """Note that popped tasks were placed and will not be given back.

        Optional: it frees their memory before ``recall_ms`` has passed.
        """
        for entry in tuple(self._entries.get(job_id, ())):
            if resources is None or entry.resources == resources:
                taken = min(count, entry.in_flight)
                entry.in_flight -= taken
                count -= taken
                self._forget(entry)

    def remove(self, job_id: str) -> int:
        """Remove the waiting tasks of a job; return their number.

        Popped tasks stay counted as running until they are given back or
        ended.
        """
        self._operations.count += 1
        removed = 0
        for entry in tuple(self._entries.get(job_id, ())):
            removed += self._unqueue(entry, entry.count)
            entry.removed = True
            self._forget(entry)
        return removed

    def remove_expired(self, now_ms: int) -> list[tuple[str, int]]:
        """Remove the waiting tasks past their deadline and return them."""
        expired = []
        while (first := self._deadlines.first()) is not None:
            expires_ms, entry = first
            if expires_ms > now_ms:
                break
            expired.append((entry.job_id, self._unqueue(entry, entry.count)))
            self._forget(entry)
        return expired

    def waiting(self, workspace: str | None = None) -> int:
        """Return the number of waiting tasks, of one workspace or of all."""
        if workspace is not None:
            state = self._workspaces.get(workspace)
            return 0 if state is None else sum(state.waiting)
        return sum(sum(state.waiting) for state in self._workspaces.values())

    # Next tasks

    def pop(
        self,
        now_ms: int,
        max_tasks: int,
        *,
        is_blocked: scheduling_pass_module.IsBlocked = _never,
        shares_elsewhere: collections.abc.Sequence[float] | None = None,
        room_for: scheduling_pass_module.RoomFor | None = None,
    ) -> list[pick.Pick]:
        """Pick the next tasks and count them as running.

        A gang is picked as a whole and may exceed ``max_tasks``.
        ``is_blocked`` passes over a shape. ``room_for`` returns how many
        tasks of a shape fit the fleet now; without it a gang with a
        reservation is assumed to have no room beside it.
        ``shares_elsewhere`` holds the lowest waiting share elsewhere for
        each class, -1.0 for none.
        """
        kept = self._reserve(now_ms, room_for)
        scheduling_pass = scheduling_pass_module.SchedulingPass(
            now_ms, max_tasks, is_blocked, room_for, kept
        )
        ceiling = float('inf')
        for priority in model.Priority:
            if (
                shares_elsewhere is not None
                and shares_elsewhere[priority] >= 0
            ):
                ceiling = min(
                    ceiling, shares_elsewhere[priority] + self._margin
                )
            if scheduling_pass.left <= 0:
                break
            self._start_gang(scheduling_pass, priority)
            self._pop_class(scheduling_pass, priority, ceiling)
        self._expire_popped(now_ms)
        return scheduling_pass.picks

    def _pop_class(
        self,
        scheduling_pass: scheduling_pass_module.SchedulingPass,
        priority: model.Priority,
        ceiling: float,
    ) -> None:
        order = [
            (workspace.share, workspace.turn, workspace)
            for workspace in self._classes[priority].values()
        ]
        heapq.heapify(order)
        while order and scheduling_pass.left > 0:
            share, _, workspace = order[0]
            if share > ceiling:
                return
            entry = scheduling_pass.next(workspace, priority)
            if entry is None:
                heapq.heappop(order)
                continue
            self._start(scheduling_pass, workspace, entry)
            if workspace.waiting[priority]:
                heapq.heapreplace(
                    order, (workspace.share, workspace.turn, workspace)
                )
            else:
                heapq.heappop(order)

    def _start_gang(
        self,
        scheduling_pass: scheduling_pass_module.SchedulingPass,
        priority: model.Priority,
    ) -> None:
        kept = scheduling_pass.reservation
        if kept is None or kept.entry.priority != priority:
            return
        workspace = self._workspaces[kept.entry.workspace]
        if kept.ready and scheduling_pass.admits(workspace, kept.entry):
            self._start(scheduling_pass, workspace, kept.entry)

    def _start(
        self,
        scheduling_pass: scheduling_pass_module.SchedulingPass,
        workspace: workspace_state.WorkspaceState,
        entry: queue_entry.QueueEntry,
    ) -> None:
        count = entry.gang_tasks or 1
        self._unqueue(entry, count)
        entry.in_flight += count
        entry.popped_ms = scheduling_pass.now_ms
        self._popped.pop(entry, None)
        if not entry.count:
            self._popped[entry] = None
        self._run(workspace, entry.amounts, count)
        if entry.run_time_ms:
            end_ms = scheduling_pass.now_ms + entry.run_time_ms
            self._ends.add(entry.amounts, end_ms, count)
        workspace.turn = next(self._turn)
        workspace.drained(count, scheduling_pass.now_ms)
        scheduling_pass.take(entry, count)

    # Gangs

    def _reserve(
        self, now_ms: int, room_for: scheduling_pass_module.RoomFor | None
    ) -> reservation_module.Reservation | None:
        kept = self._reservation
        if kept is not None and not self._holds(kept, now_ms):
            kept = self._reservation = None
        if now_ms - self._checked_ms >= _RESERVE_CHECK_MS:
            self._checked_ms = now_ms
            if kept is None:
                kept = self._reservation = self._oldest_gang(now_ms)
        if kept is not None:
            room = 0
            if room_for is not None:
                room = room_for(kept.entry.resources)
            kept.update(room, self._ends)
            kept.ready = kept.ready or room_for is None
        return kept

    def _holds(
        self, kept: reservation_module.Reservation, now_ms: int
    ) -> bool:
        entry = kept.entry
        if not entry.count:
            return False
        if now_ms - kept.since_ms >= self._gang_reserve_ms:
            entry.pushed_ms = now_ms + self._gang_reserve_ms
            return False
        workspace = self._workspaces[entry.workspace]
        return workspace.allows(entry.amounts, entry.gang_tasks)

    def _oldest_gang(
        self, now_ms: int
    ) -> reservation_module.Reservation | None:
        due = [
            (entry.pushed_ms, entry.sequence, entry)
            for entry in self._gangs
            if now_ms - entry.pushed_ms >= self._gang_wait_ms
            and self._workspaces[entry.workspace].allows(
                entry.amounts, entry.gang_tasks
            )
        ]
        if not due:
            return None
        return reservation_module.Reservation(min(due)[2], now_ms)

    # Running work

    def add_running(
        self,
        workspace: str,
        resources: model.Resources,
        count: int = 1,
        *,
        end_ms: int = 0,
    ) -> None:
        """Count adopted tasks as running, also above the upper limit.

        ``end_ms`` is when they are expected to end, 0 if unknown.
        """
        amounts = amounts_module.from_resources(resources)
        self._run(self._workspace(workspace), amounts, count)
        if end_ms:
            self._ends.add(amounts, end_ms, count)

    def end_running(
        self, workspace: str, resources: model.Resources, count: int = 1
    ) -> None:
        """Count tasks as ended.

        Raises ``ValueError`` if more end than run.
        """
        amounts = amounts_module.from_resources(resources)
        self._run(self._workspace(workspace), amounts, -count)
        self._ends.end(amounts, count)

    def running(self, workspace: str) -> model.Resources:
        """Return the resources of the running tasks of a workspace."""
        state = self._workspaces.get(workspace)
        return model.Resources(*state.running) if state else model.Resources()

    def running_tasks(self, workspace: str) -> int:
        """Return the number of running tasks of a workspace."""
        state = self._workspaces.get(workspace)
        return state.running_tasks if state else 0

    def is_within_limits(
        self,
        workspace: str,
        resources: model.Resources = model.Resources(),
        count: int = 1,
    ) -> bool:
        """Tell whether so many more tasks stay within the limits."""
        amounts = amounts_module.from_resources(resources)
        return self._workspace(workspace).allows(amounts, count)

    # Shares

    def share(self, workspace: str) -> float:
        """Return the normalised share of a workspace; 1.0 is its part."""
        state = self._workspaces.get(workspace)
        return state.share if state else 0.0

    def lowest_waiting_shares(self) -> list[float]:
        """Return the lowest waiting share by class, -1.0 if none.

        Workspaces at their limit, and gangs without a reservation, are left
        out: others need not make way for them.
        """
        return [self._lowest(priority) for priority in model.Priority]

    def _lowest(self, priority: model.Priority) -> float:
        return min(
            (
                workspace.share
                for workspace in self._classes[priority].values()
                if self._startable(workspace, priority)
            ),
            default=_NOBODY,
        )

    def _startable(
        self,
        workspace: workspace_state.WorkspaceState,
        priority: model.Priority,
    ) -> bool:
        kept = self._reservation
        for shape_queue in workspace.shape_queues[priority].values():
            entry = shape_queue.head()
            if entry is None:
                continue
            if entry.gang_tasks:
                if kept is not None and kept.entry is entry:
                    return True
            elif workspace.allows(entry.amounts, 1):
                return True
        return False

    def _measure_all(self) -> None:
        for workspace in self._workspaces.values():
            weight = (
                workspace.policy.share if workspace.policy is not None else 0.0
            )
            # A workspace without a weight yields to every other.
            part = weight / self._weights if self._weights else 1.0
            workspace.weight = max(part, 1e-9)
            self._measure(workspace)

    def _measure(self, workspace: workspace_state.WorkspaceState) -> None:
        dominant = max(
            running / total if total else 0.0
            for running, total in zip(
                workspace.running, self._total, strict=True
            )
        )
        workspace.share = dominant / workspace.weight

    # Bookkeeping

    def _workspace(self, name: str) -> workspace_state.WorkspaceState:
        workspace = self._workspaces.get(name)
        if workspace is None:
            workspace = workspace_state.WorkspaceState(
                name, next(self._turn), self._operations
            )
            self._workspaces[name] = workspace
        return workspace

    def _run(
        self,
        workspace: workspace_state.WorkspaceState,
        amounts: amounts_module.Amounts,
        count: int,
    ) -> None:
        workspace.run(amounts, count)
        self._measure(workspace)

    def _known(
        self,
        job_id: str,
        priority: model.Priority,
        resources: model.Resources,
        gang: bool,
    ) -> queue_entry.QueueEntry | None:
        for entry in self._entries.get(job_id, ()):
            if (
                not gang
                and not entry.gang_tasks
                and not entry.removed
                and entry.priority == priority
                and entry.resources == resources
            ):
                return entry
        return None

    def _in_flight(
        self, job_id: str, count: int, resources: model.Resources | None
    ) -> queue_entry.QueueEntry:
        for entry in reversed(self._entries.get(job_id, ())):
            if entry.in_flight >= count and (
                resources is None or entry.resources == resources
            ):
                return entry
        raise errors.NotFound(
            f'{count} tasks of job {job_id!r} are not in flight; give back '
            f'what was popped, once, within {self._recall_ms} ms'
        )

    def _enter(
        self,
        job_id: str,
        workspace: str,
        priority: model.Priority,
        resources: model.Resources,
        now_ms: int,
    ) -> queue_entry.QueueEntry:
        entry = queue_entry.QueueEntry(
            job_id,
            workspace,
            resources,
            priority,
            next(self._sequence),
            now_ms,
        )
        self._entries.setdefault(job_id, []).append(entry)
        return entry

    def _split(self, gang: queue_entry.QueueEntry) -> queue_entry.QueueEntry:
        for entry in self._entries[gang.job_id]:
            if not entry.gang_tasks and entry.resources == gang.resources:
                return entry
        entry = self._enter(
            gang.job_id,
            gang.workspace,
            gang.priority,
            gang.resources,
            gang.pushed_ms,
        )
        entry.sequence = gang.sequence
        entry.run_time_ms = gang.run_time_ms
        entry.expires_ms = gang.expires_ms
        return entry

    def _queue(
        self,
        workspace: workspace_state.WorkspaceState,
        entry: queue_entry.QueueEntry,
        count: int,
    ) -> None:
        workspace.queue(entry, count)
        self._classes[entry.priority][workspace.name] = workspace
        self._popped.pop(entry, None)
        if entry.gang_tasks:
            self._gangs[entry] = None
        if entry.expires_ms:
            self._deadlines.add(entry.expires_ms, entry)

    def _unqueue(self, entry: queue_entry.QueueEntry, count: int) -> int:
        if not count:
            return 0
        workspace = self._workspace(entry.workspace)
        workspace.unqueue(entry, count)
        if not workspace.waiting[entry.priority]:
            self._classes[entry.priority].pop(entry.workspace, None)
        if not entry.count:
            self._gangs.pop(entry, None)
            if entry.in_flight:
                self._popped[entry] = None
            if entry.expires_ms:
                self._deadlines.mark_dead()
        return count

    def _forget(self, entry: queue_entry.QueueEntry) -> None:
        if entry.count or entry.in_flight:
            return
        self._popped.pop(entry, None)
        entries = self._entries.get(entry.job_id, [])
        if entry in entries:
            entries.remove(entry)
        if not entries:
            self._entries.pop(entry.job_id, None)

    def _expire_popped(self, now_ms: int) -> None:
        while self._popped:
            entry = next(iter(self._popped))
            if now_ms - entry.popped_ms < self._recall_ms:
                return
            entry.in_flight = 0
            self._forget(entry)

    def _check_bound(
        self, workspace: workspace_state.WorkspaceState, count: int
    ) -> None:
        if workspace.policy is None or workspace.policy.max_queued_tasks < 0:
            return
        bound = workspace.policy.max_queued_tasks
        waiting = sum(workspace.waiting)
        if waiting + count <= bound:
            return
        if count > bound:
            raise errors.QueueFull(
                f'a job of {count} tasks is above the {bound} that workspace '
                f'{workspace.name!r} may queue; submit smaller jobs or have '
                'max_queued_tasks raised'
            )
        drain_ms = workspace.drain_ms(waiting + count - bound)
        retry_ms = drain_ms or _RETRY_UNKNOWN_MS
        retry_ms = min(max(retry_ms, _RETRY_MIN_MS), _RETRY_MAX_MS)
        raise errors.QueueFull(
            f'workspace {workspace.name!r} has {waiting} tasks waiting of '
            f'at most '
            f'{bound}; try again in {retry_ms} ms or have '
            'max_queued_tasks raised',
            retry_after_ms=retry_ms,
        )
