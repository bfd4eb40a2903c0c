"""Cache the shapes that no worker has room for."""

from basilspindle.indexing import amounts as amounts_module

# Above this many changed workers, a new search costs no more than checking
# them.
_MAX_CHANGED_WORKERS = 64
_MAX_LOGGED_CHANGES = 4_096


class UnplaceableShapes:
    """Negative cache of shapes, with a log of workers that gained room.

    While the fleet is full, a search for a shape needs to examine only the
    workers that gained room since the shape was found unplaceable. Positions
    in the log are counted from its start, including dropped changes.
    """

    __slots__ = ('_position_by_shape', '_changes', '_first_position')

    def __init__(self) -> None:
        self._position_by_shape: dict[amounts_module.Amounts, int] = {}
        self._changes: list[str] = []
        self._first_position = 0

    def mark_room_gained(self, worker_id: str) -> None:
        """Log that a worker has more room than before."""
        if not self._position_by_shape:
            return
        self._changes.append(worker_id)
        if len(self._changes) > _MAX_LOGGED_CHANGES:
            self.clear()

    def clear(self) -> None:
        """Drop all shapes and changes."""
        self._position_by_shape.clear()
        self._first_position += len(self._changes)
        self._changes.clear()

    def mark_unplaceable(self, shape: amounts_module.Amounts) -> None:
        """Record that no worker has room for a shape."""
        self._position_by_shape[shape] = self._first_position + len(
            self._changes
        )

    def changed_workers(
        self, shape: amounts_module.Amounts
    ) -> list[str] | None:
        """Return the workers that may have room, None if any may have."""
        position = self._position_by_shape.get(shape)
        if position is None:
            return None
        changed = self._changes[position - self._first_position :]
        if len(changed) > _MAX_CHANGED_WORKERS:
            del self._position_by_shape[shape]
            return None
        return changed
