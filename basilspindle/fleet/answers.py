"""Decode the answers of a worker, entry by entry if necessary.

An entry that cannot be decoded must not hide the others: a worker repeats it
in each answer.
"""

import typing

import msgspec

from basilspindle import decoding
from basilspindle.fleet import amounts
from basilspindle.fleet import ended_task
from basilspindle.fleet import event_page
from basilspindle.fleet import task_spec
from basilspindle.fleet import worker_event
from basilspindle.fleet import worker_inventory
from basilspindle import json_parts

_T = typing.TypeVar('_T')
# docs/design.md; the log refuses records that are far larger.
_MAX_RESULT_BYTES = 65_536
_MAX_ERROR_CHARS = 4_000
_RESULT_UNREADABLE = 'the result of the task cannot be decoded'
_OUTCOME_UNREADABLE = 'the worker reported no outcome that is known here'


class _Page(msgspec.Struct):
    incarnation: str
    epoch: decoding.Count
    next: decoding.Count
    events: list[worker_event.WorkerEvent] = []
    usage: dict[str, amounts.Amounts] = {}


class _Inventory(msgspec.Struct):
    incarnation: str
    epoch: decoding.Count
    next: decoding.Count
    running: list[task_spec.TaskSpec]
    ended: list[ended_task.EndedTask]


_PAGE_DECODER = msgspec.json.Decoder(_Page)
_INVENTORY_DECODER = msgspec.json.Decoder(_Inventory)


def decode_page(data: bytes) -> tuple[event_page.EventPage, str]:
    """Return an event page and the fault of an entry, '' if there is none.

    Raises one of ``decoding.FAULTS`` if no page can be made of the answer.
    """
    try:
        page = _PAGE_DECODER.decode(data)
    except decoding.FAULTS as fault:
        return _decode_page_parts(data), str(fault)
    return (
        event_page.EventPage(
            incarnation=page.incarnation,
            epoch=page.epoch,
            next=page.next,
            events=page.events,
            usage=page.usage,
        ),
        '',
    )


def decode_inventory(
    data: bytes,
) -> tuple[worker_inventory.WorkerInventory, str]:
    """Return an inventory and the fault of an entry, '' if there is none.

    Raises one of ``decoding.FAULTS`` if no inventory can be made of the
    answer.
    """
    try:
        inventory = _INVENTORY_DECODER.decode(data)
    except decoding.FAULTS as fault:
        return _decode_inventory_parts(data), str(fault)
    return (
        worker_inventory.WorkerInventory(
            incarnation=inventory.incarnation,
            epoch=inventory.epoch,
            next=inventory.next,
            running=inventory.running,
            ended=inventory.ended,
        ),
        '',
    )


def check_end(event: worker_event.WorkerEvent) -> worker_event.WorkerEvent:
    """Return an end whose result and error can be recorded and shown.

    A result that is too large, or whose text cannot be decoded, would make
    the answer about its whole job unreadable, or the record of its end too
    large for the log: its task counts as failed.
    """
    fault = ''
    size = len(bytes(event.result))
    if size > _MAX_RESULT_BYTES:
        fault = (
            f'the result of the task has {size} bytes; the most is '
            f'{_MAX_RESULT_BYTES}'
        )
    elif not _is_text(bytes(event.result)):
        fault = _RESULT_UNREADABLE
    if not fault:
        return msgspec.structs.replace(
            event, error=event.error[:_MAX_ERROR_CHARS]
        )
    outcome = event.outcome
    if outcome is worker_event.Outcome.SUCCEEDED:
        outcome = worker_event.Outcome.FAILED
    return msgspec.structs.replace(
        event, outcome=outcome, result=msgspec.Raw(b''), error=fault
    )


def _is_text(data: bytes) -> bool:
    try:
        data.decode()
    except UnicodeDecodeError:
        return False
    return True


def _decode_page_parts(data: bytes) -> event_page.EventPage:
    parts = json_parts.split_object(data)
    parts.setdefault('events', b'[]')
    events = [_decode_event(raw) for raw in _split_rows(parts, 'events')]
    raw_usage = _split_or_empty(parts.get('usage', b'{}'))
    usage = {
        task_id: _find(raw_usage, task_id, amounts.Amounts, None)
        for task_id in raw_usage
    }
    return event_page.EventPage(
        incarnation=msgspec.json.decode(
            parts.get('incarnation', b''), type=str
        ),
        epoch=_find(parts, 'epoch', decoding.Count, 0),
        next=_find(parts, 'next', decoding.Count, 0),
        events=[event for event in events if event is not None],
        usage={
            task_id: used
            for task_id, used in usage.items()
            if used is not None
        },
        complete=None not in events,
    )


