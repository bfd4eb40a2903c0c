"""Apply the outcomes of start and stop orders."""

from basilspindle.cell import orders as orders_module
from basilspindle.cell import start_outcome
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import task_state

_Outcome = start_outcome.StartOutcome
_State = task_state.TaskState
# A worker that refused a start or did not answer gets none for this long.
_REFUSAL_BACKOFF_MS = 300
# The pause doubles with each start that is not answered, up to this, and is
# shorter again after successful runs.
_MAX_BACKOFF_MS = 1_200
# With RUN_TOO_LOW the worker has seen this run or a later one before. A start
# whose answer was lost may even have ended, which the next report shows.
_RESOLVED_BY_REPORT = frozenset({_Outcome.RUNS, _Outcome.RUN_TOO_LOW})
_NEVER_STARTED = frozenset(
    {
        _Outcome.DEADLINE_PASSED,
        _Outcome.NO_ROOM,
        _Outcome.TICKET_REFUSED,
        _Outcome.UNHEALTHY,
        _Outcome.WORKER_REPLACED,
        _Outcome.NOT_SENT,
        _Outcome.INVALID,
        _Outcome.FENCED,
    }
)


def apply_outcome(
    state: state_module.CellState,
    order: orders_module.StartOrder,
    outcome: start_outcome.StartOutcome,
    now_ms: int,
) -> None:
    """Apply the outcome of a start order to its task and worker."""
    task = order.task
    if task.run != order.run or task.worker_id != order.worker_id:
        return
    worker = state.workers.get(order.worker_id)
    if outcome in _RESOLVED_BY_REPORT:
        if worker is not None:
            worker.record_success()
        if task.state is _State.STARTING:
            task.state = _State.RUNNING
        if task.state is _State.RUNNING:
            task.started_ms = now_ms
        return
    run = task.step_run
    if outcome is _Outcome.UNKNOWN:
        # The start may still be carried out; a stop prevents that.
        if task.state is _State.STARTING:
            state.request_stop(task)
        if run.step.gang:
            state.stop_gang(run)
        if worker is not None:
            worker.record_unanswered_start()
            doublings = max(0, round(worker.failure_score) - 1)
            pause_ms = _REFUSAL_BACKOFF_MS << min(doublings, 8)
            _back_off(worker, now_ms, min(pause_ms, _MAX_BACKOFF_MS))
        return
    if outcome not in _NEVER_STARTED:
        return
    if outcome is _Outcome.TICKET_REFUSED and run.tickets is not None:
        ticket = run.tickets.get(order.worker_id)
        if ticket is not None:
            ticket.expires_ms = 0
    elif worker is not None:
        _back_off(worker, now_ms, _REFUSAL_BACKOFF_MS)
    # The run was never started, but its number is not reused.
    task.ended_run = max(task.ended_run, order.run)
    state.release(task)
    if run.step.gang:
        state.stop_gang(run)


def _back_off(
    worker: worker_module.Worker, now_ms: int, pause_ms: int
) -> None:
    # It may get no tasks for longer, for another reason.
    worker.suspect_until_ms = max(worker.suspect_until_ms, now_ms + pause_ms)


def apply_stop_ack(
    state: state_module.CellState,
    order: orders_module.StopOrder,
    now_ms: int,
) -> None:
    """Record that a worker has acknowledged a stop order."""
    worker = state.workers.get(order.worker_id)
    if worker is None:
        return
    task = worker.tasks.get(order.name)
    if task is not None and task.run == order.run:
        task.started_ms = now_ms
