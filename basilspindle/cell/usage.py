"""Count what each workspace has running."""

from basilspindle.workflow import need as need_module

_NOTHING = need_module.Need()


class Usage:
    """Amounts that the tasks of each workspace occupy."""

    __slots__ = ('_used',)

    def __init__(self) -> None:
        self._used: dict[str, need_module.Need] = {}

    def get(self, workspace: str) -> need_module.Need:
        """Return what a workspace occupies."""
        return self._used.get(workspace, _NOTHING)

    def add(
        self, workspace: str, need: need_module.Need, times: int = 1
    ) -> None:
        """Count tasks; a negative ``times`` counts them off."""
        self._used[workspace] = self.get(workspace).plus(need, times)

    def headroom(
        self,
        workspace: str,
        need: need_module.Need,
        limit: need_module.Need | None,
        unseen: need_module.Need = _NOTHING,
    ) -> int:
        """Return how many more equal tasks stay within a limit.

        Amounts of 0 in the limit are unlimited; ``unseen`` counts as used.
        A workspace with nothing running may start one task that alone is
        above its limit.
        """
        if limit is None:
            return _UNLIMITED
        used = self.get(workspace).plus(unseen)
        rows = (
            (limit.cpu_millicores, used.cpu_millicores, need.cpu_millicores),
            (limit.memory_mb, used.memory_mb, need.memory_mb),
            (limit.accelerators, used.accelerators, need.accelerators),
        )
        left = _UNLIMITED
        for most, now, each in rows:
            if most and each:
                left = min(left, max(0, (most - now) // each))
        if left == 0 and used == _NOTHING:
            return 1
        return left


_UNLIMITED = 1 << 30
