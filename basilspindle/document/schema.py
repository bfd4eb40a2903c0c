"""Check a decoded document against the types of a msgspec Struct.

msgspec stops at the first fault; this check reports all of them.
"""

import collections.abc
import functools
import types
import typing

import msgspec

from basilspindle.document import fault as fault_module
from basilspindle.document import pointer

_Steps = tuple[str | int, ...]
_SCALAR_DESCRIPTIONS = {
    bool: 'true or false',
    int: 'a whole number',
    float: 'a number',
    str: 'a string',
}
_UNIONS = (types.UnionType, typing.Union)


def check(
    value: typing.Any,
    expected: typing.Any,
    file: collections.abc.Callable[[_Steps], str],
) -> list[fault_module.Fault]:
    """Return every fault of a decoded document.

    ``expected`` is a Struct type. ``file`` returns the name of the file
    that sets a path, which the fault at that path names.
    """
    checker = _Checker(file, convertible=_is_convertible(value, expected))
    checker.visit(value, expected, ())
    return checker.faults


class _Checker:
    """Walk one document and collect its faults."""

    __slots__ = ('faults', '_file', '_convertible')

    def __init__(
        self,
        file: collections.abc.Callable[[_Steps], str],
        *,
        convertible: bool,
    ) -> None:
        self.faults: list[fault_module.Fault] = []
        self._file = file
        # msgspec ignores unknown fields, so a document that it converts
        # can have no other faults.
        self._convertible = convertible

    def visit(
        self, value: typing.Any, expected: typing.Any, steps: _Steps
    ) -> None:
        """Check a value and all values nested in it."""
        if _is_struct(expected):
            self._visit_struct(value, expected, steps)
            return
        inner = _strip_optional(expected)
        if value is None and inner is not expected:
            return
        origin = typing.get_origin(inner)
        if _is_struct(inner):
            self._visit_struct(value, inner, steps)
        elif origin is dict:
            self._visit_dict(value, inner, steps)
        elif origin is list:
            self._visit_list(value, inner, steps)
        else:
            self._visit_scalar(value, inner, steps)

    def _visit_struct(
        self, value: typing.Any, expected: typing.Any, steps: _Steps
    ) -> None:
        if not isinstance(value, dict):
            self._add(steps, 'not an object', 'write an object, {...}')
            return
        fields = _fields_by_name(expected)
        for name in value:
            if name not in fields:
                self._add(
                    (*steps, name),
                    'unknown field',
                    f'remove it or use one of: {", ".join(sorted(fields))}',
                )
        checked = (
            _fields_with_structs(expected) if self._convertible else fields
        )
        for name, field in checked.items():
            if name in value:
                self.visit(value[name], field.type, (*steps, name))
            elif field.required:
                self._add(
                    (*steps, name),
                    'missing',
                    f'set it to {_describe_type(field.type)}',
                )

    def _visit_dict(
        self, value: typing.Any, expected: typing.Any, steps: _Steps
    ) -> None:
        if not isinstance(value, dict):
            self._add(steps, 'not an object', 'write an object, {...}')
            return
        key_type, item_type = typing.get_args(expected)
        if self._convertible and not _contains_struct(item_type):
            return
        for name, item in value.items():
            if not self._convertible and not _is_convertible(name, key_type):
                self._add(
                    (*steps, name),
                    f'the name {name!r} is not allowed',
                    f'name it with {_describe_type(key_type)}',
                )
            self.visit(item, item_type, (*steps, name))

    def _visit_list(
        self, value: typing.Any, expected: typing.Any, steps: _Steps
    ) -> None:
        if not isinstance(value, list):
            self._add(steps, 'not a list', 'write a list, [...]')
            return
        (item_type,) = typing.get_args(expected)
        if self._convertible and not _contains_struct(item_type):
            return
        for index, item in enumerate(value):
            self.visit(item, item_type, (*steps, index))

    def _visit_scalar(
        self, value: typing.Any, expected: typing.Any, steps: _Steps
    ) -> None:
        if self._convertible:
            return
        try:
            msgspec.convert(value, expected)
        except msgspec.ValidationError as error:
            self._add(
                steps,
                str(error).split(' - at ')[0].replace('`', ''),
                f'set it to {_describe_type(expected)}',
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
def _fields_by_name(
    expected: typing.Any,
) -> dict[str, msgspec.structs.FieldInfo]:
    return {
        field.encode_name: field for field in msgspec.structs.fields(expected)
    }


@functools.cache
def _fields_with_structs(
    expected: typing.Any,
) -> dict[str, msgspec.structs.FieldInfo]:
    return {
        name: field
        for name, field in _fields_by_name(expected).items()
        if _contains_struct(field.type)
    }


@functools.cache
def _contains_struct(expected: typing.Any) -> bool:
    return _is_struct(expected) or any(
        _contains_struct(argument) for argument in typing.get_args(expected)
    )


def _is_struct(expected: typing.Any) -> bool:
    return isinstance(expected, type) and issubclass(expected, msgspec.Struct)


def _strip_optional(expected: typing.Any) -> typing.Any:
    if typing.get_origin(expected) not in _UNIONS:
        return expected
    (inner,) = [
        arg for arg in typing.get_args(expected) if arg is not types.NoneType
    ]
    return inner


def _is_convertible(value: typing.Any, expected: typing.Any) -> bool:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError:
        return False
    return True


def _describe_type(expected: typing.Any) -> str:
    inner = _strip_optional(expected)
    for meta in getattr(inner, '__metadata__', ()):
        if isinstance(meta, msgspec.Meta) and meta.description:
            return meta.description
    if inner in _SCALAR_DESCRIPTIONS:
        return _SCALAR_DESCRIPTIONS[inner]
    origin = typing.get_origin(inner)
    if origin is typing.Literal:
        return f'one of: {", ".join(typing.get_args(inner))}'
    return 'a list, [...]' if origin is list else 'an object, {...}'
