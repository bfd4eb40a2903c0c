"""Make room for urgent steps that would be late otherwise.

For a fleet that is nearly full, or a workspace near its limit: smaller tasks
take each part of either as soon as it is free, and a gang needs its whole
room at once. Other steps get room only where a stop costs less than the wait.
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
# A stop of a task and its start elsewhere cost its cores about this long: the
# stop takes up to 900 ms, and what was done since the latest checkpoint, up to
# a second, is done again. A step that isn't a gang gets no room for less work.
_STOP_COST_MS = 2_000
# Tasks that may be stopped within a second, and at once: with 2 cores each, a
# second of 50 stops costs 200 core-seconds, 7% of a second of 176 workers of
# 16 cores. A gang of 40 tasks may need all that it displaces at once.
_MAX_STOPS_PER_S = 50
_MAX_STOPS_AT_ONCE = 100
# A look for tasks that may give way visits all tasks of the fleet, and is not
# repeated for a step earlier than this.
_SEEK_INTERVAL_MS = 500


class GangRoom:
    """Hold limits, reserve room and stop tasks for urgent steps of a cell."""

    __slots__ = (
        '_state',
        '_limit_hold',
        '_urgency',
        '_stops_left',
        '_stops_refilled_ms',
    )

    def __init__(self, state: state_module.CellState) -> None:
        self._state = state
        self._limit_hold = limit_hold.LimitHold(state)
        self._urgency = urgency_module.Urgency(0, state.due_times_ms)
        self._stops_left = float(_MAX_STOPS_AT_ONCE)
        self._stops_refilled_ms = 0

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
        if found is None or not _is_worth(run, found.tasks):
            return {}
        if not self._may_stop(len(found.tasks), now_ms):
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
        """Stop tasks of a step's own workspace that is at its limit."""
        if self.is_held(run.job.definition.workspace):
            return
        if not self._may_preempt(run, now_ms):
            return
        tasks = preemption.plan_limit_preemption(
            self._state, run, unseen, now_ms
        )
        if tasks and self._may_stop(len(tasks), now_ms):
            self._stop(run, tasks, now_ms)

    def _may_stop(self, tasks: int, now_ms: int) -> bool:
        elapsed_ms = max(0, now_ms - self._stops_refilled_ms)
        self._stops_refilled_ms = now_ms
        self._stops_left = min(
            self._stops_left + elapsed_ms / 1000 * _MAX_STOPS_PER_S,
            float(_MAX_STOPS_AT_ONCE),
        )
        if tasks > self._stops_left:
            return False
        self._stops_left -= tasks
        return True

    def _may_preempt(self, run: step_run_module.StepRun, now_ms: int) -> bool:
        if run.awaits_preempted:
            return False
        if not self._may_hold(run) and not self._may_displace(run):
            return False
        if now_ms - run.room_sought_ms < _SEEK_INTERVAL_MS:
            return False
        advice = self._state.advice_terms(run.job.definition)
        slack_ms = self._urgency.slack_ms(run, advice)
        if run.step.gang:
            shortest_ms = -_MAX_OVERDUE_MS
        else:
            # Only a stop that ends in time helps.
            shortest_ms = self._state.bounds.stop_ms
        if not shortest_ms <= slack_ms <= _PREEMPTION_SLACK_MS:
            if not self._urgency.is_overdue_turn(run):
                return False
        run.room_sought_ms = now_ms
        return True

    def _may_displace(self, run: step_run_module.StepRun) -> bool:
        # The tasks that give way lose about as many cores for the time of a
        # stop and a restart as the step needs for its own tasks.
        step = run.step
        return (
            not step.gang
            and not step.service
            and not step.fills
            and not step.speculative
            and step.estimate_ms >= _STOP_COST_MS
            and not run.is_limited_by_workspace
            and not run.job.is_beyond_share
            and not self._urgency.is_too_late(run)
        )

    def _may_hold(self, run: step_run_module.StepRun) -> bool:
        # Only a gang that can still end in time holds back other work, and
        # one that has waited for as long as any step may.
        if not run.step.gang or len(run.waiting) != run.step.count:
            return False
        if self._urgency.is_overdue_turn(run):
            return True
        return not run.job.is_beyond_share and not (
            self._urgency.is_too_late(run)
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


def _is_worth(
    run: step_run_module.StepRun, tasks: list[task_module.Task]
) -> bool:
    # A gang has no other way to its room. Any other step gets what becomes
    # free anyway, so that stops have to cost less than its own work.
    if run.step.gang:
        return True
    millicores = sum(
        task.step_run.step.reserved.cpu_millicores for task in tasks
    )
    return 0 < millicores * _STOP_COST_MS <= run.work_left_millicore_ms