def _decode_inventory_parts(data: bytes) -> worker_inventory.WorkerInventory:
    parts = json_parts.split_object(data)
    running = [_decode_spec(raw) for raw in _split_rows(parts, 'running')]
    ended = [_decode_ended(raw) for raw in _split_rows(parts, 'ended')]
    specs = [spec for spec in running if isinstance(spec, task_spec.TaskSpec)]
    return worker_inventory.WorkerInventory(
        incarnation=msgspec.json.decode(
            parts.get('incarnation', b''), type=str
        ),
        epoch=msgspec.json.decode(
            parts.get('epoch', b''), type=decoding.Count
        ),
        next=_find(parts, 'next', decoding.Count, 0),
        running=specs,
        ended=[entry for entry in ended if entry is not None],
        other_running=frozenset(
            key for key in running if isinstance(key, tuple)
        ),
        lists_all_running=None not in running,
        lists_all_ended=None not in ended,
    )


def _split_rows(parts: dict[str, bytes], name: str) -> list[bytes]:
    try:
        return json_parts.split_list(parts.get(name, b''))
    except ValueError:
        # One row that cannot be decoded stands for the list.
        return [b'']


def _split_or_empty(raw: bytes) -> dict[str, bytes]:
    try:
        return json_parts.split_object(raw)
    except ValueError:
        # The caller logs the fault.
        return {}


def _find(
    parts: dict[str, bytes], name: str, kind: typing.Any, default: _T
) -> _T:
    """Return a member, or the default if it cannot be decoded."""
    raw = parts.get(name)
    if raw is None:
        return default
    try:
        return msgspec.json.decode(raw, type=kind)
    except decoding.FAULTS:
        # The caller logs the fault.
        return default


def _find_key(parts: dict[str, bytes]) -> tuple[str, int] | None:
    task_id = _find(parts, 'task_id', str, '')
    attempt = _find(parts, 'attempt', decoding.Count, -1)
    return (task_id, attempt) if task_id and attempt >= 0 else None


def _decode_event(raw: bytes) -> worker_event.WorkerEvent | None:
    """Return an end, None if the attempt that has ended is not known."""
    parts = _split_or_empty(raw)
    key = _find_key(parts)
    if key is None:
        return None
    outcome = _find(
        parts, 'outcome', worker_event.Outcome, worker_event.Outcome.UNKNOWN
    )
    error = _find(parts, 'error', str, '')
    result = _find(parts, 'result', msgspec.Raw, msgspec.Raw(b''))
    if outcome is worker_event.Outcome.UNKNOWN:
        error = error or _OUTCOME_UNREADABLE
    elif 'result' in parts and not bytes(result):
        # Such as one that is nested too deeply: its caller must not take the
        # absence of a result for the result.
        if outcome is worker_event.Outcome.SUCCEEDED:
            outcome = worker_event.Outcome.FAILED
        error = error or _RESULT_UNREADABLE
    return worker_event.WorkerEvent(
        seq=_find(parts, 'seq', decoding.Count, 0),
        task_id=key[0],
        attempt=key[1],
        outcome=outcome,
        result=result,
        error=error,
        run_time_ms=_find(parts, 'run_time_ms', decoding.Count, 0),
    )


def _decode_spec(
    raw: bytes,
) -> task_spec.TaskSpec | tuple[str, int] | None:
    """Return a task, or only its key, or None if neither is known.

    Its job, workspace and partition are those that its owner needs.
    """
    try:
        return msgspec.json.decode(raw, type=task_spec.TaskSpec)
    except decoding.FAULTS:
        # The caller logs the fault.
        parts = _split_or_empty(raw)
    key = _find_key(parts)
    job_id = _find(parts, 'job_id', str, '')
    index = _find(parts, 'index', decoding.Count, -1)
    workspace = _find(parts, 'workspace', str, '')
    partition = _find(parts, 'partition', decoding.Count, -1)
    if key is None or not (job_id and workspace) or min(index, partition) < 0:
        return key
    return task_spec.TaskSpec(
        task_id=key[0],
        attempt=key[1],
        job_id=job_id,
        index=index,
        workspace=workspace,
        kind=_find(parts, 'kind', str, ''),
        partition=partition,
        resources=_find(
            parts, 'resources', amounts.Amounts, amounts.Amounts()
        ),
        run_time_ms=_find(parts, 'run_time_ms', decoding.Count, 0),
        # A task that may not be repeated must not be.
        idempotent=_find(parts, 'idempotent', bool, False),
        service=_find(parts, 'service', bool, False),
    )


def _decode_ended(raw: bytes) -> ended_task.EndedTask | None:
    parts = _split_or_empty(raw)
    spec = _decode_spec(parts.get('task', b''))
    end = _decode_event(parts.get('end', b''))
    if not isinstance(spec, task_spec.TaskSpec) or end is None:
        return None
    return ended_task.EndedTask(task=spec, end=end)
