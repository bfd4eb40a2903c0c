"""Describe a job as it was accepted."""

import msgspec

from basilspindle.workflow import advice_terms
from basilspindle.workflow import step as step_module


class JobDefinition(msgspec.Struct, frozen=True, array_like=True):
    """What a caller asked for, with the rules of its queue at that time.

    ``workspace`` is '' on a queue open to all. Priority 0 comes first.
    A job is on time within ``stretch`` times its longest chain of work and
    ``target_latency_ms`` more. ``max_attempts`` bounds the failed runs of a
    task. With ``max_runs`` above 0 the steps run that many times, the first
    at ``first_run_ms`` since 1970, the next each ``interval_ms``. ``advice``
    are the terms of the queue, which may be removed while the job lives.
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
