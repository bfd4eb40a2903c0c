"""Collect the records of each append and apply its confirmation."""

import asyncio
import collections.abc

from basilspindle.cell import events as cell_events
from basilspindle.cell import intake as intake_module
from basilspindle.cell import job_table
from basilspindle.cell import journal as journal_module
from basilspindle.cell import metrics
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.workflow import job as job_module
from basilspindle.workflow import job_state
from basilspindle.workflow import progress as progress_module


class Recorder:
    """Fill the batches of the journal and wake the waiters of each append.

    ``collect`` and ``apply`` are the callbacks of the journal.
    ``on_new_work_recorded`` is called after an append that recorded a job, an
    occurrence of it or a worker for the first time.
    """

    __slots__ = (
        '_state',
        '_clock',
        '_intake',
        '_on_new_work_recorded',
        '_waiters',
        '_append_confirmed',
        'expired_job_ids',
        'worker_addresses',
        'worker_addresses_changed',
    )

    def __init__(
        self,
        state: state_module.CellState,
        clock: clock_module.Clock,
        intake: intake_module.Intake,
        on_new_work_recorded: collections.abc.Callable[[], None],
    ) -> None:
        self._state = state
        self._clock = clock
        self._intake = intake
        self._on_new_work_recorded = on_new_work_recorded
        self._waiters: dict[str, list[asyncio.Future[None]]] = {}
        self._append_confirmed = asyncio.Event()
        # Ids of ended jobs whose records are to be deleted.
        self.expired_job_ids: list[str] = []
        # Addresses of the workers that may run tasks, by worker id.
        self.worker_addresses: dict[str, str] = {}
        self.worker_addresses_changed = False

    def recover(self, recovered: journal_module.RecoveredState) -> None:
        """Restore the state that an earlier leader recorded."""
        now_ms = self._clock.now_ms()
        wall_ms = self._clock.wall_ms()
        state = self._state
        for definition, progress in recovered.jobs:
            try:
                job = progress_module.restore(
                    definition, progress, now_ms, wall_ms
                )
            except errors.RecordUnreadable as error:
                # The records stay in the store for a build that reads them.
                events.emit(
                    cell_events.RECORD_UNREADABLE,
                    key=definition.job_id,
                    error=error.message,
                )
                continue
            self._intake.adopt(job, now_ms)
        state.changed_jobs.clear()
        for job_id, record in recovered.ended_jobs.items():
            state.table.ended_jobs[job_id] = job_table.EndedJob(
                record.workspace,
                record.queue,
                record.state,
                record.ended_wall_ms,
            )
        self.worker_addresses = dict(recovered.worker_addresses)

    def note_report(self, worker: worker_module.Worker) -> None:
        """Have the log name a worker that has or may get runs.

        It is named with the address of its answer. A later leader waits for
        the report of each worker that the log names, in vain if it has left
        meanwhile, so a draining one is named only as long as it has runs.
        """
        if not (worker.ready or worker.tasks or worker.unexpected_runs):
            self.forget_worker(worker)
            return
        address = worker.answered_address
        if self.worker_addresses.get(worker.worker_id) != address:
            self.worker_addresses[worker.worker_id] = address
            self.worker_addresses_changed = True
            worker.is_recorded = False

    def forget_worker(self, worker: worker_module.Worker) -> None:
        """Have the log not name a worker that certainly has no runs."""
        worker.is_recorded = False
        if self.worker_addresses.pop(worker.worker_id, None) is not None:
            self.worker_addresses_changed = True

    def collect(self) -> journal_module.Batch:
        """Return the records of the next append."""
        batch = journal_module.Batch()
        wall_ms = self._clock.wall_ms()
        for worker in self._state.workers.values():
            if worker.applied_end_number != worker.recorded_end_number:
                batch.ends[worker.worker_id] = (
                    worker.born_wall_ms,
                    worker.applied_end_number,
                )
        for job_id in list(self._state.changed_jobs):
            job = self._state.changed_jobs.pop(job_id)
            journal_module.put_job(batch, job, wall_ms)
            if journal_module.is_full(batch):
                # Acknowledge no run ends yet: some may belong to jobs that
                # did not fit into this batch.
                batch.ends.clear()
                break
        for job_id in self.expired_job_ids:
            journal_module.put_tombstone(batch, job_id)
        self.expired_job_ids = []
        if self.worker_addresses_changed:
            self.worker_addresses_changed = False
            journal_module.put_worker_addresses(batch, self.worker_addresses)
            batch.worker_addresses = dict(self.worker_addresses)
        return batch

    def apply(self, batch: journal_module.Batch) -> None:
        """Apply the confirmation of an append."""
        has_new_work = False
        for job, state, occurrences in batch.jobs:
            has_new_work |= (
                job.durable_state is None
                or occurrences > job.durable_occurrences
            )
            job.durable_occurrences = max(job.durable_occurrences, occurrences)
            self._apply_job(job, state)
        for worker_id, (born_wall_ms, number) in batch.ends.items():
            worker = self._state.workers.get(worker_id)
            if worker is not None and worker.born_wall_ms == born_wall_ms:
                worker.recorded_end_number = max(
                    worker.recorded_end_number, number
                )
        for worker_id, address in batch.worker_addresses.items():
            worker = self._state.workers.get(worker_id)
            if worker is None or worker.is_recorded:
                continue
            if worker.answered_address == address:
                worker.is_recorded = has_new_work = True
                self._state.freed_workers.add(worker_id)
        confirmed, self._append_confirmed = (
            self._append_confirmed,
            asyncio.Event(),
        )
        confirmed.set()
        if has_new_work:
            self._on_new_work_recorded()

    def _apply_job(
        self, job: job_module.Job, state: job_state.JobState
    ) -> None:
        # From the submission, which creates the job, to this confirmation.
        took_ms = self._clock.now_ms() - job.accepted_ms
        if job.durable_state is None:
            metrics.ACCEPT_SECONDS.observe(took_ms / 1000)
            events.emit(
                cell_events.JOB_ACCEPTED,
                job=job.job_id,
                queue=job.definition.queue,
                workspace=job.definition.workspace,
                beyond_share=job.is_beyond_share,
                took_ms=took_ms,
            )
        if state.is_final and job.durable_state is not state:
            metrics.JOBS_ENDED.labels(state.value).inc()
            metrics.JOB_SECONDS.observe(took_ms / 1000)
            events.emit(
                cell_events.JOB_ENDED,
                job=job.job_id,
                state=state,
                took_ms=took_ms,
            )
        job.durable_state = state
        if state.is_final and not job.occupying_tasks:
            self.forget(job)
        # If the job has ended since this batch was collected, its waiters wait
        # for the append of the final state.
        if state.is_final or not job.state.is_final:
            for future in self._waiters.pop(job.job_id, ()):
                if not future.done():
                    future.set_result(None)

    def forget(self, job: job_module.Job) -> None:
        """Drop an ended job, except for its final state."""
        self._state.table.archive(job, job.final_wall_ms)
        self._state.due_times_ms.pop(job.job_id, None)

    def forget_ended(self) -> None:
        """Drop the recorded ended jobs that no longer occupy a worker."""
        ended = [
            job
            for job in self._state.table.jobs.values()
            if job.durable_state is not None
            and job.durable_state.is_final
            and not job.occupying_tasks
            and job.job_id not in self._state.changed_jobs
        ]
        for job in ended:
            self.forget(job)

    async def wait_for_job(self, job: job_module.Job, timeout_ms: int) -> None:
        """Wait until the store holds the current state of a job.

        Raises ``NotReady`` if the job was withdrawn, ``Deposed`` if the
        leader changed and ``DeadlineExceeded`` on timeout.
        """
        future = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(job.job_id, []).append(future)
        await self._clock.wait_for(future, timeout_ms)

    async def wait_for_ends(
        self, worker: worker_module.Worker, timeout_ms: int
    ) -> None:
        """Wait up to a timeout until all run ends of a worker are recorded."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        while worker.applied_end_number != worker.recorded_end_number:
            remaining_ms = deadline_ms - self._clock.now_ms()
            try:
                await self._clock.wait_for(
                    self._append_confirmed.wait(), remaining_ms
                )
            except errors.DeadlineExceeded:
                # The worker reports the run ends again, so none is lost.
                return

    def withdraw_unsent(self) -> None:
        """Refuse the new jobs that are not part of any append yet.

        Called when the store does not answer.
        """
        for job_id in list(self._waiters):
            job = self._state.table.jobs.get(job_id)
            if job is None or not self._intake.withdraw(job):
                continue
            self._fail(job_id, errors.NotReady('the store does not answer'))

    def close(self) -> None:
        """Fail all waiters, since the leader changed."""
        for job_id in list(self._waiters):
            self._fail(job_id, errors.Deposed('the leader changed; ask again'))

    def _fail(self, job_id: str, error: errors.BasilspindleError) -> None:
        for future in self._waiters.pop(job_id):
            if not future.done():
                future.set_exception(error)
                # Keeps asyncio from logging an exception that was never
                # retrieved, in case the waiter has given up.
                future.exception()
