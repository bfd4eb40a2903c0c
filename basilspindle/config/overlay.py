"""Merge an overlay into a base (RFC 7396) and check its permissions.

The base lists in ``overlay_may_set`` the paths that the overlay may set.
"""

import typing

from basilspindle import document

JsonObject = dict[str, typing.Any]
_Steps = tuple[str, ...]
_PERMISSIONS_FIELD = 'overlay_may_set'
_WILDCARD = '*'


class OverlayPermissions:
    """Paths that an overlay may set, as listed by the base."""

    __slots__ = ('_patterns',)

    def __init__(self, base: JsonObject) -> None:
        self._patterns = [
            document.split_pointer(pattern)
            for pattern in _strings(base.get(_PERMISSIONS_FIELD))
            if _is_pointer(pattern)
        ]

    def allows(self, steps: _Steps) -> bool:
        """Tell whether the path or one of its ancestors is listed."""
        return any(
            len(pattern) <= len(steps) and _matches(pattern, steps)
            for pattern in self._patterns
        )

    def contains_listed(self, steps: _Steps) -> bool:
        """Tell whether a descendant of the path is listed."""
        return any(
            len(pattern) > len(steps) and _matches(pattern, steps)
            for pattern in self._patterns
        )

    def may_add(self, steps: _Steps) -> bool:
        """Tell whether the overlay may add the object at the path.

        It may if a descendant of the path is listed and the last step of
        the path is listed by name. A "*" matches only members that the
        base has.
        """
        return any(
            len(pattern) > len(steps)
            and _matches(pattern, steps)
            and pattern[len(steps) - 1] != _WILDCARD
            for pattern in self._patterns
        )


def merge(base: typing.Any, overlay: typing.Any) -> typing.Any:
    """Return the base with the overlay applied; null removes a member."""
    if not isinstance(overlay, dict):
        return overlay
    merged = dict(base) if isinstance(base, dict) else {}
    for name, value in overlay.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge(merged.get(name), value)
    return merged


def check_permissions(
    base: JsonObject, overlay: JsonObject, file: str
) -> list[document.Fault]:
    """Return a fault for every path that the overlay may not set."""
    faults: list[document.Fault] = []
    _check_members(OverlayPermissions(base), base, overlay, (), file, faults)
    return faults


def _check_members(
    permissions: OverlayPermissions,
    base: JsonObject,
    overlay: JsonObject,
    steps: _Steps,
    file: str,
    faults: list[document.Fault],
) -> None:
    for name, value in overlay.items():
        path = (*steps, name)
        if path == (_PERMISSIONS_FIELD,):
            faults.append(_base_only_fault(file, path))
            continue
        if permissions.allows(path):
            continue
        base_child = base.get(name)
        if not permissions.contains_listed(path) or not isinstance(
            value, dict
        ):
            faults.append(_not_listed_fault(file, path))
        elif name not in base and not permissions.may_add(path):
            faults.append(_not_in_base_fault(file, path))
        else:
            base_child = base_child if isinstance(base_child, dict) else {}
            _check_members(permissions, base_child, value, path, file, faults)


def _base_only_fault(file: str, path: _Steps) -> document.Fault:
    return document.Fault(
        file=file,
        pointer=document.join_pointer(path),
        fault='only the base may set this member',
        remedy='move it to the base',
    )


def _not_listed_fault(file: str, path: _Steps) -> document.Fault:
    pointer = document.join_pointer(path)
    return document.Fault(
        file=file,
        pointer=pointer,
        fault='the overlay may not set this path',
        remedy=f'set it in the base, or add "{pointer}" to '
        f'/{_PERMISSIONS_FIELD} of the base',
    )


def _not_in_base_fault(file: str, path: _Steps) -> document.Fault:
    pointer = document.join_pointer(path)
    return document.Fault(
        file=file,
        pointer=pointer,
        fault='the overlay may not add this object, which the base lacks',
        remedy=f'add it to the base, or add "{pointer}" to '
        f'/{_PERMISSIONS_FIELD} of the base',
    )


def _matches(pattern: _Steps, steps: _Steps) -> bool:
    return all(
        pattern_step in (_WILDCARD, step)
        for pattern_step, step in zip(pattern, steps, strict=False)
    )


def _strings(value: typing.Any) -> list[str]:
    if not isinstance(value, list):
        return []
    return [item for item in value if isinstance(item, str)]


def _is_pointer(text: str) -> bool:
    try:
        return bool(document.split_pointer(text))
    except ValueError:
        return False
