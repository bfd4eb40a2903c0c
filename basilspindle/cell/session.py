"""Renew the lease of one worker and send orders to it."""

import asyncio
import typing

from basilspindle.cell import confirmation
from basilspindle.cell import events as cell_events
from basilspindle.cell import first_calls as first_calls_module
from basilspindle.cell import guard
from basilspindle.cell import leadership
from basilspindle.cell import lease_clock
from basilspindle.cell import loss
from basilspindle.cell import orders as orders_module
from basilspindle.cell import ports
from basilspindle.cell import report as report_module
from basilspindle.cell import run_expiry
from basilspindle.cell import start_outcome
from basilspindle.cell import worker as worker_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.workflow import task as task_module

# Long enough to outlast a change of leader, short enough that the tasks of an
# unreachable worker are soon restarted elsewhere.
LEASE_MS = 5_000
# A worker may hold its answer to a renewal until a run ends, for at most this
# time, so that ends are reported without polling.
_RENEW_WAIT_MS = 1_000
# The same for a worker with runs that gets no lease before the log names it.
_UNNAMED_WAIT_MS = 50
# Time for the answer itself, added to the wait above.
_RENEW_MARGIN_MS = 500
_MIN_RENEW_RETRY_MS = 100
_MAX_RENEW_RETRY_MS = 500
# The same for a worker that has never answered: it has no tasks.
_MAX_FIRST_RETRY_MS = 2_000
# Longest pause before the next renewal while run ends are not recorded yet:
# the worker would report them again at once.
_UNRECORDED_PAUSE_MS = 200
# An unanswered start is repeated for this long; after that its outcome is
# reported as unknown and the run is stopped.
_START_RETRY_LIMIT_MS = 1_500
_ORDER_TIMEOUT_MS = 350
_MAX_STOP_ATTEMPTS = 6
# So many renewals without an answer in a row carry a deadline: one may be
# lost, and each may extend the lease of a life that has not reported.
_MAX_UNANSWERED_GRANTS = 2
# After so many renewals without an answer in a row the log tells that the
# worker is silent: one answer may be lost, and a note costs it its next lease
# until the log names it again.
_MAX_UNNOTED_FAILURES = 2
# A worker whose report could not be applied gets no new tasks for this long.
_FAULT_PAUSE_MS = 2_000
_STOP_RETRY_MS = 250
# Longest wait for the store to confirm that no later leader knows more about
# a worker. If an append takes longer, a later attempt finds it confirmed.
_CONFIRM_WAIT_MS = 300


# The outcomes of a repeated start that also settle an earlier unanswered
# attempt.
_CONCLUSIVE_OUTCOMES = frozenset(
    {
        start_outcome.StartOutcome.RUNS,
        start_outcome.StartOutcome.RUN_TOO_LOW,
        start_outcome.StartOutcome.FENCED,
        start_outcome.StartOutcome.WORKER_REPLACED,
    }
)


def _is_at_worker(order: orders_module.StartOrder) -> bool:
    task = order.task
    return task.run == order.run and task.worker_id == order.worker_id


class SessionOwner(typing.Protocol):
    """Receiver of what a session learns about its worker."""

    def handle_report(
        self,
        session: 'Session',
        report: report_module.Report,
        sent_ms: int,
    ) -> bool:
        """Apply a report; tell whether run ends are not recorded yet."""
        ...

    def handle_start_outcome(
        self,
        order: orders_module.StartOrder,
        outcome: start_outcome.StartOutcome,
    ) -> None:
        """Apply the outcome of a start."""
        ...

    def handle_stop_accepted(self, order: orders_module.StopOrder) -> None:
        """Note that a worker has accepted a stop order."""
        ...

    def lose_worker(self, session: 'Session', evidence: loss.Evidence) -> None:
        """Release the tasks of a worker whose lease or process has ended."""
        ...

    def lose_tasks(
        self, session: 'Session', tasks: list[task_module.Task]
    ) -> None:
        """Release tasks of a silent worker, which may still run others."""
        ...

    def lose_leadership(
        self,
        reason: str,
        cause: leadership.EndCause = leadership.EndCause.REPLACED,
    ) -> None:
        """Stop leading, for instance because a worker saw a later leader."""
        ...

    async def wait_for_ends(
        self, worker: worker_module.Worker, timeout_ms: int
    ) -> None:
        """Wait up to a timeout until all run ends of a worker are recorded."""
        ...

    def end_if_expired(self) -> bool:
        """Step down if the time to lead is over; tell whether it is."""
        ...

    def withholds_start(self, order: orders_module.StartOrder) -> bool:
        """Tell whether a start must not be sent, or sent again, now."""
        ...

    @property
    def confirmed_ms(self) -> int:
        """Return when the latest call that the store has confirmed began."""
        ...

    async def wait_confirmed(self, at_ms: int, timeout_ms: int) -> bool:
        """Wait until no later leader had fenced the log at a time; tell."""
        ...


