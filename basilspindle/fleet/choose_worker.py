"""Define the signature of the policy that selects a worker."""

import collections.abc

from basilspindle import model
from basilspindle import policy

# Returns one of the given workers, or None if the task fits on none.
ChooseWorker = collections.abc.Callable[
    [model.TaskOrder, collections.abc.Sequence[policy.WorkerView]],
    policy.WorkerView | None,
]
