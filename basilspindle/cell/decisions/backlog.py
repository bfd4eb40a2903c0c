"""Keep totals of waiting and running work, updated with each change.

Admission reads them for each submission, where a scan of all waiting steps
would take longer the more work waits.
"""

import collections.abc
import copy
import enum
import typing

from basilspindle.workflow import need as need_module
from basilspindle.workflow import step_run as step_run_module
from basilspindle.workflow import task as task_module

# Shorter tasks don't free their room sooner: the start, the report of the end
# and the next scheduling pass take this long.
_MIN_TASK_MS = 50
# Rates are kept as integers of this fraction of a millicore per ms, so that
# totals are exact however often tasks are added and removed.
_RATE_SCALE = 1_000_000

_K = typing.TypeVar('_K')
_G = typing.TypeVar('_G')
_T = typing.TypeVar('_T')
# Beyond share, priority; a lower rank is scheduled first.
Rank = tuple[bool, int]
# Ratio of actual to estimated durations of a queue, by its name.
Factor = collections.abc.Callable[[str], float]


class Phase(enum.IntEnum):
    """What a step with tasks ready to start waits for."""

    # The next scheduling pass.
    PASS = 0
    # Its first advice.
    ADVICE = 1
    # Room, its workspace's limit or new tickets: the latest pass did not
    # start all of its tasks, whatever was free.
    STUCK = 2


# Beyond share, priority, queue and phase.
_Group = tuple[bool, int, str, Phase]
# Tells whether work of a queue in a phase counts.
Counts = collections.abc.Callable[[str, Phase], bool]


class Waiting:
    """Amount of waiting work: tasks, their cores and the core time."""

    __slots__ = ('tasks', 'millicores', 'millicore_ms')

    def __init__(
        self, tasks: int = 0, millicores: int = 0, millicore_ms: float = 0
    ) -> None:
        self.tasks = tasks
        self.millicores = millicores
        self.millicore_ms = millicore_ms

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Waiting) and (
            (self.tasks, self.millicores, self.millicore_ms)
            == (other.tasks, other.millicores, other.millicore_ms)
        )

    def __repr__(self) -> str:
        return f'Waiting({self.tasks}, {self.millicores}, {self.millicore_ms})'

    def add(self, other: 'Waiting', factor: float = 1, sign: int = 1) -> None:
        """Add another amount, its core time multiplied by a factor."""
        self.tasks += sign * other.tasks
        self.millicores += sign * other.millicores
        self.millicore_ms += sign * other.millicore_ms * factor


class Running:
    """Cores of running tasks, and the rate at which they become free."""

    __slots__ = ('millicores', 'scaled_rate')

    def __init__(self, millicores: int = 0, scaled_rate: int = 0) -> None:
        self.millicores = millicores
        self.scaled_rate = scaled_rate

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Running) and (
            (self.millicores, self.scaled_rate)
            == (other.millicores, other.scaled_rate)
        )

    def __repr__(self) -> str:
        return f'Running({self.millicores}, {self.scaled_rate})'

    @property
    def millicores_per_ms(self) -> float:
        """Return the rate for tasks that take as long as declared."""
        return self.scaled_rate / _RATE_SCALE

    def add(self, other: 'Running', sign: int = 1) -> None:
        """Add or subtract another amount."""
        self.millicores += sign * other.millicores
        self.scaled_rate += sign * other.scaled_rate


class _StepEntry:
    """What a step adds to the totals at present."""

    __slots__ = ('pool', 'workspace', 'group', 'amount')

    def __init__(
        self, pool: str, workspace: str, group: _Group, amount: Waiting
    ) -> None:
        self.pool = pool
        self.workspace = workspace
        self.group = group
        self.amount = amount


class _TaskEntry:
    """What a running task adds to the totals."""

    __slots__ = ('pool', 'workspace', 'queue', 'amount')

    def __init__(
        self, pool: str, workspace: str, queue: str, amount: Running
    ) -> None:
        self.pool = pool
        self.workspace = workspace
        self.queue = queue
        self.amount = amount


