"""Order waiting steps by share, priority and the due time of the job."""

from basilspindle.workflow import advice_terms
from basilspindle.workflow import definition as definition_module
from basilspindle.workflow import step_run as step_run_module

# The result of a job loses its value after this many times its objective.
MAX_LATENESS_FACTOR = 3
# The objective of a job includes one call for advice about this many workers.
WORKERS_PER_CALL = 30


def critical_path_ms(
    definition: definition_module.JobDefinition,
    advice: advice_terms.AdviceTerms | None,
) -> int:
    """Return the estimated time of the longest chain of dependent steps."""
    call_ms = advice.call_ms(WORKERS_PER_CALL) if advice else 0.0
    finish_ms: list[float] = []
    for step in definition.steps:
        start_ms = max((finish_ms[index] for index in step.after), default=0.0)
        finish_ms.append(start_ms + step.estimate_ms + call_ms)
    return int(max(finish_ms, default=0.0))


def _path_from_ms(
    definition: definition_module.JobDefinition,
    index: int,
    advice: advice_terms.AdviceTerms | None,
) -> float:
    # Estimated time from the start of a step to the end of the job.
    call_ms = advice.call_ms(WORKERS_PER_CALL) if advice else 0.0
    finish_ms = {index: float(definition.steps[index].estimate_ms)}
    for number, step in enumerate(definition.steps):
        before = [
            finish_ms[other] for other in step.after if other in finish_ms
        ]
        if before and number not in finish_ms:
            finish_ms[number] = max(before) + step.estimate_ms + call_ms
    return max(finish_ms.values())


def objective_ms(
    definition: definition_module.JobDefinition,
    advice: advice_terms.AdviceTerms | None,
) -> int:
    """Return the time from acceptance within which a job is on time."""
    path_ms = critical_path_ms(definition, advice)
    return int(definition.stretch * path_ms) + definition.target_latency_ms


class Urgency:
    """Sort key of waiting steps at a given time.

    Jobs beyond the share of their workspace come after all others. Within a
    priority, the step whose job is due first comes first. Steps that can no
    longer end before the result loses its value come last in their priority,
    so that they don't delay steps that can.
    """

    __slots__ = ('_now_ms', '_due_ms')

    def __init__(self, now_ms: int, due_ms: dict[str, int]) -> None:
        self._now_ms = now_ms
        self._due_ms = due_ms

    def __call__(
        self, run: step_run_module.StepRun
    ) -> tuple[bool, int, bool, int, str]:
        """Return the sort key of a step; smaller keys come first."""
        job = run.job
        return (
            job.is_beyond_share,
            job.definition.priority,
            self.is_too_late(run),
            self._due_ms.get(job.job_id, job.accepted_ms),
            run.key,
        )

    def slack_ms(
        self,
        run: step_run_module.StepRun,
        advice: advice_terms.AdviceTerms | None,
    ) -> float:
        """Return how much later a step may start and its job be on time."""
        job = run.job
        due_ms = self._due_ms.get(job.job_id, job.accepted_ms)
        path_ms = _path_from_ms(job.definition, run.index, advice)
        return due_ms - self._now_ms - path_ms

    def is_too_late(self, run: step_run_module.StepRun) -> bool:
        """Tell whether the result has no value by the end of a step."""
        job = run.job
        span_ms = self._due_ms.get(job.job_id, job.first_sent_ms) - (
            job.first_sent_ms
        )
        cutoff_ms = job.first_sent_ms + MAX_LATENESS_FACTOR * span_ms
        return self._now_ms + run.step.estimate_ms > cutoff_ms
