"""Lead the cell: own all jobs and hold all workers."""

import asyncio
import collections.abc
import typing

from basilspindle.cell import advisers as advisers_module
from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import claim as claim_module
from basilspindle.cell import events as cell_events
from basilspindle.cell import intake as intake_module
from basilspindle.cell import job_table
from basilspindle.cell import journal as journal_module
from basilspindle.cell import link as link_module
from basilspindle.cell import messages
from basilspindle.cell import orders as orders_module
from basilspindle.cell import plan as plan_module
from basilspindle.cell import ports
from basilspindle.cell import reconcile
from basilspindle.cell import report as report_module
from basilspindle.cell import session as session_module
from basilspindle.cell import speed
from basilspindle.cell import start_outcome
from basilspindle.cell import starts as starts_module
from basilspindle.cell import state as state_module
from basilspindle.cell import term_index
from basilspindle.cell import worker as worker_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.workflow import job as job_module
from basilspindle.workflow import progress as progress_module
from basilspindle.workflow import task_state

_TICK_MS = 100
_REGISTRY_MS = 700
# Decisions wait this long for more events, so that one plan serves many.
_PLAN_PAUSE_MS = 4
# A leader that cannot reach the store for this long gives up its workers;
# a later one counts on it before it starts what may still run unseen.
STORE_PATIENCE_MS = 15_000
# A lease is over after this time, also on a worker whose clock is slow.
_LEASE_BOUND_MS = session_module.LEASE_MS * 103 // 100
_ADVICE_PAUSE_MS = 150
_ADVICE_SLACK_MS = 1_500
_STOP_REPEAT_MS = 2_500
# The state of a job is kept this much longer than promised.
_STATE_SLACK_MS = 10_000
# Stops sent this long before its time is over end a gang in order.
_GANG_MARGIN_MS = 1_500
_RECORD_WAIT_MS = 10_000
# Jobs are turned away while an append is unanswered for longer.
_STORE_SILENT_MS = 600
_STORE_RETRY_MS = 1_000


