"""Find the document that sets a path of the merged configuration."""

import typing

_Steps = tuple[str | int, ...]


class Source:
    """Map paths of a merged document to the base or the overlay."""

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
        """Return the name of the file that sets a path."""
        base, overlay = self._base, self._overlay
        for step in steps:
            if not isinstance(overlay, dict):
                return self._overlay_name
            if step not in overlay:
                return self._file_of_missing(base)
            overlay = overlay[step]
            base = base.get(step) if isinstance(base, dict) else None
        return self._file_of_value(base, overlay)

    def _file_of_missing(self, base: typing.Any) -> str:
        # A missing member is attributed to the file with its parent object.
        if isinstance(base, dict):
            return self._base_name
        return self._overlay_name

    def _file_of_value(self, base: typing.Any, overlay: typing.Any) -> str:
        if isinstance(overlay, dict) and isinstance(base, dict):
            return self._base_name
        return self._overlay_name
