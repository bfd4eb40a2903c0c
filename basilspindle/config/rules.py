"""Check what the members of a merged configuration say of each other.

The rules read the raw document, so that one fault of shape hides no other.
"""

import collections.abc
import typing

import msgspec

from basilspindle.config import document as document_module
from basilspindle.config import timing as timing_module
from basilspindle import document

Object = dict[str, typing.Any]
_Steps = tuple[str | int, ...]
# 5% for the drift of the clocks of two machines.
_DRIFT_PERCENT = 105


class Breach(msgspec.Struct, frozen=True):
    """A rule broken at a path, with the remedy."""

    steps: _Steps
    fault: str
    remedy: str


_Breaches = collections.abc.Iterator[Breach]


def check(merged: Object) -> list[Breach]:
    """Return every broken rule of a merged document."""
    return [breach for rule in _RULES for breach in rule(merged)]


def check_fixed(
    merged: Object, current: document_module.Document
) -> list[Breach]:
    """Return a breach for each changed member that must never change."""
    return [
        Breach(
            (name,),
            f'it is {getattr(current, name)!r} in the configuration in '
            'force and cannot be changed',
            f'set it back to {getattr(current, name)!r}',
        )
        for name in _FIXED
        if merged.get(name, _FIXED[name]) != getattr(current, name)
    ]


def _check_regions(merged: Object) -> _Breaches:
    regions = merged.get('regions')
    if isinstance(regions, list) and not regions:
        yield Breach(
            ('regions',), 'no region is listed', 'list at least one region'
        )
    yield from _duplicates(('regions',), regions)


def _check_patterns(merged: Object) -> _Breaches:
    fields = {
        field.encode_name
        for field in msgspec.structs.fields(document_module.Document)
    }
    for index, pattern in _items(merged.get('overlay_may_set')):
        steps = ('overlay_may_set', index)
        try:
            path = document.split_pointer(pattern)
        except ValueError as error:
            yield Breach(
                steps, str(error), 'write it as "/workspaces/*/share"'
            )
            continue
        if not path or path[0] not in fields - {'overlay_may_set'}:
            yield Breach(
                steps,
                f'"{pattern}" does not start with a field of the document',
                'start it with one of: '
                + ', '.join(sorted(fields - {'overlay_may_set'})),
            )


def _check_workspaces(merged: Object) -> _Breaches:
    kinds = _members(merged, 'kinds')
    for name, workspace in _members(merged, 'workspaces').items():
        steps = ('workspaces', name, 'kinds')
        yield from _unknown(steps, _get(workspace, 'kinds'), kinds, 'kind')
        yield from _duplicates(steps, _get(workspace, 'kinds'))


def _check_keys(merged: Object) -> _Breaches:
    workspaces = _members(merged, 'workspaces')
    for key_id, key in _members(merged, 'keys').items():
        steps = ('keys', key_id, 'workspace')
        role, workspace = _get(key, 'role'), _get(key, 'workspace')
        if role == 'operator' and workspace is not None:
            yield Breach(
                steps,
                'an operator key has no workspace',
                'remove the workspace, or set the role to caller',
            )
        elif role == 'caller' and workspace is None:
            yield Breach(
                steps,
                'a caller key needs a workspace',
                'set it to a name under /workspaces',
            )
        elif isinstance(workspace, str) and workspace not in workspaces:
            yield _missing(steps, 'workspace', workspace)
    yield from _check_hashes(merged)


def _check_hashes(merged: Object) -> _Breaches:
    owners: dict[str, str] = {}
    for key_id, key in _members(merged, 'keys').items():
        sha256 = _get(key, 'sha256')
        if not isinstance(sha256, str):
            continue
        owner = owners.setdefault(sha256, key_id)
        if owner != key_id:
            yield Breach(
                ('keys', key_id, 'sha256'),
                f'the same hash as that of key "{owner}"',
                'generate a key for each id with "basilspindle key generate"',
            )


def _check_queues(merged: Object) -> _Breaches:
    workspaces = _members(merged, 'workspaces')
    for name, queue in _members(merged, 'queues').items():
        workspace = _get(queue, 'workspace')
        steps = ('queues', name, 'workspace')
        if workspace is None and _get(queue, 'open') is True:
            yield Breach(
                steps,
                'an open queue needs a workspace',
                'set it to the name under /workspaces that its work '
                'counts for',
            )
        elif isinstance(workspace, str) and workspace not in workspaces:
            yield _missing(steps, 'workspace', workspace)
        yield from _check_queue_kinds(merged, name, queue)


def _check_queue_kinds(
    merged: Object, name: str, queue: typing.Any
) -> _Breaches:
    steps = ('queues', name, 'kinds')
    kinds = _get(queue, 'kinds')
    known = _members(merged, 'kinds')
    yield from _unknown(steps, kinds, known, 'kind')
    yield from _duplicates(steps, kinds)
    workspace = _get(queue, 'workspace')
    workspaces = _members(merged, 'workspaces')
    if not isinstance(workspace, str) or workspace not in workspaces:
        return
    granted = {
        kind for _, kind in _items(_get(workspaces[workspace], 'kinds'))
    }
    for index, kind in _items(kinds):
        if kind in known and kind not in granted:
            yield Breach(
                (*steps, index),
                f'workspace "{workspace}" of the queue does not have '
                f'kind "{kind}"',
                f'add it to /workspaces/{workspace}/kinds or remove it here',
            )


