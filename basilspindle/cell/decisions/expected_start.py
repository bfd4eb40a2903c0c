"""Estimate when a job would start and end if it were accepted now.

The order is that of the scheduler: work of a workspace beyond its share comes
last, then priority decides. Free room goes to what is ahead of the job first,
then to the job. Running tasks free more room at a rate that follows from
their expected durations, and work that is more urgent and arrives later takes
its part of that.
"""

import enum
import math

from basilspindle.cell.decisions import backlog as backlog_module
from basilspindle.cell.decisions import pool_capacity
from basilspindle.cell.decisions import urgency
from basilspindle.cell import state as state_module
from basilspindle.workflow import definition as definition_module
from basilspindle.workflow import need as need_module
from basilspindle.workflow import step as step_module

_Phase = backlog_module.Phase
# The advice service approves at least this fraction of the workers.
_APPROVED_FRACTION = 0.3
# The work that arrives later and is more urgent takes at most all but this
# fraction of the room that becomes free: it is estimated from the latest
# seconds, and a burst ends.
_MIN_RATE_FRACTION = 0.25
# A step runs on at least this fraction of the pool, for its own room.
_MIN_PART = 0.1
# No estimate is longer; nothing of value waits for ten minutes.
_MAX_WAIT_MS = 600_000
# Callers that return by then compete with a job that is submitted now: later
# ones find the room that becomes free until then.
_NEXT_RETRY_MS = 250
# Priority that comes before those of all queues.
_BEFORE_ALL = -1


class Reason(enum.StrEnum):
    """Reason why a job can't be on time."""

    NONE = ''
    NO_WORKER = 'no_worker_fits'
    ABOVE_LIMIT = 'above_limit'
    LIMIT = 'workspace_limit'
    CAPACITY = 'capacity'


class Expectation:
    """Expected start and end of a job, and its objective.

    ``objective_ms`` counts from ``first_sent_ms``, the first time that the
    caller sent the job. ``reason`` is empty if the job is expected to be on
    time. The job would start ``delay_ms`` earlier if there was room now: a
    job also waits for advice, and room may become free meanwhile. ``room_ms``
    is when there is room for the job and for all callers of its kind that were
    refused before it. ``ahead_millicores`` waits before the job, and
    ``free_millicores`` are free now.
    """

    __slots__ = (
        'start_ms',
        'end_ms',
        'first_sent_ms',
        'objective_ms',
        'reason',
        'delay_ms',
        'room_ms',
        'ahead_millicores',
        'free_millicores',
    )

    def __init__(
        self,
        start_ms: int,
        end_ms: int,
        first_sent_ms: int,
        objective_ms: int,
        reason: Reason = Reason.NONE,
    ) -> None:
        self.start_ms = start_ms
        self.end_ms = end_ms
        self.first_sent_ms = first_sent_ms
        self.objective_ms = objective_ms
        self.reason = reason
        self.delay_ms = 0
        self.room_ms = start_ms
        self.ahead_millicores = 0
        self.free_millicores = 0

    @property
    def due_ms(self) -> int:
        """Return the time by which the job has to end to be on time."""
        return self.first_sent_ms + self.objective_ms

    @property
    def worthless_ms(self) -> int:
        """Return the time from which the result has no value."""
        return self.first_sent_ms + (
            urgency.MAX_LATENESS_FACTOR * self.objective_ms
        )


