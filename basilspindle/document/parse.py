"""Read JSON strictly."""

import json
import typing

from basilspindle.document import fault as fault_module
from basilspindle.document import pointer

_MAX_DEPTH = 32


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
    try:
        value = json.loads(
            raw, object_pairs_hook=_Pairs, parse_constant=_refuse_constant
        )
    except (ValueError, RecursionError) as error:
        return {}, [_syntax(file, str(error))]
    faults: list[fault_module.Fault] = []
    plain = _plain(value, (), file, faults)
    if not isinstance(plain, dict):
        return {}, [_syntax(file, 'the document is not an object')]
    return plain, faults


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
        pointer=pointer.join(path),
        fault='the name is given twice in one object',
        remedy='remove one of the two',
    )


def _too_deep(file: str, path: tuple[str | int, ...]) -> fault_module.Fault:
    return fault_module.Fault(
        file=file,
        pointer=pointer.join(path),
        fault=f'nested more than {_MAX_DEPTH} deep',
        remedy='remove this member',
    )
