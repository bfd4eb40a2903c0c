"""Edit a configuration, choosing the document that may set a path."""

import copy
import typing

import msgspec

from basilspindle.config import overlay as overlay_module
from basilspindle import document

_JsonObject = dict[str, typing.Any]


class Draft:
    """A base and an overlay that are being edited.

    A member is set in the overlay if the overlay may set its path, and in
    the base otherwise. It is also set in the base if the overlay may not
    add an object that contains it, such as a new workspace. Paths are JSON
    pointers.
    """

    __slots__ = ('_base', '_overlay')

    def __init__(self, base: bytes, overlay: bytes) -> None:
        self._base: _JsonObject = msgspec.json.decode(base)
        self._overlay: _JsonObject = msgspec.json.decode(overlay)

    @property
    def base(self) -> bytes:
        """Return the base document as JSON."""
        return msgspec.json.encode(self._base)

    @property
    def overlay(self) -> bytes:
        """Return the overlay document as JSON."""
        return msgspec.json.encode(self._overlay)

    def get(self, pointer: str, default: typing.Any = None) -> typing.Any:
        """Return a copy of the merged value at a path."""
        value = overlay_module.merge(self._base, self._overlay)
        for step in document.split_pointer(pointer):
            if not isinstance(value, dict) or step not in value:
                return default
            value = value[step]
        return copy.deepcopy(value)

    def put(self, pointer: str, value: typing.Any) -> None:
        """Set a member, adding the objects that contain it."""
        steps = document.split_pointer(pointer)
        target = self._overlay if self._overlay_may_set(steps) else self._base
        for step in steps[:-1]:
            child = target.get(step)
            if not isinstance(child, dict):
                child = target[step] = {}
            target = child
        target[steps[-1]] = value

    def remove(self, pointer: str) -> None:
        """Remove a member from both documents if it is set."""
        for value in (self._base, self._overlay):
            _remove(value, document.split_pointer(pointer))

    def _overlay_may_set(self, steps: tuple[str, ...]) -> bool:
        permissions = overlay_module.OverlayPermissions(self._base)
        child: typing.Any = self._base
        for depth in range(1, len(steps) + 1):
            path = steps[:depth]
            if permissions.allows(path):
                return True
            child = child.get(path[-1]) if isinstance(child, dict) else None
            if child is None and not permissions.may_add(path):
                return False
        return False


def _remove(value: _JsonObject, steps: tuple[str, ...]) -> None:
    for step in steps[:-1]:
        child = value.get(step)
        if not isinstance(child, dict):
            return
        value = child
    value.pop(steps[-1], None)
