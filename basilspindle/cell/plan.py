"""Decide which waiting tasks start now, and where."""

from basilspindle.cell import orders as orders_module
from basilspindle.cell import packing
from basilspindle.cell import state as state_module
from basilspindle.cell import unseen
from basilspindle.cell import urgency
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import need as need_module
from basilspindle.workflow import step_run as step_run_module
from basilspindle.workflow import task_state
from basilspindle.workflow import ticket as ticket_module

_State = task_state.TaskState
_Reason = orders_module.WaitReason
# A ticket that ends sooner may be refused by the time it arrives.
_TICKET_MARGIN_MS = 100
# Advice that has not come by then is asked for again.
_ADVICE_TIMEOUT_MS = 4_000
# A step that found no room is looked at again at least this often, although
# no worker was freed for it.
_RECHECK_MS = 1_000
# Part of the workers that advice allows at least, and how many times over
# these shall have room for a step.
_LEAST_GOOD_PART = 0.3
_SPARE_FACTOR = 2
# The objective of a job counts a call on as many workers.
_LEAST_ADVISED = 30
# A worker on which a task failed is avoided for this many times the time
# that the task takes: about one run, and one more of waiting for others.
_AVOID_FACTOR = 2
# A step that may run on no more workers than this has little choice.
_FEW_WORKERS = 3
# Most workers that one call for advice may name.
MAX_ADVISED = 100


class Planner:
    """Turn waiting tasks and free room into orders."""

    __slots__ = ('_state', '_unseen', '_wanted')

    def __init__(self, state: state_module.CellState) -> None:
        self._state = state
        # What workspaces may have running beside their usage.
        self._unseen: dict[str, need_module.Need] = {}
        # Workers that steps with little choice wait for.
        self._wanted: set[str] = set()

    def plan(self, now_ms: int) -> None:
        """Add the orders that are possible now to the state's orders."""
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
            if worker.accepts(now_ms):
                pools.setdefault(worker.pool, []).append(worker)
        before, self._unseen = (
            self._unseen,
            unseen.estimate_usage(state, now_ms),
        )
        for workspace, need in before.items():
            if self._unseen.get(workspace) != need:
                freed_workspaces.add(workspace)
        self._wanted = _find_wanted(state)
        key = urgency.Urgency(now_ms, state.due_times_ms)
        for run in sorted(state.table.ready_steps.values(), key=key):
            if self._skips(run, now_ms, freed_workers, freed_workspaces):
                continue
            run.retry_at_ms = now_ms + _RECHECK_MS
            self._place(run, pools.get(run.job.definition.pool, []), now_ms)
            if not run.waiting:
                state.table.ready_steps.pop(run.key, None)
            elif run.tickets is not None and not run.advice_requested_ms:
                self._ask_about_others(run, pools, now_ms)

    def _skips(
        self,
        run: step_run_module.StepRun,
        now_ms: int,
        freed_workers: set[str],
        freed_workspaces: set[str],
    ) -> bool:
        if run.job.durable_state is None:
            return True
        if run.job.recovered and unseen.may_run_unseen(self._state, now_ms):
            self._note_wait(
                run, _Reason.UNSEEN, len(self._state.unseen_workers)
            )
            return True
        if run.tickets is None and _awaits_advice(run, now_ms):
            return True
        if now_ms >= run.retry_at_ms:
            return False
        if (
            run.is_limited_by_workspace
            and run.job.definition.workspace in freed_workspaces
        ):
            return False
        return not self._gains_by(run, freed_workers)

    def _gains_by(
        self, run: step_run_module.StepRun, freed_workers: set[str]
    ) -> bool:
        # Whether a freed worker has room that the step may use or ask about.
        for worker_id in freed_workers:
            if run.tickets is not None and worker_id not in run.tickets:
                if worker_id in run.advised_worker_ids:
                    continue
            worker = self._state.workers.get(worker_id)
            if worker is not None and packing.slots(worker, run):
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
            self._ask(run, _worth_asking(run, candidates), now_ms)
            return
        if advice is not None and run.tickets is not None:
            candidates = [
                worker
                for worker in candidates
                if worker.worker_id in run.tickets
            ]
        candidates = _without_avoided(run, candidates, now_ms)
        headroom = self._state.usage.headroom(
            definition.workspace,
            step.reserved,
            self._state.workspace_limit(definition.workspace),
            self._unseen.get(definition.workspace, state_module.NO_NEED),
        )
        run.is_limited_by_workspace = headroom < len(run.waiting)
        count = min(len(run.waiting), headroom)
        if not count or (step.gang and count < step.count):
            self._note_wait(run, _Reason.LIMIT, len(candidates))
            return
        if advice is None:
            choice = packing.assign(run, candidates, count, self._wanted)
            self._start(run, choice, now_ms)
            if run.waiting:
                self._note_wait(run, _Reason.ROOM, len(candidates))
            return
        self._place_advised(run, candidates, count, now_ms)

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
            > now_ms + _TICKET_MARGIN_MS
        ]
        choice = packing.assign(run, valid, count, self._wanted)
        if choice:
            self._start(run, choice, now_ms)
            count -= sum(choice.values())
        if not count or run.advice_requested_ms:
            return
        if len(valid) == len(candidates):
            self._note_wait(run, _Reason.ROOM, len(candidates))
            return
        if run.step.gang:
            stale = candidates
        else:
            stale = [worker for worker in candidates if worker not in valid]
        choice = packing.assign(run, stale, count, self._wanted)
        if choice:
            self._note_wait(run, _Reason.TICKET, len(choice))
            self._reserve(run, choice, now_ms)
            self._ask(run, list(choice), now_ms)
        else:
            self._note_wait(run, _Reason.ROOM, len(candidates))

    def _note_wait(
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
        choice: packing.Assignment,
        now_ms: int,
    ) -> None:
        if not choice:
            return
        state = self._state
        self._drop_reservation(run, now_ms, always=True)
        waiting = list(run.waiting.values())
        run.started_ms = now_ms
        number = 0
        if run.step.gang:
            number = max(state.next_run(task) for task in waiting)
        for worker_id, count in choice.items():
            ticket = ''
            if run.tickets is not None:
                ticket = run.tickets[worker_id].value
            for _ in range(count):
                task = waiting.pop()
                order = orders_module.StartOrder(
                    worker_id, task, number or state.next_run(task), ticket
                )
                task.started_ms = 0
                state.occupy(
                    task,
                    state.workers[worker_id],
                    order.run,
                    _State.STARTING,
                )
                state.orders.starts.append(order)

    def _ask_about_others(
        self,
        run: step_run_module.StepRun,
        pools: dict[str, list[worker_module.Worker]],
        now_ms: int,
    ) -> None:
        # Workers that came or came back after the step was advised.
        others = [
            worker
            for worker in pools.get(run.job.definition.pool, [])
            if worker.worker_id not in run.advised_worker_ids
            and (
                not run.step.required_label
                or run.step.required_label in worker.labels
            )
        ]
        self._ask(run, _worth_asking(run, others), now_ms)

    def _ask(
        self,
        run: step_run_module.StepRun,
        worker_ids: list[str],
        now_ms: int,
    ) -> None:
        if _awaits_advice(run, now_ms) or not worker_ids:
            return
        run.advice_requested_ms = now_ms
        self._state.orders.advice.append(
            orders_module.AdviceRequest(run, worker_ids[:MAX_ADVISED])
        )

    def _reserve(
        self,
        run: step_run_module.StepRun,
        choice: packing.Assignment,
        now_ms: int,
    ) -> None:
        run.reserved_tasks = dict(choice)
        run.reserved_until_ms = now_ms + _ADVICE_TIMEOUT_MS
        for worker_id, count in choice.items():
            worker = self._state.workers[worker_id]
            worker.reserved = worker.reserved.plus(run.step.reserved, count)

    def _drop_reservation(
        self,
        run: step_run_module.StepRun,
        now_ms: int,
        *,
        always: bool = False,
    ) -> None:
        if not run.reserved_tasks:
            return
        if (
            not always
            and run.advice_requested_ms
            and now_ms < run.reserved_until_ms
        ):
            return
        self._state.release_reservation(run)


