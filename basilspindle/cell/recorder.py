"""Collect the records of each append and apply its confirmation."""

import asyncio
import collections.abc
import typing

from basilspindle.cell import claim as claim_module
from basilspindle.cell import ends as ends_module
from basilspindle.cell import events as cell_events
from basilspindle.cell import intake as intake_module
from basilspindle.cell import job_table
from basilspindle.cell import journal as journal_module
from basilspindle.cell import metrics
from basilspindle.cell import orders as orders_module
from basilspindle.cell import placements as placements_module
from basilspindle.cell import report as report_module
from basilspindle.cell import start_copies
from basilspindle.cell import state as state_module
from basilspindle.cell import unseen
from basilspindle.cell import worker as worker_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.workflow import job as job_module
from basilspindle.workflow import job_state
from basilspindle.workflow import need as need_module
from basilspindle.workflow import progress as progress_module
from basilspindle.workflow import task as task_module

# A job whose records could not be written is tried again after this time.
_FAILED_JOB_RETRY_MS = 1_000
_MAX_ERROR_CHARS = 200
# A predecessor that is cut off ends all leases 25.3 s after its successor
# began. Until then a stop may not have arrived.
_MAX_STOPPING_MS = 30_000


class Recorder:
    """Fill the batches of the journal and wake the waiters of each append.

    ``collect`` and ``apply`` are the callbacks of the journal.
    ``on_new_work_recorded`` is called after an append that recorded a job, an
    occurrence of it or a worker for the first time, ``on_start_recorded`` for
    each order that may be sent now.
    """

    __slots__ = (
        '_state',
        '_clock',
        '_term',
        '_intake',
        '_confirmed_addresses',
        '_confirmed_waits',
        '_awaited_in_log',
        '_on_new_work_recorded',
        '_waiters',
        '_append_confirmed',
        '_append_waiters',
        '_all_append_waiters',
        '_attributed_ends',
        '_ended_jobs',
        '_stopping_in_log',
        '_failed_jobs',
        '_failed_job_retry_ms',
        'expired_job_ids',
        'worker_addresses',
        'worker_addresses_changed',
        'settled_lives',
        '_settled_lives_changed',
        'capacities',
        '_capacities_changed',
        'placements',
        '_on_start_recorded',
        '_copy_keepers',
    )

    def __init__(
        self,
        state: state_module.CellState,
        clock: clock_module.Clock,
        term: int,
        intake: intake_module.Intake,
        on_new_work_recorded: collections.abc.Callable[[], None],
        on_start_recorded: collections.abc.Callable[
            [orders_module.StartOrder], None
        ]
        | None = None,
        copy_keepers: start_copies.CopyKeepers | None = None,
    ) -> None:
        self._state = state
        self._clock = clock
        self._term = term
        self._intake = intake
        self._on_new_work_recorded = on_new_work_recorded
        self._on_start_recorded = on_start_recorded
        self._copy_keepers = copy_keepers
        self.placements = placements_module.Placements(state, term)
        self._waiters: dict[str, list[asyncio.Future[None]]] = {}
        self._append_confirmed = asyncio.Event()
        # Those of the next append to be collected.
        self._append_waiters: list[asyncio.Future[None]] = []
        # These, and those of the append in flight.
        self._all_append_waiters: set[asyncio.Future[None]] = set()
        # Those of which the log holds records that are to be deleted.
        self._attributed_ends: list[report_module.RunEnd] = []
        # Jobs that have ended and may still run tasks, by id, and what they
        # may run on workers that have not reported.
        self._ended_jobs: dict[
            str, tuple[job_module.Job, need_module.Need]
        ] = {}
        # What the newest record tells of them, by workspace.
        self._stopping_in_log: dict[str, need_module.Need] = {}
        # Jobs whose records could not be written, by id, and when they are
        # tried again.
        self._failed_jobs: dict[str, job_module.Job] = {}
        self._failed_job_retry_ms = 0
        # Ids of ended jobs whose records are to be deleted.
        self.expired_job_ids: list[str] = []
        # Addresses of the workers that may run tasks, by worker id.
        self.worker_addresses: dict[str, str] = {}
        self.worker_addresses_changed = False
        # Start times of the workers with a settled life, by worker id.
        self.settled_lives: dict[str, int] = {}
        self._settled_lives_changed = False
        # What the workers have room for, by worker id.
        self.capacities: dict[str, need_module.Need] = {}
        self._capacities_changed = False
        # The addresses that the log holds.
        self._confirmed_addresses: dict[str, str] = {}
        self._confirmed_waits: journal_module.WaitsRecord | None = None
        # Ids of the workers for which the log tells, or may tell after the
        # append in flight, that a leader waits for them.
        self._awaited_in_log: set[str] = set()

    def recover(
        self,
        recovered: journal_module.RecoveredState,
        previous: claim_module.Claim | None = None,
        copies: collections.abc.Iterable[start_copies.Start] | None = (),
    ) -> None:
        """Restore the state that an earlier leader recorded.

        ``copies`` are starts that the log may not hold, None if there may be
        some that nobody tells of.
        """
        now_ms = self._clock.now_ms()
        wall_ms = self._clock.wall_ms()
        state = self._state
        for definition, parts in recovered.jobs:
            try:
                progress = progress_module.join(parts) if parts else None
                job = progress_module.restore(
                    definition, progress, now_ms, wall_ms
                )
                job.recorded_parts = set(
                    recovered.part_numbers.get(job.job_id, ())
                )
                job.progress_mark = progress.mark if progress else 0
                self._intake.adopt(job, now_ms)
            except Exception as error:
                # Any error costs this job only: the next leader reads the
                # same records. They stay in the store for a build that reads
                # them.
                events.emit(
                    cell_events.RECORD_UNREADABLE,
                    key=definition.job_id,
                    error=repr(error)[:_MAX_ERROR_CHARS],
                )
                state.table.unreadable_job_ids.add(definition.job_id)
        state.changed_jobs.clear()
        state.table.unreadable_job_ids |= recovered.unreadable_job_ids
        for end in recovered.unattributed_ends:
            job_id = task_module.job_id_of(end.name)
            if job_id not in state.table.unreadable_job_ids:
                ends_module.apply_recorded_end(state, end, now_ms)
                self._attributed_ends.append(end)
        for job_id, record in recovered.ended_jobs.items():
            state.table.ended_jobs[job_id] = job_table.EndedJob(
                record.workspace,
                record.queue,
                record.state,
                record.ended_wall_ms,
            )
        for job_id, workspaces in recovered.early_cancels.items():
            self._intake.early_cancels.restore(job_id, workspaces, now_ms)
        if stopping := recovered.stopping:
            self._stopping_in_log = stopping.usage
            if wall_ms - stopping.wall_ms < _MAX_STOPPING_MS:
                state.stopping_usage = dict(stopping.usage)
        self.worker_addresses = dict(recovered.worker_addresses)
        self._confirmed_addresses = dict(recovered.worker_addresses)
        self.settled_lives = dict(recovered.settled_lives)
        self.capacities = dict(recovered.capacities)
        self._confirmed_waits = recovered.waits
        if recovered.waits is not None:
            self._awaited_in_log = set(recovered.waits.remaining_ms)
        self.placements.recover(
            recovered.placements,
            self.worker_addresses,
            previous.first_recording_term
            if previous and copies is not None
            else None,
            copies or (),
        )

    def recovered_waits_ms(
        self,
        previous: claim_module.Claim | None,
        longest_ms: int,
    ) -> dict[str, int] | None:
        """Return how long the previous leader waited on, by worker id.

        No value is above ``longest_ms``, the longest wait of a leader.
        None if the log does not tell: that leader has appended nothing, or
        is of a build that does not record it.
        """
        waits = self._confirmed_waits
        if previous is None or waits is None or waits.term != previous.term:
            return None
        return {
            worker_id: min(remaining_ms, longest_ms)
            for worker_id, remaining_ms in waits.remaining_ms.items()
        }

    def is_awaited_in_log(self, worker_id: str) -> bool:
        """Tell whether a successor would only continue a leader's wait."""
        return worker_id in self._awaited_in_log

    def has_worker_changes(self, worker: worker_module.Worker) -> bool:
        """Tell whether the log has yet to tell of a worker's report."""
        return (
            self.worker_addresses_changed
            or self._capacities_changed
            or worker.worker_id in self._awaited_in_log
            or (
                not worker.is_recorded
                and worker.worker_id in self.worker_addresses
            )
        )

    def note_report(self, worker: worker_module.Worker) -> None:
        """Have the log name a worker that has or may get runs.

        It is named with the address of its answer. A later leader waits for
        the report of each worker that the log names, in vain if it has left
        meanwhile, so a draining one is named only as long as it has runs or
        ends that the log lacks.
        """
        if not (
            worker.ready
            or worker.tasks
            or worker.unexpected_runs
            or not worker.reported
            or worker.applied_end_number != worker.recorded_end_number
        ):
            self.forget_worker(worker)
            return
        if worker.has_settled_life and worker.born_wall_ms:
            self._note_settled_life(worker)
        self._note_capacity(worker)
        address = worker.answered_address
        if self.worker_addresses.get(worker.worker_id) != address:
            self.worker_addresses[worker.worker_id] = address
            self.worker_addresses_changed = True
            worker.is_recorded = False

    def _note_settled_life(self, worker: worker_module.Worker) -> None:
        # Recorded with any next append: without it, a later leader reckons
        # with a longer lease.
        if self.settled_lives.get(worker.worker_id) != worker.born_wall_ms:
            self.settled_lives[worker.worker_id] = worker.born_wall_ms
            self._settled_lives_changed = True

    def _note_capacity(self, worker: worker_module.Worker) -> None:
        # A later leader bounds by it what may run on a worker that has left.
        known = self.capacities.get(worker.worker_id)
        if worker.capacity.cpu_millicores and worker.capacity != known:
            self.capacities[worker.worker_id] = worker.capacity
            self._capacities_changed = True

    def forget_worker(self, worker: worker_module.Worker) -> None:
        """Have the log not name a worker that certainly has no runs."""
        worker.is_recorded = False
        if self.worker_addresses.pop(worker.worker_id, None) is not None:
            self.worker_addresses_changed = True
        if self.settled_lives.pop(worker.worker_id, None) is not None:
            self._settled_lives_changed = True
        if self.capacities.pop(worker.worker_id, None) is not None:
            self._capacities_changed = True
        worker.recorded_capacity = None
        self.placements.forget(worker)

    def collect(
        self, place: collections.abc.Callable[[], None] | None = None
    ) -> journal_module.Batch:
        """Return the records of the next append.

        ``place`` is called once the batch has the new jobs, so that it can
        record where their tasks start as well.
        """
        batch = journal_module.Batch()
        wall_ms = self._clock.wall_ms()
        for worker in self._state.workers.values():
            if worker.applied_end_number != worker.recorded_end_number:
                batch.ends[worker.worker_id] = (
                    worker.born_wall_ms,
                    worker.applied_end_number,
                )
        # Before the jobs, as they are not bounded by the size of the batch.
        cancels = self._intake.early_cancels.take_changed()
        for job_id, workspaces in cancels.items():
            self._try_put(
                batch,
                job_id,
                journal_module.put_early_cancel,
                job_id,
                workspaces,
            )
        self._collect_unattributed_ends(batch)
        self._retry_failed_jobs()
        for job_id in list(self._state.changed_jobs):
            job = self._state.changed_jobs.pop(job_id)
            if self._try_put(
                batch, job_id, journal_module.put_job, job, wall_ms
            ):
                self._failed_jobs.pop(job_id, None)
            else:
                self._failed_jobs[job_id] = job
            if job.state.is_final:
                self._note_ended(job)
            if journal_module.is_full(batch):
                # Acknowledge no run ends yet: some may belong to jobs that
                # did not fit into this batch.
                batch.ends.clear()
                break
        if self._failed_jobs:
            # Some ends may belong to these jobs.
            batch.ends.clear()
        elif not self._state.changed_jobs:
            # The progress of their jobs is part of this append.
            for end in self._attributed_ends:
                self._try_put(
                    batch,
                    end.name,
                    journal_module.remove_unattributed_end,
                    end,
                )
            self._attributed_ends = []
        if place is not None:
            place()
        has_all_progress = not (self._failed_jobs or self._state.changed_jobs)
        self.placements.collect(batch, has_all_progress)
        if self._copy_keepers is not None:
            self._copy_keepers.collect(batch, has_all_progress)
        while self.expired_job_ids and not journal_module.is_full(batch):
            job_id = self.expired_job_ids.pop()
            if self._state.table.knows(job_id):
                # The id is used again, and its end may be recorded by now.
                continue
            self._try_put(batch, job_id, journal_module.put_tombstone, job_id)
        if self.worker_addresses_changed:
            self.worker_addresses_changed = False
            journal_module.put_worker_addresses(batch, self.worker_addresses)
            batch.worker_addresses = dict(self.worker_addresses)
        if self._settled_lives_changed:
            self._settled_lives_changed = False
            journal_module.put_settled_lives(batch, self.settled_lives)
        if self._capacities_changed:
            self._capacities_changed = False
            journal_module.put_capacities(batch, self.capacities)
            batch.capacities = dict(self.capacities)
        self._collect_waits(batch)
        self._collect_stopping(batch, wall_ms)
        batch.waiters, self._append_waiters = self._append_waiters, []
        return batch

    def _collect_unattributed_ends(self, batch: journal_module.Batch) -> None:
        unrecorded = self._state.unattributed_ends
        while unrecorded:
            if journal_module.is_full(batch):
                batch.ends.clear()
                return
            end = unrecorded.pop()
            self._try_put(
                batch, end.name, journal_module.put_unattributed_end, end
            )

    def _retry_failed_jobs(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms < self._failed_job_retry_ms:
            return
        self._failed_job_retry_ms = now_ms + _FAILED_JOB_RETRY_MS
        for job_id, job in list(self._failed_jobs.items()):
            if self._state.table.jobs.get(job_id) is job:
                self._state.changed_jobs[job_id] = job
            else:
                del self._failed_jobs[job_id]

    def _try_put(
        self,
        batch: journal_module.Batch,
        key: str,
        put: collections.abc.Callable[..., None],
        *args: typing.Any,
    ) -> bool:
        # Adds all records of a call or none, so that an error costs these
        # only.
        part = journal_module.Batch()
        try:
            put(part, *args)
        except Exception as error:
            events.emit(
                cell_events.INTERNAL_FAULT,
                part=put.__qualname__,
                key=ascii(key)[:_MAX_ERROR_CHARS],
                error=repr(error)[:_MAX_ERROR_CHARS],
            )
            return False
        batch.add(part)
        return True

    def _note_ended(self, job: job_module.Job) -> None:
        need = state_module.NO_NEED
        if job.recovered and unseen.may_run_unseen(
            self._state, self._clock.now_ms()
        ):
            need = unseen.job_need(job)
        if job.occupying_tasks or need != state_module.NO_NEED:
            self._ended_jobs[job.job_id] = (job, need)

    def _collect_stopping(
        self, batch: journal_module.Batch, wall_ms: int
    ) -> None:
        """Record what a successor cannot tell from the jobs that it reads."""
        state = self._state
        if not state.awaited_workers.any(self._clock.now_ms()):
            state.stopping_usage = {}
        usage = dict(state.stopping_usage)
        for job_id, (job, unseen_need) in list(self._ended_jobs.items()):
            if not self._may_run(job):
                del self._ended_jobs[job_id]
                continue
            workspace = job.definition.workspace
            need = usage.get(workspace, state_module.NO_NEED)
            for task in job.occupying_tasks:
                need = need.plus(task.step_run.step.reserved)
            usage[workspace] = need.plus(unseen_need)
        if usage == self._stopping_in_log:
            return
        self._stopping_in_log = usage
        self._try_put(
            batch,
            'stopping',
            journal_module.put_stopping,
            journal_module.StoppingRecord(wall_ms, usage),
        )

    def _collect_waits(self, batch: journal_module.Batch) -> None:
        # A successor waits for these workers for the rest of the time only,
        # so none of them gets a lease or a task until the log names it as one
        # that has reported.
        now_ms = self._clock.now_ms()
        remaining_ms = self._state.awaited_workers.remaining_ms(now_ms)
        for worker in self._state.workers.values():
            if (
                worker.silent_until_ms
                and worker.worker_id in self.worker_addresses
            ):
                remaining_ms[worker.worker_id] = max(
                    0, worker.silent_until_ms - now_ms
                )
        is_recorded = (
            self._confirmed_waits is not None
            and self._confirmed_waits.term == self._term
        )
        if is_recorded and not remaining_ms and not self._awaited_in_log:
            return
        batch.waits = journal_module.WaitsRecord(self._term, remaining_ms)
        journal_module.put_waits(batch, batch.waits)
        self._awaited_in_log |= remaining_ms.keys()
        for worker_id in remaining_ms:
            worker = self._state.workers.get(worker_id)
            if worker is not None:
                worker.is_recorded = False

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
        has_new_work |= self._apply_workers(batch)
        if self._copy_keepers is not None:
            self._copy_keepers.apply(batch)
        if self._on_start_recorded is not None:
            for order in batch.starts:
                self._on_start_recorded(order)
        for future in batch.waiters:
            if not future.done():
                future.set_result(None)
        confirmed, self._append_confirmed = (
            self._append_confirmed,
            asyncio.Event(),
        )
        confirmed.set()
        if has_new_work:
            self._on_new_work_recorded()

    def _apply_workers(self, batch: journal_module.Batch) -> bool:
        # Returns whether a worker may get tasks from now on.
        if batch.worker_addresses is not None:
            self._confirmed_addresses = batch.worker_addresses
        if batch.capacities is not None:
            for worker_id, capacity in batch.capacities.items():
                worker = self._state.workers.get(worker_id)
                if worker is not None:
                    worker.recorded_capacity = capacity
                    self._state.freed_workers.add(worker_id)
        if batch.waits is not None:
            self._confirmed_waits = batch.waits
            self._awaited_in_log = set(batch.waits.remaining_ms)
        has_new = False
        for worker in self._state.workers.values():
            worker_id = worker.worker_id
            if (
                worker.is_recorded
                or worker.silent_until_ms
                or worker_id in self._awaited_in_log
                or not worker.answered_address
                or self.worker_addresses.get(worker_id)
                != worker.answered_address
                or self._confirmed_addresses.get(worker_id)
                != worker.answered_address
            ):
                continue
            worker.is_recorded = has_new = True
            self._state.freed_workers.add(worker_id)
        return has_new

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
        if state.is_final and not self._may_run(job):
            self.forget(job)
        # If the job has ended since this batch was collected, its waiters wait
        # for the append of the final state.
        if state.is_final or not job.state.is_final:
            for future in self._waiters.pop(job.job_id, ()):
                if not future.done():
                    future.set_result(None)

    def _may_run(self, job: job_module.Job) -> bool:
        # Tasks of a recovered job may run on workers that have not reported.
        return bool(job.occupying_tasks) or (
            job.recovered
            and unseen.may_run_unseen(self._state, self._clock.now_ms())
        )

    def forget(self, job: job_module.Job) -> None:
        """Drop an ended job, except for its final state."""
        self._state.table.archive(job, job.final_wall_ms)
        self._state.due_times_ms.pop(job.job_id, None)

    def forget_ended(self) -> None:
        """Drop the recorded ended jobs that no longer run anywhere."""
        ended = [
            job
            for job in self._state.table.jobs.values()
            if job.durable_state is not None
            and job.durable_state.is_final
            and not self._may_run(job)
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

    async def wait_for_changes(self, timeout_ms: int) -> None:
        """Wait until the store holds all changes made so far.

        Raises ``Deposed`` if the leader changed and ``DeadlineExceeded`` on
        timeout.
        """
        future = asyncio.get_running_loop().create_future()
        self._append_waiters.append(future)
        self._all_append_waiters.add(future)
        future.add_done_callback(self._all_append_waiters.discard)
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

    def withdraw(self, job: job_module.Job) -> bool:
        """Remove a new job for which no other request waits.

        Returns whether it certainly never runs. Another request that waits
        for it, such as its cancellation, would be answered by the record of
        the next job under its id.
        """
        waiters = self._waiters.get(job.job_id, ())
        if any(not future.done() for future in waiters):
            return False
        if not self._intake.withdraw(job):
            return False
        self._waiters.pop(job.job_id, None)
        return True

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
        deposed = errors.Deposed('the leader changed; ask again')
        for job_id in list(self._waiters):
            self._fail(job_id, deposed)
        for future in list(self._all_append_waiters):
            _fail_waiter(future, deposed)

    def _fail(self, job_id: str, error: errors.BasilspindleError) -> None:
        for future in self._waiters.pop(job_id):
            _fail_waiter(future, error)


def _fail_waiter(
    future: asyncio.Future[None], error: errors.BasilspindleError
) -> None:
    if not future.done():
        future.set_exception(error)
        # Keeps asyncio from logging an exception that was never retrieved, in
        # case the waiter has given up.
        future.exception()