def expected_start_ms(
    state: state_module.CellState,
    definition: definition_module.JobDefinition,
    is_beyond_share: bool,
    now_ms: int,
) -> Expectation:
    """Return the expected start and end of a job; changes nothing.

    The reason of the expectation tells why the job would not be on time.
    """
    backlog = state.table.backlog
    pool = state.capacities.get(
        state.workers,
        definition.pool,
        backlog.running_in_pool(definition.pool),
        state.closed_domains,
        now_ms,
    )
    advice = state.advice_terms(definition)
    objective_ms = urgency.objective_ms(definition, advice)
    promise = state.retry_promises.get(definition.job_id)
    first_sent_ms = promise.first_sent_ms if promise else now_ms
    unservable = _unservable_reason(state, definition, pool)
    if unservable:
        end_ms = now_ms + _MAX_WAIT_MS
        return Expectation(
            end_ms, end_ms, first_sent_ms, objective_ms, unservable
        )
    is_room_known = _is_room_known(state, definition.pool, pool, now_ms)
    path_ms = _path_ms(state, definition, pool, is_room_known)
    backlog.set_kinds(
        definition.pool, pool.kinds, state.table.ready_steps.values()
    )
    queue = _Queue(state, definition, pool, is_beyond_share, now_ms)
    due_promises, all_promises = _promised_millicores(
        state, definition, queue.rank, now_ms
    )
    pool_wait_ms = queue.wait_ms(due_promises) if is_room_known else 0.0
    # While most workers have not reported to a new leader, what seems to wait
    # may be running there.
    limit_wait_ms = 0.0
    if is_room_known:
        limit_wait_ms = _limit_wait_ms(state, definition, queue.rank)
    wait_ms = max(pool_wait_ms, limit_wait_ms)
    advice_ms = _call_ms(state, definition)
    start_ms = now_ms + int(max(wait_ms, advice_ms))
    expectation = Expectation(
        start_ms,
        start_ms + int(path_ms - advice_ms),
        first_sent_ms,
        objective_ms,
    )
    expectation.delay_ms = max(0, int(wait_ms - advice_ms))
    if expectation.end_ms > expectation.due_ms:
        expectation.reason = (
            Reason.LIMIT if limit_wait_ms > pool_wait_ms else Reason.CAPACITY
        )
    room_ms = limit_wait_ms
    if is_room_known:
        room_ms = max(queue.wait_ms(all_promises), limit_wait_ms)
    expectation.room_ms = now_ms + int(room_ms)
    expectation.ahead_millicores = queue.ahead.millicores + due_promises
    expectation.free_millicores = queue.free_millicores
    return expectation


class _Queue:
    """What a job competes with for the room of its pool."""

    __slots__ = (
        'rank',
        'ahead',
        'free_millicores',
        '_next',
        '_total',
        '_rate',
        '_own',
        '_own_missing',
    )

    def __init__(
        self,
        state: state_module.CellState,
        definition: definition_module.JobDefinition,
        pool: pool_capacity.PoolCapacity,
        is_beyond_share: bool,
        now_ms: int,
    ) -> None:
        backlog = state.table.backlog
        self.rank = (is_beyond_share, definition.priority)
        ahead = _work_ahead(
            state,
            definition.pool,
            pool,
            self.rank,
            _call_ms(state, definition),
        )
        self.ahead = ahead.waiting
        self._next = ahead.takes_free_room
        self._total = pool.total_millicores
        running = backlog.running_in_pool(definition.pool)
        started = running - pool.running_millicores
        self.free_millicores = max(0, pool.free_millicores - started)
        freed = backlog.freed_in_pool(definition.pool, state.duration_factor)
        freed /= pool.slowness
        if pool.running_millicores > pool.used_millicores:
            # The rest runs on workers that take no work.
            freed *= pool.used_millicores / pool.running_millicores
        urgent = state.arrivals.millicores_per_ms(
            definition.pool, self.rank, now_ms
        )
        self._rate = max(freed - urgent, freed * _MIN_RATE_FRACTION)
        self._own = 0.0
        self._own_missing = 0.0
        share = 1.0
        if state.advice_terms(definition) is not None:
            share = _APPROVED_FRACTION
        for step in _first_steps(definition):
            label, need = step.required_label, step.reserved
            # Room outside the part where the step may run is of no use to
            # it, so that more has to become free in the whole pool.
            part = max(share * pool.part(label), _MIN_PART)
            slots = min(step.count / part, pool.empty_slots(label, need))
            missing = max(0.0, slots - pool.free_slots(label, need))
            self._own += slots * need.cpu_millicores
            self._own_missing += missing * need.cpu_millicores

    def wait_ms(self, promised_millicores: int) -> float:
        """Return the time until there is room for the job."""
        left = self.free_millicores - (
            self._next.millicores + promised_millicores
        )
        if left >= 0 and max(self._own_missing, self._own - left) <= 0:
            # What else is ahead found no use for this room.
            return 0.0
        ahead = self.ahead.millicores + promised_millicores
        free = min(self.free_millicores, ahead)
        if ahead <= self.free_millicores:
            left = self.free_millicores - ahead
            needed = max(self._own_missing, self._own - left)
        else:
            needed = ahead - self.free_millicores + self._own
        duration_ms = 0.0
        rate = self._rate
        if self.ahead.millicores:
            duration_ms = self.ahead.millicore_ms / self.ahead.millicores
            if duration_ms:
                rate += free / duration_ms
        return _drain_ms(needed, self._total, rate, duration_ms)