def _find_wanted(state: state_module.CellState) -> set[str]:
    # Answers steps that may run on few workers only: what else is started
    # there keeps them waiting for long, as the room comes in small parts.
    wanted: set[str] = set()
    for run in state.table.ready_steps.values():
        if run.wait_reason != _Reason.ROOM or not run.tickets:
            continue
        if run.job.is_beyond_share or len(run.tickets) > _FEW_WORKERS:
            continue
        wanted.update(run.tickets)
    return wanted


def _awaits_advice(run: step_run_module.StepRun, now_ms: int) -> bool:
    return (
        bool(run.advice_requested_ms)
        and now_ms - run.advice_requested_ms < _ADVICE_TIMEOUT_MS
    )


def _worth_asking(
    run: step_run_module.StepRun, workers: list[worker_module.Worker]
) -> list[str]:
    # A call takes longer for each worker named: those with the most room
    # come first, enough that the good ones among them hold the step twice.
    rows = sorted(
        ((packing.slots(worker, run), worker.worker_id) for worker in workers),
        key=lambda row: (-row[0], row[1]),
    )
    wanted = _SPARE_FACTOR * len(run.waiting) / _LEAST_GOOD_PART
    asked = []
    slots = 0
    for found, worker_id in rows:
        if len(asked) >= _LEAST_ADVISED and slots >= wanted:
            break
        asked.append(worker_id)
        slots += min(found, len(run.waiting))
    return asked


def apply_advice(
    run: step_run_module.StepRun,
    asked: list[str],
    tickets: dict[str, str],
    expires_ms: int,
) -> None:
    """Take in the workers that may run a step, with their tickets."""
    known = run.tickets if run.tickets is not None else {}
    run.advised_worker_ids.update(asked)
    for worker_id in asked:
        known.pop(worker_id, None)
    for worker_id, value in tickets.items():
        known[worker_id] = ticket_module.Ticket(value, expires_ms)
    run.tickets = known
    run.advice_requested_ms = 0
    run.retry_at_ms = 0


def apply_advice_failure(
    state: state_module.CellState, run: step_run_module.StepRun, retry_ms: int
) -> None:
    """Ask again later for advice that did not come."""
    run.advice_requested_ms = 0
    run.retry_at_ms = retry_ms
    state.release_reservation(run)


def _without_avoided(
    run: step_run_module.StepRun,
    workers: list[worker_module.Worker],
    now_ms: int,
) -> list[worker_module.Worker]:
    # Most failures are the task's own, so that after a while the worker of
    # the last one is as good as any other.
    patience_ms = _AVOID_FACTOR * run.step.estimate_ms
    if run.started_ms and now_ms - run.started_ms > patience_ms:
        return workers
    avoid = set()
    for task in run.waiting.values():
        avoid |= task.avoided_worker_ids
    if not avoid:
        return workers
    kept = [worker for worker in workers if worker.worker_id not in avoid]
    return kept or workers