def _check_kinds(merged: Object) -> _Breaches:
    for name, kind in _members(merged, 'kinds').items():
        if _get(kind, 'service') is True and _get(kind, 'gang') is True:
            yield Breach(
                ('kinds', name, 'gang'),
                'a service is not a gang',
                'set gang or service to false',
            )


def _check_workers(merged: Object) -> _Breaches:
    drained = _get(merged.get('workers'), 'drained')
    yield from _duplicates(('workers', 'drained'), drained)


def _check_timing(merged: Object) -> _Breaches:
    timing = _times(merged.get('timing'))
    for short, long, reason in _ORDERS:
        if timing[short] >= timing[long]:
            yield Breach(
                ('timing', short),
                f'{timing[short]} is not less than {long}, '
                f'{timing[long]}: {reason}',
                f'lower {short} or raise {long}',
            )
    yield from _check_sums(timing)


def _check_sums(timing: dict[str, int]) -> _Breaches:
    silence = timing['worker_poll_ms'] + timing['silent_ms']
    if silence >= timing['worker_lease_ms']:
        yield Breach(
            ('timing', 'worker_lease_ms'),
            f'not more than worker_poll_ms + silent_ms, {silence}: a silent '
            'connection would cost the lease',
            f'raise it above {silence}',
        )
    if 2 * timing['config_poll_ms'] >= timing['config_max_age_ms']:
        yield Breach(
            ('timing', 'config_max_age_ms'),
            'not more than twice config_poll_ms: the configuration would be '
            'stale between two reads',
            f'raise it above {2 * timing["config_poll_ms"]}',
        )
    change = _change_of_holder_ms(timing)
    if change >= timing['task_lease_ms']:
        yield Breach(
            ('timing', 'task_lease_ms'),
            'not longer than a change of holder, suspect_ms + '
            f'(assurance_ms + worker_lease_ms) * 1.05 = {change}',
            f'raise it above {change}',
        )


def _change_of_holder_ms(timing: dict[str, int]) -> int:
    wait_ms = timing['assurance_ms'] + timing['worker_lease_ms']
    return timing['suspect_ms'] + wait_ms * _DRIFT_PERCENT // 100


def _times(value: typing.Any) -> dict[str, int]:
    # A time of a wrong type is reported by its shape; the default stands in.
    times = msgspec.structs.asdict(timing_module.Timing())
    if isinstance(value, dict):
        for name in times:
            if type(value.get(name)) is int:
                times[name] = value[name]
    return times


def _members(merged: Object, name: str) -> Object:
    value = merged.get(name)
    return value if isinstance(value, dict) else {}


def _get(value: typing.Any, name: str) -> typing.Any:
    return value.get(name) if isinstance(value, dict) else None


def _items(value: typing.Any) -> list[tuple[int, str]]:
    if not isinstance(value, list):
        return []
    return [
        (index, item)
        for index, item in enumerate(value)
        if isinstance(item, str)
    ]


def _unknown(
    steps: _Steps, names: typing.Any, known: Object, noun: str
) -> _Breaches:
    for index, name in _items(names):
        if name not in known:
            yield _missing((*steps, index), noun, name)


def _missing(steps: _Steps, noun: str, name: str) -> Breach:
    return Breach(
        steps,
        f'{noun} "{name}" does not exist',
        f'add it under /{noun}s or correct the name',
    )


def _duplicates(steps: _Steps, names: typing.Any) -> _Breaches:
    seen: set[str] = set()
    for index, name in _items(names):
        if name in seen:
            yield Breach(
                (*steps, index), f'"{name}" is listed twice', 'remove one'
            )
        seen.add(name)


# Members that must not change, with their defaults. Jobs and streams are
# found by the number of partitions, workers and peers by the cell.
_FIXED = {'cell': '', 'partitions': 12}
_ORDERS = (
    ('heartbeat_ms', 'suspect_ms', 'every member would be suspect'),
    ('heartbeat_ms', 'assurance_ms', 'peers could not assure an owner'),
    (
        'heartbeat_ms',
        'config_max_age_ms',
        'peers could not assure the configuration',
    ),
    ('linger_ms', 'assurance_ms', 'an append would outlast the assurance'),
    ('worker_poll_ms', 'worker_lease_ms', 'the poll renews the lease'),
    (
        'worker_lease_ms',
        'task_lease_ms',
        'tasks would stop before their holder is replaced',
    ),
    (
        'request_max_ms',
        'stop_ms',
        'a planned stop would cut off waiting requests',
    ),
)
_RULES: tuple[collections.abc.Callable[[Object], _Breaches], ...] = (
    _check_regions,
    _check_patterns,
    _check_workspaces,
    _check_keys,
    _check_queues,
    _check_kinds,
    _check_workers,
    _check_timing,
)
