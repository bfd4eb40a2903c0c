"""Check the rules between members of a merged configuration.

The rules read the decoded JSON and skip values of a wrong type, so that a
fault of type does not hide other faults.
"""

import collections.abc
import typing

import msgspec

from basilspindle.config import document as document_module
from basilspindle.config import timing as timing_module
from basilspindle import document

JsonObject = dict[str, typing.Any]
_Steps = tuple[str | int, ...]
# 105% allows for 5% drift between the clocks of two machines.
_CLOCK_DRIFT_PERCENT = 105


class Violation(msgspec.Struct, frozen=True):
    """A violated rule: path, fault and remedy."""

    steps: _Steps
    fault: str
    remedy: str


_Violations = collections.abc.Iterator[Violation]


def check(merged: JsonObject) -> list[Violation]:
    """Return every violated rule in a merged document."""
    return [violation for rule in _RULES for violation in rule(merged)]


def check_immutable(
    merged: JsonObject, current: document_module.Document
) -> list[Violation]:
    """Return a violation for each immutable member that was changed."""
    return [
        Violation(
            (name,),
            f'it is {getattr(current, name)!r} in the configuration in '
            'force and cannot be changed',
            f'set it back to {getattr(current, name)!r}',
        )
        for name in _IMMUTABLE_DEFAULTS
        if merged.get(name, _IMMUTABLE_DEFAULTS[name])
        != getattr(current, name)
    ]


def _check_regions(merged: JsonObject) -> _Violations:
    regions = merged.get('regions')
    if isinstance(regions, list) and not regions:
        yield Violation(
            ('regions',), 'no region is listed', 'list at least one region'
        )
    yield from _check_duplicates(('regions',), regions)


def _check_overlay_patterns(merged: JsonObject) -> _Violations:
    fields = {
        field.encode_name
        for field in msgspec.structs.fields(document_module.Document)
    }
    for index, pattern in _string_items(merged.get('overlay_may_set')):
        steps = ('overlay_may_set', index)
        try:
            path = document.split_pointer(pattern)
        except ValueError as error:
            yield Violation(
                steps, str(error), 'write it as "/workspaces/*/share"'
            )
            continue
        if not path or path[0] not in fields - {'overlay_may_set'}:
            yield Violation(
                steps,
                f'"{pattern}" does not start with a top-level field',
                'start it with one of: '
                + ', '.join(sorted(fields - {'overlay_may_set'})),
            )


def _check_workspaces(merged: JsonObject) -> _Violations:
    kinds = _members(merged, 'kinds')
    for name, workspace in _members(merged, 'workspaces').items():
        steps = ('workspaces', name, 'kinds')
        yield from _check_names_exist(
            steps, _member(workspace, 'kinds'), kinds, 'kind'
        )
        yield from _check_duplicates(steps, _member(workspace, 'kinds'))


def _check_keys(merged: JsonObject) -> _Violations:
    workspaces = _members(merged, 'workspaces')
    for key_id, key in _members(merged, 'keys').items():
        steps = ('keys', key_id, 'workspace')
        role, workspace = _member(key, 'role'), _member(key, 'workspace')
        if role == 'operator' and workspace is not None:
            yield Violation(
                steps,
                'an operator key must not have a workspace',
                'remove the workspace, or set the role to caller',
            )
        elif role == 'caller' and workspace is None:
            yield Violation(
                steps,
                'a caller key needs a workspace',
                'set it to a name under /workspaces',
            )
        elif isinstance(workspace, str) and workspace not in workspaces:
            yield _missing_name(steps, 'workspace', workspace)
    yield from _check_key_hashes(merged)


def _check_key_hashes(merged: JsonObject) -> _Violations:
    owners: dict[str, str] = {}
    for key_id, key in _members(merged, 'keys').items():
        sha256 = _member(key, 'sha256')
        if not isinstance(sha256, str):
            continue
        owner = owners.setdefault(sha256, key_id)
        if owner != key_id:
            yield Violation(
                ('keys', key_id, 'sha256'),
                f'key "{owner}" has the same hash',
                'generate a key for each id with "basilspindle key generate"',
            )


def _check_queues(merged: JsonObject) -> _Violations:
    workspaces = _members(merged, 'workspaces')
    for name, queue in _members(merged, 'queues').items():
        workspace = _member(queue, 'workspace')
        steps = ('queues', name, 'workspace')
        if workspace is None and _member(queue, 'open') is True:
            yield Violation(
                steps,
                'an open queue needs a workspace',
                'set it to the name under /workspaces that its work '
                'belongs to',
            )
        elif isinstance(workspace, str) and workspace not in workspaces:
            yield _missing_name(steps, 'workspace', workspace)
        yield from _check_queue_kinds(merged, name, queue)


def _check_queue_kinds(
    merged: JsonObject, name: str, queue: typing.Any
) -> _Violations:
    steps = ('queues', name, 'kinds')
    kinds = _member(queue, 'kinds')
    known = _members(merged, 'kinds')
    yield from _check_names_exist(steps, kinds, known, 'kind')
    yield from _check_duplicates(steps, kinds)
    workspace = _member(queue, 'workspace')
    workspaces = _members(merged, 'workspaces')
    if not isinstance(workspace, str) or workspace not in workspaces:
        return
    workspace_kinds = {
        kind
        for _, kind in _string_items(_member(workspaces[workspace], 'kinds'))
    }
    for index, kind in _string_items(kinds):
        if kind in known and kind not in workspace_kinds:
            yield Violation(
                (*steps, index),
                f'workspace "{workspace}" of this queue does not allow '
                f'kind "{kind}"',
                f'add it to /workspaces/{workspace}/kinds or remove it here',
            )


