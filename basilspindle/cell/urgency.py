"""Order steps that wait: share, class, then the time left to be on time."""

from basilspindle.workflow import advice_terms
from basilspindle.workflow import definition as definition_module
from basilspindle.workflow import step_run as step_run_module

# A job is worth nothing once it is later than three times its objective.
MAX_LATENESS_FACTOR = 3
# The objective of a job counts one call for advice on so many workers.
_ADVISED_WORKERS = 30


def critical_path_ms(
    definition: definition_module.JobDefinition,
    advice: advice_terms.AdviceTerms | None,
) -> int:
    """Return the declared time of the longest chain of steps."""
    call_ms = advice.call_ms(_ADVISED_WORKERS) if advice else 0.0
    ends: list[float] = []
    for step in definition.steps:
        begin = max((ends[index] for index in step.after), default=0.0)
        ends.append(begin + step.estimate_ms + call_ms)
    return int(max(ends, default=0.0))


def objective_ms(
    definition: definition_module.JobDefinition,
    advice: advice_terms.AdviceTerms | None,
) -> int:
    """Return the time within which a job is on time."""
    chain = critical_path_ms(definition, advice)
    return int(definition.stretch * chain) + definition.target_latency_ms


class Urgency:
    """Sort key of a waiting step at one moment.

    What workspaces sent beyond their shares comes after all else. Within a
    class, the step whose job has the least time left comes first;
    one that can no longer end in time to count comes after all others of
    its class, so that it holds back nothing that can.
    """

    __slots__ = ('_now_ms', '_due_ms')

    def __init__(self, now_ms: int, due_ms: dict[str, int]) -> None:
        self._now_ms = now_ms
        self._due_ms = due_ms

    def __call__(
        self, run: step_run_module.StepRun
    ) -> tuple[bool, int, bool, int, str]:
        """Return the key; smaller comes first."""
        job = run.job
        due_ms = self._due_ms.get(job.job_id, job.accepted_ms)
        span_ms = due_ms - job.accepted_ms
        last_ms = job.accepted_ms + MAX_LATENESS_FACTOR * span_ms
        lost = self._now_ms + run.step.estimate_ms > last_ms
        priority = job.definition.priority
        return (job.is_beyond_share, priority, lost, due_ms, run.key)
