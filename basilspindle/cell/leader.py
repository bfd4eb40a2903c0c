"""Lead the cell: schedule its jobs and keep track of its workers."""

import asyncio
import typing

import msgspec

from basilspindle.cell import advice_calls
from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import claim as claim_module
from basilspindle.cell import configuration_index
from basilspindle.cell import confirmation as confirmation_module
from basilspindle.cell.decisions import admission
from basilspindle.cell.decisions import dry_run
from basilspindle.cell.decisions import pacing
from basilspindle.cell.decisions import plan as plan_module
from basilspindle.cell.decisions import speed
from basilspindle.cell.decisions import urgency
from basilspindle.cell import evacuation as evacuation_module
from basilspindle.cell import events as cell_events
from basilspindle.cell import first_calls
from basilspindle.cell import guard
from basilspindle.cell import housekeeping
from basilspindle.cell import intake as intake_module
from basilspindle.cell import journal as journal_module
from basilspindle.cell import leadership
from basilspindle.cell import link as link_module
from basilspindle.cell import loss
from basilspindle.cell import messages
from basilspindle.cell import metrics
from basilspindle.cell import orders as orders_module
from basilspindle.cell import ports
from basilspindle.cell import reconcile
from basilspindle.cell import recorder as recorder_module
from basilspindle.cell import report as report_module
from basilspindle.cell import session as session_module
from basilspindle.cell import stalled_work as stalled_work_module
from basilspindle.cell import start_copies
from basilspindle.cell import start_outcome
from basilspindle.cell import starts as starts_module
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle.cell import worker_tracker as worker_tracker_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.workflow import definition as definition_module
from basilspindle.workflow import job as job_module
from basilspindle.workflow import task as task_module
from basilspindle.workflow import task_state

_TICK_INTERVAL_MS = 100
# A scheduling pass is delayed by this time so that it covers several events,
# and by more for each ready step: a pass takes about 1 ms at 1,000 and 2 ms at
# 5,000 of them, and is to take a small part of the leader's time.
_PLAN_DELAY_MS = 4
_PLAN_DELAY_PER_STEP_MS = 0.005
_MAX_PLAN_DELAY_MS = 20
# The next pass begins after as long as the last one took, up to this: passes
# leave half of the time to requests, reports and renewals of leases.
_MAX_PLAN_PAUSE_MS = 100
# Time that a lease may take at most, allowing for a slow worker clock.
_LEASE_DURATION_PERCENT = 103
# Job states are kept this much longer than the configured retention time.
_RETENTION_MARGIN_MS = 10_000
_CANCEL_TIMEOUT_MS = 10_000
# A leader without a confirmed append for longer than this does not tell which
# jobs are unknown. An idle leader appends every 400 ms.
_MAX_UNCONFIRMED_MS = 1_500
_UNCONFIRMED_RETRY_MS = 1_000
# New jobs are refused while an append has been pending for longer than this.
_STORE_UNRESPONSIVE_MS = 900
# Starts are sent once the followers keep them if the log does not have them
# first, in a cell with more daemons only if an append has taken this long:
# each start costs a call to each follower.
_MAX_PROMPT_KEEPERS = 8
_START_COPY_DELAY_MS = 80
_STALL_CHECK_INTERVAL_MS = 1_000
# Jobs that have stalled for longer are logged, as often.
_STALL_REPORT_MS = 5_000


