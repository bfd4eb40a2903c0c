"""Order waiting steps by share, priority and the due time of the job."""

import enum

from basilspindle.workflow import advice_terms
from basilspindle.workflow import definition as definition_module
from basilspindle.workflow import step_run as step_run_module

# The result of a job loses its value after this many times its objective.
MAX_LATENESS_FACTOR = 3
# The objective of a job includes one call for advice about this many workers.
WORKERS_PER_CALL = 30
# A job counts as late once less than this fraction of the declared time of its
# remaining steps is left: declared durations are off by 0.2 to 0.9, so that a
# job with less than all of it left may still be on time.
_LIKELY_FRACTION = 0.75
# A step whose result has lost its value and that has waited for this long
# takes turns with all others, so that it does not wait for ever.
MAX_WAIT_MS = 60_000
# In one of so many turns, such steps come first: after an outage there may be
# many of them, and they get a tenth of the room that becomes free.
_TURNS = 10
_TURN_MS = 1_000
# Before all priorities of queues.
_FIRST_PRIORITY = -1
Key = tuple[bool, int, int, int, str]


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


class _Lateness(enum.IntEnum):
    """Whether a step can still end in time, as far as is known."""

    ON_TIME = 0
    LATE = 1
    WORTHLESS = 2


class Urgency:
    """Sort key of waiting steps at a given time.

    Jobs beyond the share of their workspace come after all others. Within a
    priority, the step whose job is due first comes first. Steps whose jobs
    are late come after those that can be on time, the ones that take the
    least room first, and those whose result has lost its value come last.
    Once they have waited for ``MAX_WAIT_MS``, they come before all others in
    one second of ten.
    """

    __slots__ = ('_now_ms', '_due_ms', '_keys', 'overdue_turn')

    def __init__(self, now_ms: int, due_ms: dict[str, int]) -> None:
        self._now_ms = now_ms
        self._due_ms = due_ms
        # A pass asks for the key of a step several times.
        self._keys: dict[step_run_module.StepRun, Key] = {}
        # Number of the turn of overdue steps, None between two.
        number, position = divmod(now_ms // _TURN_MS, _TURNS)
        self.overdue_turn = None if position else number

    def __call__(self, run: step_run_module.StepRun) -> Key:
        """Return the sort key of a step; smaller keys come first."""
        key = self._keys.get(run)
        if key is None:
            key = self._keys[run] = self._key(run)
        return key

    def forget(self, run: step_run_module.StepRun) -> None:
        """Compute the key of a step anew: its waiting tasks may differ."""
        self._keys.pop(run, None)

    def _key(self, run: step_run_module.StepRun) -> Key:
        job = run.job
        if self.is_overdue_turn(run):
            return (False, _FIRST_PRIORITY, 0, run.ready_ms, run.key)
        lateness = self._lateness(run)
        if lateness is _Lateness.LATE:
            rank = run.work_left_millicore_ms
        else:
            rank = self._due_ms.get(job.job_id, job.accepted_ms)
        return (
            job.is_beyond_share,
            job.definition.priority,
            lateness,
            rank,
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

    def is_overdue_turn(self, run: step_run_module.StepRun) -> bool:
        """Tell whether it is the turn of a step that has waited too long."""
        if self.overdue_turn is None:
            return False
        since_ms = max(run.ready_ms, run.started_ms)
        if not since_ms or self._now_ms - since_ms <= MAX_WAIT_MS:
            return False
        return self.is_too_late(run)

    def _lateness(self, run: step_run_module.StepRun) -> _Lateness:
        if self.is_too_late(run):
            return _Lateness.WORTHLESS
        if run.path_ms is None:
            definition = run.job.definition
            run.path_ms = _path_from_ms(
                definition, run.index, definition.advice
            )
        due_ms = self._due_ms.get(run.job.job_id, run.job.accepted_ms)
        if self._now_ms + run.path_ms * _LIKELY_FRACTION > due_ms:
            return _Lateness.LATE
        return _Lateness.ON_TIME
