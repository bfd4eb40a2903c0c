"""Accept, look up and cancel jobs."""

import typing

from basilspindle.cell.decisions import admission
from basilspindle.cell.decisions import expected_start
from basilspindle.cell.decisions import retry_promises
from basilspindle.cell.decisions import urgency
from basilspindle.cell import early_cancels
from basilspindle.cell import state as state_module
from basilspindle import errors
from basilspindle.workflow import definition as definition_module
from basilspindle.workflow import job as job_module
from basilspindle.workflow import job_state

# A repeat cannot help, so callers that repeat anyway come back late.
_CANCELLED_RETRY_MS = 10_000


class Intake:
    """Apply job requests of callers to the state of the cell.

    Submission is idempotent: a repeated job id returns the same job.
    """

    __slots__ = ('_state', 'early_cancels')

    def __init__(self, state: state_module.CellState) -> None:
        self._state = state
        self.early_cancels = early_cancels.EarlyCancels()

    def find_state(
        self, job_id: str, workspace: str
    ) -> job_state.JobState | None:
        """Return the recorded state of a job of a workspace, or None."""
        job = self._state.table.jobs.get(job_id)
        if job is not None:
            if job.definition.workspace != workspace:
                return None
            return _visible_state(job)
        ended = self._state.table.ended_jobs.get(job_id)
        if ended is None or ended.workspace != workspace:
            return None
        return ended.state

    def submit(
        self, definition: definition_module.JobDefinition, now_ms: int
    ) -> job_module.Job | None:
        """Return the new or existing job; None if only a record of it is left.

        Raises ``CapacityShort`` if the job could not end in time,
        ``AlreadyCancelled`` if its cancellation came first and ``KeyReused``
        if a job of another workspace has the same id.
        """
        table = self._state.table
        job = table.jobs.get(definition.job_id)
        if job is not None:
            _check_workspace(job.definition.workspace, definition)
            return job
        ended = table.ended_jobs.get(definition.job_id)
        if ended is not None:
            _check_workspace(ended.workspace, definition)
            return None
        if definition.job_id in table.unreadable_job_ids:
            # It was accepted, and a leader that reads its record runs it.
            return None
        if self.early_cancels.has(
            definition.job_id, definition.workspace, now_ms
        ):
            raise errors.AlreadyCancelled(
                f'job {definition.job_id} was cancelled before it arrived; '
                'submit it with another id',
                ran=errors.Ran.NO,
                retry_after_ms=_CANCELLED_RETRY_MS,
                job_id=definition.job_id,
            )
        workspace = self._state.workspace_config(definition.workspace)
        promise = self._state.retry_promises.get(definition.job_id)
        is_beyond_share = admission.is_beyond_share(
            self._state, definition, now_ms
        )
        self._check_backlog(definition, is_beyond_share, now_ms)
        self._state.retry_promises.drop(definition.job_id)
        if not is_beyond_share:
            self._state.share_limiter.consume(workspace, now_ms)
        job = job_module.Job(definition, now_ms)
        job.is_beyond_share = is_beyond_share
        if promise is not None:
            job.first_sent_ms = promise.first_sent_ms
        return self.adopt(job, now_ms)

    def adopt(self, job: job_module.Job, now_ms: int) -> job_module.Job:
        """Add a job accepted by this leader or by an earlier one."""
        state = self._state
        definition = job.definition
        advice = state.advice_terms(definition)
        state.due_times_ms[job.job_id] = (
            job.first_sent_ms + urgency.objective_ms(definition, advice)
        )
        state.table.add(job)
        try:
            state.table.add_ready_steps(job, now_ms)
        except Exception:
            state.table.remove(job)
            state.due_times_ms.pop(job.job_id, None)
            raise
        state.mark_changed(job)
        return job

    def withdraw(self, job: job_module.Job) -> bool:
        """Remove a new job unless it is recorded or part of an append.

        Returns whether no job of its id is recorded or may be: another
        request may have withdrawn this one, and a third one have submitted
        it again since.
        """
        state = self._state
        if job.append_started or job.durable_state is not None:
            return False
        if state.table.jobs.get(job.job_id) is not job:
            return not state.table.knows(job.job_id)
        state.changed_jobs.pop(job.job_id, None)
        if not job.is_beyond_share:
            state.share_limiter.refund(job.definition.workspace)
        state.table.remove(job)
        state.due_times_ms.pop(job.job_id, None)
        return True

    def cancel(self, job_id: str, workspace: str) -> job_module.Job | None:
        """Cancel and return a live job; None if it does not exist."""
        job = self._state.table.jobs.get(job_id)
        if job is None or job.definition.workspace != workspace:
            return None
        self._state.end_job(job, job_state.JobState.CANCELLED)
        return job

    def note_early_cancel(
        self, job_id: str, workspace: str, now_ms: int
    ) -> None:
        """Refuse a job from now on, as its caller was told that it is gone."""
        self.early_cancels.note(job_id, workspace, now_ms)

    def _check_backlog(
        self,
        definition: definition_module.JobDefinition,
        is_beyond_share: bool,
        now_ms: int,
    ) -> None:
        state = self._state
        state.retry_promises.expire(now_ms)
        assessment = admission.assess(
            state, definition, is_beyond_share, now_ms
        )
        expectation = assessment.expectation
        if expectation is None:
            return
        if expectation.first_sent_ms == now_ms:
            state.arrivals.add_submitted(
                definition.pool,
                admission.work_millicore_ms(definition),
                now_ms,
            )
        if assessment.reason is not None:
            self._refuse(
                definition,
                is_beyond_share,
                expectation,
                assessment.reason,
                assessment.retry_ms,
                now_ms,
            )
        state.arrivals.add_accepted(
            definition.pool,
            (is_beyond_share, definition.priority),
            sum(
                step.count * step.reserved.cpu_millicores
                for step in definition.steps
            ),
            now_ms,
        )

    def _refuse(
        self,
        definition: definition_module.JobDefinition,
        is_beyond_share: bool,
        expectation: expected_start.Expectation,
        reason: admission.RefusalReason,
        retry_ms: int,
        now_ms: int,
    ) -> typing.NoReturn:
        self._state.retry_promises.note(
            definition.job_id,
            retry_promises.RetryPromise(
                definition.workspace,
                definition.pool,
                (is_beyond_share, definition.priority),
                sum(
                    step.count * step.reserved.cpu_millicores
                    for step in definition.steps
                    if not step.after
                ),
                expectation.first_sent_ms,
                now_ms + retry_ms,
            ),
        )
        raise errors.CapacityShort(
            f'queue {definition.queue!r} has no room to end the job in time '
            f'({reason}); retry in {retry_ms} ms',
            retry_after_ms=retry_ms,
            job_id=definition.job_id,
            details={
                'reason': reason,
                'workspace': definition.workspace,
                'queue': definition.queue,
                'beyond_share': is_beyond_share,
                'expected_start_in_ms': expectation.start_ms - now_ms,
                'expected_end_in_ms': expectation.end_ms - now_ms,
                'due_in_ms': expectation.due_ms - now_ms,
                'ahead_millicores': expectation.ahead_millicores,
                'free_millicores': expectation.free_millicores,
            },
        )


def _visible_state(job: job_module.Job) -> job_state.JobState | None:
    # A job is accepted only once it is recorded.
    durable = job.durable_state
    if durable is None or durable.is_final:
        return durable
    if job.started:
        return job_state.JobState.RUNNING
    return job_state.JobState.PENDING


def _check_workspace(
    workspace: str, definition: definition_module.JobDefinition
) -> None:
    if workspace != definition.workspace:
        raise errors.KeyReused(
            f'job id {definition.job_id} is already in use; choose another',
            job_id=definition.job_id,
        )
