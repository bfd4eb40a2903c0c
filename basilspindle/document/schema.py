"""Compare a document with the struct that it must have the shape of.

msgspec stops at the first fault; this walk reports every one.
"""

import collections.abc
import functools
import types
import typing

import msgspec

from basilspindle.document import fault as fault_module
from basilspindle.document import pointer

_Steps = tuple[str | int, ...]
_SCALARS = {
    bool: 'true or false',
    int: 'a whole number',
    float: 'a number',
    str: 'a text',
}
_UNIONS = (types.UnionType, typing.Union)


def check(
    value: typing.Any,
    expected: typing.Any,
    file: collections.abc.Callable[[_Steps], str],
) -> list[fault_module.Fault]:
    """Return every fault of a decoded document.

    ``file`` tells which file a path was written in.
    """
    walk = _Walk(file, valid=_converts(value, expected))
    walk.visit(value, expected, ())
    return walk.faults


class _Walk:
    """Collect the faults of one document."""

    __slots__ = ('faults', '_file', '_valid')

    def __init__(
        self, file: collections.abc.Callable[[_Steps], str], *, valid: bool
    ) -> None:
        self.faults: list[fault_module.Fault] = []
        self._file = file
        # A document that converts can only have unknown fields.
        self._valid = valid

    def visit(
        self, value: typing.Any, expected: typing.Any, steps: _Steps
    ) -> None:
        """Check a value and everything below it."""
        if _is_struct(expected):
            self._visit_struct(value, expected, steps)
            return
        plain = _without_none(expected)
        if value is None and plain is not expected:
            return
        origin = typing.get_origin(plain)
        if _is_struct(plain):
            self._visit_struct(value, plain, steps)
        elif origin is dict:
            self._visit_dict(value, plain, steps)
        elif origin is list:
            self._visit_list(value, plain, steps)
        else:
            self._visit_scalar(value, plain, steps)

    def _visit_struct(
        self, value: typing.Any, expected: typing.Any, steps: _Steps
    ) -> None:
        if not isinstance(value, dict):
            self._add(steps, 'not an object', 'write an object, {...}')
            return
        fields = _fields(expected)
        for name in value:
            if name not in fields:
                self._add(
                    (*steps, name),
                    'unknown field',
                    f'remove it or use one of: {", ".join(sorted(fields))}',
                )
        known = _nested(expected) if self._valid else fields
        for name, field in known.items():
            if name in value:
                self.visit(value[name], field.type, (*steps, name))
            elif field.required:
                self._add(
                    (*steps, name),
                    'missing',
                    f'set it to {_wanted(field.type)}',
                )

    def _visit_dict(
        self, value: typing.Any, expected: typing.Any, steps: _Steps
    ) -> None:
        if not isinstance(value, dict):
            self._add(steps, 'not an object', 'write an object, {...}')
            return
        key_type, item_type = typing.get_args(expected)
        if self._valid and not _has_struct(item_type):
            return
        for name, item in value.items():
            if not self._valid and not _converts(name, key_type):
                self._add(
                    (*steps, name),
                    f'the name {name!r} is not allowed',
                    f'name it with {_wanted(key_type)}',
                )
            self.visit(item, item_type, (*steps, name))

    def _visit_list(
        self, value: typing.Any, expected: typing.Any, steps: _Steps
    ) -> None:
        if not isinstance(value, list):
            self._add(steps, 'not a list', 'write a list, [...]')
            return
        (item_type,) = typing.get_args(expected)
        if self._valid and not _has_struct(item_type):
            return
        for index, item in enumerate(value):
            self.visit(item, item_type, (*steps, index))

    def _visit_scalar(
        self, value: typing.Any, expected: typing.Any, steps: _Steps
    ) -> None:
        if self._valid:
            return
        try:
            msgspec.convert(value, expected)
        except msgspec.ValidationError as error:
            self._add(
                steps,
                str(error).split(' - at ')[0].replace('`', ''),
                f'set it to {_wanted(expected)}',
            )

    def _add(self, steps: _Steps, fault: str, remedy: str) -> None:
        self.faults.append(
            fault_module.Fault(
                file=self._file(steps),
                pointer=pointer.join_pointer(steps),
                fault=fault,
                remedy=remedy,
            )
        )


@functools.cache
def _fields(expected: typing.Any) -> dict[str, msgspec.structs.FieldInfo]:
    return {
        field.encode_name: field for field in msgspec.structs.fields(expected)
    }


@functools.cache
def _nested(expected: typing.Any) -> dict[str, msgspec.structs.FieldInfo]:
    return {
        name: field
        for name, field in _fields(expected).items()
        if _has_struct(field.type)
    }


@functools.cache
def _has_struct(expected: typing.Any) -> bool:
    return _is_struct(expected) or any(
        _has_struct(argument) for argument in typing.get_args(expected)
    )


def _is_struct(expected: typing.Any) -> bool:
    return isinstance(expected, type) and issubclass(expected, msgspec.Struct)


def _without_none(expected: typing.Any) -> typing.Any:
    if typing.get_origin(expected) not in _UNIONS:
        return expected
    (plain,) = [
        arg for arg in typing.get_args(expected) if arg is not types.NoneType
    ]
    return plain


def _converts(value: typing.Any, expected: typing.Any) -> bool:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError:
        return False
    return True


def _wanted(expected: typing.Any) -> str:
    plain = _without_none(expected)
    for meta in getattr(plain, '__metadata__', ()):
        if isinstance(meta, msgspec.Meta) and meta.description:
            return meta.description
    if plain in _SCALARS:
        return _SCALARS[plain]
    origin = typing.get_origin(plain)
    if origin is typing.Literal:
        return f'one of: {", ".join(typing.get_args(plain))}'
    return 'a list, [...]' if origin is list else 'an object, {...}'
