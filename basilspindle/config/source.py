"""Tell which of two documents a path of the merged one comes from."""

import typing

_Steps = tuple[str | int, ...]


class Source:
    """Attribute paths of a merged document to its base or its overlay."""

    __slots__ = ('_base', '_overlay', '_base_name', '_overlay_name')

    def __init__(
        self,
        base: typing.Any,
        overlay: typing.Any,
        base_name: str,
        overlay_name: str,
    ) -> None:
        self._base = base
        self._overlay = overlay
        self._base_name = base_name
        self._overlay_name = overlay_name

    def file(self, steps: _Steps) -> str:
        """Return the name of the file that has set a path last."""
        base, overlay = self._base, self._overlay
        for step in steps:
            if not isinstance(overlay, dict):
                return self._overlay_name
            if step not in overlay:
                return self._holder(base)
            overlay = overlay[step]
            base = base.get(step) if isinstance(base, dict) else None
        return self._last(base, overlay)

    def _holder(self, base: typing.Any) -> str:
        # A member that is missing belongs to the file with its object.
        if isinstance(base, dict):
            return self._base_name
        return self._overlay_name

    def _last(self, base: typing.Any, overlay: typing.Any) -> str:
        if isinstance(overlay, dict) and isinstance(base, dict):
            return self._base_name
        return self._overlay_name
