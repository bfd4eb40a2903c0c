"""Order the queue and place tasks; no I/O, the caller passes the time."""

from basilspindle.policy.choose import choose
from basilspindle.policy.fair_queue import FairQueue
from basilspindle.policy.fit import unschedulable_reason
from basilspindle.policy.gang_plan import GangPlan
from basilspindle.policy.least_loaded import LeastLoaded
from basilspindle.policy.pack import Pack
from basilspindle.policy.pick import Pick
from basilspindle.policy.placer import Placer
from basilspindle.policy.rank import policy_for
from basilspindle.policy.room_estimate import max_tasks_in
from basilspindle.policy.spread import Spread
from basilspindle.policy.usage_estimate import UsageEstimate
from basilspindle.policy.worker_view import WorkerView
from basilspindle.policy.workspace_policy import WorkspacePolicy

__all__ = [
    'FairQueue',
    'GangPlan',
    'LeastLoaded',
    'Pack',
    'Pick',
    'Placer',
    'Spread',
    'UsageEstimate',
    'WorkerView',
    'WorkspacePolicy',
    'choose',
    'max_tasks_in',
    'policy_for',
    'unschedulable_reason',
]
