"""Remember which shapes no worker has room for."""

from basilspindle.policy import amounts as amounts_module

# More changed workers than this cost as much as a new search.
_MAX_CHANGED = 64
_MAX_KEPT = 4_096


class UnplaceableShapes:
    """Shapes without room, and the workers that gained room since.

    While the fleet is full a search for room then examines only the
    workers that changed. Positions count the changes since the start.
    """

    __slots__ = ('_since', '_changed', '_dropped')

    def __init__(self) -> None:
        self._since: dict[amounts_module.Amounts, int] = {}
        self._changed: list[str] = []
        self._dropped = 0

    def mark_gained(self, worker_id: str) -> None:
        """Note that a worker has more room than before."""
        if not self._since:
            return
        self._changed.append(worker_id)
        if len(self._changed) > _MAX_KEPT:
            self.clear()

    def clear(self) -> None:
        """Forget everything."""
        self._since.clear()
        self._dropped += len(self._changed)
        self._changed.clear()

    def mark_unplaceable(self, shape: amounts_module.Amounts) -> None:
        """Note that no worker has room for a shape now."""
        self._since[shape] = self._dropped + len(self._changed)

    def changed_workers(
        self, shape: amounts_module.Amounts
    ) -> list[str] | None:
        """Return the only workers that may have room, None for any."""
        since = self._since.get(shape)
        if since is None:
            return None
        changed = self._changed[since - self._dropped :]
        if len(changed) > _MAX_CHANGED:
            del self._since[shape]
            return None
        return changed
