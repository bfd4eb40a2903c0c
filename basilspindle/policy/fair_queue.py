"""Order waiting tasks by priority class and by the share of workspaces."""

import collections.abc
import heapq
import itertools

from basilspindle import errors
from basilspindle.indexing import amounts as amounts_module
from basilspindle.indexing import lazy_heap
from basilspindle.indexing import operation_count
from basilspindle import model
from basilspindle.policy import expected_ends
from basilspindle.policy import pick
from basilspindle.policy import queue_entry
from basilspindle.policy import reservation as reservation_module
from basilspindle.policy import scheduling_pass as scheduling_pass_module
from basilspindle.policy import workspace_policy
from basilspindle.policy import workspace_state

# How far the share of a workspace may be above the lowest waiting share
# elsewhere before it starts no more tasks.
FAIRNESS_MARGIN = 0.05
# Waiting time after which a gang may get a reservation.
GANG_WAIT_MS = 30_000
# Longest reservation; a gang that has not started by then gets no other for
# at least as long, so that it cannot block the rest of the queue.
GANG_RESERVE_MS = 300_000
# Time after a pop within which tasks can be requeued.
REQUEUE_WINDOW_MS = 60_000
_RESERVATION_CHECK_INTERVAL_MS = 250
# Bounds of the retry time in a refusal, and its value without an estimate.
_RETRY_MIN_MS = 100
_RETRY_MAX_MS = 30_000
_RETRY_DEFAULT_MS = 1_000
_NO_SHARE = -1.0


def _never_blocked(resources: model.Resources) -> bool:
    return False


def _is_current_deadline(
    expires_ms: int, entry: queue_entry.QueueEntry
) -> bool:
    return entry.count > 0 and entry.expires_ms == expires_ms


