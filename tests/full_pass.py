"""Scheduling pass that visits all ready steps, to compare the planner with.

The code of the planner before it kept indexes; see
docs/design/scheduling-pass.md.
"""

from basilspindle.cell.decisions import gang_room
from basilspindle.cell.decisions import packing
from basilspindle.cell.decisions import plan as plan_module
from basilspindle.cell.decisions import urgency
from basilspindle.cell import orders as orders_module
from basilspindle.cell import state as state_module
from basilspindle.cell import unseen
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import need as need_module
from basilspindle.workflow import step_run as step_run_module
from basilspindle.workflow import task_state

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


class FullPassPlanner:
    """Examine every ready step that an event may help, in order."""

    __slots__ = (
        '_state',
        '_unseen_usage',
        '_scarce_workers',
        '_gang_room',
        '_stopping_steps',
    )

    def __init__(self, state: state_module.CellState) -> None:
        self._state = state
        # Upper bound, by workspace, on the resources of running tasks that
        # the leader does not count in its usage.
        self._unseen_usage: dict[str, need_module.Need] = {}
        # Ids of workers that steps with few eligible workers wait for.
        self._scarce_workers: set[str] = set()
        self._gang_room = gang_room.GangRoom(state)
        # Keys of steps with runs that are being stopped on some worker and
        # that no task accounts for.
        self._stopping_steps: set[str] = set()

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
        pools: dict[str, list[worker_module.Worker]] = {}
        for worker in state.workers.values():
            if state.accepts(worker, now_ms):
                pools.setdefault(worker.pool, []).append(worker)
        previous_usage, self._unseen_usage = (
            self._unseen_usage,
            unseen.estimate_usage(state, now_ms),
        )
        # A lower estimate leaves room for more tasks of the workspace.
        for workspace, need in previous_usage.items():
            if self._unseen_usage.get(workspace) != need:
                freed_workspaces.add(workspace)
        self._scarce_workers = _find_scarce_workers(state)
        self._stopping_steps = {
            name.rpartition('.')[0]
            for worker in state.workers.values()
            for name in worker.unexpected_runs
        }
        order = urgency.Urgency(now_ms, state.due_times_ms)
        self._gang_room.begin_pass(order)
        for run in sorted(state.table.ready_steps.values(), key=order):
            skip = self._should_skip(
                run, now_ms, freed_workers, freed_workspaces
            )
            if not skip:
                run.retry_at_ms = plan_module._next_recheck_ms(run, now_ms)
                pool = pools.get(run.job.definition.pool, [])
                self._place(run, pool, now_ms)
            self._gang_room.hold_limit(run, now_ms)
            if skip:
                continue
            if not run.waiting:
                state.table.ready_steps.pop(run.key, None)
            elif run.tickets is not None and not run.advice_requested_ms:
                self._ask_about_new_workers(run, pools, now_ms)
        state.freed_workspaces |= self._gang_room.end_pass()

    def _should_skip(
        self,
        run: step_run_module.StepRun,
        now_ms: int,
        freed_workers: set[str],
        freed_workspaces: set[str],
    ) -> bool:
        if not run.job.is_recorded(run):
            # The job is not accepted until it is recorded, and the leader
            # may change before one of its occurrences is.
            return True
        if run.key in self._stopping_steps:
            # A task of it runs until its worker has carried out the stop.
            return True
        if run.job.recovered and unseen.may_run_unseen(self._state, now_ms):
            self._record_wait_reason(
                run, _Reason.UNSEEN, len(self._state.awaited_workers)
            )
            return True
        if run.tickets is None and run.advice_requested_ms:
            return True
        if now_ms >= run.retry_at_ms:
            return False
        if (
            run.is_limited_by_workspace
            and run.job.definition.workspace in freed_workspaces
        ):
            return False
        return not self._can_use_freed_worker(run, freed_workers, now_ms)

    def _can_use_freed_worker(
        self,
        run: step_run_module.StepRun,
        freed_workers: set[str],
        now_ms: int,
    ) -> bool:
        # Workers that advice did not approve cannot be used, others may be.
        for worker_id in freed_workers:
            if run.tickets is not None and worker_id not in run.tickets:
                if worker_id in run.advised_worker_ids:
                    continue
                if run.advice_requested_ms:
                    continue
            worker = self._state.workers.get(worker_id)
            if worker is None or not self._state.accepts(worker, now_ms):
                continue
            label = run.step.required_label
            if label and label not in worker.labels:
                continue
            if packing.slots(worker, run):
                return True
        return False

    def _place(
        self,
        run: step_run_module.StepRun,
        workers: list[worker_module.Worker],
        now_ms: int,
    ) -> None:
        self._drop_reservation(run, now_ms)
        step = run.step
        definition = run.job.definition
        advice = self._state.advice_terms(definition)
        candidates = [
            worker
            for worker in workers
            if not step.required_label or step.required_label in worker.labels
        ]
        if advice is not None and run.tickets is None:
            self._request_advice(
                run, _select_workers_to_ask(run, candidates), now_ms
            )
            return
        if advice is not None and run.tickets is not None:
            candidates = [
                worker
                for worker in candidates
                if worker.worker_id in run.tickets
            ]
        candidates = _exclude_avoided(run, candidates, now_ms)
        headroom = self._headroom(run)
        run.is_limited_by_workspace = headroom < len(run.waiting)
        count = min(len(run.waiting), headroom)
        if not count or (step.gang and count < step.count):
            self._record_wait_reason(run, _Reason.LIMIT, len(candidates))
            self._gang_room.make_headroom(run, self._unseen_need(run), now_ms)
            return
        if not run.reserved_tasks:
            run.awaits_preempted = False
        if advice is None:
            assignment = packing.assign(
                run, candidates, count, self._scarce_workers
            )
            self._start(run, assignment, now_ms)
            if run.waiting:
                self._make_room(run, candidates, now_ms)
            return
        self._place_advised(run, candidates, count, now_ms)

    def _headroom(self, run: step_run_module.StepRun) -> int:
        workspace = run.job.definition.workspace
        if self._gang_room.is_held(workspace):
            return 0
        return self._state.usage.headroom(
            workspace,
            run.step.reserved,
            self._state.workspace_limit(workspace),
            self._unseen_need(run),
        )

    def _unseen_need(self, run: step_run_module.StepRun) -> need_module.Need:
        return self._unseen_usage.get(
            run.job.definition.workspace, state_module.NO_NEED
        )

    def _place_advised(
        self,
        run: step_run_module.StepRun,
        candidates: list[worker_module.Worker],
        count: int,
        now_ms: int,
    ) -> None:
        tickets = run.tickets or {}
        valid = [
            worker
            for worker in candidates
            if tickets[worker.worker_id].expires_ms
            > now_ms + _MIN_TICKET_VALIDITY_MS
        ]
        assignment = packing.assign(run, valid, count, self._scarce_workers)
        if assignment:
            self._start(run, assignment, now_ms)
            count -= sum(assignment.values())
        if not count or run.advice_requested_ms:
            return
        if len(valid) == len(candidates):
            self._make_room(run, candidates, now_ms)
            return
        if run.step.gang:
            # A gang starts as a whole and needs all its tickets at once.
            to_renew = candidates
        else:
            to_renew = [worker for worker in candidates if worker not in valid]
        assignment = packing.assign(run, to_renew, count, self._scarce_workers)
        if assignment:
            self._record_wait_reason(run, _Reason.TICKET, len(assignment))
            # Holds the capacity until the new tickets arrive.
            self._state.reserve(run, assignment, now_ms + _MAX_RESERVATION_MS)
            self._request_advice(run, list(assignment), now_ms)
        else:
            self._make_room(run, candidates, now_ms)

    def _make_room(
        self,
        run: step_run_module.StepRun,
        workers: list[worker_module.Worker],
        now_ms: int,
    ) -> None:
        self._record_wait_reason(run, _Reason.ROOM, len(workers))
        assignment = self._gang_room.make_room(run, workers, now_ms)
        if assignment and run.tickets is not None:
            # The tickets are to be valid once the room is free.
            self._request_advice(run, list(assignment), now_ms)

    def _record_wait_reason(
        self,
        run: step_run_module.StepRun,
        reason: orders_module.WaitReason,
        candidates: int,
    ) -> None:
        if run.wait_reason == reason:
            return
        run.wait_reason = reason
        self._state.orders.waits.append(
            orders_module.WaitNote(run, reason, candidates)
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
        self,
        run: step_run_module.StepRun,
        pools: dict[str, list[worker_module.Worker]],
        now_ms: int,
    ) -> None:
        # Asks about workers that no call has named yet: those that have
        # joined since, and those that earlier calls left out.
        others = [
            worker
            for worker in pools.get(run.job.definition.pool, [])
            if worker.worker_id not in run.advised_worker_ids
            and (
                not run.step.required_label
                or run.step.required_label in worker.labels
            )
        ]
        self._request_advice(run, _select_workers_to_ask(run, others), now_ms)

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