class Backlog:
    """Totals of waiting and running work by pool and by workspace.

    ``version`` rises with each change.
    """

    __slots__ = (
        '_steps',
        '_pool_waiting',
        '_pool_workspaces',
        '_workspace_waiting',
        '_tasks',
        '_pool_running',
        '_workspace_running',
        '_kinds',
        'version',
    )

    def __init__(self) -> None:
        self.version = 0
        self._steps: dict[str, _StepEntry] = {}
        # By pool and workspace.
        self._pool_waiting: dict[tuple[str, str], dict[_Group, Waiting]] = {}
        self._pool_workspaces: dict[str, set[str]] = {}
        self._workspace_waiting: dict[str, dict[_Group, Waiting]] = {}
        self._tasks: dict[str, _TaskEntry] = {}
        self._pool_running: dict[str, dict[str, Running]] = {}
        self._workspace_running: dict[str, dict[str, Running]] = {}
        # Different capacities of the workers of each pool.
        self._kinds: dict[str, frozenset[need_module.Need]] = {}

    def copy(self) -> 'Backlog':
        """Return a copy whose changes don't affect this one."""
        made = Backlog()
        made.version = self.version
        # Entries are replaced, never changed; totals are changed.
        made._steps = dict(self._steps)
        made._pool_waiting = _copy_totals(self._pool_waiting)
        made._pool_workspaces = {
            pool: set(names) for pool, names in self._pool_workspaces.items()
        }
        made._workspace_waiting = _copy_totals(self._workspace_waiting)
        made._tasks = dict(self._tasks)
        made._pool_running = _copy_totals(self._pool_running)
        made._workspace_running = _copy_totals(self._workspace_running)
        made._kinds = dict(self._kinds)
        return made

    def set_kinds(
        self,
        pool: str,
        kinds: frozenset[need_module.Need],
        ready_steps: collections.abc.Iterable[step_run_module.StepRun],
    ) -> None:
        """Set the capacities of a pool; recounts its steps if they change.

        Tasks that no worker can hold delay nothing and don't count.
        """
        if self._kinds.get(pool) == kinds:
            return
        self._kinds[pool] = kinds
        self.version += 1
        for run in ready_steps:
            if run.job.definition.pool == pool:
                self.update_step(run, True)

    def update_step(
        self, run: step_run_module.StepRun, is_ready: bool
    ) -> None:
        """Count the tasks of a step that are ready to start."""
        entry = self._steps.pop(run.key, None)
        if entry is not None:
            self._add_waiting(entry, -1)
        count = len(run.waiting)
        if not is_ready or not count or not self._can_hold(run):
            return
        if run.tickets is not None and not run.tickets:
            # The advice service approved no worker.
            return
        definition = run.job.definition
        millicores = count * run.step.reserved.cpu_millicores
        entry = _StepEntry(
            definition.pool,
            definition.workspace,
            (
                run.job.is_beyond_share,
                definition.priority,
                definition.queue,
                _phase(run),
            ),
            Waiting(count, millicores, millicores * run.step.estimate_ms),
        )
        self._steps[run.key] = entry
        self._add_waiting(entry, 1)

    def add_running(self, task: task_module.Task) -> None:
        """Count a task that occupies a worker."""
        self.remove_running(task)
        step = task.step_run.step
        definition = task.step_run.job.definition
        millicores = step.reserved.cpu_millicores
        rate = 0
        if not step.service:
            rate = millicores * _RATE_SCALE
            rate //= max(step.estimate_ms, _MIN_TASK_MS)
        entry = _TaskEntry(
            definition.pool,
            definition.workspace,
            definition.queue,
            Running(millicores, rate),
        )
        self._tasks[task.name] = entry
        self.version += 1
        _add_running(self._pool_running, entry.pool, entry, 1)
        _add_running(self._workspace_running, entry.workspace, entry, 1)

    def remove_running(self, task: task_module.Task) -> None:
        """Stop counting a task; no effect if it isn't counted."""
        entry = self._tasks.pop(task.name, None)
        if entry is not None:
            self.version += 1
            _add_running(self._pool_running, entry.pool, entry, -1)
            _add_running(self._workspace_running, entry.workspace, entry, -1)

    def waiting_in_pool(
        self, pool: str, last: Rank | None, factor: Factor
    ) -> Waiting:
        """Return the work of a pool up to a rank, or all of it."""
        total = Waiting()
        for _, amount in self.waiting_by_workspace(pool, last, factor):
            total.add(amount)
        return total

    def waiting_by_workspace(
        self,
        pool: str,
        last: Rank | None,
        factor: Factor,
        counts: Counts | None = None,
    ) -> collections.abc.Iterator[tuple[str, Waiting]]:
        """Yield the work up to a rank of each workspace with any."""
        for workspace in self._pool_workspaces.get(pool, ()):
            groups = self._pool_waiting.get((pool, workspace))
            amount = _sum_waiting(groups, last, factor, counts)
            if amount.tasks:
                yield workspace, amount

    def waiting_in_workspace(
        self, workspace: str, last: Rank | None, factor: Factor
    ) -> Waiting:
        """Return the work of a workspace up to a rank, or all of it."""
        return _sum_waiting(
            self._workspace_waiting.get(workspace), last, factor
        )

    def running_in_pool(self, pool: str) -> int:
        """Return the millicores that running tasks of a pool occupy."""
        queues = self._pool_running.get(pool, {})
        return sum(amount.millicores for amount in queues.values())

    def freed_in_pool(self, pool: str, factor: Factor) -> float:
        """Return the rate at which tasks free room, in millicores per ms."""
        return _sum_rate(self._pool_running.get(pool), factor)

    def freed_in_workspace(self, workspace: str, factor: Factor) -> float:
        """Return the rate at which tasks free room, in millicores per ms."""
        return _sum_rate(self._workspace_running.get(workspace), factor)

    def _add_waiting(self, entry: _StepEntry, sign: int) -> None:
        self.version += 1
        place = (entry.pool, entry.workspace)
        _add_waiting(self._pool_waiting, place, entry, sign)
        workspaces = self._pool_workspaces.setdefault(entry.pool, set())
        if place in self._pool_waiting:
            workspaces.add(entry.workspace)
        else:
            workspaces.discard(entry.workspace)
        _add_waiting(self._workspace_waiting, entry.workspace, entry, sign)

    def _can_hold(self, run: step_run_module.StepRun) -> bool:
        kinds = self._kinds.get(run.job.definition.pool)
        if not kinds:
            # No worker is known yet.
            return True
        need = run.step.reserved
        return any(need.fits(capacity) for capacity in kinds)


