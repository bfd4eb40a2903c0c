"""Tell what would be decided about a job if it were submitted now.

Nothing is changed: admission decides on a copy of what it updates and caches,
and the workers are only read.
"""

import collections.abc
import math
import typing

from basilspindle.cell.decisions import admission
from basilspindle.cell.decisions import expected_start
from basilspindle.cell.decisions import urgency
from basilspindle.cell.decisions import worker_fit
from basilspindle.cell import state as state_module
from basilspindle.workflow import definition as definition_module
from basilspindle.workflow import need as need_module

# Steps that are compared with all workers, the first ones: the
# leader does nothing else meanwhile.
MAX_STEPS = 4
STORE_SILENT = 'store_silent'
_ADVICE_NOT_ASKED = 'not_asked'
_NO_ADVICE = 'none'

# Tells how many more tasks of a need a workspace may start.
Headroom = collections.abc.Callable[[str, need_module.Need], int]


def describe(
    state: state_module.CellState,
    definition: definition_module.JobDefinition,
    headroom: Headroom,
    is_store_silent: bool,
    now_ms: int,
) -> dict[str, typing.Any]:
    """Return the answer for a job of a new caller, with times from now.

    It names the workspace of the job and totals of the pool, and no other
    workspace or job.
    """
    view = state.copy_for_admission()
    is_beyond_share = admission.is_beyond_share(view, definition, now_ms)
    view.retry_promises.expire(now_ms)
    assessment = admission.assess(view, definition, is_beyond_share, now_ms)
    expectation = assessment.expectation
    reason: str = assessment.reason or ''
    retry_ms = assessment.retry_ms
    status = 429 if reason else 200
    if is_store_silent:
        objective_ms = urgency.objective_ms(
            definition, view.advice_terms(definition)
        )
        reason, status = STORE_SILENT, 503
        retry_ms = admission.outage_retry_ms(objective_ms)
    steps = definition.steps[:MAX_STEPS]
    return {
        'accepted': not reason,
        'status': status,
        'reason': reason,
        'retry_after_s': max(1, math.ceil(retry_ms / 1000)) if reason else 0,
        'workspace': _describe_workspace(view, definition.workspace),
        'queue': definition.queue,
        'pool': definition.pool,
        'order': _describe_order(
            view, definition, is_beyond_share, expectation
        ),
        'expected': _describe_expectation(expectation, now_ms),
        'advice': (
            _ADVICE_NOT_ASKED if view.advice_terms(definition) else _NO_ADVICE
        ),
        'steps': [
            _describe_step(view, definition, index, headroom, now_ms)
            for index in range(len(steps))
        ],
        'steps_omitted': len(definition.steps) - len(steps),
    }


def _describe_workspace(
    state: state_module.CellState, name: str
) -> dict[str, typing.Any]:
    limit = state.workspace_limit(name)
    waiting = state.table.backlog.waiting_in_workspace(
        name, None, state.duration_factor
    )
    return {
        'name': name,
        'limit_millicores': limit.cpu_millicores if limit else 0,
        'used_millicores': state.usage.get(name).cpu_millicores,
        'waiting_tasks': waiting.tasks,
        'waiting_millicores': waiting.millicores,
    }


def _describe_order(
    state: state_module.CellState,
    definition: definition_module.JobDefinition,
    is_beyond_share: bool,
    expectation: expected_start.Expectation | None,
) -> dict[str, typing.Any]:
    pool = definition.pool
    rank = (is_beyond_share, definition.priority)
    backlog = state.table.backlog
    ahead = backlog.waiting_in_pool(pool, rank, state.duration_factor)
    waiting = backlog.waiting_in_pool(pool, None, state.duration_factor)
    fields = {
        'beyond_share': is_beyond_share,
        'priority': definition.priority,
        'waiting_tasks_up_to_rank': ahead.tasks,
        'waiting_tasks': waiting.tasks,
        'waiting_millicores': waiting.millicores,
        'running_millicores': backlog.running_in_pool(pool),
    }
    if expectation is not None:
        fields['ahead_millicores'] = expectation.ahead_millicores
        fields['free_millicores'] = expectation.free_millicores
        fields['lateness'] = _lateness(expectation)
    return fields


def _lateness(expectation: expected_start.Expectation) -> str:
    if expectation.end_ms <= expectation.due_ms:
        return 'on_time'
    if expectation.end_ms <= expectation.worthless_ms:
        return 'late'
    return 'no_value_left'


def _describe_expectation(
    expectation: expected_start.Expectation | None, now_ms: int
) -> dict[str, typing.Any] | None:
    if expectation is None:
        return None
    return {
        'start_in_ms': expectation.start_ms - now_ms,
        'end_in_ms': expectation.end_ms - now_ms,
        'due_in_ms': expectation.due_ms - now_ms,
        'worthless_in_ms': expectation.worthless_ms - now_ms,
        'room_in_ms': expectation.room_ms - now_ms,
        'delay_ms': expectation.delay_ms,
        'late_because': expectation.reason,
    }


def _describe_step(
    state: state_module.CellState,
    definition: definition_module.JobDefinition,
    index: int,
    headroom: Headroom,
    now_ms: int,
) -> dict[str, typing.Any]:
    step = definition.steps[index]
    left = headroom(definition.workspace, step.reserved)
    fit = worker_fit.count_workers(state, definition, index, left, now_ms)
    return {
        'step': index,
        'tasks': step.count,
        'gang': step.gang,
        'after': step.after,
        'workers': fit.workers,
        'task_slots': fit.task_slots,
        'start_now': fit.start_now,
        'not_taken': {
            reason: count for reason, count in fit.obstacles.items() if count
        },
        'fastest_class': _describe_class(fit.fastest),
        'slowest_class': _describe_class(fit.slowest),
        'worker_ids': fit.worker_ids,
    }


def _describe_class(
    speed_class: worker_fit.SpeedClass | None,
) -> dict[str, typing.Any] | None:
    if speed_class is None:
        return None
    return {
        'class': speed_class.number,
        'slowness': round(speed_class.slowness, 2),
    }