def _check_kinds(merged: JsonObject) -> _Violations:
    for name, kind in _members(merged, 'kinds').items():
        if _member(kind, 'service') is True and _member(kind, 'gang') is True:
            yield Violation(
                ('kinds', name, 'gang'),
                'a service cannot be a gang',
                'set gang or service to false',
            )


def _check_workers(merged: JsonObject) -> _Violations:
    drained = _member(merged.get('workers'), 'drained')
    yield from _check_duplicates(('workers', 'drained'), drained)


def _check_timing(merged: JsonObject) -> _Violations:
    timing = _times_or_defaults(merged.get('timing'))
    for shorter, longer, reason in _TIME_ORDERS:
        if timing[shorter] >= timing[longer]:
            yield Violation(
                ('timing', shorter),
                f'{timing[shorter]} ms is not less than {longer}, '
                f'{timing[longer]} ms: {reason}',
                f'lower {shorter} or raise {longer}',
            )
    yield from _check_combined_times(timing)


def _check_combined_times(timing: dict[str, int]) -> _Violations:
    silence_ms = timing['worker_poll_ms'] + timing['silent_ms']
    if silence_ms >= timing['worker_lease_ms']:
        yield Violation(
            ('timing', 'worker_lease_ms'),
            'it is not more than worker_poll_ms + silent_ms, '
            f'{silence_ms} ms: the lease would expire before a silent '
            'connection is replaced',
            f'raise it above {silence_ms} ms',
        )
    if 2 * timing['config_poll_ms'] >= timing['config_max_age_ms']:
        yield Violation(
            ('timing', 'config_max_age_ms'),
            'it is not more than twice config_poll_ms: the configuration '
            'would be stale between two reads',
            f'raise it above {2 * timing["config_poll_ms"]} ms',
        )
    holder_change_ms = _holder_change_ms(timing)
    if holder_change_ms >= timing['task_lease_ms']:
        yield Violation(
            ('timing', 'task_lease_ms'),
            'it is not more than the time to move a worker to another '
            'holder, suspect_ms + (assurance_ms + worker_lease_ms) * 1.05 '
            f'= {holder_change_ms} ms',
            f'raise it above {holder_change_ms} ms',
        )


def _holder_change_ms(timing: dict[str, int]) -> int:
    lease_wait_ms = timing['assurance_ms'] + timing['worker_lease_ms']
    return timing['suspect_ms'] + lease_wait_ms * _CLOCK_DRIFT_PERCENT // 100


def _times_or_defaults(value: typing.Any) -> dict[str, int]:
    # The schema check reports a time of a wrong type; the default replaces
    # it here.
    times = msgspec.structs.asdict(timing_module.Timing())
    if isinstance(value, dict):
        for name in times:
            if type(value.get(name)) is int:
                times[name] = value[name]
    return times


def _members(merged: JsonObject, name: str) -> JsonObject:
    value = merged.get(name)
    return value if isinstance(value, dict) else {}


def _member(value: typing.Any, name: str) -> typing.Any:
    return value.get(name) if isinstance(value, dict) else None


def _string_items(value: typing.Any) -> list[tuple[int, str]]:
    if not isinstance(value, list):
        return []
    return [
        (index, item)
        for index, item in enumerate(value)
        if isinstance(item, str)
    ]


def _check_names_exist(
    steps: _Steps, names: typing.Any, known: JsonObject, noun: str
) -> _Violations:
    for index, name in _string_items(names):
        if name not in known:
            yield _missing_name((*steps, index), noun, name)


def _missing_name(steps: _Steps, noun: str, name: str) -> Violation:
    return Violation(
        steps,
        f'{noun} "{name}" does not exist',
        f'add it under /{noun}s or correct the name',
    )


def _check_duplicates(steps: _Steps, names: typing.Any) -> _Violations:
    seen: set[str] = set()
    for index, name in _string_items(names):
        if name in seen:
            yield Violation(
                (*steps, index),
                f'"{name}" is listed twice',
                'remove one of them',
            )
        seen.add(name)


# Members that must not change, with their defaults: the number of partitions
# determines the partition of a job and the streams, and the name of the cell
# identifies workers and peers.
_IMMUTABLE_DEFAULTS = {'cell': '', 'partitions': 12}
_TIME_ORDERS = (
    (
        'heartbeat_ms',
        'suspect_ms',
        'every member would become suspect between heartbeats',
    ),
    (
        'heartbeat_ms',
        'assurance_ms',
        'peers could not confirm a partition owner in time',
    ),
    (
        'heartbeat_ms',
        'config_max_age_ms',
        'peers could not confirm the configuration in time',
    ),
    (
        'linger_ms',
        'assurance_ms',
        'the assurance would expire before an append',
    ),
    (
        'worker_poll_ms',
        'worker_lease_ms',
        'a poll renews the lease, which must not expire before the next',
    ),
    (
        'worker_lease_ms',
        'task_lease_ms',
        'tasks would stop before a new holder takes over their worker',
    ),
    (
        'request_max_ms',
        'stop_ms',
        'a planned stop would interrupt waiting requests',
    ),
)
_RULES: tuple[collections.abc.Callable[[JsonObject], _Violations], ...] = (
    _check_regions,
    _check_overlay_patterns,
    _check_workspaces,
    _check_keys,
    _check_queues,
    _check_kinds,
    _check_workers,
    _check_timing,
)
