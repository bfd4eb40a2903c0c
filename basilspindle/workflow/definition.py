"""Define a job as it was accepted."""

import msgspec

from basilspindle.workflow import advice_terms
from basilspindle.workflow import step as step_module

# Most tasks of a job in one occurrence, over all steps.
MAX_TASKS = 10_000


class JobDefinition(msgspec.Struct, frozen=True, array_like=True):
    """Request of a caller and the settings of its queue at that time.

    ``workspace`` is '' on a queue open to all. The lowest ``priority`` value
    is scheduled first. A job is on time if it completes within ``stretch``
    times the duration of its critical path plus ``target_latency_ms``.
    ``max_attempts`` limits the failed runs of a task. If ``max_runs`` is
    above 0, the job recurs: its steps run that many times, first at
    ``first_run_ms`` (Unix time), then every ``interval_ms``. ``advice`` is
    copied from the queue, which may be removed while the job is live.
    """

    job_id: str
    workspace: str
    queue: str
    pool: str
    payload: str
    steps: tuple[step_module.Step, ...]
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0
    accepted_wall_ms: int = 0
    max_runs: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0
    advice: advice_terms.AdviceTerms | None = None
