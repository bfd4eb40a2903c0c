"""Schedule waiting tasks: decide which start now, and on which workers."""

import collections.abc
import heapq
import itertools
import zlib

from basilspindle.cell.decisions import accepting_workers
from basilspindle.cell.decisions import eligible_workers
from basilspindle.cell.decisions import free_workers
from basilspindle.cell.decisions import gang_room
from basilspindle.cell.decisions import packing
from basilspindle.cell.decisions import speed_need
from basilspindle.cell.decisions import urgency
from basilspindle.cell.decisions import waiting_steps
from basilspindle.cell import orders as orders_module
from basilspindle.cell import state as state_module
from basilspindle.cell import unseen
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import need as need_module
from basilspindle.workflow import step_run as step_run_module
from basilspindle.workflow import task_state
from basilspindle.workflow import ticket as ticket_module

_State = task_state.TaskState
_Reason = orders_module.WaitReason
# A ticket with less validity left may have expired when it reaches the worker.
_MIN_TICKET_VALIDITY_MS = 100
# Room is reserved this long at most for a step that waits for advice.
_MAX_RESERVATION_MS = 4_000
# The advice service approves at least this fraction of the workers named.
_MIN_APPROVED_FRACTION = 0.3
# The approved workers should have capacity for this many times the waiting
# tasks of a step.
_SPARE_CAPACITY_FACTOR = 2
# A call names this many workers, if there are as many, even if fewer would
# do: the objective of a job includes the time of a call of this size.
_MIN_WORKERS_PER_CALL = 30
# A worker on which a task failed is avoided for this many times the estimated
# duration: about one run, plus one run of waiting for another worker.
_AVOID_FACTOR = 2
# The workers of a step that may run on at most this many are scarce.
_FEW_ELIGIBLE_WORKERS = 3
# A request for advice names at most this many workers; it is divided into
# calls.
_MAX_WORKERS_PER_REQUEST = 300
# A pass examines at most this many steps in vain, the most urgent first, and
# this many of those that were left out for longest; each takes about 50 us.
# Starts are not counted: free capacity bounds them.
_MAX_EXAMINED_STEPS = 40
_MAX_OVERDUE_STEPS = 8
# What is done with an item of a pass. A gang is examined before it holds the
# limit of its workspace, which would keep it from starting as well.
_EXAMINE = 0
_HOLD = 1
_QueueItem = tuple[
    waiting_steps.Key,
    int,
    int,
    waiting_steps.WaitingStep | waiting_steps.StepGroup,
]


