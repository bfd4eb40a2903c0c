"""Name the function that chooses a worker."""

import collections.abc

from basilspindle import model
from basilspindle import policy

ChooseWorker = collections.abc.Callable[
    [model.TaskOrder, collections.abc.Sequence[policy.WorkerView]],
    policy.WorkerView | None,
]