def _drain_ms(
    needed: float, total: float, rate: float, duration_ms: float
) -> float:
    # The tasks that run now free the cores of the pool once; after that it
    # takes as long as the work that was waiting.
    if needed <= 0 or rate <= 0:
        # Without a rate, nothing that is known to end runs.
        return 0.0
    wait_ms = min(needed, total) / rate
    wait_ms += max(0.0, needed - total) * duration_ms / total
    return min(wait_ms, _MAX_WAIT_MS)


def _work_ahead(
    state: state_module.CellState,
    name: str,
    pool: pool_capacity.PoolCapacity,
    rank: backlog_module.Rank,
    call_ms: float,
) -> pool_capacity.Ahead:
    version = state.table.backlog.version
    key = (rank, call_ms)
    cached = pool.ahead.get(key)
    if cached is not None and cached[0] == version:
        return cached[1]

    def is_ahead(queue: str, phase: _Phase) -> bool:
        # Work whose advice comes later than that of the job takes no room
        # before the job does.
        if phase is not _Phase.ADVICE:
            return True
        terms = state.queue_advice(queue)
        if terms is None:
            return True
        return terms.call_ms(urgency.WORKERS_PER_CALL) <= call_ms

    def takes_free_room(queue: str, phase: _Phase) -> bool:
        return phase is not _Phase.STUCK and is_ahead(queue, phase)

    ahead = pool_capacity.Ahead(
        _sum_within_limits(state, name, rank, is_ahead),
        _sum_within_limits(state, name, rank, takes_free_room),
    )
    pool.ahead[key] = (version, ahead)
    return ahead


def _sum_within_limits(
    state: state_module.CellState,
    pool: str,
    rank: backlog_module.Rank,
    counts: backlog_module.Counts,
) -> backlog_module.Waiting:
    total = backlog_module.Waiting()
    for workspace, amount in state.table.backlog.waiting_by_workspace(
        pool, rank, state.duration_factor, counts
    ):
        limit = state.workspace_limit(workspace)
        if limit is not None and limit.cpu_millicores:
            # What waits for the limit of its workspace takes no room.
            used = state.usage.get(workspace).cpu_millicores
            free = max(0, limit.cpu_millicores - used)
            if amount.millicores > free:
                part = free / amount.millicores
                amount = backlog_module.Waiting(
                    amount.tasks, free, amount.millicore_ms * part
                )
        total.add(amount)
    return total


def _limit_wait_ms(
    state: state_module.CellState,
    definition: definition_module.JobDefinition,
    rank: backlog_module.Rank,
) -> float:
    # Time until the limit of the workspace has room for the first steps.
    limit = state.workspace_limit(definition.workspace)
    if limit is None or not limit.cpu_millicores:
        return 0.0
    total = limit.cpu_millicores
    workspace = definition.workspace
    backlog = state.table.backlog
    ahead = backlog.waiting_in_workspace(
        workspace, rank, state.duration_factor
    )
    used = state.usage.get(workspace).cpu_millicores
    # Negative after a limit was lowered below what runs.
    free = total - used
    own = sum(
        step.count * step.reserved.cpu_millicores
        for step in _first_steps(definition)
    )
    needed = ahead.millicores + min(own, total) - free
    duration_ms = 0.0
    rate = backlog.freed_in_workspace(workspace, state.duration_factor)
    if ahead.millicores:
        duration_ms = ahead.millicore_ms / ahead.millicores
        if duration_ms:
            rate += max(0, min(free, ahead.millicores)) / duration_ms
    return _drain_ms(needed, max(total, used), rate, duration_ms)