class Planner:
    """Match waiting tasks to free capacity and issue the start orders.

    A pass examines the steps that an event since the last one may help, the
    most urgent first. If these are too many for one pass, ``has_more`` tells
    that another one is to follow soon.
    """

    __slots__ = (
        '_state',
        '_unseen_usage',
        '_scarce_workers',
        '_gang_room',
        '_stopping_steps',
        '_steps',
        '_free_workers',
        '_accepting',
        '_full_shapes',
        '_order',
        '_pass',
        '_may_run_unseen',
        '_overdue_turn',
    )

    def __init__(self, state: state_module.CellState) -> None:
        self._state = state
        # Upper bound, by workspace, on the resources of running tasks that
        # the leader does not count in its usage.
        self._unseen_usage: dict[str, need_module.Need] = {}
        # Ids of workers that steps with few eligible workers wait for.
        self._scarce_workers: collections.abc.Set[str] = frozenset()
        self._gang_room = gang_room.GangRoom(state)
        # Keys of steps with runs that are being stopped on some worker and
        # that no task accounts for.
        self._stopping_steps: set[str] = set()
        self._steps = waiting_steps.WaitingSteps(state.table.ready_steps)
        self._free_workers = free_workers.FreeWorkers(state.workers)
        self._accepting = accepting_workers.AcceptingWorkers(state, 0)
        # Shapes without room for a task in this pass, until room is released.
        self._full_shapes: set[waiting_steps.Shape] = set()
        self._order = urgency.Urgency(0, state.due_times_ms)
        self._pass = 0
        # The turn of overdue steps at the last pass, None between turns.
        self._overdue_turn: int | None = None
        self._may_run_unseen = False

    @property
    def has_more(self) -> bool:
        """Tell whether the last pass has left steps to the next one."""
        has_ready_steps = bool(self._state.table.ready_steps)
        return has_ready_steps and self._steps.count_woken() > 0

    def plan(self, now_ms: int) -> None:
        """Run a scheduling pass and add its orders to those of the state."""
        state = self._state
        if state.configuration_index is None or not state.table.ready_steps:
            return
        freed_workers, state.freed_workers = state.freed_workers, set()
        freed_workspaces, state.freed_workspaces = (
            state.freed_workspaces,
            set(),
        )
        self._pass += 1
        self._full_shapes.clear()
        self._accepting = accepting_workers.AcceptingWorkers(state, now_ms)
        self._note_unseen(freed_workspaces, now_ms)
        order = urgency.Urgency(now_ms, state.due_times_ms)
        self._order = order
        self._steps.refresh(order, now_ms)
        self._wake_overdue()
        self._scarce_workers = self._steps.update_scarce(_scarce_ids)
        self._sort(now_ms)
        self._wake(freed_workers, freed_workspaces)
        self._gang_room.begin_pass(order)
        self._visit_woken(freed_workers, now_ms)
        state.freed_workspaces |= self._gang_room.end_pass()

    def _wake_overdue(self) -> None:
        # Only then do keys of waiting steps fall.
        turn, self._overdue_turn = self._overdue_turn, self._order.overdue_turn
        if self._overdue_turn not in (None, turn):
            self._steps.wake_matching(self._order.is_overdue_turn, self._order)

    def _note_unseen(self, freed_workspaces: set[str], now_ms: int) -> None:
        state = self._state
        self._may_run_unseen = unseen.may_run_unseen(state, now_ms)
        unexpected = [
            worker
            for worker in state.workers.values()
            if worker.unexpected_runs
        ]
        previous_usage, self._unseen_usage = self._unseen_usage, {}
        if unexpected or state.awaited_workers.any(now_ms):
            self._unseen_usage = unseen.estimate_usage(state, now_ms)
        # A lower estimate leaves room for more tasks of the workspace.
        for workspace, need in previous_usage.items():
            if self._unseen_usage.get(workspace) != need:
                freed_workspaces.add(workspace)
        self._stopping_steps = {
            name.rpartition('.')[0]
            for worker in unexpected
            for name in worker.unexpected_runs
        }

    def _sort(self, now_ms: int) -> None:
        """Let the steps that may start now wait for capacity."""
        for step in list(self._steps.unsorted.values()):
            run = step.run
            if self._is_blocked(run):
                if run.tickets is None and run.advice_requested_ms:
                    self._steps.await_advice(step)
                continue
            self._park(step, now_ms)
            if now_ms >= run.retry_at_ms:
                self._steps.wake(step, self._order)

    def _wake(
        self, freed_workers: set[str], freed_workspaces: set[str]
    ) -> None:
        """Wake the groups of steps that freed capacity may help."""
        for worker_id in sorted(freed_workers):
            worker = self._state.workers.get(worker_id)
            if worker is None or not self._accepting.accepts(worker):
                continue
            free_cpu = worker.available.cpu_millicores
            for group in self._steps.groups_that_fit(worker.pool, free_cpu):
                if worker_id in group.freed_ids:
                    continue
                # A worker is of use to all steps of a shape, or to none.
                found = group.any_step()
                if found is not None and self._can_use(found.run, worker):
                    group.freed_ids.add(worker_id)
                    self._steps.woken_groups[group] = None
        for workspace in freed_workspaces:
            self._steps.wake_workspace(workspace)

    def _can_use(
        self, run: step_run_module.StepRun, worker: worker_module.Worker
    ) -> bool:
        """Tell whether a freed worker may help a step."""
        if (
            run.step.required_label
            and run.step.required_label not in worker.labels
        ):
            return False
        if run.tickets is not None and worker.worker_id not in run.tickets:
            # Workers that advice did not approve cannot be used. Others may
            # be, but they are asked about only after the present call.
            if (
                run.advice_requested_ms
                or worker.worker_id in run.advised_worker_ids
            ):
                return False
        return packing.has_slot(worker, run)

    def _visit_woken(self, freed_workers: set[str], now_ms: int) -> None:
        """Examine woken steps in order, and hold limits for gangs."""
        steps = self._steps
        order = self._order
        queue, exempt = self._begin_queue()
        left = _MAX_EXAMINED_STEPS
        released = 0
        last_key: waiting_steps.Key = ()
        while True:
            if len(self._state.freed_workers) > released:
                # Reserved room was released where other room was freed.
                released = len(self._state.freed_workers)
                known = set(steps.woken_groups)
                self._wake(freed_workers & self._state.freed_workers, set())
                for group in steps.woken_groups.keys() - known:
                    found = group.first(order)
                    if found is not None and found[0] > last_key:
                        heapq.heappush(
                            queue, (found[0], _EXAMINE, group.sequence, group)
                        )
            woken = steps.first_woken(order) if left > 0 else None
            if woken is not None and (not queue or woken[0] <= queue[0][0]):
                last_key = woken[0]
                left -= self._visit(woken[1], now_ms)
                continue
            if not queue:
                return
            key, kind, sequence, item = heapq.heappop(queue)
            last_key = key
            if isinstance(item, waiting_steps.StepGroup):
                if item not in steps.woken_groups:
                    continue
                if left <= 0 and item not in exempt:
                    continue
                found = item.first(order)
                if found is not None and found[0] == key:
                    left -= self._visit_group(item, found[1], now_ms)
                    exempt.discard(item)
                    found = item.first(order)
                if found is None:
                    steps.settle(item)
                elif item in steps.woken_groups:
                    heapq.heappush(queue, (found[0], kind, sequence, item))
            elif kind == _EXAMINE:
                self._visit(item, now_ms)
            elif item.visited_pass != self._pass:
                self._gang_room.hold_limit(item.run, now_ms)

    def _begin_queue(
        self,
    ) -> tuple[list[_QueueItem], set[waiting_steps.StepGroup]]:
        """Return what to visit beside woken steps, and the exempt groups."""
        steps = self._steps
        order = self._order
        queue: list[_QueueItem] = [
            (order(step.run), _HOLD, step.sequence, step)
            for step in steps.limited_gangs.values()
        ]
        for group in steps.woken_groups:
            found = group.first(order)
            if found is not None:
                queue.append((found[0], _EXAMINE, group.sequence, group))
        exempt: set[waiting_steps.StepGroup] = set()
        if steps.count_woken() > _MAX_EXAMINED_STEPS:
            # More urgent steps may be woken in every pass.
            queue += [
                (order(step.run), _EXAMINE, step.sequence, step)
                for step in steps.longest_woken(_MAX_OVERDUE_STEPS)
            ]
            exempt.update(
                itertools.islice(steps.woken_groups, _MAX_OVERDUE_STEPS)
            )
        heapq.heapify(queue)
        return queue, exempt

    def _visit_group(
        self,
        group: waiting_steps.StepGroup,
        step: waiting_steps.WaitingStep,
        now_ms: int,
    ) -> int:
        """Examine the first step of a group; return 1 if it was in vain."""
        run = step.run
        if self._was_visited(step) or not (
            group.is_due
            or any(
                (worker := self._state.workers.get(worker_id)) is not None
                and self._accepting.accepts(worker)
                and self._can_use(run, worker)
                for worker_id in group.freed_ids
            )
        ):
            self._steps.settle(group)
            return 0
        examined = self._visit(step, now_ms)
        if run.waiting and step.group is not None:
            # What was left of it does not fit; nor do others of its shape.
            self._steps.settle(group)
        return examined

    def _visit(self, step: waiting_steps.WaitingStep, now_ms: int) -> int:
        """Examine a step unless it is blocked; return 1 if it was in vain."""
        run = step.run
        steps = self._steps
        steps.begin_visit(step)
        if self._was_visited(step):
            return 0
        step.visited_pass = self._pass
        step.visited_group = step.group
        if self._is_blocked(run):
            steps.block(step)
            self._gang_room.hold_limit(run, now_ms)
            return 0
        run.retry_at_ms = _next_recheck_ms(run, now_ms)
        waiting = len(run.waiting)
        try:
            self._place(run, now_ms)
        except Exception as error:
            # It would end each pass before the steps after it.
            self._state.orders.faults.append(
                orders_module.FaultNote(run, error)
            )
        self._order.forget(run)
        self._gang_room.hold_limit(run, now_ms)
        if not run.waiting:
            self._state.table.ready_steps.pop(run.key, None)
            steps.remove(step)
            return 0
        if run.tickets is not None and not run.advice_requested_ms:
            self._ask_about_new_workers(run, now_ms)
        if run.tickets is None and run.advice_requested_ms:
            steps.await_advice(step)
        else:
            self._park(step, now_ms)
        return int(len(run.waiting) == waiting)

    def _was_visited(self, step: waiting_steps.WaitingStep) -> bool:
        # A step that has another shape since may tell more about that one.
        return (
            step.visited_pass == self._pass
            and step.visited_group is step.group
        )

    def _park(self, step: waiting_steps.WaitingStep, now_ms: int) -> None:
        self._steps.park(step, self._shape(step.run), self._order, now_ms)

    def _shape(self, run: step_run_module.StepRun) -> waiting_steps.Shape:
        step = run.step
        definition = run.job.definition
        has_own_answer = (
            step.max_per_worker
            or run.reserved_tasks
            or run.tickets is not None
            or self._state.advice_terms(definition) is not None
            or _has_avoided(run)
            # Whether a gang holds the limit follows from its own examination.
            or (step.gang and self._has_limit(definition.workspace))
        )
        return waiting_steps.Shape(
            definition.pool,
            step.required_label,
            step.reserved,
            definition.workspace,
            len(run.waiting) if step.gang else 0,
            step.same_rack and step.gang,
            run.key if has_own_answer else '',
            bool(run.reserved_tasks),
        )

    def _has_limit(self, workspace: str) -> bool:
        limit = self._state.workspace_limit(workspace)
        return limit is not None and limit != state_module.NO_NEED

    def _is_blocked(self, run: step_run_module.StepRun) -> bool:
        """Tell whether a step may not start yet whatever is freed."""
        if not run.job.is_placeable(run):
            # The job may still be withdrawn, and the leader may change before
            # one of its occurrences is recorded.
            return True
        if run.key in self._stopping_steps:
            # A task of it runs until its worker has carried out the stop.
            return True
        if run.job.recovered and self._may_run_unseen:
            self._record_wait_reason(
                run, _Reason.UNSEEN, self._state.awaited_workers
            )
            return True
        return run.tickets is None and bool(run.advice_requested_ms)

    def _place(self, run: step_run_module.StepRun, now_ms: int) -> None:
        self._drop_reservation(run, now_ms)
        step = run.step
        definition = run.job.definition
        advice = self._state.advice_terms(definition)
        if advice is None and run.tickets is not None:
            # The queue has lost its advice since, so any worker may be used.
            run.tickets = None
            run.advised_worker_ids.clear()
            self._state.table.count_ready_step(run)
        if advice is not None and run.tickets is None:
            self._request_advice(
                run,
                self._select_workers_to_ask(run),
                now_ms,
            )
            return
        tickets = run.tickets
        eligible = eligible_workers.EligibleWorkers(
            lambda: self._find_eligible(run, tickets, now_ms)
        )
        headroom = self._headroom(run)
        run.is_limited_by_workspace = headroom < len(run.waiting)
        count = min(len(run.waiting), headroom)
        if not count or (step.gang and count < step.count):
            self._record_wait_reason(run, _Reason.LIMIT, eligible)
            self._gang_room.make_headroom(run, self._unseen_need(run), now_ms)
            return
        if not run.reserved_tasks:
            run.awaits_preempted = False
        shape = self._shape(run)._replace(workspace='')
        if self._state.freed_workers:
            # Reserved room has been released in this pass.
            self._full_shapes.clear()
        if _avoided_ids(run, now_ms):
            candidates = list(eligible)
        elif shape in self._full_shapes:
            candidates = []
        else:
            candidates = self._find_room(run, tickets)
        if advice is not None:
            self._place_advised(run, eligible, candidates, count, now_ms)
            return
        assignment = self._assign(run, eligible, candidates, count, now_ms)
        if sum(assignment.values()) < count and not shape.own_key:
            self._full_shapes.add(shape)
        self._start(run, assignment, now_ms)
        if run.waiting:
            self._make_room(run, eligible, now_ms)

    def headroom(self, workspace: str, need: need_module.Need) -> int:
        """Return how many more tasks a workspace may start; starts none."""
        if self._gang_room.is_held(workspace):
            return 0
        return self._state.usage.headroom(
            workspace,
            need,
            self._state.workspace_limit(workspace),
            self._unseen_usage.get(workspace, state_module.NO_NEED),
        )

    def _headroom(self, run: step_run_module.StepRun) -> int:
        workspace = run.job.definition.workspace
        return self.headroom(workspace, run.step.reserved)

    def _unseen_need(self, run: step_run_module.StepRun) -> need_module.Need:
        return self._unseen_usage.get(
            run.job.definition.workspace, state_module.NO_NEED
        )

    def _place_advised(
        self,
        run: step_run_module.StepRun,
        eligible: collections.abc.Sequence[worker_module.Worker],
        candidates: list[worker_module.Worker],
        count: int,
        now_ms: int,
    ) -> None:
        """Start tasks with tickets; ``candidates`` have room for one."""
        tickets = run.tickets or {}
        valid = [
            worker
            for worker in candidates
            if tickets[worker.worker_id].expires_ms
            > now_ms + _MIN_TICKET_VALIDITY_MS
        ]
        assignment = self._assign(run, eligible, valid, count, now_ms)
        if assignment:
            self._start(run, assignment, now_ms)
            count -= sum(assignment.values())
        if not count or run.advice_requested_ms:
            return
        if len(valid) == len(candidates):
            self._make_room(run, eligible, now_ms)
            return
        if run.step.gang:
            # A gang starts as a whole and needs all its tickets at once.
            to_renew = candidates
        else:
            to_renew = [worker for worker in candidates if worker not in valid]
        assignment = self._assign(run, eligible, to_renew, count, now_ms)
        if assignment:
            self._record_wait_reason(run, _Reason.TICKET, assignment)
            # Holds the capacity until the new tickets arrive.
            self._state.reserve(run, assignment, now_ms + _MAX_RESERVATION_MS)
            self._request_advice(run, list(assignment), now_ms)
        else:
            self._make_room(run, eligible, now_ms)

    def _make_room(
        self,
        run: step_run_module.StepRun,
        workers: collections.abc.Sequence[worker_module.Worker],
        now_ms: int,
    ) -> None:
        self._record_wait_reason(run, _Reason.ROOM, workers)
        assignment = self._gang_room.make_room(run, workers, now_ms)
        if assignment and run.tickets is not None:
            # The tickets are to be valid once the room is free.
            self._request_advice(run, list(assignment), now_ms)

    def _record_wait_reason(
        self,
        run: step_run_module.StepRun,
        reason: orders_module.WaitReason,
        candidates: collections.abc.Sized,
    ) -> None:
        if run.wait_reason == reason:
            return
        run.wait_reason = reason
        self._state.table.count_ready_step(run)
        self._state.orders.waits.append(
            orders_module.WaitNote(run, reason, len(candidates))
        )

    def _start(
        self,
        run: step_run_module.StepRun,
        assignment: packing.Assignment,
        now_ms: int,
    ) -> None:
        if not assignment:
            return
        state = self._state
        self._drop_reservation(run, now_ms, force=True)
        waiting = list(run.waiting.values())
        run.started_ms = now_ms
        gang_run = 0
        if run.step.gang:
            # All members of a gang start with the same run number.
            gang_run = max(state.next_run(task) for task in waiting)
            # All carry one checkpoint; that of any member is valid for all.
            checkpoint = max(task.checkpoint for task in waiting)
            for task in waiting:
                task.checkpoint = checkpoint
        for worker_id, count in assignment.items():
            ticket = ''
            if run.tickets is not None:
                ticket = run.tickets[worker_id].value
            for _ in range(count):
                task = waiting.pop()
                order = orders_module.StartOrder(
                    worker_id,
                    task,
                    gang_run or state.next_run(task),
                    ticket,
                )
                task.started_ms = 0
                state.occupy(
                    task,
                    state.workers[worker_id],
                    order.run,
                    _State.STARTING,
                )
                state.orders.starts.append(order)

    def _ask_about_new_workers(
        self, run: step_run_module.StepRun, now_ms: int
    ) -> None:
        # Asks about workers that no call has named yet: those that have
        # joined since, and those that earlier calls left out.
        pool = run.job.definition.pool
        label = run.step.required_label
        advised_ids = run.advised_worker_ids
        if advised_ids.issuperset(self._accepting.ordered_ids(pool, label)):
            return
        self._request_advice(
            run, self._select_workers_to_ask(run, advised_ids), now_ms
        )

    def _select_workers_to_ask(
        self,
        run: step_run_module.StepRun,
        except_ids: collections.abc.Set[str] = frozenset(),
    ) -> list[str]:
        # Each worker named makes a call slower. Workers with the most capacity
        # are named first, and only as many as are needed for the approved ones
        # to fit all waiting tasks of the step twice.
        pool = run.job.definition.pool
        slots_by_worker = {
            worker.worker_id: packing.slots(worker, run)
            for worker in self._find_room(run, None)
        }
        ordered = sorted(
            (worker_id for worker_id in slots_by_worker),
            key=lambda worker_id: (-slots_by_worker[worker_id], worker_id),
        )
        ordered = [i for i in ordered if slots_by_worker[i]]
        ordered += [
            worker_id
            for worker_id in self._accepting.ordered_ids(
                pool, run.step.required_label
            )
            if not slots_by_worker.get(worker_id)
        ]
        wanted_slots = (
            _SPARE_CAPACITY_FACTOR * len(run.waiting) / _MIN_APPROVED_FRACTION
        )
        asked: list[str] = []
        total_slots = 0
        for worker_id in ordered:
            if worker_id in except_ids:
                continue
            if len(asked) >= _MAX_WORKERS_PER_REQUEST or (
                len(asked) >= _MIN_WORKERS_PER_CALL
                and total_slots >= wanted_slots
            ):
                break
            asked.append(worker_id)
            total_slots += min(
                slots_by_worker.get(worker_id, 0), len(run.waiting)
            )
        return asked

    def _find_eligible(
        self,
        run: step_run_module.StepRun,
        tickets: collections.abc.Container[str] | None,
        now_ms: int,
    ) -> list[worker_module.Worker]:
        """Return the workers that may run tasks of a step, full or not."""
        workers = self._accepting.of(
            run.job.definition.pool, run.step.required_label
        )
        if tickets is not None:
            workers = [w for w in workers if w.worker_id in tickets]
        avoided_ids = _avoided_ids(run, now_ms)
        if not avoided_ids:
            return workers
        kept = [w for w in workers if w.worker_id not in avoided_ids]
        return kept or workers

    def _find_room(
        self,
        run: step_run_module.StepRun,
        tickets: collections.abc.Collection[str] | None,
    ) -> list[worker_module.Worker]:
        """Return the workers with room for a task that may run the step."""
        pool = run.job.definition.pool
        step = run.step
        need = step.reserved
        free = self._free_workers
        known = self._state.workers
        if tickets is None:
            workers = free.with_room(pool, need)
        else:
            workers = [
                worker
                for worker_id in tickets
                if (worker := known.get(worker_id)) is not None
                and free.has_room(worker, need)
            ]
        if run.reserved_tasks:
            # The room that the step has reserved there is not free.
            found_ids = {worker.worker_id for worker in workers}
            workers += [
                worker
                for worker_id in run.reserved_tasks
                if (worker := known.get(worker_id)) is not None
                and worker_id not in found_ids
                and (tickets is None or worker_id in tickets)
            ]
        workers = [
            worker
            for worker in workers
            if worker.pool == pool
            and (
                not step.required_label or step.required_label in worker.labels
            )
            and self._accepting.accepts(worker)
        ]
        if step.same_rack and len(workers) > 1:
            # Of equally full racks, that of the first worker is chosen.
            return free.in_table_order(workers)
        return workers

    def _assign(
        self,
        run: step_run_module.StepRun,
        eligible: collections.abc.Sequence[worker_module.Worker],
        candidates: list[worker_module.Worker],
        count: int,
        now_ms: int,
    ) -> packing.Assignment:
        if not candidates:
            return {}
        need = speed_need.speed_need(self._state, run, now_ms)
        return packing.assign(
            run, candidates, count, self._scarce_workers, need, eligible
        )

    def _request_advice(
        self,
        run: step_run_module.StepRun,
        worker_ids: list[str],
        now_ms: int,
    ) -> None:
        # Each call ends with a result or a failure. A second one beside it
        # would wait in the same queue, and make that longer.
        if run.advice_requested_ms or not worker_ids:
            return
        run.advice_requested_ms = now_ms
        run.pending_advice_calls = 1
        self._state.orders.advice.append(
            orders_module.AdviceRequest(
                run, worker_ids[:_MAX_WORKERS_PER_REQUEST]
            )
        )

    def _drop_reservation(
        self,
        run: step_run_module.StepRun,
        now_ms: int,
        *,
        force: bool = False,
    ) -> None:
        if not run.reserved_tasks and not run.awaits_preempted:
            return
        if (
            not force
            and (run.advice_requested_ms or run.awaits_preempted)
            and now_ms < run.reserved_until_ms
        ):
            # A call for advice or the stop of other tasks is still pending.
            return
        self._state.release_reservation(run)


