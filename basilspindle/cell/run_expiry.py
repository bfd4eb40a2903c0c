"""Tell until when a run may go on at a worker that is silent.

A worker may have started again under its id without having reported. Only a
start that its present life has not listed, or an attempt that got no answer,
can have been taken by such a life; other runs end with the known lease.
"""

from basilspindle.cell import lease_clock
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import task as task_module


def expiry_ms(
    task: task_module.Task,
    worker: worker_module.Worker,
    lease: lease_clock.LeaseClock,
    lease_sent_ms: int,
    max_lease_ms: int,
) -> int:
    """Return when a run has certainly ended unless its worker answers.

    ``lease_sent_ms`` is when the latest order with a deadline was sent.
    """
    known_ms = lease.expiry_ms() or 0
    # A life that knows another clock may take each order as its longest
    # lease.
    longest_ms = lease_clock.duration_ms(max_lease_ms)
    unheard_ms = lease_sent_ms + lease_clock.LATE_ORDER_MS + longest_ms
    if task.unanswered_start_ms:
        return max(known_ms, unheard_ms)
    if not task.answered_ms or _is_listed(task, worker):
        return known_ms
    if task.answered_clock_ms is None:
        # The answer does not tell which life has given it.
        return max(known_ms, unheard_ms)
    # The clock of the life that answered tells how it reads the deadlines.
    answered_ms = lease.expiry_on_ms(task.answered_clock_ms, task.answered_ms)
    return max(known_ms, min(answered_ms, unheard_ms))


def may_be_at_unknown_life(
    task: task_module.Task, worker: worker_module.Worker
) -> bool:
    """Tell whether a life that has not reported may have taken a start."""
    return bool(task.unanswered_start_ms) or (
        bool(task.answered_ms) and not _is_listed(task, worker)
    )


def _is_listed(task: task_module.Task, worker: worker_module.Worker) -> bool:
    return task.listed_born_wall_ms == worker.born_wall_ms