class Leader:
    """Lead under one claim until it is lost.

    ``lost`` is set when another daemon must lead.
    """

    def __init__(
        self,
        claim: claim_module.Claim,
        store: ports.Store,
        registry: ports.WorkerRegistry,
        worker_orders: ports.WorkerOrders,
        advice: ports.Advice,
        clock: clock_module.Clock,
        bounds: bounds_module.Bounds,
        index: term_index.TermIndex | None,
        former_gone: bool,
    ) -> None:
        self.claim = claim
        self._former_gone = former_gone
        self.lost = asyncio.Event()
        self.ready = False
        self._registry = registry
        self._worker_orders = worker_orders
        self._advice = advice
        self._clock = clock
        self.state = state_module.CellState(bounds, claim.term)
        self.state.index = index
        self._intake = intake_module.Intake(self.state)
        self._planner = plan_module.Planner(self.state)
        self._journal = journal_module.Journal(
            store, clock, claim.epoch, self._collect, self._apply_batch
        )
        self._sessions: dict[str, session_module.Session] = {}
        self._recording: dict[str, list[asyncio.Future[None]]] = {}
        self._recorded = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._advising: set[asyncio.Task[None]] = set()
        self._self_adviser = advisers_module.Adviser(None)
        self._advisers: dict[link_module.Link, advisers_module.Adviser] = {}
        self._plan_handle: asyncio.TimerHandle | None = None
        self._roster: dict[str, str] = {}
        self._roster_changed = False
        self._expired: list[str] = []
        self._begun_ms = clock.now_ms()

    async def __aenter__(self) -> typing.Self:
        recovered = await self._journal.load()
        self._recover(recovered)
        await self._refresh_registry()
        for work in (self._journal.run, self._tick, self._follow_registry):
            self._tasks.append(asyncio.ensure_future(self._guard(work)))
        self.ready = True
        events.emit(
            cell_events.LEADER_READY,
            epoch=self.claim.epoch,
            jobs=len(self.state.table.jobs),
            workers=len(self.state.workers),
            took_ms=self._clock.now_ms() - self._begun_ms,
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        self.ready = False
        self.lost.set()
        for session in self._sessions.values():
            session.close()
        for task in (*self._tasks, *self._advising):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._plan_handle is not None:
            self._plan_handle.cancel()
        for futures in self._recording.values():
            for future in futures:
                if not future.done():
                    future.set_exception(
                        errors.Deposed('the leader changed; ask again')
                    )

    # Requests of callers, forwarded or direct.

    async def handle(self, request: messages.Request) -> messages.Reply:
        """Return the reply to a request on jobs."""
        if not self.ready:
            return messages.NotLeading()
        if isinstance(request, messages.Submit):
            return await self._submit(request)
        if isinstance(request, messages.Find):
            state = self._intake.find_state(request.job_id, request.workspace)
            if state is None:
                return messages.Gone()
            return messages.Found(state)
        if isinstance(request, messages.Cancel):
            return await self._cancel(request)
        if isinstance(request, messages.CountWaiting):
            return messages.Counted(self.state.table.waiting_in(request.queue))
        return messages.NotLeading()

    @property
    def store_age_ms(self) -> int:
        """Return how long the append under way has been unanswered."""
        since_ms = self._journal.pending_since_ms
        return self._clock.now_ms() - since_ms if since_ms is not None else 0

    async def _submit(self, request: messages.Submit) -> messages.Reply:
        definition = request.definition
        if self.store_age_ms > _STORE_SILENT_MS:
            if not self.state.table.knows(definition.job_id):
                return _store_silent()
        try:
            job = self._intake.submit(definition, self._clock.now_ms())
        except errors.BasilspindleError as error:
            events.emit(
                cell_events.JOB_REFUSED,
                job=definition.job_id,
                reason=error.kind,
                retry_after_ms=error.retry_after_ms,
            )
            return messages.Refused(
                error.kind, error.message, error.retry_after_ms
            )
        if job is None:
            return messages.Accepted()
        self._schedule_plan()
        if job.durable_state is not None:
            return messages.Accepted()
        reply = await self._when_recorded(
            job, messages.Accepted(), request.patience_ms
        )
        if isinstance(reply, messages.Accepted) or job.durable_state:
            return messages.Accepted()
        if self._intake.withdraw(job):
            return _store_silent()
        return reply

    async def _cancel(self, request: messages.Cancel) -> messages.Reply:
        job = self._intake.cancel(request.job_id, request.workspace)
        if job is None:
            known = self._intake.find_state(request.job_id, request.workspace)
            if known is None:
                return messages.Gone()
            return messages.Accepted()
        self._send_orders()
        return await self._when_recorded(job, messages.Accepted())

    async def _when_recorded(
        self,
        job: job_module.Job,
        reply: messages.Reply,
        patience_ms: int = _RECORD_WAIT_MS,
    ) -> messages.Reply:
        future = asyncio.get_running_loop().create_future()
        self._recording.setdefault(job.job_id, []).append(future)
        self._journal.request()
        try:
            await self._clock.wait_ms(future, patience_ms)
        except errors.NotReady:
            return _store_silent()
        except (errors.Deposed, errors.DeadlineExceeded):
            # The record may still take effect; the caller's side asks again
            # or says that the outcome is not known.
            return messages.NotLeading()
        return reply

    # Reports of sessions.

    def take_report(
        self,
        session: session_module.Session,
        report: report_module.Report,
        sent_ms: int,
    ) -> bool:
        """Apply a worker's report; returns whether ends need recording."""
        worker = session.worker
        if not worker.reported:
            events.emit(
                cell_events.WORKER_GAINED,
                worker=worker.worker_id,
                running=len(report.running),
                ends=len(report.ends),
            )
        if worker.born_wall_ms and worker.born_wall_ms != report.born_wall_ms:
            session.forget_clock()
        noted_end = worker.noted_end
        reconcile.apply_report(
            self.state, worker, report, sent_ms, self._clock.now_ms()
        )
        speed.watch(self.state, worker, self._clock.now_ms())
        for row in report.ends:
            if row.number <= noted_end:
                continue
            events.emit(
                cell_events.TASK_ENDED,
                worker=worker.worker_id,
                task=row.name,
                run=row.run,
                how=row.kind,
            )
        self._send_orders()
        if self.state.changed:
            self._journal.request()
        self._schedule_plan()
        return worker.noted_end != worker.durable_end

    def take_outcome(
        self,
        order: orders_module.StartOrder,
        outcome: start_outcome.StartOutcome,
    ) -> None:
        """Apply the outcome of a start."""
        if outcome is not start_outcome.StartOutcome.RUNS:
            events.emit(
                cell_events.START_FAILED,
                worker=order.worker_id,
                task=order.task.name,
                run=order.run,
                outcome=outcome.value,
            )
        starts_module.apply_outcome(
            self.state, order, outcome, self._clock.now_ms()
        )
        if outcome is not start_outcome.StartOutcome.RUNS:
            self._send_orders()
            self._schedule_plan()

    def take_stop_answer(self, order: orders_module.StopOrder) -> None:
        """Note that a worker has taken a stop."""
        starts_module.apply_stop_answer(
            self.state, order, self._clock.now_ms()
        )

    def lose_life(self, session: session_module.Session) -> None:
        """Give up the tasks of a worker whose lease or life is over."""
        worker = session.worker
        if worker.tasks:
            events.emit(
                cell_events.WORKER_LOST,
                worker=worker.worker_id,
                tasks=len(worker.tasks),
            )
        worker.reported = False
        self.state.lose_worker_tasks(worker)
        self.state.unseen.discard(worker.worker_id)
        if not worker.listed:
            self._drop_worker(worker)
        self._send_orders()
        self._schedule_plan()

    def lose_leadership(self, reason: str) -> None:
        """Stop leading."""
        if not self.lost.is_set():
            events.emit(
                cell_events.LEADER_LOST,
                epoch=self.claim.epoch,
                reason=reason,
            )
            self.lost.set()

    async def wait_recorded(
        self, worker: worker_module.Worker, timeout_ms: int
    ) -> None:
        """Wait until the log holds all ends of a worker, within a bound."""
        self._journal.request()
        until_ms = self._clock.now_ms() + timeout_ms
        while worker.noted_end != worker.durable_end:
            left_ms = until_ms - self._clock.now_ms()
            try:
                await self._clock.wait_ms(self._recorded.wait(), left_ms)
            except errors.DeadlineExceeded:
                # The ends are reported again; nothing is lost by going on.
                return

    # Links of followers, which call for advice.

    def add_link(self, link: link_module.Link) -> None:
        """Let a follower call the advice service."""
        self._advisers.setdefault(link, advisers_module.Adviser(link))

    def remove_link(self, link: link_module.Link) -> None:
        """Forget a follower whose connection ended."""
        self._advisers.pop(link, None)

    def note_former_gone(self) -> None:
        """Take in that the former leader renews no more leases.

        What may run unseen is then over within one lease from now.
        """
        self._former_gone = True
        until_ms = self._clock.now_ms() + _LEASE_BOUND_MS
        self.state.unseen_until_ms = min(self.state.unseen_until_ms, until_ms)

    def configure(self, index: term_index.TermIndex) -> None:
        """Put a configuration in force."""
        self.state.index = index
        self.state.eased.update(index.workspaces)
        self._schedule_plan()

    # Planning.

    def _schedule_plan(self) -> None:
        if self._plan_handle is None and not self.lost.is_set():
            self._plan_handle = asyncio.get_running_loop().call_later(
                _PLAN_PAUSE_MS / 1000, self._plan
            )

    def _plan(self) -> None:
        self._plan_handle = None
        if self.lost.is_set():
            return
        self._planner.plan(self._clock.now_ms())
        self._send_orders()

    def _send_orders(self) -> None:
        orders = self.state.take_orders()
        for start in orders.starts:
            session = self._sessions.get(start.worker_id)
            if session is None:
                starts_module.apply_outcome(
                    self.state,
                    start,
                    start_outcome.StartOutcome.NOT_SENT,
                    self._clock.now_ms(),
                )
                continue
            events.emit(
                cell_events.TASK_STARTED,
                worker=start.worker_id,
                task=start.task.name,
                run=start.run,
            )
            session.send_start(start)
        for stop in orders.stops:
            session = self._sessions.get(stop.worker_id)
            if session is not None:
                session.send_stop(stop)
        for advice in orders.advice:
            task = asyncio.ensure_future(self._ask(advice))
            self._advising.add(task)
            task.add_done_callback(self._advising.discard)

    async def _ask(self, order: orders_module.AdviceOrder) -> None:
        run = order.step_run
        terms = self.state.advice_terms(run.job.definition)
        expected_ms = terms.call_ms(len(order.worker_ids)) if terms else 0.0
        now_ms = self._clock.now_ms()
        rows = [self._self_adviser, *self._advisers.values()]
        adviser = advisers_module.choose(rows, expected_ms, now_ms)
        if adviser is None:
            plan_module.advice_failed(
                self.state, run, now_ms + _ADVICE_PAUSE_MS
            )
            return
        adviser.pending_ms += expected_ms
        timeout_ms = int(adviser.pending_ms) + _ADVICE_SLACK_MS
        try:
            result = await self._call_adviser(adviser, order, timeout_ms)
        except errors.BasilspindleError as error:
            events.emit(
                cell_events.ADVICE_FAILED, step=run.key, error=error.message
            )
            now_ms = self._clock.now_ms()
            adviser.paused_until_ms = now_ms + _ADVICE_PAUSE_MS
            plan_module.advice_failed(
                self.state, run, now_ms + _ADVICE_PAUSE_MS
            )
            return
        finally:
            adviser.pending_ms -= expected_ms
        now_ms = self._clock.now_ms()
        plan_module.apply_advice(
            self.state,
            run,
            order.worker_ids,
            result.tickets,
            now_ms + result.valid_ms,
        )
        self._schedule_plan()

    async def _call_adviser(
        self,
        adviser: advisers_module.Adviser,
        order: orders_module.AdviceOrder,
        timeout_ms: int,
    ) -> ports.AdviceResult:
        key = order.step_run.key
        if adviser.link is None:
            return await self._advice.ask(key, order.worker_ids, timeout_ms)
        reply = await adviser.link.call(
            messages.Advise(key, tuple(order.worker_ids), timeout_ms),
            timeout_ms,
        )
        if isinstance(reply, messages.Advised):
            return ports.AdviceResult(reply.tickets, reply.valid_ms)
        raise errors.Overloaded('a daemon got no advice; ask another')

    # Recording.

    def _collect(self) -> journal_module.Batch:
        batch = journal_module.Batch()
        wall_ms = self._clock.wall_ms()
        for worker in self.state.workers.values():
            if worker.noted_end != worker.durable_end:
                batch.ends[worker.worker_id] = (
                    worker.born_wall_ms,
                    worker.noted_end,
                )
        for job_id in list(self.state.changed):
            job = self.state.changed.pop(job_id)
            journal_module.put_job(batch, job, wall_ms)
            if journal_module.is_full(batch):
                # Ends of jobs that are left must not be acknowledged.
                batch.ends.clear()
                self._journal.request()
                break
        for job_id in self._expired:
            journal_module.put_expired(batch, job_id)
        self._expired = []
        if self._roster_changed:
            self._roster_changed = False
            journal_module.put_roster(batch, self._roster)
        return batch

    def _apply_batch(self, batch: journal_module.Batch) -> None:
        now_ms = self._clock.now_ms()
        for job, state in batch.jobs:
            first = job.durable_state is None
            ended = state.is_final and job.durable_state is not state
            job.durable_state = state
            if first:
                events.emit(
                    cell_events.JOB_ACCEPTED,
                    job=job.job_id,
                    queue=job.definition.queue,
                    workspace=job.definition.workspace,
                    took_ms=now_ms - job.accepted_ms,
                )
                self._schedule_plan()
            if ended:
                events.emit(
                    cell_events.JOB_ENDED,
                    job=job.job_id,
                    state=state,
                    took_ms=now_ms - job.accepted_ms,
                )
            if state.is_final and not job.occupied:
                self._forget(job)
            if job.state is state or state.is_final:
                for future in self._recording.pop(job.job_id, ()):
                    if not future.done():
                        future.set_result(None)
            elif first:
                for future in self._recording.pop(job.job_id, ()):
                    if not future.done():
                        future.set_result(None)
        for worker_id, (born_wall_ms, number) in batch.ends.items():
            worker = self.state.workers.get(worker_id)
            if worker is not None and worker.born_wall_ms == born_wall_ms:
                worker.durable_end = max(worker.durable_end, number)
        recorded, self._recorded = self._recorded, asyncio.Event()
        recorded.set()

    def _forget(self, job: job_module.Job) -> None:
        self.state.table.end(job, job.final_wall_ms)
        self.state.objectives.pop(job.job_id, None)

    def _recover(self, recovered: journal_module.Recovered) -> None:
        now_ms = self._clock.now_ms()
        wall_ms = self._clock.wall_ms()
        state = self.state
        for definition, progress in recovered.jobs:
            job = progress_module.restore(
                definition, progress, now_ms, wall_ms
            )
            self._intake.adopt(job, now_ms)
        state.changed.clear()
        for job_id, final in recovered.finals.items():
            state.table.ended[job_id] = job_table.EndedJob(
                final.workspace, final.queue, final.state, final.ended_wall_ms
            )
        self._roster = dict(recovered.roster)
        state.unseen = set(recovered.roster)
        state.unseen_until_ms = now_ms + STORE_PATIENCE_MS + _LEASE_BOUND_MS
        if self._former_gone:
            self.note_former_gone()
        for worker_id, address in recovered.roster.items():
            self._add_worker(worker_id, address, None)

    # Workers.

    async def _refresh_registry(self) -> None:
        try:
            rows = await self._registry.refresh()
        except (errors.LogUnavailable, errors.LogOutcomeUnknown) as error:
            events.emit(
                cell_events.STORE_FAILED, call='registry', error=error.message
            )
            return
        for worker_id, row in rows.items():
            worker = self.state.workers.get(worker_id)
            if worker is None:
                self._add_worker(worker_id, row.address, row)
            else:
                self._update_worker(worker, row)
        for worker_id, worker in list(self.state.workers.items()):
            if worker_id not in rows and worker.listed:
                worker.listed = False
                worker.unlisted_ms = self._clock.now_ms()
            if worker_id not in rows and not worker.reported:
                if worker_id not in self.state.unseen and not worker.tasks:
                    self._drop_worker(worker)

    def _add_worker(
        self,
        worker_id: str,
        address: str,
        row: ports.RegisteredWorker | None,
    ) -> None:
        worker = worker_module.Worker(
            worker_id,
            address,
            row.pool if row else '',
            row.rack if row else '',
            row.failure_domain if row else '',
            frozenset(row.labels) if row else frozenset(),
            row.capacity if row else state_module.NOTHING,
        )
        worker.listed = row is not None
        worker.ready = row is not None and row.is_ready
        self.state.workers[worker_id] = worker
        if self._roster.get(worker_id) != address:
            self._roster[worker_id] = address
            self._roster_changed = True
        session = session_module.Session(
            worker,
            self._worker_orders,
            self,
            self._clock,
            self.claim.epoch,
            self.state.bounds.max_lease_ms,
        )
        self._sessions[worker_id] = session
        session.open()

    def _update_worker(
        self, worker: worker_module.Worker, row: ports.RegisteredWorker
    ) -> None:
        if worker.address != row.address:
            worker.address = row.address
            self._roster[worker.worker_id] = row.address
            self._roster_changed = True
        if worker.ready and not row.is_ready:
            events.emit(
                cell_events.WORKER_DRAINING,
                worker=worker.worker_id,
                remaining_ms=row.remaining_ms,
            )
        if not worker.listed or worker.ready != row.is_ready:
            self.state.freed.add(worker.worker_id)
        worker.pool = row.pool
        worker.rack = row.rack
        worker.failure_domain = row.failure_domain
        worker.labels = frozenset(row.labels)
        worker.capacity = row.capacity
        worker.ready = row.is_ready
        worker.listed = True

    def _drop_worker(self, worker: worker_module.Worker) -> None:
        self.state.workers.pop(worker.worker_id, None)
        session = self._sessions.pop(worker.worker_id, None)
        if session is not None:
            session.close()
        if self._roster.pop(worker.worker_id, None) is not None:
            self._roster_changed = True

    async def _follow_registry(self) -> None:
        while True:
            await self._clock.sleep_ms(_REGISTRY_MS)
            await self._refresh_registry()

    async def _tick(self) -> None:
        while True:
            await self._clock.sleep_ms(_TICK_MS)
            now_ms = self._clock.now_ms()
            wall_ms = self._clock.wall_ms()
            silent_ms = now_ms - self._journal.confirmed_ms
            if silent_ms > STORE_PATIENCE_MS:
                self.lose_leadership('the store does not answer')
                return
            if self.store_age_ms > _STORE_SILENT_MS:
                self._withdraw_new()
            self._open_due(now_ms, wall_ms)
            self._repeat_stops(now_ms)
            self._stop_partial_gangs(now_ms)
            kept_ms = self.state.bounds.state_kept_ms + _STATE_SLACK_MS
            self._expired += self.state.table.expire(wall_ms - kept_ms)
            self._forget_ended()
            self._send_orders()
            if self.state.changed:
                self._journal.request()
            self._schedule_plan()

    def _withdraw_new(self) -> None:
        # Jobs that no append has taken up need not wait for the store.
        for job_id in list(self._recording):
            job = self.state.table.jobs.get(job_id)
            if job is None or not self._intake.withdraw(job):
                continue
            for future in self._recording.pop(job_id):
                if not future.done():
                    future.set_exception(
                        errors.NotReady('the store does not answer')
                    )

    def _open_due(self, now_ms: int, wall_ms: int) -> None:
        for job in self.state.table.jobs.values():
            due_ms = job.next_due_wall_ms
            if due_ms is None or job.state.is_final or wall_ms < due_ms:
                continue
            self.state.table.index(job.open_occurrence())
            self.state.table.open_steps(job, now_ms)
            self.state.mark_changed(job)

    def _stop_partial_gangs(self, now_ms: int) -> None:
        # Members that started would wait in vain for one that did not.
        limit_ms = self.state.bounds.gang_ms - _GANG_MARGIN_MS
        for worker in self.state.workers.values():
            for task in worker.tasks.values():
                run = task.step_run
                if not run.step.gang or not run.started_ms:
                    continue
                if task.state is not task_state.TaskState.STARTING:
                    continue
                if now_ms - run.started_ms > limit_ms:
                    run.started_ms = 0
                    self.state.stop_gang(run)

    def _repeat_stops(self, now_ms: int) -> None:
        for worker in self.state.workers.values():
            for task in worker.tasks.values():
                if task.state is not task_state.TaskState.STOPPING:
                    continue
                if not task.stop_sent_ms:
                    task.stop_sent_ms = now_ms
                elif now_ms - task.stop_sent_ms > _STOP_REPEAT_MS:
                    task.stop_sent_ms = now_ms
                    self.state.orders.stops.append(
                        orders_module.StopOrder(
                            worker.worker_id, task.name, task.run
                        )
                    )

    def _forget_ended(self) -> None:
        ended = [
            job
            for job in self.state.table.jobs.values()
            if job.durable_state is not None
            and job.durable_state.is_final
            and not job.occupied
            and job.job_id not in self.state.changed
        ]
        for job in ended:
            self._forget(job)

    async def _guard(
        self,
        work: collections.abc.Callable[
            [], collections.abc.Coroutine[typing.Any, typing.Any, None]
        ],
    ) -> None:
        try:
            await work()
        except errors.Deposed as error:
            self.lose_leadership(error.message)
        except Exception as error:
            events.emit(
                cell_events.INTERNAL_FAULT,
                part=work.__name__,
                error=repr(error),
            )
            self.lose_leadership('a part failed')


def _store_silent() -> messages.Refused:
    return messages.Refused(
        errors.NotReady.kind,
        'the store does not answer; the job was not accepted, come back',
        _STORE_RETRY_MS,
    )
