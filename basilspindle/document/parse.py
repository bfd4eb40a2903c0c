"""Read JSON strictly."""

import collections.abc
import json
import typing

from basilspindle.document import fault as fault_module
from basilspindle.document import pointer

_MAX_DEPTH = 32


class _Reader:
    """Build objects; keep note of any name given twice."""

    __slots__ = ('twice',)

    def __init__(self) -> None:
        self.twice = False

    def build(self, pairs: list[tuple[str, typing.Any]]) -> typing.Any:
        """Return the object of a list of members."""
        value = dict(pairs)
        self.twice = self.twice or len(value) != len(pairs)
        return value


class _Pairs(list[tuple[str, typing.Any]]):
    """Hold the members of an object in order, with duplicates."""

    __slots__ = ()


def parse(
    raw: bytes, file: str
) -> tuple[dict[str, typing.Any], list[fault_module.Fault]]:
    """Return a JSON object and the faults of its text.

    A name given twice in one object is a fault, since most readers would
    drop one of the two without a word.
    """
    reader = _Reader()
    try:
        value = _load(raw, reader.build)
        deep = _is_deep(value, 0)
    except (ValueError, RecursionError) as error:
        return {}, [_syntax(file, str(error))]
    if not isinstance(value, dict):
        return {}, [_syntax(file, 'the document is not an object')]
    if not reader.twice and not deep:
        return value, []
    faults: list[fault_module.Fault] = []
    value = _plain(_load(raw, _Pairs), (), file, faults)
    return value, faults


def _load(
    raw: bytes, build: collections.abc.Callable[[typing.Any], typing.Any]
) -> typing.Any:
    return json.loads(
        raw, object_pairs_hook=build, parse_constant=_refuse_constant
    )


def _is_deep(value: typing.Any, depth: int) -> bool:
    if isinstance(value, dict):
        value = value.values()
    elif not isinstance(value, list):
        return False
    if depth > _MAX_DEPTH:
        return True
    return any(
        _is_deep(item, depth + 1)
        for item in value
        if isinstance(item, (dict, list))
    )


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f'{name} is not JSON')


def _syntax(file: str, text: str) -> fault_module.Fault:
    return fault_module.Fault(
        file=file,
        pointer='',
        fault=f'not a JSON object: {text}',
        remedy='correct the syntax at this place',
    )


def _plain(
    value: typing.Any,
    steps: tuple[str | int, ...],
    file: str,
    faults: list[fault_module.Fault],
) -> typing.Any:
    if len(steps) > _MAX_DEPTH:
        faults.append(_too_deep(file, steps))
        return None
    if isinstance(value, _Pairs):
        return _plain_object(value, steps, file, faults)
    if isinstance(value, list):
        return [
            _plain(item, (*steps, index), file, faults)
            for index, item in enumerate(value)
        ]
    return value


def _plain_object(
    pairs: _Pairs,
    steps: tuple[str | int, ...],
    file: str,
    faults: list[fault_module.Fault],
) -> dict[str, typing.Any]:
    plain: dict[str, typing.Any] = {}
    for name, value in pairs:
        path = (*steps, name)
        if name in plain:
            faults.append(_duplicate(file, path))
        plain[name] = _plain(value, path, file, faults)
    return plain


def _duplicate(file: str, path: tuple[str | int, ...]) -> fault_module.Fault:
    return fault_module.Fault(
        file=file,
        pointer=pointer.join_pointer(path),
        fault='the name is given twice in one object',
        remedy='remove one of the two',
    )


def _too_deep(file: str, path: tuple[str | int, ...]) -> fault_module.Fault:
    return fault_module.Fault(
        file=file,
        pointer=pointer.join_pointer(path),
        fault=f'nested more than {_MAX_DEPTH} deep',
        remedy='remove this member',
    )
