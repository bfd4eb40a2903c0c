"""Accept, look up and cancel jobs."""

from basilspindle.cell.decisions import admission
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

        Raises ``Overloaded`` if the job could not end in time,
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
        limiter = self._state.share_limiter
        is_beyond_share = limiter.is_beyond(workspace, now_ms)
        self._check_backlog(definition, is_beyond_share)
        if not is_beyond_share:
            limiter.consume(workspace, now_ms)
        job = job_module.Job(definition, now_ms)
        job.is_beyond_share = is_beyond_share
        return self.adopt(job, now_ms)

    def adopt(self, job: job_module.Job, now_ms: int) -> job_module.Job:
        """Add a job accepted by this leader or by an earlier one."""
        state = self._state
        definition = job.definition
        advice = state.advice_terms(definition)
        state.due_times_ms[job.job_id] = (
            job.accepted_ms + urgency.objective_ms(definition, advice)
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
    ) -> None:
        state = self._state
        if definition.max_runs or any(
            step.service for step in definition.steps
        ):
            return
        advice = state.advice_terms(definition)
        critical_path_ms = urgency.critical_path_ms(definition, advice)
        objective_ms = urgency.objective_ms(definition, advice)
        # A job beyond the share is accepted only if it would be on time, any
        # other one also if it would be late but still have value.
        lateness_factor = 1 if is_beyond_share else urgency.MAX_LATENESS_FACTOR
        retry_ms = admission.refusal_retry_ms(
            self._backlog_ahead(definition, is_beyond_share),
            lateness_factor * objective_ms - critical_path_ms,
            definition.job_id,
        )
        if retry_ms is not None:
            raise errors.Overloaded(
                f'queue {definition.queue!r} has too much waiting work to end '
                f'the job in time; retry in {retry_ms} ms',
                ran=errors.Ran.NO,
                retry_after_ms=retry_ms,
                job_id=definition.job_id,
            )

    def _backlog_ahead(
        self,
        definition: definition_module.JobDefinition,
        is_beyond_share: bool,
    ) -> admission.Backlog:
        state = self._state
        capacities = [
            worker.capacity
            for worker in state.workers.values()
            if worker.listed
            and worker.pool == definition.pool
            and not state.is_closed(worker)
        ]
        kinds = set(capacities)
        waiting_core_ms = 0.0
        for run in state.table.ready_steps.values():
            other = run.job.definition
            if other.pool != definition.pool:
                continue
            # Tasks that no worker can hold delay nothing.
            if not any(run.step.need.fits(capacity) for capacity in kinds):
                continue
            # Steps that rank after this job do not delay it.
            if run.job.is_beyond_share and not is_beyond_share:
                continue
            if other.priority > definition.priority:
                if run.job.is_beyond_share or not is_beyond_share:
                    continue
            step = run.step
            waiting_core_ms += (
                len(run.waiting)
                * step.need.cpu_millicores
                / 1000
                * step.estimate_ms
            )
        cores = sum(capacity.cpu_millicores / 1000 for capacity in capacities)
        return admission.Backlog(waiting_core_ms, cores)


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