def _next_recheck_ms(run: step_run_module.StepRun, now_ms: int) -> int:
    # Each step has a time of its own within the interval. Otherwise all steps
    # that were examined together would be due in one pass again and again.
    phase_ms = zlib.crc32(run.key.encode()) % waiting_steps.RECHECK_INTERVAL_MS
    return (
        now_ms
        + 1
        + (phase_ms - now_ms - 1) % waiting_steps.RECHECK_INTERVAL_MS
    )


def _scarce_ids(run: step_run_module.StepRun) -> tuple[str, ...]:
    # Other tasks avoid these workers. Capacity is freed there in small parts,
    # and small tasks would otherwise take it before a large step can.
    if run.wait_reason != _Reason.ROOM or not run.tickets:
        return ()
    if run.job.is_beyond_share or len(run.tickets) > _FEW_ELIGIBLE_WORKERS:
        return ()
    return tuple(run.tickets)


def apply_advice(
    run: step_run_module.StepRun,
    asked: list[str],
    tickets: dict[str, str],
    expires_ms: int,
) -> None:
    """Store the tickets of the approved workers in a step run."""
    merged = run.tickets if run.tickets is not None else {}
    run.advised_worker_ids.update(asked)
    # A worker that is not approved again loses its earlier ticket.
    for worker_id in asked:
        merged.pop(worker_id, None)
    for worker_id, value in tickets.items():
        merged[worker_id] = ticket_module.Ticket(value, expires_ms)
    run.tickets = merged
    _end_advice_call(run)
    run.retry_at_ms = 0


def apply_advice_failure(
    state: state_module.CellState,
    run: step_run_module.StepRun,
    retry_at_ms: int,
) -> None:
    """Retry a failed call for advice at ``retry_at_ms``."""
    _end_advice_call(run)
    run.retry_at_ms = retry_at_ms
    state.release_reservation(run)


def _end_advice_call(run: step_run_module.StepRun) -> None:
    run.pending_advice_calls -= 1
    if run.pending_advice_calls <= 0:
        run.advice_requested_ms = 0


def _avoided_ids(run: step_run_module.StepRun, now_ms: int) -> set[str]:
    # Most failures are caused by the task itself, so the worker on which it
    # failed is used again after a while.
    avoid_ms = _AVOID_FACTOR * run.step.estimate_ms
    if run.started_ms and now_ms - run.started_ms > avoid_ms:
        return set()
    avoided_ids: set[str] = set()
    for task in run.waiting.values():
        avoided_ids |= task.avoided_worker_ids
    return avoided_ids


def _has_avoided(run: step_run_module.StepRun) -> bool:
    for task in run.waiting.values():
        if task.avoided_worker_ids:
            return True
    return False