def _find_scarce_workers(state: state_module.CellState) -> set[str]:
    # Other tasks avoid these workers. Capacity is freed there in small parts,
    # and small tasks would otherwise take it before a large step can.
    scarce: set[str] = set()
    for run in state.table.ready_steps.values():
        if run.wait_reason != _Reason.ROOM or not run.tickets:
            continue
        if run.job.is_beyond_share or len(run.tickets) > _FEW_ELIGIBLE_WORKERS:
            continue
        scarce.update(run.tickets)
    return scarce


def _select_workers_to_ask(
    run: step_run_module.StepRun, workers: list[worker_module.Worker]
) -> list[str]:
    # Each worker named makes a call slower. Workers with the most capacity
    # are named first, and only as many as are needed for the approved ones
    # to fit all waiting tasks of the step twice.
    slots_by_worker = sorted(
        ((packing.slots(worker, run), worker.worker_id) for worker in workers),
        key=lambda row: (-row[0], row[1]),
    )
    wanted_slots = (
        _SPARE_CAPACITY_FACTOR * len(run.waiting) / _MIN_APPROVED_FRACTION
    )
    asked = []
    total_slots = 0
    for slots, worker_id in slots_by_worker:
        if len(asked) >= _MIN_WORKERS_PER_CALL and total_slots >= wanted_slots:
            break
        asked.append(worker_id)
        total_slots += min(slots, len(run.waiting))
    return asked


def _exclude_avoided(
    run: step_run_module.StepRun,
    workers: list[worker_module.Worker],
    now_ms: int,
) -> list[worker_module.Worker]:
    # Most failures are caused by the task itself, so the worker on which it
    # failed is used again after a while.
    avoid_ms = _AVOID_FACTOR * run.step.estimate_ms
    if run.started_ms and now_ms - run.started_ms > avoid_ms:
        return workers
    avoid = set()
    for task in run.waiting.values():
        avoid |= task.avoided_worker_ids
    if not avoid:
        return workers
    kept = [worker for worker in workers if worker.worker_id not in avoid]
    return kept or workers