class Leader:
    """Schedule the jobs of the cell under one leadership claim.

    ``lost`` is set once this daemon must no longer lead, and ``end_cause``
    tells why.
    """

    def __init__(
        self,
        claim: claim_module.Claim,
        store: ports.Store,
        registry: ports.WorkerRegistry,
        worker_orders: ports.WorkerOrders,
        advice: ports.AdviceService,
        clock: clock_module.Clock,
        bounds: bounds_module.Bounds,
        index: configuration_index.ConfigurationIndex | None,
        previous: claim_module.Claim | None,
        stalled_work: stalled_work_module.StalledWork | None = None,
        evacuations: ports.EvacuationSource | None = None,
        copies: start_copies.StartCopies | None = None,
    ) -> None:
        self.claim = claim
        self.lost = asyncio.Event()
        self.end_cause: leadership.EndCause | None = None
        self.ready = False
        self.state = state_module.CellState(bounds, claim.term)
        self.state.configuration_index = index
        self._previous = previous
        self._stalled_work = stalled_work or stalled_work_module.StalledWork()
        self._stall_checked_ms = 0
        self._worker_orders = worker_orders
        self._clock = clock
        self._first_calls = first_calls.FirstCalls(clock)
        self._started_ms = clock.now_ms()
        self._intake = intake_module.Intake(self.state)
        self._planner = plan_module.Planner(self.state)
        self._start_copies = copies or start_copies.StartCopies()
        self._copy_keepers = start_copies.CopyKeepers(
            self._start_copies, claim.incarnation, claim.epoch
        )
        self._copying: asyncio.Task[None] | None = None
        self._recorder = recorder_module.Recorder(
            self.state,
            clock,
            claim.term,
            self._intake,
            self._schedule_plan,
            self._send_recorded_start,
            self._copy_keepers,
        )
        self._confirmation = confirmation_module.Confirmation(clock)
        self._evacuation: evacuation_module.Evacuation | None = None
        if evacuations is not None and bounds.evacuate_ms > 0:
            self._evacuation = evacuation_module.Evacuation(
                evacuations,
                clock,
                bounds.evacuate_ms,
                self._confirmation,
                self._apply_closed_domains,
            )
        self._journal = journal_module.Journal(
            store,
            clock,
            claim.epoch,
            self._confirmation,
            self._collect_append,
            self._apply_append,
        )
        self._worker_tracker = worker_tracker_module.WorkerTracker(
            self.state, clock, registry, self._recorder, self._make_session
        )
        self.advice_calls = advice_calls.AdviceCalls(
            self.state, clock, advice, self._schedule_plan
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._plan_handle: asyncio.TimerHandle | None = None
        self._plan_pause_ms = 0
        self._is_collecting = False

    async def __aenter__(self) -> typing.Self:
        recovered = await self._load()
        self.state.awaited_workers.confirmed_ms = (
            self._confirmation.confirmed_ms
        )
        try:
            self._recorder.recover(
                recovered, self._previous, self._take_copies(recovered)
            )
            self._await_workers()
            self._worker_tracker.recover()
            self._check_stalls(self._clock.now_ms())
        except Exception:
            # No session may renew leases for a leader that never was.
            self._worker_tracker.close()
            raise
        self._log_awaited()
        # Tells the next leader for which workers this one waits.
        self._journal.request_append()
        background = [
            self._journal.run,
            self._tick,
            self._worker_tracker.follow,
        ]
        if self._evacuation is not None:
            background.append(self._evacuation.follow)
        for work in background:
            self._tasks.append(asyncio.ensure_future(self._run_guarded(work)))
        self.ready = True
        metrics.LEADER_CHANGES.labels('gained').inc()
        events.emit(
            cell_events.LEADER_READY,
            epoch=self.claim.epoch,
            jobs=len(self.state.table.jobs),
            workers=len(self.state.workers),
            took_ms=self._clock.now_ms() - self._started_ms,
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        self.ready = False
        self.lost.set()
        metrics.LEADER_CHANGES.labels('lost').inc()
        metrics.UNCONFIRMED_SECONDS.set(0)
        metrics.CLOSED_DOMAINS.set(0)
        metrics.CLOSED_DOMAINS_AGE_SECONDS.set(0)
        self._worker_tracker.close()
        self.advice_calls.close()
        if self._copying is not None:
            self._copying.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._plan_handle is not None:
            self._plan_handle.cancel()
        self._recorder.close()

    async def _load(self) -> journal_module.RecoveredState:
        if self._evacuation is None:
            return await self._journal.load()
        # No task may start before the closed domains are known.
        reading = asyncio.ensure_future(self._evacuation.load())
        try:
            recovered = await self._journal.load()
            await reading
        finally:
            reading.cancel()
        return recovered

    def _take_copies(
        self, recovered: journal_module.RecoveredState
    ) -> tuple[start_copies.Start, ...] | None:
        """Return starts that the log may not hold, None if none can tell."""
        keepers = recovered.copy_keepers
        epoch = keepers.epoch if keepers is not None else 0
        copies = self._start_copies.take(epoch, self.claim.epoch)
        if keepers is None or not keepers.incarnations:
            return ()
        if self.claim.incarnation not in keepers.incarnations:
            return None
        return copies

    def add_link(self, link: link_module.Link) -> None:
        """Use a daemon that has connected to this one."""
        self.advice_calls.add_link(link)
        self._copy_keepers.add_link(link)

    def remove_link(self, link: link_module.Link) -> None:
        """Stop using a daemon whose connection has ended."""
        self.advice_calls.remove_link(link)
        self._copy_keepers.remove_link(link)

    def _apply_closed_domains(self, closed_domains: frozenset[str]) -> None:
        self.state.set_closed_domains(closed_domains)
        if self.ready:
            self._schedule_plan()

    def _await_workers(self) -> None:
        # Workers that have not reported yet may still run tasks of an earlier
        # leader.
        now_ms = self._clock.now_ms()
        awaited = self.state.awaited_workers
        full_ms = confirmation_module.TIMEOUT_MS + self._max_lease_duration_ms
        remaining_ms = self._recorder.recovered_waits_ms(
            self._previous, full_ms
        )
        first_term = self._first_recording_term
        previous_term = self._previous.term if self._previous else 0
        # Leaders of this build grant no lease that outlasts this time after
        # their last confirmed call, which began before the fence of this one.
        limit_ms = confirmation_module.lease_limit_ms(
            self.state.bounds.max_lease_ms
        )
        for worker_id in self._recorder.worker_addresses:
            if remaining_ms is None:
                # The log does not tell how long the previous leader waited
                # itself, so leaders before it count as well.
                is_limited = first_term is not None and (
                    first_term < previous_term
                )
                awaited.continue_for(
                    worker_id, now_ms + (limit_ms if is_limited else full_ms)
                )
            elif worker_id in remaining_ms:
                awaited.continue_for(
                    worker_id, now_ms + remaining_ms[worker_id]
                )
            else:
                is_limited = first_term is not None
                awaited.expect(
                    worker_id, now_ms + (limit_ms if is_limited else full_ms)
                )
            if worker_id in self._recorder.placements:
                awaited.accounted_ids.add(worker_id)
        if self._previous is None or self._previous.resigned:
            self.note_previous_leader_gone()

    def _log_awaited(self) -> None:
        awaited = self.state.awaited_workers
        if not len(awaited):
            return
        events.emit(
            cell_events.WORKERS_AWAITED,
            workers=len(awaited),
            unaccounted=sorted(set(awaited) - awaited.accounted_ids),
            tasks=sum(
                len(worker.tasks) for worker in self.state.workers.values()
            ),
            longest_ms=max(
                awaited.remaining_ms(self._clock.now_ms()).values(), default=0
            ),
        )

    def note_previous_leader_gone(self) -> None:
        """Record that the previous leader no longer renews leases.

        Any run of a worker that it knew ends within the longest lease.
        """
        self.state.awaited_workers.limit(
            self._clock.now_ms() + self._max_lease_duration_ms
        )

    @property
    def _first_recording_term(self) -> int | None:
        previous = self._previous
        return previous.first_recording_term if previous else None

    @property
    def _max_lease_duration_ms(self) -> int:
        # A worker that has restarted under its id takes a deadline on its
        # earlier clock as its longest possible lease.
        lease_ms = max(session_module.LEASE_MS, self.state.bounds.max_lease_ms)
        return lease_ms * _LEASE_DURATION_PERCENT // 100

    @property
    def awaits_workers(self) -> bool:
        """Tell whether tasks wait for workers that have not reported."""
        return self.state.awaited_workers.any(self._clock.now_ms())

    def configure(self, index: configuration_index.ConfigurationIndex) -> None:
        """Apply a new version of the configuration."""
        self.state.configuration_index = index
        # Any limit may have been raised.
        self.state.freed_workspaces.update(index.workspaces)
        self.state.share_limiter.retain(index.workspaces)
        self._schedule_plan()

    async def handle(self, request: messages.Request) -> messages.Reply:
        """Handle a job request from a caller or a forwarding daemon."""
        if not self.ready or self.lost.is_set():
            return messages.NotLeading()
        if isinstance(request, messages.Submit):
            if request.epoch not in (0, self.claim.epoch):
                # Late, or meant for another leader: the refusal of a later
                # copy may have promised that this one is not accepted.
                return messages.NotLeading()
            reply = await self._submit(request)
            if isinstance(reply, messages.Refused):
                # This leader has read all that earlier ones could record.
                return msgspec.structs.replace(reply, epoch=self.claim.epoch)
            return reply
        if isinstance(request, messages.Find):
            state = self._intake.find_state(request.job_id, request.workspace)
            if state is None:
                return self._answer_unknown(request.job_id)
            return messages.Found(state)
        if isinstance(request, messages.Cancel):
            return await self._cancel(request)
        if isinstance(request, messages.CountWaiting):
            return messages.Counted(
                self.state.table.count_unstarted(request.queue)
            )
        if isinstance(request, messages.DryRun):
            answer = dry_run.describe(
                self.state,
                request.definition,
                self._planner.headroom,
                self._is_store_silent,
                self._clock.now_ms(),
            )
            return messages.DryRunAnswer(msgspec.json.encode(answer))
        return messages.NotLeading()

    @property
    def _is_store_silent(self) -> bool:
        return self.store_age_ms > _STORE_UNRESPONSIVE_MS

    @property
    def store_age_ms(self) -> int:
        """Return how long the current append has been pending, or 0."""
        since_ms = self._journal.pending_since_ms
        return self._clock.now_ms() - since_ms if since_ms is not None else 0

    async def _submit(self, request: messages.Submit) -> messages.Reply:
        definition = request.definition
        if self._is_store_silent:
            if not self.state.table.knows(definition.job_id):
                return self._refuse_unrecorded(definition)
        try:
            job = self._intake.submit(definition, self._clock.now_ms())
        except errors.BasilspindleError as error:
            details: dict[str, typing.Any] = {'reason': error.kind}
            if isinstance(error, errors.CapacityShort):
                details = error.details
            metrics.REFUSALS.labels(details['reason']).inc()
            events.emit(
                cell_events.JOB_REFUSED,
                job=definition.job_id,
                retry_after_ms=error.retry_after_ms,
                **details,
            )
            return messages.Refused(
                error.kind, error.message, error.retry_after_ms
            )
        if job is None or job.durable_state is not None:
            return messages.Accepted()
        self._schedule_plan()
        reply = await self._reply_when_recorded(job, request.accept_timeout_ms)
        if isinstance(reply, messages.NotLeading):
            if self._recorder.withdraw(job):
                # No append includes the job, so it is certainly not recorded.
                return self._refuse_unrecorded(definition)
        return reply

    def _refuse_unrecorded(
        self, definition: definition_module.JobDefinition
    ) -> messages.Refused:
        advice = self.state.advice_terms(definition)
        objective_ms = urgency.objective_ms(definition, advice)
        retry_after_ms = admission.outage_retry_ms(objective_ms)
        metrics.REFUSALS.labels('store_silent').inc()
        events.emit(
            cell_events.JOB_REFUSED,
            job=definition.job_id,
            reason='store_silent',
            store_age_ms=self.store_age_ms,
            retry_after_ms=retry_after_ms,
        )
        return messages.Refused(
            errors.NotReady.kind,
            'the store is not responding; the job was not accepted, retry',
            retry_after_ms,
        )

    def _answer_unknown(self, job_id: str) -> messages.Reply:
        if job_id in self.state.table.unreadable_job_ids:
            return messages.Refused(
                errors.NotReady.kind,
                'this build cannot read the record of the job; ask again once '
                'another one leads',
                _UNCONFIRMED_RETRY_MS,
            )
        # A leader that was paused or is cut off may have a successor, which
        # may know the job.
        if self._confirmation.age_ms > _MAX_UNCONFIRMED_MS:
            return messages.Refused(
                errors.NotReady.kind,
                'the leader has no recent answer of the store; ask again',
                _UNCONFIRMED_RETRY_MS,
            )
        return messages.Gone()

    async def _cancel(self, request: messages.Cancel) -> messages.Reply:
        job = self._intake.cancel(request.job_id, request.workspace)
        if job is None:
            known = self._intake.find_state(request.job_id, request.workspace)
            if known is None:
                return await self._cancel_early(request)
            return messages.Accepted()
        self._send_orders()
        if job.durable_state is not None and job.durable_state.is_final:
            # Only its tasks are still being stopped.
            return messages.Accepted()
        return await self._reply_when_recorded(job, _CANCEL_TIMEOUT_MS)

    async def _cancel_early(self, request: messages.Cancel) -> messages.Reply:
        answer = self._answer_unknown(request.job_id)
        if isinstance(answer, messages.Refused):
            return answer
        self._intake.note_early_cancel(
            request.job_id, request.workspace, self._clock.now_ms()
        )
        # The job may still come, and by then to another leader.
        self._journal.request_append()
        try:
            await self._recorder.wait_for_changes(_CANCEL_TIMEOUT_MS)
        except (errors.Deposed, errors.DeadlineExceeded):
            return messages.NotLeading()
        return answer

    async def _reply_when_recorded(
        self, job: job_module.Job, timeout_ms: int
    ) -> messages.Reply:
        self._journal.request_append()
        try:
            await self._recorder.wait_for_job(job, timeout_ms)
        except errors.NotReady:
            # The job was withdrawn before an append included it.
            if self.state.table.knows(job.job_id):
                # Another request has submitted it again since.
                return messages.NotLeading()
            return self._refuse_unrecorded(job.definition)
        except (errors.Deposed, errors.DeadlineExceeded):
            # The append may still succeed. The calling daemon asks again or
            # reports the outcome as unknown.
            return messages.NotLeading()
        return messages.Accepted()

    def handle_report(
        self,
        session: session_module.Session,
        report: report_module.Report,
        sent_ms: int,
    ) -> bool:
        """Apply a worker's report.

        Returns whether the log lacks ends of this worker.
        """
        worker = session.worker
        now_ms = self._clock.now_ms()
        if report.is_full and not worker.reported:
            events.emit(
                cell_events.WORKER_GAINED,
                worker=worker.worker_id,
                cpu_millicores=worker.capacity.cpu_millicores,
                running=len(report.running),
                ends=len(report.ends),
                born_wall_ms=report.born_wall_ms,
                clock_ms=report.clock_ms,
            )
        # Runs that a predecessor placed and that are not listed have ended.
        is_later_life = worker.born_wall_ms not in (0, report.born_wall_ms)
        # A later life numbers its ends anew.
        previous_end_number = 0 if is_later_life else worker.applied_end_number
        earlier_tasks = list(worker.tasks.values()) if is_later_life else []
        first_listed = reconcile.unlisted_runs(worker, report)
        reconcile.apply_report(self.state, worker, report, sent_ms, now_ms)
        self._log_runs(worker, report, first_listed)
        released = [
            task
            for task in earlier_tasks
            if worker.tasks.get(task.name) is not task
        ]
        self._log_loss(worker, released, loss.Evidence.RESTARTED)
        self._recorder.note_report(worker)
        self._check_speed(worker, now_ms)
        pacing.pace(self.state, worker, now_ms)
        self._log_ends(worker, report, previous_end_number)
        self._send_orders()
        if self.state.changed_jobs or self._recorder.has_worker_changes(
            worker
        ):
            self._journal.request_append()
        self._schedule_plan()
        return worker.applied_end_number != worker.recorded_end_number

    def _check_speed(self, worker: worker_module.Worker, now_ms: int) -> None:
        was_slow = worker.slow_samples >= speed.MIN_SLOW_SAMPLES
        speed.check_progress(self.state, worker, now_ms)
        if worker.slow_samples >= speed.MIN_SLOW_SAMPLES and not was_slow:
            metrics.SLOW_PERIODS.inc()
            events.emit(
                cell_events.WORKER_SLOW,
                worker=worker.worker_id,
                lag=round(worker.lag, 1),
                tasks=len(worker.tasks),
            )
        for changed in self.state.speed_classes.take_changed():
            metrics.SPEED_CHANGES.inc()
            events.emit(
                cell_events.WORKER_SPEED,
                worker=changed.worker_id,
                speed_class=changed.speed_class,
                slowness=round(changed.speed.slowness, 2),
                deviation=round(changed.speed.deviation, 2),
                samples=changed.speed.samples,
            )

    def _log_runs(
        self,
        worker: worker_module.Worker,
        report: report_module.Report,
        first_listed: list[report_module.ActiveRun],
    ) -> None:
        if not first_listed:
            return
        events.emit(
            cell_events.RUNS_REPORTED,
            worker=worker.worker_id,
            born_wall_ms=report.born_wall_ms,
            clock_ms=report.clock_ms,
            tasks=[run.name for run in first_listed],
            runs=[run.run for run in first_listed],
            unexpected=[
                run.name
                for run in first_listed
                if run.name in worker.unexpected_runs
            ],
        )

    def _log_ends(
        self,
        worker: worker_module.Worker,
        report: report_module.Report,
        previous_end_number: int,
    ) -> None:
        for end in report.ends:
            # A worker repeats ends until they are acknowledged.
            if end.number > previous_end_number:
                metrics.RUN_ENDS.labels(end.kind.value).inc()
                events.emit(
                    cell_events.TASK_ENDED,
                    worker=worker.worker_id,
                    task=end.name,
                    run=end.run,
                    how=end.kind,
                    born_wall_ms=report.born_wall_ms,
                    held_ms=self._held_ms(worker, end),
                )

    def _held_ms(
        self, worker: worker_module.Worker, end: report_module.RunEnd
    ) -> int:
        until_ms = worker.held_ends.get(end.number, 0)
        return max(0, until_ms - self._clock.now_ms())

    def handle_start_outcome(
        self,
        order: orders_module.StartOrder,
        outcome: start_outcome.StartOutcome,
    ) -> None:
        """Apply the outcome of a start order."""
        metrics.STARTS.labels(outcome.value).inc()
        starts_module.apply_outcome(
            self.state, order, outcome, self._clock.now_ms()
        )
        if outcome is start_outcome.StartOutcome.RUNS:
            return
        events.emit(
            cell_events.START_FAILED,
            worker=order.worker_id,
            task=order.task.name,
            run=order.run,
            outcome=outcome.value,
        )
        self._send_orders()
        self._schedule_plan()

    def handle_stop_accepted(self, order: orders_module.StopOrder) -> None:
        """Record that a worker has acknowledged a stop order."""
        starts_module.apply_stop_ack(self.state, order, self._clock.now_ms())

    def lose_worker(
        self, session: session_module.Session, evidence: loss.Evidence
    ) -> None:
        """Requeue the tasks of a worker that ended or lost its lease."""
        worker = session.worker
        self._log_loss(worker, list(worker.tasks.values()), evidence)
        worker.reported = False
        self.state.requeue_worker_tasks(worker)
        self.state.awaited_workers.discard(worker.worker_id)
        self._recorder.forget_worker(worker)
        if not worker.listed:
            self._worker_tracker.drop(worker)
        self._send_orders()
        self._schedule_plan()

    def lose_tasks(
        self, session: session_module.Session, tasks: list[task_module.Task]
    ) -> None:
        """Requeue those tasks of a silent worker whose runs have ended.

        Others may go on at a life of it that has not reported.
        """
        worker = session.worker
        # One may have left while the session waited for the store.
        present = [
            task for task in tasks if worker.tasks.get(task.name) is task
        ]
        self._log_loss(worker, present, loss.Evidence.LEASE)
        worker.reported = False
        self.state.requeue_tasks(present)
        self._send_orders()
        self._schedule_plan()

    def _log_loss(
        self,
        worker: worker_module.Worker,
        tasks: list[task_module.Task],
        evidence: loss.Evidence,
    ) -> None:
        if not tasks:
            return
        metrics.TASKS_RELEASED.labels(evidence).inc(len(tasks))
        events.emit(
            cell_events.WORKER_LOST,
            worker=worker.worker_id,
            tasks=len(tasks),
            released=[task.name for task in tasks],
            held=sum(task not in tasks for task in worker.tasks.values()),
            evidence=evidence,
            epoch=self.claim.epoch,
            confirmed_age_ms=self._confirmation.age_ms,
            born_wall_ms=worker.born_wall_ms,
        )

    def lose_leadership(
        self,
        reason: str,
        cause: leadership.EndCause = leadership.EndCause.REPLACED,
    ) -> None:
        """Step down as leader."""
        if not self.lost.is_set():
            self.end_cause = cause
            metrics.LEADERSHIPS_ENDED.labels(cause).inc()
            events.emit(
                cell_events.LEADER_LOST,
                epoch=self.claim.epoch,
                reason=reason,
                cause=cause,
                led_ms=self._clock.now_ms() - self._started_ms,
                confirmed_age_ms=self._confirmation.age_ms,
                workers_read=self._worker_tracker.has_read_registry,
            )
            self.lost.set()

    def end_if_expired(self) -> bool:
        """Step down if the store is silent; tell whether this leader ended."""
        if self.lost.is_set():
            return True
        if not self._confirmation.has_expired:
            return False
        self.lose_leadership(
            'the store is not responding', leadership.EndCause.STORE_SILENT
        )
        return True

    def withholds_start(self, order: orders_module.StartOrder) -> bool:
        """Tell whether a start must not be sent, or sent again, now.

        Its failure domain may have been closed since the task was placed.
        """
        if self._evacuation is None:
            return False
        worker = self.state.workers.get(order.worker_id)
        if worker is not None and self.state.is_closed(worker):
            reason = 'domain_closed'
        elif self._evacuation.holds_starts():
            reason = 'held'
        else:
            return False
        metrics.STARTS_WITHHELD.labels(reason).inc()
        events.emit(
            cell_events.START_WITHHELD,
            worker=order.worker_id,
            task=order.task.name,
            run=order.run,
            reason=reason,
        )
        return True

    @property
    def confirmed_ms(self) -> int:
        """Return when the latest call that the store has confirmed began."""
        return self._confirmation.confirmed_ms

    async def wait_confirmed(self, at_ms: int, timeout_ms: int) -> bool:
        """Wait until it is certain that no later leader had fenced by a time.

        Returns False if the store does not tell before the timeout.
        """
        if not self._confirmation.covers(at_ms):
            self._journal.request_append()
        return await self._confirmation.wait(at_ms, timeout_ms)

    def _collect_append(self) -> journal_module.Batch:
        self._is_collecting = True
        try:
            return self._recorder.collect(self._plan_for_append)
        finally:
            self._is_collecting = False

    def _plan_for_append(self) -> None:
        # A start waits for the append that records it: the one that is about
        # to begin should have all that can start now.
        if self._plan_handle is None:
            return
        if self._plan_pause_ms > _MAX_PLAN_DELAY_MS:
            # Long passes would delay the appends.
            return
        self._plan_handle.cancel()
        self._plan()

    def _apply_append(self, batch: journal_module.Batch) -> None:
        awaited = self.state.awaited_workers
        was_awaited = awaited.any(self._clock.now_ms())
        awaited.confirmed_ms = self._confirmation.confirmed_ms
        self._recorder.apply(batch)
        self._release_unheard()
        if was_awaited and not awaited.any(self._clock.now_ms()):
            self._schedule_plan()

    def _release_unheard(self) -> None:
        """Requeue the tasks of workers that were awaited in vain."""
        now_ms = self._clock.now_ms()
        awaited = self.state.awaited_workers
        for worker_id in awaited:
            worker = self.state.workers.get(worker_id)
            if worker is None or awaited.awaits(worker_id, now_ms):
                continue
            if worker.tasks or worker.unexpected_runs:
                self._log_loss(
                    worker, list(worker.tasks.values()), loss.Evidence.LEASE
                )
                self.state.requeue_worker_tasks(worker)
                self._schedule_plan()

    async def wait_for_ends(
        self, worker: worker_module.Worker, timeout_ms: int
    ) -> None:
        """Wait until all ends of a worker are recorded, or for the timeout."""
        self._journal.request_append()
        await self._recorder.wait_for_ends(worker, timeout_ms)

    def _make_session(
        self, worker: worker_module.Worker
    ) -> session_module.Session:
        return session_module.Session(
            worker,
            self._worker_orders,
            self,
            self._clock,
            self.claim.epoch,
            self.state.bounds.max_lease_ms,
            self._first_calls,
        )

    def _schedule_plan(self) -> None:
        if self._plan_handle is None and not self.lost.is_set():
            delay_ms = min(
                _PLAN_DELAY_MS
                + _PLAN_DELAY_PER_STEP_MS * len(self.state.table.ready_steps),
                _MAX_PLAN_DELAY_MS,
            )
            delay_ms = max(delay_ms, self._plan_pause_ms)
            self._plan_handle = asyncio.get_running_loop().call_later(
                delay_ms / 1000, self._plan
            )

    def _plan(self) -> None:
        self._plan_handle = None
        if self.lost.is_set():
            return
        if self._evacuation is not None and self._evacuation.holds_starts():
            # The next tick plans again.
            return
        if self._is_store_silent and not self._can_copy_starts:
            # No start can be sent, and a later pass knows more.
            return
        begun_ms = self._clock.now_ms()
        self._planner.plan(begun_ms)
        self._send_orders()
        took_ms = self._clock.now_ms() - begun_ms
        self._plan_pause_ms = min(took_ms, _MAX_PLAN_PAUSE_MS)
        if self._planner.has_more:
            self._schedule_plan()

    def _send_orders(self) -> None:
        orders = self.state.take_orders()
        for start in orders.starts:
            self._recorder.placements.hold(start)
        if orders.starts:
            if not self._is_collecting:
                self._journal.request_append()
            self._copy_starts()
        for stop in orders.stops:
            session = self._worker_tracker.sessions.get(stop.worker_id)
            if session is not None:
                session.send_stop(stop)
        for pace in orders.paces:
            session = self._worker_tracker.sessions.get(pace.worker_id)
            if session is not None:
                session.send_pace(pace)
                events.emit(
                    cell_events.TASK_PACED,
                    worker=pace.worker_id,
                    task=pace.task.name,
                    run=pace.run,
                    percent=pace.percent,
                )
        for advice in orders.advice:
            self.advice_calls.send(advice)
        for preempted in orders.preemptions:
            metrics.PREEMPTIONS.inc(len(preempted.tasks))
            events.emit(
                cell_events.TASKS_PREEMPTED,
                step=preempted.step_run.key,
                tasks=[task.name for task in preempted.tasks],
            )
        for fault in orders.faults:
            events.emit(
                cell_events.INTERNAL_FAULT,
                part=f'Planner: {fault.step_run.key}',
                error=repr(fault.error),
            )
        for note in orders.waits:
            run = note.step_run
            events.emit(
                cell_events.STEP_WAITS,
                step=run.key,
                reason=note.reason,
                waiting=len(run.waiting),
                candidates=note.candidates,
                ready_for_ms=self._clock.now_ms() - run.ready_ms,
            )

    @property
    def _can_copy_starts(self) -> bool:
        # Later orders could outlast the wait of a successor.
        return (
            self._copy_keepers.can_keep
            and self._confirmation.age_ms
            <= confirmation_module.unknown_life_ms(
                self.state.bounds.max_lease_ms
            )
        )

    def _copy_starts(self) -> None:
        """Have the followers keep the starts that wait for the log."""
        if self._copying is not None and not self._copying.done():
            # It goes on with those that have come meanwhile.
            return
        if self.ready and not self.lost.is_set() and self._has_to_copy:
            self._copying = asyncio.ensure_future(self._copy_until_sent())

    @property
    def _has_to_copy(self) -> bool:
        return (
            bool(self._recorder.placements.waiting_starts)
            and self._can_copy_starts
            and (
                self._copy_keepers.count <= _MAX_PROMPT_KEEPERS
                or self.store_age_ms > _START_COPY_DELAY_MS
            )
        )

    async def _copy_until_sent(self) -> None:
        try:
            # After a failure, the next tick tries again.
            while self._has_to_copy and await self._send_copied():
                pass
        except Exception as error:
            # The starts go on waiting for the log.
            events.emit(
                cell_events.INTERNAL_FAULT,
                part='CopyKeepers',
                error=repr(error),
            )

    async def _send_copied(self) -> bool:
        waiting = self._recorder.placements.waiting_starts
        starts = [
            start_copies.Start(order.worker_id, order.task.name, order.run)
            for order in waiting
        ]
        kept = await self._copy_keepers.keep(starts)
        if self.store_age_ms > _START_COPY_DELAY_MS:
            events.emit(
                cell_events.STARTS_COPIED,
                starts=len(starts),
                kept=kept,
                store_age_ms=self.store_age_ms,
            )
        if not kept:
            return False
        unsent = [order for order in waiting if not order.is_released]
        metrics.STARTS_COPIED.inc(len(unsent))
        for order in unsent:
            self._send_recorded_start(order)
        return True

    def _send_recorded_start(self, start: orders_module.StartOrder) -> None:
        task = start.task
        if start.is_released:
            return
        start.is_released = True
        if (
            self.lost.is_set()
            or task.state is not task_state.TaskState.STARTING
            or task.run != start.run
            or task.worker_id != start.worker_id
        ):
            return
        now_ms = self._clock.now_ms()
        if task.step_run.step.gang:
            # Its members wait for each other from now on.
            task.step_run.started_ms = now_ms
        worker = self.state.workers.get(start.worker_id)
        session = self._worker_tracker.sessions.get(start.worker_id)
        if (
            session is None
            or worker is None
            or not self.state.accepts(worker, now_ms)
        ):
            self.handle_start_outcome(
                start, start_outcome.StartOutcome.NOT_SENT
            )
            return
        events.emit(
            cell_events.TASK_STARTED,
            worker=start.worker_id,
            task=start.task.name,
            run=start.run,
            epoch=self.claim.epoch,
            born_wall_ms=session.worker.born_wall_ms,
            clock_ms=session.worker_clock_ms,
            cpu_millicores=start.task.step_run.step.reserved.cpu_millicores,
        )
        task.step_run.job.mark_started()
        session.send_start(start)

    async def _tick(self) -> None:
        while True:
            due_ms = self._clock.now_ms() + _TICK_INTERVAL_MS
            await self._clock.sleep_ms(_TICK_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            metrics.LOOP_DELAY_SECONDS.set(max(0, now_ms - due_ms) / 1000)
            metrics.UNCONFIRMED_SECONDS.set(self._confirmation.age_ms / 1000)
            if self._evacuation is not None:
                metrics.CLOSED_DOMAINS_AGE_SECONDS.set(
                    self._evacuation.age_ms / 1000
                )
            if self.end_if_expired():
                return
            self._run_housekeeping(now_ms)

    def _run_housekeeping(self, now_ms: int) -> None:
        state = self.state
        self._copy_starts()
        self._copy_keepers.drop_needless()
        wall_ms = self._clock.wall_ms()
        if self.store_age_ms > _STORE_UNRESPONSIVE_MS:
            self._recorder.withdraw_unsent()
        housekeeping.open_due_occurrences(state, now_ms, wall_ms)
        housekeeping.evacuate(state, now_ms)
        housekeeping.resend_stops(state, now_ms)
        housekeeping.stop_partial_gangs(state, now_ms)
        housekeeping.clear_expired_suspicions(state, now_ms)
        retention_ms = state.bounds.state_kept_ms + _RETENTION_MARGIN_MS
        self._recorder.expired_job_ids += state.table.expire(
            wall_ms - retention_ms
        )
        self._recorder.forget_ended()
        self._intake.early_cancels.expire(now_ms)
        metrics.LIVE_JOBS.set(len(state.table.jobs))
        metrics.WAITING_TASKS.set(
            sum(len(run.waiting) for run in state.table.ready_steps.values())
        )
        self._send_orders()
        if state.changed_jobs:
            self._journal.request_append()
        self._schedule_plan()
        if now_ms - self._stall_checked_ms >= _STALL_CHECK_INTERVAL_MS:
            self._check_stalls(now_ms)

    def _check_stalls(self, now_ms: int) -> None:
        stalled = self._stalled_work
        stalled.update(self.state.table.ready_steps.values(), now_ms)
        longest_ms = stalled.longest_ms(now_ms)
        self._stall_checked_ms = now_ms
        metrics.STALLED_JOBS.set(stalled.count)
        metrics.STALLED_SECONDS.set(longest_ms / 1000)
        if longest_ms < _STALL_REPORT_MS:
            return
        if now_ms - stalled.reported_ms < _STALL_REPORT_MS:
            return
        stalled.reported_ms = now_ms
        events.emit(
            cell_events.WORK_STALLED,
            job=stalled.job_id,
            stalled_ms=longest_ms,
            jobs=stalled.count,
            workers=sum(
                worker.reported for worker in self.state.workers.values()
            ),
            workers_read=self._worker_tracker.has_read_registry,
        )

    async def _run_guarded(self, work: guard.Work) -> None:
        try:
            await guard.run(work, self._step_down_on_error)
        except errors.Deposed as error:
            self.lose_leadership(error.message)

    def _step_down_on_error(self, error: Exception) -> None:
        self.lose_leadership(
            f'a background task failed: {error!r}', leadership.EndCause.FAULT
        )
