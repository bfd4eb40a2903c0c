"""Keep the limit of a workspace for a gang that waits for it.

For a workspace at its limit: smaller steps take each part of it that becomes
free, and a gang never gets all that it needs at once.
"""

from basilspindle.cell import state as state_module
from basilspindle.workflow import need as need_module
from basilspindle.workflow import step_run as step_run_module

# A workspace that uses less than half of its limit is held back no longer than
# this.
_MAX_HOLD_BELOW_HALF_MS = 2_000


class LimitHold:
    """Workspaces whose limit is kept for a gang in a scheduling pass."""

    __slots__ = (
        '_state',
        '_held',
        '_previously_held',
        '_wanted',
        '_below_half_since_ms',
    )

    def __init__(self, state: state_module.CellState) -> None:
        self._state = state
        self._held: set[str] = set()
        self._previously_held: set[str] = set()
        # Workspaces whose limit a gang waits for in this pass.
        self._wanted: set[str] = set()
        self._below_half_since_ms: dict[str, int] = {}

    def begin_pass(self) -> None:
        """Release all workspaces; gangs hold them again as they are visited.

        Steps are visited in the order of their urgency, so that a gang holds
        back only what is less urgent.
        """
        self._previously_held, self._held = self._held, set()
        self._wanted.clear()

    def end_pass(self) -> set[str]:
        """Return the workspaces that were held until now and no longer are."""
        for workspace in list(self._below_half_since_ms):
            if workspace not in self._wanted:
                del self._below_half_since_ms[workspace]
        return self._previously_held - self._held

    def is_held(self, workspace: str) -> bool:
        """Tell whether a more urgent gang waits for the limit."""
        return workspace in self._held

    def hold(self, run: step_run_module.StepRun, now_ms: int) -> None:
        """Keep the limit for a gang that is limited by its workspace."""
        workspace = run.job.definition.workspace
        limit = self._state.workspace_limit(workspace)
        if limit is None or workspace in self._held:
            return
        total = state_module.NO_NEED.plus(run.step.reserved, run.step.count)
        if not _is_within(total, limit):
            # The gang can never start under this limit.
            return
        self._wanted.add(workspace)
        used = self._state.usage.get(workspace)
        if not _is_within(used.plus(used), limit):
            self._below_half_since_ms.pop(workspace, None)
        else:
            since_ms = self._below_half_since_ms.setdefault(workspace, now_ms)
            if now_ms - since_ms > _MAX_HOLD_BELOW_HALF_MS:
                return
        self._held.add(workspace)


def _is_within(need: need_module.Need, limit: need_module.Need) -> bool:
    # Amounts of 0 in the limit are unlimited.
    return (
        need.cpu_millicores <= (limit.cpu_millicores or need.cpu_millicores)
        and need.memory_mb <= (limit.memory_mb or need.memory_mb)
        and need.accelerators <= (limit.accelerators or need.accelerators)
    )
