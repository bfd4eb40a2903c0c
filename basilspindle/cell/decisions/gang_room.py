"""Make room for gangs that would be late otherwise.

For a fleet that is nearly full, or a workspace near its limit: smaller tasks
take each part of either as soon as it is free, and a gang needs its whole
room at once.
"""

from basilspindle.cell.decisions import limit_hold
from basilspindle.cell.decisions import packing
from basilspindle.cell.decisions import preemption
from basilspindle.cell.decisions import urgency as urgency_module
from basilspindle.cell import orders as orders_module
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import need as need_module
from basilspindle.workflow import step_run as step_run_module
from basilspindle.workflow import task as task_module

# Tasks give way to a gang that has less time left than this until it has to
# start, as others may end soon enough by themselves.
_PREEMPTION_SLACK_MS = 2_500
# A gang that has to start earlier than this ago is late whatever gives way: a
# declared duration is that far off.
_MAX_OVERDUE_MS = 1_500
# Room for a gang is reserved for this long while the tasks that give way to it
# are stopped and others end.
_PREEMPTION_TIMEOUT_MS = 3_000
# A look for tasks that may give way visits all tasks of the fleet, and is not
# repeated for a step earlier than this.
_SEEK_INTERVAL_MS = 500


class GangRoom:
    """Hold limits, reserve room and stop tasks for the gangs of a cell."""

    __slots__ = ('_state', '_limit_hold', '_urgency')

    def __init__(self, state: state_module.CellState) -> None:
        self._state = state
        self._limit_hold = limit_hold.LimitHold(state)
        self._urgency = urgency_module.Urgency(0, state.due_times_ms)

    def begin_pass(self, urgency: urgency_module.Urgency) -> None:
        """Start a scheduling pass that visits steps in order of urgency."""
        self._urgency = urgency
        self._limit_hold.begin_pass()

    def end_pass(self) -> set[str]:
        """Return the workspaces whose limit is no longer held."""
        return self._limit_hold.end_pass()

    def is_held(self, workspace: str) -> bool:
        """Tell whether a more urgent gang waits for a workspace's limit."""
        return self._limit_hold.is_held(workspace)

    def hold_limit(self, run: step_run_module.StepRun, now_ms: int) -> None:
        """Keep the limit of a workspace for a gang that waits for it."""
        if run.is_limited_by_workspace and self._may_hold(run):
            self._limit_hold.hold(run, now_ms)

    def make_room(
        self,
        run: step_run_module.StepRun,
        workers: list[worker_module.Worker],
        now_ms: int,
    ) -> packing.Assignment:
        """Reserve room and stop what is in it; returns it by worker id."""
        if not self._may_preempt(run, now_ms):
            return {}
        found = preemption.plan_preemption(
            self._state, run, workers, len(run.waiting), now_ms
        )
        if found is None:
            return {}
        self._state.reserve(
            run, found.assignment, now_ms + _PREEMPTION_TIMEOUT_MS
        )
        self._stop(run, found.tasks, now_ms)
        return found.assignment

    def make_headroom(
        self,
        run: step_run_module.StepRun,
        unseen: need_module.Need,
        now_ms: int,
    ) -> None:
        """Stop tasks of a gang's own workspace that is at its limit."""
        if self.is_held(run.job.definition.workspace):
            return
        if not self._may_preempt(run, now_ms):
            return
        tasks = preemption.plan_limit_preemption(
            self._state, run, unseen, now_ms
        )
        if tasks:
            self._stop(run, tasks, now_ms)

    def _may_preempt(self, run: step_run_module.StepRun, now_ms: int) -> bool:
        if run.awaits_preempted or not self._may_hold(run):
            return False
        if now_ms - run.room_sought_ms < _SEEK_INTERVAL_MS:
            return False
        advice = self._state.advice_terms(run.job.definition)
        slack_ms = self._urgency.slack_ms(run, advice)
        if not -_MAX_OVERDUE_MS <= slack_ms <= _PREEMPTION_SLACK_MS:
            return False
        run.room_sought_ms = now_ms
        return True

    def _may_hold(self, run: step_run_module.StepRun) -> bool:
        # Only a gang that can still end in time holds back other work.
        return (
            run.step.gang
            and len(run.waiting) == run.step.count
            and not run.job.is_beyond_share
            and not self._urgency.is_too_late(run)
        )

    def _stop(
        self,
        run: step_run_module.StepRun,
        tasks: list[task_module.Task],
        now_ms: int,
    ) -> None:
        run.awaits_preempted = True
        run.reserved_until_ms = now_ms + _PREEMPTION_TIMEOUT_MS
        for task in tasks:
            task.preemptions += 1
            self._state.request_stop(task)
        self._state.orders.preemptions.append(
            orders_module.PreemptionNote(run, tasks)
        )