def _copy_totals(totals: dict[_K, dict[_G, _T]]) -> dict[_K, dict[_G, _T]]:
    return {
        name: {group: copy.copy(total) for group, total in groups.items()}
        for name, groups in totals.items()
    }


def _phase(run: step_run_module.StepRun) -> Phase:
    if run.tickets is None and run.job.definition.advice is not None:
        return Phase.ADVICE
    return Phase.STUCK if run.wait_reason else Phase.PASS


def _add_waiting(
    totals: dict[typing.Any, dict[_Group, Waiting]],
    name: str | tuple[str, str],
    entry: _StepEntry,
    sign: int,
) -> None:
    groups = totals.setdefault(name, {})
    total = groups.setdefault(entry.group, Waiting())
    total.add(entry.amount, sign=sign)
    if not total.tasks:
        del groups[entry.group]
        if not groups:
            del totals[name]


def _add_running(
    totals: dict[str, dict[str, Running]],
    name: str,
    entry: _TaskEntry,
    sign: int,
) -> None:
    queues = totals.setdefault(name, {})
    total = queues.setdefault(entry.queue, Running())
    total.add(entry.amount, sign)
    if not total.millicores:
        del queues[entry.queue]
        if not queues:
            del totals[name]


def _sum_waiting(
    groups: dict[_Group, Waiting] | None,
    last: Rank | None,
    factor: Factor,
    counts: Counts | None = None,
) -> Waiting:
    total = Waiting()
    for group, amount in (groups or {}).items():
        is_beyond, priority, queue, phase = group
        if last is not None and (is_beyond, priority) > last:
            continue
        if counts is not None and not counts(queue, phase):
            continue
        total.add(amount, factor(queue))
    return total


def _sum_rate(queues: dict[str, Running] | None, factor: Factor) -> float:
    return sum(
        amount.millicores_per_ms / factor(queue)
        for queue, amount in (queues or {}).items()
    )