class Session:
    """Renew the lease of one worker, and send it orders, until closed.

    ``token`` is the fencing token of this leader. The worker rejects a call
    if it has seen a higher one.
    """

    __slots__ = (
        'worker',
        '_orders',
        '_owner',
        '_clock',
        '_token',
        '_first_calls',
        '_lease',
        '_lease_ms',
        '_renewal_task',
        '_order_tasks',
        '_is_worker_silent',
        '_max_lease_ms',
        '_is_life_certain',
        '_life_doubts',
        '_open_starts',
        '_acknowledged_end_number',
        '_observed_born_wall_ms',
        '_has_unconfirmed_life',
        '_life_heard_ms',
        '_replaced_since_ms',
        '_orders_until_ms',
        '_lease_sent_ms',
        '_unanswered_renewals',
        '_settled_at_ms',
        '_acknowledgement_until_ms',
        '_unanswered_end_number',
        '_acknowledged',
    )

    def __init__(
        self,
        worker: worker_module.Worker,
        orders: ports.WorkerOrders,
        owner: SessionOwner,
        clock: clock_module.Clock,
        token: int,
        max_lease_ms: int,
        first_calls: first_calls_module.FirstCalls,
    ) -> None:
        self.worker = worker
        self._orders = orders
        self._owner = owner
        self._clock = clock
        self._token = token
        self._first_calls = first_calls
        self._lease = lease_clock.LeaseClock()
        self._lease_ms = min(LEASE_MS, max_lease_ms)
        self._renewal_task: asyncio.Task[None] | None = None
        self._order_tasks: set[asyncio.Task[None]] = set()
        self._is_worker_silent = False
        self._max_lease_ms = max_lease_ms
        # False while the incarnation that last reported may have been
        # replaced by another one under the same id.
        self._is_life_certain = False
        # Answers that showed another clock than the one known.
        self._life_doubts = 0
        # Number of start orders without an answer.
        self._open_starts = 0
        self._acknowledged_end_number = 0
        # The life whose lease is tracked; its report is not applied while the
        # store has not confirmed a call since it began.
        self._observed_born_wall_ms: int | None = None
        self._has_unconfirmed_life = False
        # When that life first answered.
        self._life_heard_ms = 0
        # When another worker first answered at the address.
        self._replaced_since_ms: int | None = None
        # Until when the orders with a deadline that got no answer may arrive.
        self._orders_until_ms = 0
        # When the latest order with a deadline was sent.
        self._lease_sent_ms = 0
        # Number of renewals with a deadline that got no answer in a row.
        self._unanswered_renewals = 0
        # When no order for an earlier life can extend the lease any more.
        self._settled_at_ms = 0
        # Until when an acknowledgement that got no answer may arrive.
        self._acknowledgement_until_ms = 0
        # The number that the latest one carried, 0 once a report came.
        self._unanswered_end_number = 0
        # Cleared while an acknowledgement is under way.
        self._acknowledged = asyncio.Event()
        self._acknowledged.set()

    def open(self) -> None:
        """Start to renew the lease."""
        self._renewal_task = asyncio.ensure_future(
            guard.run(self._renew_forever, self._fail)
        )

    def close(self) -> None:
        """Stop renewing the lease and cancel orders in flight."""
        for task in (self._renewal_task, *self._order_tasks):
            if task is not None:
                task.cancel()

    @property
    def lease_expiry_ms(self) -> int | None:
        """Return when the lease expires unless it is renewed again.

        None while the worker's clock is not known.
        """
        return self._lease.expiry_ms()

    @property
    def worker_clock_ms(self) -> int | None:
        """Return what the worker's clock shows unless it has restarted."""
        return self._lease.expected_ms(self._clock.now_ms())

    def send_start(self, order: orders_module.StartOrder) -> None:
        """Send a start order and report its outcome to the owner."""
        self._spawn(self._start(order))

    def send_stop(self, order: orders_module.StopOrder) -> None:
        """Send a stop order, repeating it a limited number of times."""
        self._spawn(self._stop(order))

    def send_pace(self, order: orders_module.PaceOrder) -> None:
        """Send a pace order; if it fails, the pace is chosen again."""
        self._spawn(self._pace(order))

    def _spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.ensure_future(self._run_order(work))
        self._order_tasks.add(task)
        task.add_done_callback(self._order_tasks.discard)

    async def _run_order(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        try:
            await work
        except Exception as error:
            self._log_fault('order', error)

    def _log_fault(self, part: str, error: Exception) -> None:
        events.emit(
            cell_events.INTERNAL_FAULT,
            part=part,
            worker=self.worker.worker_id,
            error=repr(error),
        )

    def _fail(self, error: Exception) -> None:
        self._owner.lose_leadership(
            f'a worker session failed: {error!r}', leadership.EndCause.FAULT
        )

    async def _renew_forever(self) -> None:
        pause_ms = _MIN_RENEW_RETRY_MS
        failures = 0
        successive_failures = 0
        while True:
            has_answered = bool(self.worker.answered_address)
            try:
                if has_answered:
                    fault = await self._renew_once()
                else:
                    # Many addresses that do not answer must not take the
                    # time of the workers that do.
                    fault = await self._first_calls.run(
                        failures, self._renew_once
                    )
            except Exception as error:
                # Neither may what one entry of the registry names end the
                # leadership: the next leader would read it as well.
                self._log_fault('renewal', error)
                fault = f'a renewal failed: {error!r}'
            if fault is None:
                pause_ms = _MIN_RENEW_RETRY_MS
                successive_failures = 0
                self.worker.silent_until_ms = 0
                continue
            failures += 1
            successive_failures += 1
            if successive_failures >= _MAX_UNNOTED_FAILURES:
                self._note_silence()
            if not self._is_worker_silent:
                self._is_worker_silent = True
                events.emit(
                    cell_events.WORKER_SILENT,
                    worker=self.worker.worker_id,
                    error=fault,
                )
            await self._release_expired()
            await self._clock.sleep_ms(pause_ms)
            pause_ms = min(
                2 * pause_ms,
                _MAX_RENEW_RETRY_MS if has_answered else _MAX_FIRST_RETRY_MS,
            )

    def _note_silence(self) -> None:
        """Send no more leases and starts, so that a successor waits less."""
        worker = self.worker
        if not worker.is_recorded or not worker.reported:
            return
        lease_expiry_ms = self._lease.expiry_ms()
        if lease_expiry_ms is None:
            return
        lease_sent_ms = self._lease_sent_ms
        if self._open_starts:
            lease_sent_ms = self._clock.now_ms()
        worker.is_recorded = False
        worker.silent_until_ms = max(
            [lease_expiry_ms]
            + [
                run_expiry.expiry_ms(
                    task,
                    worker,
                    self._lease,
                    lease_sent_ms,
                    self._max_lease_ms,
                )
                for task in worker.tasks.values()
            ]
        )

    async def _release_expired(self) -> None:
        now_ms = self._clock.now_ms()
        lease_expiry_ms = self._lease.expiry_ms()
        if lease_expiry_ms is None or now_ms <= lease_expiry_ms:
            return
        worker = self.worker
        expired, expiry_ms = [], lease_expiry_ms
        for task in worker.tasks.values():
            task_expiry_ms = run_expiry.expiry_ms(
                task,
                worker,
                self._lease,
                self._lease_sent_ms,
                self._max_lease_ms,
            )
            if task_expiry_ms < now_ms:
                expired.append(task)
                expiry_ms = max(expiry_ms, task_expiry_ms)
        is_over = len(expired) == len(worker.tasks)
        if not is_over and not expired:
            return
        # A successor may have renewed the lease meanwhile.
        if not await self._is_confirmed(expiry_ms):
            return
        if is_over:
            self._owner.lose_worker(self, loss.Evidence.LEASE)
        else:
            self._owner.lose_tasks(self, expired)

    async def _renew_once(self) -> str | None:
        """Renew the lease; returns the error message if that fails."""
        if self._owner.end_if_expired():
            return 'this daemon no longer leads'
        worker = self.worker
        address = worker.address
        sent_ms = self._clock.now_ms()
        deadline_ms = self._renewal_deadline_ms(sent_ms)
        recorded = worker.applied_end_number == worker.recorded_end_number
        acknowledged_end_number = self._acknowledgeable_end_number(sent_ms)
        lacks_acknowledgement = (
            max(acknowledged_end_number, self._acknowledged_end_number)
            != worker.recorded_end_number
        )
        wait_ms = self._renewal_wait_ms(deadline_ms, recorded)
        self._is_life_certain = False
        life_doubts = self._life_doubts
        if acknowledged_end_number or self._unanswered_end_number:
            # Starts wait for the answer.
            wait_ms = 0
        if acknowledged_end_number:
            self._acknowledged.clear()
        try:
            report = await self._orders.renew(
                address,
                worker.worker_id,
                self._token,
                deadline_ms,
                acknowledged_end_number,
                wait_ms,
                wait_ms + _RENEW_MARGIN_MS,
            )
        except errors.StaleEpoch as error:
            self._owner.lose_leadership(error.message)
            return error.message
        except errors.WorkerReplaced as error:
            # Only where the worker has answered before, another one shows
            # that it has ended: its entry may name a wrong address.
            if address == worker.answered_address:
                # A successor may have noted ends before the worker ended.
                if self._replaced_since_ms is None:
                    self._replaced_since_ms = self._clock.now_ms()
                if await self._is_confirmed(self._replaced_since_ms):
                    self._owner.lose_worker(self, loss.Evidence.REPLACED)
            return error.message
        except errors.WorkerError as error:
            if deadline_ms is not None and not isinstance(
                error, errors.WorkerUnavailable
            ):
                self._note_unanswered_order(sent_ms)
                self._unanswered_renewals += 1
            if acknowledged_end_number and not isinstance(
                error, errors.WorkerUnavailable
            ):
                self._note_unanswered_acknowledgement(
                    acknowledged_end_number, sent_ms
                )
            return error.message
        finally:
            self._acknowledged.set()
        now_ms = self._clock.now_ms()
        self._unanswered_renewals = 0
        self._replaced_since_ms = None
        if worker.born_wall_ms and not report.born_wall_ms:
            return 'a report does not tell when the worker started'
        if report.born_wall_ms != self._observed_born_wall_ms:
            if self._observed_born_wall_ms is not None:
                events.emit(
                    cell_events.WORKER_RESTARTED,
                    worker=worker.worker_id,
                    born_wall_ms=report.born_wall_ms,
                    clock_ms=report.clock_ms,
                    earlier_born_wall_ms=self._observed_born_wall_ms,
                    earlier_clock_ms=self._lease.expected_ms(now_ms),
                    tasks=len(worker.tasks),
                )
            held_ms = self._longest_held_ms(report.born_wall_ms, now_ms)
            self._observed_born_wall_ms = report.born_wall_ms
            self._has_unconfirmed_life = True
            self._life_heard_ms = now_ms
            self._acknowledged_end_number = 0
            self._lease.begin_life(
                report.clock_ms, now_ms, max(held_ms, self._lease_ms)
            )
            self._settled_at_ms = now_ms
            if held_ms:
                self._settled_at_ms = self._lease.expiry_ms() or now_ms
        else:
            self._acknowledged_end_number = max(
                self._acknowledged_end_number, acknowledged_end_number
            )
            self._lease.observe(report.clock_ms, now_ms)
            self._settle_acknowledgement(report, now_ms)
        self._unanswered_end_number = 0
        worker.answered_address = address
        if self._has_unconfirmed_life:
            # A successor may have noted ends of the life before this one,
            # unless the store has confirmed a call since this one began. When
            # it began is not known, its clock does not tell.
            if not await self._is_confirmed(self._life_heard_ms):
                return 'the store has not confirmed a life of the worker'
            self._has_unconfirmed_life = False
        worker.has_settled_life = now_ms >= self._settled_at_ms
        try:
            lacks_ends = self._owner.handle_report(self, report, sent_ms)
        except Exception as error:
            # What one worker reports must not end the leadership: the next
            # leader would receive the same report.
            self._log_fault('report', error)
            worker.suspect_until_ms = now_ms + _FAULT_PAUSE_MS
            return f'a report could not be applied: {error!r}'
        self._is_worker_silent = False
        # The report may be older than an answer that showed another life.
        self._is_life_certain = life_doubts == self._life_doubts
        if lacks_ends:
            await self._owner.wait_for_ends(worker, _UNRECORDED_PAUSE_MS)
        elif not recorded or lacks_acknowledgement:
            await self._clock.sleep_ms(_UNRECORDED_PAUSE_MS)
        return None

    def _note_unanswered_acknowledgement(
        self, end_number: int, sent_ms: int
    ) -> None:
        # A later life that carries it out forgets ends that no report has
        # listed.
        worker = self.worker
        self._unanswered_end_number = end_number
        self._acknowledgement_until_ms = sent_ms + lease_clock.LATE_ORDER_MS
        worker.suspect_until_ms = max(
            worker.suspect_until_ms, self._acknowledgement_until_ms
        )

    def _settle_acknowledgement(
        self, report: report_module.Report, now_ms: int
    ) -> None:
        # Nothing else can have removed these ends.
        number = self._unanswered_end_number
        if not number or any(end.number <= number for end in report.ends):
            return
        if self.worker.suspect_until_ms == self._acknowledgement_until_ms:
            self.worker.suspect_until_ms = now_ms
        self._acknowledgement_until_ms = 0

    def _note_unanswered_order(self, sent_ms: int) -> None:
        self._orders_until_ms = max(
            self._orders_until_ms, sent_ms + lease_clock.LATE_ORDER_MS
        )

    def _longest_held_ms(self, born_wall_ms: int, now_ms: int) -> int:
        """Return how long a life may hold a lease for orders to earlier ones.

        It shortens a deadline on the clock of an earlier life to its longest
        lease. Orders of earlier leaders end with the fence that the call left
        which it has just answered, those of this one do not.
        """
        worker = self.worker
        if self._observed_born_wall_ms is not None:
            orders_until_ms = self._orders_until_ms
            if self._open_starts:
                orders_until_ms = now_ms + lease_clock.LATE_ORDER_MS
        elif worker.earlier_orders_until_ms is None:
            return 0
        elif born_wall_ms and born_wall_ms == worker.settled_born_wall_ms:
            return 0
        else:
            orders_until_ms = worker.earlier_orders_until_ms
        return max(0, orders_until_ms - now_ms) + self._max_lease_ms

    async def _is_confirmed(self, at_ms: int) -> bool:
        return await self._owner.wait_confirmed(at_ms, _CONFIRM_WAIT_MS)

    def _acknowledgeable_end_number(self, now_ms: int) -> int:
        # End numbers start anew with each incarnation, and the call names
        # only the id of the worker. One that has restarted under its id would
        # forget the ends of runs that it has accepted since.
        if self._open_starts or not self._is_life_certain:
            return 0
        number = self.worker.acknowledgeable_end_number(now_ms)
        if number <= self._acknowledged_end_number:
            # Nothing to forget: a repeat could only reach a later life.
            return 0
        return number

    def _renewal_deadline_ms(self, now_ms: int) -> int | None:
        # A later leader would not wait for a lease of a worker that the log
        # does not name.
        if not self.worker.is_recorded or self._has_unconfirmed_life:
            return None
        # Repeats carry the same deadline. They extend nothing at the life that
        # answered last, but may do so at a later one.
        if self._unanswered_renewals >= _MAX_UNANSWERED_GRANTS:
            return None
        if not self._may_reach_unknown_life(now_ms) and any(
            run_expiry.may_be_at_unknown_life(task, self.worker)
            for task in self.worker.tasks.values()
        ):
            return None
        # A deadline that has passed on the worker's clock extends nothing.
        deadline_ms = self._grant(now_ms)
        expiry_ms = self._lease.expiry_ms()
        if expiry_ms is not None and now_ms > expiry_ms:
            return None
        if deadline_ms is not None:
            self._lease_sent_ms = now_ms
        return deadline_ms

    def _grant(self, now_ms: int) -> int | None:
        """Return a deadline that a successor reckons with.

        None if the clock of the worker is not known.
        """
        limit_ms = self._owner.confirmed_ms + confirmation.lease_limit_ms(
            self._max_lease_ms
        )
        lease_ms = lease_clock.lease_within_ms(limit_ms - now_ms)
        return self._lease.grant(min(self._lease_ms, lease_ms))

    def _may_reach_unknown_life(self, now_ms: int) -> bool:
        """Tell whether an order may still be taken as the longest lease."""
        sent_for_ms = now_ms - self._owner.confirmed_ms
        return sent_for_ms <= confirmation.unknown_life_ms(self._max_lease_ms)

    def _renewal_wait_ms(
        self, deadline_ms: int | None, are_ends_recorded: bool
    ) -> int:
        # The worker should answer at once if no report of it has arrived yet,
        # if earlier run ends are not recorded or if its lease has run out. It
        # does so by itself if it lists run ends that are not acknowledged.
        if not self.worker.reported or not are_ends_recorded:
            return 0
        if deadline_ms is not None:
            return _RENEW_WAIT_MS
        if self.worker.is_recorded:
            return 0
        # Its runs need a lease as soon as the log names it.
        return _UNNAMED_WAIT_MS if self.worker.tasks else _RENEW_WAIT_MS

    async def _start(self, order: orders_module.StartOrder) -> None:
        begun_ms = self._clock.now_ms()
        payload = order.task.step_run.job.definition.payload
        # All attempts go to one address: what answers there settles those
        # without an answer.
        address = self.worker.address
        has_unanswered = False
        attempts = 0
        while True:
            self._open_starts += 1
            attempts += 1
            try:
                await self._acknowledged.wait()
                sent_ms = self._clock.now_ms()
                earlier_ms = self._note_open_attempt(order, sent_ms)
                answer = await self._try_start(order, address, payload)
            finally:
                self._open_starts -= 1
            outcome = answer.outcome
            spent_ms = self._clock.now_ms() - begun_ms
            if outcome is not start_outcome.StartOutcome.NOT_SENT:
                self._lease_sent_ms = max(self._lease_sent_ms, sent_ms)
            if outcome is start_outcome.StartOutcome.UNKNOWN:
                self._note_unanswered_order(sent_ms)
            self._note_attempt(order, answer, sent_ms, earlier_ms)
            if outcome is not start_outcome.StartOutcome.UNKNOWN:
                break
            has_unanswered = True
            if spent_ms > _START_RETRY_LIMIT_MS or not _is_at_worker(order):
                break
        if outcome is not start_outcome.StartOutcome.NOT_SENT:
            events.emit(
                cell_events.START_ANSWERED,
                worker=self.worker.worker_id,
                task=order.task.name,
                run=order.run,
                outcome=outcome.value,
                attempts=attempts,
                born_wall_ms=self.worker.born_wall_ms,
                clock_ms=answer.clock_ms,
                expected_clock_ms=self.worker_clock_ms,
                took_ms=spent_ms,
            )
        if has_unanswered and outcome not in _CONCLUSIVE_OUTCOMES:
            # The worker may have carried out the unanswered attempt, or may
            # still do so.
            outcome = start_outcome.StartOutcome.UNKNOWN
        if has_unanswered and (
            outcome is start_outcome.StartOutcome.WORKER_REPLACED
        ):
            # A successor may have noted the end of that attempt's run.
            if not await self._is_confirmed(self._clock.now_ms()):
                outcome = start_outcome.StartOutcome.UNKNOWN
        if outcome is start_outcome.StartOutcome.FENCED:
            self._owner.lose_leadership('a worker has seen a later leader')
        self._owner.handle_start_outcome(order, outcome)

    def _note_open_attempt(
        self, order: orders_module.StartOrder, sent_ms: int
    ) -> int:
        """Note an attempt before it is sent; returns the unanswered one."""
        task = order.task
        if not _is_at_worker(order):
            return 0
        # The task may be released before the attempt has an answer or fails.
        earlier_ms = task.unanswered_start_ms
        task.unanswered_start_ms = sent_ms
        return earlier_ms

    def _note_attempt(
        self,
        order: orders_module.StartOrder,
        answer: start_outcome.StartAnswer,
        sent_ms: int,
        earlier_ms: int,
    ) -> None:
        task = order.task
        is_unanswered = answer.outcome is start_outcome.StartOutcome.UNKNOWN
        if not _is_at_worker(order):
            if is_unanswered:
                # Its run may have ended meanwhile, at whatever number.
                self.worker.held_ends[self._acknowledged_end_number + 1] = (
                    sent_ms + lease_clock.LATE_ORDER_MS
                )
            return
        if is_unanswered:
            task.unanswered_start_ms = sent_ms
            return
        if task.unanswered_start_ms == sent_ms:
            task.unanswered_start_ms = earlier_ms
        if answer.outcome is not start_outcome.StartOutcome.NOT_SENT:
            task.answered_ms = self._clock.now_ms()
            task.answered_clock_ms = answer.clock_ms

    async def _try_start(
        self, order: orders_module.StartOrder, address: str, payload: str
    ) -> start_outcome.StartAnswer:
        if self._has_unconfirmed_life or self._replaced_since_ms is not None:
            # The tasks of the worker are about to be released.
            return start_outcome.StartAnswer(
                start_outcome.StartOutcome.NOT_SENT
            )
        if self._clock.now_ms() < self._acknowledgement_until_ms:
            return start_outcome.StartAnswer(
                start_outcome.StartOutcome.NOT_SENT
            )
        if self._owner.end_if_expired():
            return start_outcome.StartAnswer(
                start_outcome.StartOutcome.NOT_SENT
            )
        if self._owner.withholds_start(order):
            # An earlier attempt without an answer leaves the outcome unknown,
            # so that the run is stopped.
            return start_outcome.StartAnswer(
                start_outcome.StartOutcome.NOT_SENT
            )
        now_ms = self._clock.now_ms()
        if not self.worker.is_recorded or not self._may_reach_unknown_life(
            now_ms
        ):
            # A successor would not wait for this start.
            return start_outcome.StartAnswer(
                start_outcome.StartOutcome.NOT_SENT
            )
        deadline_ms = self._grant(now_ms)
        if deadline_ms is None:
            return start_outcome.StartAnswer(
                start_outcome.StartOutcome.NOT_SENT
            )
        try:
            answer = await self._orders.start(
                address,
                self.worker.worker_id,
                self._token,
                deadline_ms,
                order.task.name,
                order.run,
                payload,
                order.task.checkpoint,
                order.ticket,
                _ORDER_TIMEOUT_MS,
            )
            if answer.clock_ms is not None:
                if not self._lease.agrees(
                    answer.clock_ms, self._clock.now_ms()
                ):
                    self._is_life_certain = False
                    self._life_doubts += 1
            return answer
        except errors.StaleEpoch:
            return start_outcome.StartAnswer(start_outcome.StartOutcome.FENCED)
        except errors.WorkerReplaced:
            return start_outcome.StartAnswer(
                start_outcome.StartOutcome.WORKER_REPLACED
            )
        except errors.WorkerUnavailable:
            return start_outcome.StartAnswer(
                start_outcome.StartOutcome.NOT_SENT
            )
        except errors.WorkerOutcomeUnknown:
            return start_outcome.StartAnswer(
                start_outcome.StartOutcome.UNKNOWN
            )
        except Exception as error:
            # Without an outcome, the task would keep its room for ever.
            self._log_fault('start', error)
            return start_outcome.StartAnswer(
                start_outcome.StartOutcome.UNKNOWN
            )

    async def _pace(self, order: orders_module.PaceOrder) -> None:
        try:
            await self._orders.pace(
                self.worker.address,
                self.worker.worker_id,
                self._token,
                order.task.name,
                order.run,
                order.percent,
                _ORDER_TIMEOUT_MS,
            )
        except errors.StaleEpoch as error:
            self._owner.lose_leadership(error.message)
        except errors.WorkerError:
            # The order may or may not have been carried out, so the pace is
            # unknown. It is chosen again after the next report.
            if order.task.run == order.run:
                order.task.pace_percent = None
                order.task.has_unanswered_pace = True

    async def _stop(self, order: orders_module.StopOrder) -> None:
        for _ in range(_MAX_STOP_ATTEMPTS):
            try:
                await self._orders.stop(
                    self.worker.address,
                    self.worker.worker_id,
                    self._token,
                    order.name,
                    order.run,
                    _ORDER_TIMEOUT_MS,
                )
            except errors.StaleEpoch as error:
                self._owner.lose_leadership(error.message)
                return
            except errors.WorkerReplaced:
                return
            except errors.WorkerError:
                # The leader's tick orders the stop again if all attempts fail.
                await self._clock.sleep_ms(_STOP_RETRY_MS)
                continue
            self._owner.handle_stop_accepted(order)
            return
