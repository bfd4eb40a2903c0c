"""Change one member of a configuration, in the document that may set it."""

import copy
import typing

import msgspec

from basilspindle.config import overlay as overlay_module
from basilspindle import document

_Object = dict[str, typing.Any]


class Draft:
    """Hold a base and an overlay while they are changed.

    A member is set in the overlay if the overlay may set its path, in the
    base otherwise: also where the overlay may not add what is above it,
    such as a new workspace. Paths are JSON pointers.
    """

    __slots__ = ('_base', '_overlay')

    def __init__(self, base: bytes, overlay: bytes) -> None:
        self._base: _Object = msgspec.json.decode(base)
        self._overlay: _Object = msgspec.json.decode(overlay)

    @property
    def base(self) -> bytes:
        """Return the base as JSON."""
        return msgspec.json.encode(self._base)

    @property
    def overlay(self) -> bytes:
        """Return the overlay as JSON."""
        return msgspec.json.encode(self._overlay)

    def get(self, pointer: str, default: typing.Any = None) -> typing.Any:
        """Return the merged value at a path."""
        value = overlay_module.merge(self._base, self._overlay)
        for step in document.split_pointer(pointer):
            if not isinstance(value, dict) or step not in value:
                return default
            value = value[step]
        return copy.deepcopy(value)

    def put(self, pointer: str, value: typing.Any) -> None:
        """Set a member, adding the objects above it."""
        steps = document.split_pointer(pointer)
        target = self._overlay if self._permits(steps) else self._base
        for step in steps[:-1]:
            below = target.get(step)
            if not isinstance(below, dict):
                below = target[step] = {}
            target = below
        target[steps[-1]] = value

    def remove(self, pointer: str) -> None:
        """Remove a member from both documents if it is there."""
        for place in (self._base, self._overlay):
            _remove(place, document.split_pointer(pointer))

    def _permits(self, steps: tuple[str, ...]) -> bool:
        permit = overlay_module.Permit(self._base)
        below: typing.Any = self._base
        for depth in range(1, len(steps) + 1):
            path = steps[:depth]
            if permit.allows(path):
                return True
            below = below.get(path[-1]) if isinstance(below, dict) else None
            if below is None and not permit.adds(path):
                return False
        return False


def _remove(place: _Object, steps: tuple[str, ...]) -> None:
    for step in steps[:-1]:
        below = place.get(step)
        if not isinstance(below, dict):
            return
        place = below
    place.pop(steps[-1], None)
