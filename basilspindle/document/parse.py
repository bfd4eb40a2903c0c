"""Parse JSON, rejecting duplicate names and deep nesting."""

import collections.abc
import json
import typing

from basilspindle.document import fault as fault_module
from basilspindle.document import pointer

_MAX_DEPTH = 32


class _DuplicateDetector:
    """Build objects and note whether any has a duplicate name."""

    __slots__ = ('has_duplicates',)

    def __init__(self) -> None:
        self.has_duplicates = False

    def build(self, pairs: list[tuple[str, typing.Any]]) -> typing.Any:
        """Return the dict of an object, given its members as pairs."""
        value = dict(pairs)
        self.has_duplicates = self.has_duplicates or len(value) != len(pairs)
        return value


class _MemberList(list[tuple[str, typing.Any]]):
    """Members of an object in their order, duplicates included."""

    __slots__ = ()


def parse(
    raw: bytes, file: str
) -> tuple[dict[str, typing.Any], list[fault_module.Fault]]:
    """Return a JSON object and the faults found while parsing it.

    A duplicate name in an object is a fault, because most JSON parsers
    drop one of the two values without a warning. Only a document with
    duplicates, deep nesting or half characters is parsed again, to find
    their pointers.
    """
    detector = _DuplicateDetector()
    try:
        value = _load(raw, detector.build)
        too_deep = _is_too_deep(value, 0)
    except (ValueError, RecursionError) as error:
        return {}, [_syntax_fault(file, str(error))]
    if not isinstance(value, dict):
        return {}, [
            _syntax_fault(file, 'the top-level value is not an object')
        ]
    if not (detector.has_duplicates or too_deep or _has_halves(value)):
        return value, []
    faults: list[fault_module.Fault] = []
    value = _convert(_load(raw, _MemberList), (), file, faults)
    return value, faults


def _load(
    raw: bytes, build: collections.abc.Callable[[typing.Any], typing.Any]
) -> typing.Any:
    return json.loads(
        raw, object_pairs_hook=build, parse_constant=_reject_constant
    )


def _is_too_deep(value: typing.Any, depth: int) -> bool:
    if isinstance(value, dict):
        value = value.values()
    elif not isinstance(value, list):
        return False
    if depth > _MAX_DEPTH:
        return True
    return any(
        _is_too_deep(item, depth + 1)
        for item in value
        if isinstance(item, (dict, list))
    )


def _has_halves(value: typing.Any) -> bool:
    """Tell whether any text has one half of a surrogate pair."""
    try:
        json.dumps(value, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        return True
    return False


def _replace_halves(text: str) -> str:
    return text.encode(errors='replace').decode()


def _reject_constant(name: str) -> typing.NoReturn:
    raise ValueError(f'{name} is not a JSON value')


def _syntax_fault(file: str, text: str) -> fault_module.Fault:
    return fault_module.Fault(
        file=file,
        pointer='',
        fault=f'not a JSON object: {text}',
        remedy='write an object, {...}, in valid JSON',
    )


def _convert(
    value: typing.Any,
    steps: tuple[str | int, ...],
    file: str,
    faults: list[fault_module.Fault],
) -> typing.Any:
    if len(steps) > _MAX_DEPTH:
        faults.append(_depth_fault(file, steps))
        return None
    if isinstance(value, _MemberList):
        return _convert_object(value, steps, file, faults)
    if isinstance(value, list):
        return [
            _convert(item, (*steps, index), file, faults)
            for index, item in enumerate(value)
        ]
    if isinstance(value, str) and _replace_halves(value) != value:
        faults.append(_half_fault(file, steps))
        return _replace_halves(value)
    return value


def _convert_object(
    pairs: _MemberList,
    steps: tuple[str | int, ...],
    file: str,
    faults: list[fault_module.Fault],
) -> dict[str, typing.Any]:
    converted: dict[str, typing.Any] = {}
    for original, value in pairs:
        name = _replace_halves(original)
        path = (*steps, name)
        if name != original:
            faults.append(_half_fault(file, path))
        if name in converted:
            faults.append(_duplicate_fault(file, path))
        converted[name] = _convert(value, path, file, faults)
    return converted


def _duplicate_fault(
    file: str, path: tuple[str | int, ...]
) -> fault_module.Fault:
    return fault_module.Fault(
        file=file,
        pointer=pointer.join_pointer(path),
        fault='the name is given twice in the same object',
        remedy='remove one of the two',
    )


def _half_fault(file: str, path: tuple[str | int, ...]) -> fault_module.Fault:
    return fault_module.Fault(
        file=file,
        pointer=pointer.join_pointer(path),
        fault='a character is given by one half of its surrogate pair',
        remedy='write the whole character',
    )


def _depth_fault(file: str, path: tuple[str | int, ...]) -> fault_module.Fault:
    return fault_module.Fault(
        file=file,
        pointer=pointer.join_pointer(path),
        fault=f'nested more than {_MAX_DEPTH} levels deep',
        remedy='remove it or nest it less deeply',
    )
