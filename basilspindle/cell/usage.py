"""Track the resource usage of each workspace."""

from basilspindle.workflow import need as need_module

_NO_NEED = need_module.Need()


class Usage:
    """Resources that the tasks of each workspace occupy."""

    __slots__ = ('_by_workspace',)

    def __init__(self) -> None:
        self._by_workspace: dict[str, need_module.Need] = {}

    def get(self, workspace: str) -> need_module.Need:
        """Return the resources that a workspace occupies."""
        return self._by_workspace.get(workspace, _NO_NEED)

    def add(
        self, workspace: str, need: need_module.Need, times: int = 1
    ) -> None:
        """Add tasks to the usage; a negative ``times`` removes them."""
        self._by_workspace[workspace] = self.get(workspace).plus(need, times)

    def headroom(
        self,
        workspace: str,
        need: need_module.Need,
        limit: need_module.Need | None,
        unseen: need_module.Need = _NO_NEED,
    ) -> int:
        """Return how many more tasks of this need stay within a limit.

        Amounts of 0 in the limit are unlimited; ``unseen`` counts as used.
        A workspace without running tasks may start one that alone exceeds
        its limit.
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
        for limit_amount, used_amount, per_task in rows:
            if limit_amount and per_task:
                left = min(
                    left, max(0, (limit_amount - used_amount) // per_task)
                )
        if left == 0 and used == _NO_NEED:
            return 1
        return left


_UNLIMITED = 1 << 30
