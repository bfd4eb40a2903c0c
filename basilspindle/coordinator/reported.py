"""Check what other daemons report of tasks."""

import msgspec

from basilspindle import decoding
from basilspindle import model

_END_STATES = frozenset(
    {
        model.State.SUCCEEDED,
        model.State.FAILED,
        model.State.CANCELLED,
        model.State.QUEUED,
        model.State.UNKNOWN,
    }
)


def check_end(end: model.TaskEnd) -> str:
    """Return why no attempt can have ended as reported; '' if it can."""
    if end.state not in _END_STATES:
        return f'an attempt does not end in state {end.state.value}'
    return ''


def check_running(task: model.RunningTask) -> str:
    """Return why no task can run as reported; '' if it can."""
    if not 0 <= task.worker_epoch <= decoding.MAX_INTEGER:
        return 'the epoch of the worker is out of range'
    return check_resources(task.resources)


def clear_odd_values(task: model.RunningTask) -> model.RunningTask:
    """Return the task with 0 for each value that no task can have."""
    changes: dict[str, object] = {}
    if not 0 <= task.worker_epoch <= decoding.MAX_INTEGER:
        changes['worker_epoch'] = 0
    if not task.resources.in_range:
        changes['resources'] = model.Resources()
    return msgspec.structs.replace(task, **changes)


def check_resources(resources: model.Resources) -> str:
    """Return what is wrong with the amounts of a task; '' if nothing."""
    return '' if resources.in_range else 'an amount is out of range'