def _promised_millicores(
    state: state_module.CellState,
    definition: definition_module.JobDefinition,
    rank: backlog_module.Rank,
    now_ms: int,
) -> tuple[int, int]:
    # Cores of callers that are ahead: those about to return, and all. A
    # caller that returns when it was told to is ahead of others of its kind.
    # Beyond the share of their workspace, callers that return are late for
    # the most part, and no room is kept for them.
    promises = state.retry_promises
    own = promises.get(definition.job_id)
    is_due = own is not None and own.is_due(now_ms)
    pool = definition.pool
    is_beyond_share, _ = rank
    last_kept = (True, _BEFORE_ALL) if is_beyond_share else rank
    soon = promises.millicores_until(
        pool, last_kept, now_ms + _NEXT_RETRY_MS, is_last_included=not is_due
    )
    total = promises.millicores_until(pool, rank, is_last_included=not is_due)
    # A caller that comes back late has ranked before its present rank.
    if own is not None and _is_included(own.rank, rank, is_due):
        total -= own.millicores
    if own is not None and _is_included(own.rank, last_kept, is_due):
        if own.return_ms <= now_ms + _NEXT_RETRY_MS:
            soon -= own.millicores
    return max(0, soon), max(0, total)


def _is_included(
    rank: backlog_module.Rank, last: backlog_module.Rank, is_due: bool
) -> bool:
    return rank < last or (rank == last and not is_due)


def _unservable_reason(
    state: state_module.CellState,
    definition: definition_module.JobDefinition,
    pool: pool_capacity.PoolCapacity,
) -> Reason:
    limit = state.workspace_limit(definition.workspace)
    for step in definition.steps:
        count = step.count if step.gang else 1
        if (
            pool.known
            and not state.awaited_workers.any(pool.made_ms)
            and not pool.can_ever_hold(step)
        ):
            return Reason.NO_WORKER
        if step.gang and limit is not None and count > 1:
            whole = need_module.Need().plus(step.reserved, count)
            if not _is_within(whole, limit):
                return Reason.ABOVE_LIMIT
    return Reason.NONE


def _is_room_known(
    state: state_module.CellState,
    name: str,
    pool: pool_capacity.PoolCapacity,
    now_ms: int,
) -> bool:
    # Right after a change of leader, most workers have not reported yet. What
    # is ahead may be running there, and they will take most of the work.
    if not pool.total_millicores:
        return False
    awaited = state.awaited_workers
    if not awaited.any(now_ms):
        return True
    awaited_millicores = sum(
        worker.capacity.cpu_millicores
        for worker_id in awaited
        if (worker := state.workers.get(worker_id)) is not None
        and worker.pool == name
        and awaited.awaits(worker_id, now_ms)
    )
    return awaited_millicores <= pool.total_millicores


def _is_within(need: need_module.Need, limit: need_module.Need) -> bool:
    # Amounts of 0 in the limit are unlimited.
    return (
        need.cpu_millicores <= (limit.cpu_millicores or need.cpu_millicores)
        and need.memory_mb <= (limit.memory_mb or need.memory_mb)
        and need.accelerators <= (limit.accelerators or need.accelerators)
    )


def _path_ms(
    state: state_module.CellState,
    definition: definition_module.JobDefinition,
    pool: pool_capacity.PoolCapacity,
    is_room_known: bool,
) -> float:
    # Expected time of the longest chain of steps. A step that is wider than
    # what it may use at once takes several times as long as a task of it.
    call_ms = _call_ms(state, definition)
    limit = state.workspace_limit(definition.workspace)
    factor = state.duration_factor(definition.queue) * pool.slowness
    ends_ms: list[float] = []
    for step in definition.steps:
        start_ms = max((ends_ms[index] for index in step.after), default=0.0)
        width = 0.0
        if is_room_known:
            width = pool.total_millicores * pool.part(step.required_label)
        if limit is not None and limit.cpu_millicores:
            width = min(width or limit.cpu_millicores, limit.cpu_millicores)
        rounds = 1
        millicores = step.count * step.reserved.cpu_millicores
        if width and not step.gang:
            rounds = max(1, math.ceil(millicores / width))
        ends_ms.append(start_ms + step.estimate_ms * factor * rounds + call_ms)
    return max(ends_ms, default=0.0)


def _call_ms(
    state: state_module.CellState, definition: definition_module.JobDefinition
) -> float:
    advice = state.advice_terms(definition)
    return advice.call_ms(urgency.WORKERS_PER_CALL) if advice else 0.0


def _first_steps(
    definition: definition_module.JobDefinition,
) -> list[step_module.Step]:
    return [step for step in definition.steps if not step.after]