class FairQueue:
    """Waiting and running tasks of many workspaces.

    Priority classes are served in strict order. Within a class, the next
    task is from the workspace with the lowest normalised share: its dominant
    share of the fleet divided by its fraction of all weights. At 1.0 a
    workspace uses exactly its share. Callers pass the time in ms.
    """

    __slots__ = (
        '_workspaces',
        '_entries',
        '_unconfirmed',
        '_waiting_by_class',
        '_fleet_amounts',
        '_total_weight',
        '_sequence',
        '_turns',
        '_deadlines',
        '_expected_ends',
        '_gangs',
        '_reservation',
        '_reservation_checked_ms',
        '_margin',
        '_gang_wait_ms',
        '_gang_reserve_ms',
        '_requeue_window_ms',
        '_operations',
    )

    def __init__(
        self,
        *,
        margin: float = FAIRNESS_MARGIN,
        gang_wait_ms: int = GANG_WAIT_MS,
        gang_reserve_ms: int = GANG_RESERVE_MS,
        requeue_window_ms: int = REQUEUE_WINDOW_MS,
    ) -> None:
        self._operations = operation_count.OperationCount()
        self._workspaces: dict[str, workspace_state.WorkspaceState] = {}
        # A job has several entries if it is queued with several shapes.
        self._entries: dict[str, list[queue_entry.QueueEntry]] = {}
        # Entries with tasks in flight and none waiting, ordered by last pop.
        self._unconfirmed: dict[queue_entry.QueueEntry, None] = {}
        self._waiting_by_class: list[
            dict[str, workspace_state.WorkspaceState]
        ] = [{} for _ in model.Priority]
        self._fleet_amounts = (0, 0, 0, 0)
        self._total_weight = 0.0
        self._sequence = itertools.count(1)
        self._turns = itertools.count(1)
        self._deadlines = lazy_heap.LazyHeap(
            _is_current_deadline, self._operations
        )
        self._expected_ends = expected_ends.ExpectedEnds()
        self._gangs: dict[queue_entry.QueueEntry, None] = {}
        self._reservation: reservation_module.Reservation | None = None
        self._reservation_checked_ms = 0
        self._margin = margin
        self._gang_wait_ms = gang_wait_ms
        self._gang_reserve_ms = gang_reserve_ms
        self._requeue_window_ms = requeue_window_ms

    @property
    def operations(self) -> int:
        """Return the number of entries handled by removal and expiry."""
        return self._operations.count

    # Settings

    def set_workspaces(
        self,
        workspaces: collections.abc.Mapping[
            str, workspace_policy.WorkspacePolicy
        ],
    ) -> None:
        """Replace the policies of all workspaces of the cell.

        A workspace missing from ``workspaces`` keeps its last policy while
        it has tasks. Running tasks are not affected by a lower limit.
        """
        self._total_weight = sum(
            policy.share for policy in workspaces.values()
        )
        for name, policy in workspaces.items():
            self._workspace(name).set_policy(policy)
        for name in [n for n in self._workspaces if n not in workspaces]:
            workspace = self._workspaces[name]
            if not workspace.running_tasks and not sum(workspace.waiting):
                del self._workspaces[name]
        self._update_all_shares()

    def set_fleet_resources(self, resources: model.Resources) -> None:
        """Set the total resources of the fleet, the base of all shares."""
        amounts = amounts_module.from_resources(resources)
        if amounts != self._fleet_amounts:
            self._fleet_amounts = amounts
            self._update_all_shares()

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

        ``resources`` are those of one task. ``deadline_ms`` is relative to
        ``now_ms``, 0 means none. ``run_time_ms`` 0 means unknown. Work that
        was ``accepted`` before is never refused. Single tasks of a job that
        is already queued with the same shape and class keep its position and
        take the new deadline. Raises ``QueueFull``, with ``Ran.NO``, if the
        workspace may not queue that many.
        """
        state = self._workspace(workspace)
        if not accepted:
            self._check_max_queued(state, count)
        entry = self._find_entry_to_extend(job_id, priority, resources, gang)
        if entry is None:
            entry = self._create_entry(
                job_id, workspace, priority, resources, now_ms
            )
            entry.gang_tasks = count if gang else 0
        entry.run_time_ms = run_time_ms
        entry.expires_ms = now_ms + deadline_ms if deadline_ms > 0 else 0
        self._add_waiting(state, entry, count)

    def check_queue_limit(self, workspace: str, count: int) -> None:
        """Raise ``QueueFull`` if ``count`` more tasks may not be queued."""
        self._check_max_queued(self._workspace(workspace), count)

    def requeue(
        self,
        job_id: str,
        count: int,
        now_ms: int,
        *,
        resources: model.Resources | None = None,
        wait_ms: int = 0,
    ) -> int:
        """Queue popped tasks again that were not placed on a worker.

        They wait at their earlier position, no longer count as running and are
        not popped again for ``wait_ms``. A part of a gang is queued as
        single tasks. ``resources`` selects the shape if the job was queued
        with several. Returns the number of tasks that wait again, 0 if the
        job was removed. Raises ``NotFound`` if the tasks are not in flight.
        """
        entry = self._find_in_flight(job_id, count, resources)
        workspace = self._workspace(entry.workspace)
        entry.in_flight -= count
        self._count_running(workspace, entry.amounts, -count)
        if entry.run_time_ms:
            self._expected_ends.remove_latest(entry.amounts, count)
        if entry.removed:
            self._forget_if_unused(entry)
            return 0
        if entry.gang_tasks and count != entry.gang_tasks:
            entry = self._entry_for_single_tasks(entry)
        if wait_ms > 0:
            entry.not_before_ms = now_ms + wait_ms
        self._add_waiting(workspace, entry, count)
        return count

    def confirm(
        self,
        job_id: str,
        count: int = 1,
        *,
        resources: model.Resources | None = None,
    ) -> None:
        """Record that popped tasks were placed and will not be requeued.

        Optional: it frees their memory before ``requeue_window_ms`` is over.
        """
        for entry in tuple(self._entries.get(job_id, ())):
            if resources is None or entry.resources == resources:
                confirmed = min(count, entry.in_flight)
                entry.in_flight -= confirmed
                count -= confirmed
                self._forget_if_unused(entry)

    def remove(self, job_id: str) -> int:
        """Remove the waiting tasks of a job and return their number.

        Popped tasks count as running until they are requeued or ended.
        """
        self._operations.count += 1
        removed = 0
        for entry in tuple(self._entries.get(job_id, ())):
            removed += self._remove_waiting(entry, entry.count)
            entry.removed = True
            self._forget_if_unused(entry)
        return removed

    def withdraw(self, job_id: str) -> bool:
        """Remove one waiting task of a job; return whether there was one.

        The rest of a gang is queued as single tasks.
        """
        for entry in tuple(self._entries.get(job_id, ())):
            if not entry.count:
                continue
            removed = entry.count if entry.gang_tasks else 1
            self._remove_waiting(entry, removed)
            if removed > 1:
                self._add_waiting(
                    self._workspace(entry.workspace),
                    self._entry_for_single_tasks(entry),
                    removed - 1,
                )
            self._forget_if_unused(entry)
            return True
        return False

    def remove_expired(self, now_ms: int) -> list[tuple[str, int]]:
        """Remove waiting tasks past their deadline; return (job id, count)."""
        expired = []
        while (first := self._deadlines.first()) is not None:
            expires_ms, entry = first
            if expires_ms > now_ms:
                break
            expired.append(
                (entry.job_id, self._remove_waiting(entry, entry.count))
            )
            self._forget_if_unused(entry)
        return expired

    def waiting(self, workspace: str | None = None) -> int:
        """Return the number of waiting tasks of one workspace or of all."""
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
        is_blocked: scheduling_pass_module.IsBlocked = _never_blocked,
        shares_elsewhere: collections.abc.Sequence[float] | None = None,
        room_for: scheduling_pass_module.RoomFor | None = None,
    ) -> list[pick.Pick]:
        """Pick the next tasks and count them as running.

        A gang is picked as a whole and may exceed ``max_tasks``. Shapes for
        which ``is_blocked`` returns true are skipped. ``room_for`` returns
        how many tasks of a shape fit the fleet now. Without it, a gang with
        a reservation may start at once, and other tasks are backfilled as if
        no room were free. ``shares_elsewhere`` holds the lowest
        waiting share of other queues by class, -1.0 for none: workspaces
        above it by more than the margin start nothing in that class and
        those after it.
        """
        reservation = self._update_reservation(now_ms, room_for)
        scheduling_pass = scheduling_pass_module.SchedulingPass(
            now_ms, max_tasks, is_blocked, room_for, reservation
        )
        share_ceiling = float('inf')
        for priority in model.Priority:
            if (
                shares_elsewhere is not None
                and shares_elsewhere[priority] >= 0
            ):
                share_ceiling = min(
                    share_ceiling, shares_elsewhere[priority] + self._margin
                )
            if scheduling_pass.remaining_tasks <= 0:
                break
            self._start_reserved_gang(scheduling_pass, priority)
            self._pop_class(scheduling_pass, priority, share_ceiling)
        self._forget_unconfirmed(now_ms)
        return scheduling_pass.picks

    def _pop_class(
        self,
        scheduling_pass: scheduling_pass_module.SchedulingPass,
        priority: model.Priority,
        share_ceiling: float,
    ) -> None:
        order = [
            (workspace.share, workspace.turn, workspace)
            for workspace in self._waiting_by_class[priority].values()
        ]
        heapq.heapify(order)
        while order and scheduling_pass.remaining_tasks > 0:
            share, _, workspace = order[0]
            if share > share_ceiling:
                return
            entry = scheduling_pass.next_entry(workspace, priority)
            if entry is None:
                heapq.heappop(order)
                continue
            self._start_entry(scheduling_pass, workspace, entry)
            if workspace.waiting[priority]:
                heapq.heapreplace(
                    order, (workspace.share, workspace.turn, workspace)
                )
            else:
                heapq.heappop(order)

    def _start_reserved_gang(
        self,
        scheduling_pass: scheduling_pass_module.SchedulingPass,
        priority: model.Priority,
    ) -> None:
        reservation = scheduling_pass.reservation
        if reservation is None or reservation.entry.priority != priority:
            return
        workspace = self._workspaces[reservation.entry.workspace]
        if reservation.ready and scheduling_pass.admits(
            workspace, reservation.entry
        ):
            self._start_entry(scheduling_pass, workspace, reservation.entry)

    def _start_entry(
        self,
        scheduling_pass: scheduling_pass_module.SchedulingPass,
        workspace: workspace_state.WorkspaceState,
        entry: queue_entry.QueueEntry,
    ) -> None:
        # One task, or the whole gang.
        count = entry.gang_tasks or 1
        self._remove_waiting(entry, count)
        entry.in_flight += count
        entry.popped_ms = scheduling_pass.now_ms
        self._unconfirmed.pop(entry, None)
        if not entry.count:
            self._unconfirmed[entry] = None
        self._count_running(workspace, entry.amounts, count)
        if entry.run_time_ms:
            end_ms = scheduling_pass.now_ms + entry.run_time_ms
            self._expected_ends.add(entry.amounts, end_ms, count)
        workspace.turn = next(self._turns)
        workspace.record_started(count, scheduling_pass.now_ms)
        scheduling_pass.add_pick(entry, count)

    # Gangs

    def _update_reservation(
        self, now_ms: int, room_for: scheduling_pass_module.RoomFor | None
    ) -> reservation_module.Reservation | None:
        reservation = self._reservation
        if reservation is not None and not self._is_valid(reservation, now_ms):
            reservation = self._reservation = None
        if (
            now_ms - self._reservation_checked_ms
            >= _RESERVATION_CHECK_INTERVAL_MS
        ):
            self._reservation_checked_ms = now_ms
            if reservation is None:
                reservation = self._reservation = (
                    self._reserve_for_oldest_gang(now_ms)
                )
        if reservation is not None:
            room = 0
            if room_for is not None:
                room = room_for(reservation.entry.resources)
            reservation.update(room, self._expected_ends)
            reservation.ready = reservation.ready or room_for is None
        return reservation

    def _is_valid(
        self, reservation: reservation_module.Reservation, now_ms: int
    ) -> bool:
        entry = reservation.entry
        if not entry.count:
            return False
        if now_ms - reservation.since_ms >= self._gang_reserve_ms:
            # Delays the next reservation and lets other gangs go first.
            entry.pushed_ms = now_ms + self._gang_reserve_ms
            return False
        workspace = self._workspaces[entry.workspace]
        return workspace.allows(entry.amounts, entry.gang_tasks)

    def _reserve_for_oldest_gang(
        self, now_ms: int
    ) -> reservation_module.Reservation | None:
        eligible = [
            (entry.pushed_ms, entry.sequence, entry)
            for entry in self._gangs
            if now_ms - entry.pushed_ms >= self._gang_wait_ms
            and self._workspaces[entry.workspace].allows(
                entry.amounts, entry.gang_tasks
            )
        ]
        if not eligible:
            return None
        return reservation_module.Reservation(min(eligible)[2], now_ms)

    # Running work

    def add_running(
        self,
        workspace: str,
        resources: model.Resources,
        count: int = 1,
        *,
        end_ms: int = 0,
    ) -> None:
        """Count tasks started earlier as running, even above a limit.

        ``end_ms`` is their expected end time, 0 if unknown.
        """
        amounts = amounts_module.from_resources(resources)
        self._count_running(self._workspace(workspace), amounts, count)
        if end_ms:
            self._expected_ends.add(amounts, end_ms, count)

    def end_running(
        self, workspace: str, resources: model.Resources, count: int = 1
    ) -> None:
        """Count tasks as ended.

        Raises ``ValueError`` if fewer tasks are running.
        """
        amounts = amounts_module.from_resources(resources)
        self._count_running(self._workspace(workspace), amounts, -count)
        self._expected_ends.remove_earliest(amounts, count)

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
        """Tell whether ``count`` more tasks stay within the limits."""
        amounts = amounts_module.from_resources(resources)
        return self._workspace(workspace).allows(amounts, count)

    # Shares

    def share(self, workspace: str) -> float:
        """Return the normalised share of a workspace, 0.0 if unknown."""
        state = self._workspaces.get(workspace)
        return state.share if state else 0.0

    def lowest_waiting_shares(self) -> list[float]:
        """Return, by class, the lowest share of the waiting workspaces.

        -1.0 stands for a class without any. Workspaces at their limit and
        gangs without a reservation do not count, so that no other work is
        held back for them.
        """
        return [
            self._lowest_waiting_share(priority) for priority in model.Priority
        ]

    def _lowest_waiting_share(self, priority: model.Priority) -> float:
        return min(
            (
                workspace.share
                for workspace in self._waiting_by_class[priority].values()
                if self._has_startable_work(workspace, priority)
            ),
            default=_NO_SHARE,
        )

    def _has_startable_work(
        self,
        workspace: workspace_state.WorkspaceState,
        priority: model.Priority,
    ) -> bool:
        reservation = self._reservation
        for shape_queue in workspace.shape_queues[priority].values():
            entry = shape_queue.head()
            if entry is None:
                continue
            if entry.gang_tasks:
                if reservation is not None and reservation.entry is entry:
                    return True
            elif workspace.allows(entry.amounts, 1):
                return True
        return False

    def _update_all_shares(self) -> None:
        for workspace in self._workspaces.values():
            weight = (
                workspace.policy.share if workspace.policy is not None else 0.0
            )
            fraction = (
                weight / self._total_weight if self._total_weight else 1.0
            )
            # Keeps shares finite; a workspace without weight comes last.
            workspace.weight = max(fraction, 1e-9)
            self._update_share(workspace)

    def _update_share(self, workspace: workspace_state.WorkspaceState) -> None:
        dominant = max(
            running / total if total else 0.0
            for running, total in zip(
                workspace.running, self._fleet_amounts, strict=True
            )
        )
        workspace.share = dominant / workspace.weight

    # Bookkeeping

    def _workspace(self, name: str) -> workspace_state.WorkspaceState:
        workspace = self._workspaces.get(name)
        if workspace is None:
            workspace = workspace_state.WorkspaceState(
                name, next(self._turns), self._operations
            )
            self._workspaces[name] = workspace
        return workspace

    def _count_running(
        self,
        workspace: workspace_state.WorkspaceState,
        amounts: amounts_module.Amounts,
        count: int,
    ) -> None:
        workspace.count_running(amounts, count)
        self._update_share(workspace)

    def _find_entry_to_extend(
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

    def _find_in_flight(
        self, job_id: str, count: int, resources: model.Resources | None
    ) -> queue_entry.QueueEntry:
        for entry in reversed(self._entries.get(job_id, ())):
            if entry.in_flight >= count and (
                resources is None or entry.resources == resources
            ):
                return entry
        raise errors.NotFound(
            f'{count} tasks of job {job_id!r} are not in flight; requeue '
            'popped tasks only once, and within '
            f'{self._requeue_window_ms} ms'
        )

    def _create_entry(
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

    def _entry_for_single_tasks(
        self, gang: queue_entry.QueueEntry
    ) -> queue_entry.QueueEntry:
        for entry in self._entries[gang.job_id]:
            if (
                not entry.gang_tasks
                and not entry.removed
                and entry.resources == gang.resources
            ):
                return entry
        entry = self._create_entry(
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

    def _add_waiting(
        self,
        workspace: workspace_state.WorkspaceState,
        entry: queue_entry.QueueEntry,
        count: int,
    ) -> None:
        workspace.add_waiting(entry, count)
        self._waiting_by_class[entry.priority][workspace.name] = workspace
        self._unconfirmed.pop(entry, None)
        if entry.gang_tasks:
            self._gangs[entry] = None
        if entry.expires_ms:
            self._deadlines.add(entry.expires_ms, entry)

    def _remove_waiting(
        self, entry: queue_entry.QueueEntry, count: int
    ) -> int:
        if not count:
            return 0
        workspace = self._workspace(entry.workspace)
        workspace.remove_waiting(entry, count)
        if not workspace.waiting[entry.priority]:
            self._waiting_by_class[entry.priority].pop(entry.workspace, None)
        if not entry.count:
            self._gangs.pop(entry, None)
            if entry.in_flight:
                self._unconfirmed[entry] = None
            if entry.expires_ms:
                self._deadlines.mark_dead()
        return count

    def _forget_if_unused(self, entry: queue_entry.QueueEntry) -> None:
        if entry.count or entry.in_flight:
            return
        self._unconfirmed.pop(entry, None)
        entries = self._entries.get(entry.job_id, [])
        if entry in entries:
            entries.remove(entry)
        if not entries:
            self._entries.pop(entry.job_id, None)

    def _forget_unconfirmed(self, now_ms: int) -> None:
        while self._unconfirmed:
            entry = next(iter(self._unconfirmed))
            if now_ms - entry.popped_ms < self._requeue_window_ms:
                return
            entry.in_flight = 0
            self._forget_if_unused(entry)

    def _check_max_queued(
        self, workspace: workspace_state.WorkspaceState, count: int
    ) -> None:
        if workspace.policy is None or workspace.policy.max_queued_tasks < 0:
            return
        max_queued = workspace.policy.max_queued_tasks
        waiting = sum(workspace.waiting)
        if waiting + count <= max_queued:
            return
        if count > max_queued:
            raise errors.QueueFull(
                f'the job has {count} tasks, but workspace '
                f'{workspace.name!r} may queue at most {max_queued}; submit '
                'smaller jobs or raise max_queued_tasks'
            )
        drain_ms = workspace.estimate_drain_ms(waiting + count - max_queued)
        retry_ms = drain_ms or _RETRY_DEFAULT_MS
        retry_ms = min(max(retry_ms, _RETRY_MIN_MS), _RETRY_MAX_MS)
        raise errors.QueueFull(
            f'workspace {workspace.name!r} has {waiting} waiting tasks, and '
            f'at most {max_queued} are allowed; retry in {retry_ms} ms or '
            'raise max_queued_tasks',
            retry_after_ms=retry_ms,
        )
