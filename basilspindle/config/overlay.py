"""Merge an overlay into a base (RFC 7396) within what the base allows."""

import typing

from basilspindle import document

Object = dict[str, typing.Any]
_Steps = tuple[str, ...]
_ALLOW = 'overlay_may_set'
_ANY = '*'


class Permit:
    """Decide which paths an overlay may set."""

    __slots__ = ('_patterns',)

    def __init__(self, base: Object) -> None:
        self._patterns = [
            document.split_pointer(pattern)
            for pattern in _texts(base.get(_ALLOW))
            if _is_pointer(pattern)
        ]

    def allows(self, steps: _Steps) -> bool:
        """Tell whether the path, or one above it, is listed."""
        return any(
            len(pattern) <= len(steps) and _matches(pattern, steps)
            for pattern in self._patterns
        )

    def leads(self, steps: _Steps) -> bool:
        """Tell whether a listed path lies below the path."""
        return any(
            len(pattern) > len(steps) and _matches(pattern, steps)
            for pattern in self._patterns
        )

    def adds(self, steps: _Steps) -> bool:
        """Tell whether an object above a listed path may be added.

        A path that is listed by name may be set where the base leaves out
        its objects. A "*" stands for the members that the base has.
        """
        return any(
            len(pattern) > len(steps)
            and _matches(pattern, steps)
            and pattern[len(steps) - 1] != _ANY
            for pattern in self._patterns
        )


def merge(base: typing.Any, overlay: typing.Any) -> typing.Any:
    """Return the base with an overlay's members; null removes one."""
    if not isinstance(overlay, dict):
        return overlay
    merged = dict(base) if isinstance(base, dict) else {}
    for name, value in overlay.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge(merged.get(name), value)
    return merged


def check_permit(
    base: Object, overlay: Object, file: str
) -> list[document.Fault]:
    """Return a fault for every path that the overlay may not set."""
    faults: list[document.Fault] = []
    _walk(Permit(base), base, overlay, (), file, faults)
    return faults


def _walk(
    permit: Permit,
    base: Object,
    overlay: Object,
    steps: _Steps,
    file: str,
    faults: list[document.Fault],
) -> None:
    for name, value in overlay.items():
        path = (*steps, name)
        if path == (_ALLOW,):
            faults.append(_only_in_base(file, path))
            continue
        if permit.allows(path):
            continue
        below = base.get(name)
        if not permit.leads(path) or not isinstance(value, dict):
            faults.append(_not_listed(file, path))
        elif name not in base and not permit.adds(path):
            faults.append(_not_in_base(file, path))
        else:
            below = below if isinstance(below, dict) else {}
            _walk(permit, below, value, path, file, faults)


def _only_in_base(file: str, path: _Steps) -> document.Fault:
    return document.Fault(
        file=file,
        pointer=document.join_pointer(path),
        fault='only the base may set this',
        remedy='move it to the base',
    )


def _not_listed(file: str, path: _Steps) -> document.Fault:
    pointer = document.join_pointer(path)
    return document.Fault(
        file=file,
        pointer=pointer,
        fault='the overlay may not set this path',
        remedy=f'set it in the base, or add "{pointer}" to /{_ALLOW} of '
        'the base',
    )


def _not_in_base(file: str, path: _Steps) -> document.Fault:
    pointer = document.join_pointer(path)
    return document.Fault(
        file=file,
        pointer=pointer,
        fault='the overlay may not add this object, which the base lacks',
        remedy=f'add it to the base, or add "{pointer}" to /{_ALLOW} of '
        'the base',
    )


def _matches(pattern: _Steps, steps: _Steps) -> bool:
    return all(
        want in (_ANY, step)
        for want, step in zip(pattern, steps, strict=False)
    )


def _texts(value: typing.Any) -> list[str]:
    if not isinstance(value, list):
        return []
    return [item for item in value if isinstance(item, str)]


def _is_pointer(text: str) -> bool:
    try:
        return bool(document.split_pointer(text))
    except ValueError:
        return False
