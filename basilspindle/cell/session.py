"""Hold one worker for the leader: renew its lease and send it orders."""

import asyncio
import typing

from basilspindle.cell import events as cell_events
from basilspindle.cell import guard
from basilspindle.cell import lease_clock
from basilspindle.cell import orders as orders_module
from basilspindle.cell import ports
from basilspindle.cell import report as report_module
from basilspindle.cell import start_outcome
from basilspindle.cell import worker as worker_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events

# Long enough for a change of leader, short enough that the tasks of a
# worker that was cut off start again soon.
LEASE_MS = 5_000
# A renewal waits this long for an end, so that ends need no polling.
_WAIT_MS = 1_000
_ANSWER_MS = 500
_RETRY_MIN_MS = 100
_RETRY_MAX_MS = 500
# Pause before ends that are not recorded yet are asked for again.
_UNRECORDED_PAUSE_MS = 200
# A start is repeated for this long before its run is stopped instead.
_START_PATIENCE_MS = 1_500
_START_ANSWER_MS = 350
_STOP_TRIES = 6
_STOP_PAUSE_MS = 250


# After a try without an answer, only these tell what became of the run.
_DECIDES = frozenset(
    {
        start_outcome.StartOutcome.RUNS,
        start_outcome.StartOutcome.RUN_TOO_LOW,
        start_outcome.StartOutcome.FENCED,
        start_outcome.StartOutcome.OTHER_LIFE,
    }
)


class SessionOwner(typing.Protocol):
    """What a session reports to."""

    def handle_report(
        self,
        session: 'Session',
        report: report_module.Report,
        sent_ms: int,
    ) -> bool:
        """Apply a report; returns whether ends came that need recording."""
        ...

    def handle_start_outcome(
        self,
        order: orders_module.StartOrder,
        outcome: start_outcome.StartOutcome,
    ) -> None:
        """Apply the outcome of a start."""
        ...

    def handle_stop_accepted(self, order: orders_module.StopOrder) -> None:
        """Note that a worker has taken a stop."""
        ...

    def lose_worker(self, session: 'Session') -> None:
        """Give up the tasks of a worker whose lease or life is over."""
        ...

    def lose_leadership(self, reason: str) -> None:
        """Stop leading: a worker has seen a later leader."""
        ...

    async def wait_for_ends(
        self, worker: worker_module.Worker, timeout_ms: int
    ) -> None:
        """Wait until the log holds all ends of a worker, within a bound."""
        ...


class Session:
    """Renew the lease of one worker until closed."""

    __slots__ = (
        'worker',
        '_orders',
        '_owner',
        '_clock',
        '_token',
        '_lease',
        '_lease_ms',
        '_task',
        '_sending',
        '_silent',
    )

    def __init__(
        self,
        worker: worker_module.Worker,
        orders: ports.WorkerOrders,
        owner: SessionOwner,
        clock: clock_module.Clock,
        token: int,
        max_lease_ms: int,
    ) -> None:
        self.worker = worker
        self._orders = orders
        self._owner = owner
        self._clock = clock
        self._token = token
        self._lease = lease_clock.LeaseClock()
        self._lease_ms = min(LEASE_MS, max_lease_ms)
        self._task: asyncio.Task[None] | None = None
        self._sending: set[asyncio.Task[None]] = set()
        self._silent = False

    def open(self) -> None:
        """Begin to renew the lease."""
        self._task = asyncio.ensure_future(
            guard.run(self._renew_forever, self._fail)
        )

    def close(self) -> None:
        """Stop renewing and forget orders under way."""
        for task in (self._task, *self._sending):
            if task is not None:
                task.cancel()

    @property
    def lease_expiry_ms(self) -> int | None:
        """Return when the lease is over if it is not renewed again."""
        return self._lease.expiry_ms()

    def declare_lost(self) -> None:
        """Take the life of the worker for over."""
        self._owner.lose_worker(self)

    def reset_lease_clock(self) -> None:
        """Begin anew with another life of the worker."""
        self._lease.reset()

    def send_start(self, order: orders_module.StartOrder) -> None:
        """Send a start; its outcome is reported to the owner."""
        self._spawn(self._start(order))

    def send_stop(self, order: orders_module.StopOrder) -> None:
        """Send a stop until it is answered or has failed often."""
        self._spawn(self._stop(order))

    def send_pace(self, order: orders_module.PaceOrder) -> None:
        """Send a pace; one that fails is decided anew."""
        self._spawn(self._pace(order))

    def _spawn(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.ensure_future(work)
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    def _fail(self, error: Exception) -> None:
        self._owner.lose_leadership(f'a session failed: {error!r}')

    async def _renew_forever(self) -> None:
        pause_ms = _RETRY_MIN_MS
        while True:
            fault = await self._renew_once()
            if fault is None:
                pause_ms = _RETRY_MIN_MS
                continue
            if not self._silent:
                self._silent = True
                events.emit(
                    cell_events.WORKER_SILENT,
                    worker=self.worker.worker_id,
                    error=fault,
                )
            expiry_ms = self._lease.expiry_ms()
            if expiry_ms is not None and self._clock.now_ms() > expiry_ms:
                self._owner.lose_worker(self)
            await self._clock.sleep_ms(pause_ms)
            pause_ms = min(2 * pause_ms, _RETRY_MAX_MS)

    async def _renew_once(self) -> str | None:
        worker = self.worker
        sent_ms = self._clock.now_ms()
        deadline_ms = self._lease.grant(self._lease_ms, sent_ms)
        recorded = worker.applied_end_number == worker.recorded_end_number
        waits = deadline_ms is not None and worker.reported and recorded
        wait_ms = _WAIT_MS if waits else 0
        acknowledged_end = worker.recorded_end_number
        try:
            report = await self._orders.renew(
                worker.address,
                worker.worker_id,
                self._token,
                deadline_ms,
                acknowledged_end,
                wait_ms,
                wait_ms + _ANSWER_MS,
            )
        except errors.StaleEpoch as error:
            self._owner.lose_leadership(error.message)
            return error.message
        except (errors.WorkerReplaced, errors.WorkerStopped) as error:
            self._owner.lose_worker(self)
            return error.message
        except errors.WorkerError as error:
            return error.message
        now_ms = self._clock.now_ms()
        self._lease.observe(report.clock_ms, now_ms)
        self._silent = False
        if self._owner.handle_report(self, report, sent_ms):
            await self._owner.wait_for_ends(worker, _UNRECORDED_PAUSE_MS)
        elif not recorded:
            await self._clock.sleep_ms(_UNRECORDED_PAUSE_MS)
        return None

    async def _start(self, order: orders_module.StartOrder) -> None:
        begun_ms = self._clock.now_ms()
        step = order.task.step_run
        unanswered = False
        while True:
            outcome = await self._start_once(
                order, step.job.definition.payload
            )
            spent_ms = self._clock.now_ms() - begun_ms
            if outcome is not start_outcome.StartOutcome.UNKNOWN:
                break
            unanswered = True
            if spent_ms > _START_PATIENCE_MS:
                break
        if unanswered and outcome not in _DECIDES:
            # The try without an answer may have been, or still be, carried
            # out.
            outcome = start_outcome.StartOutcome.UNKNOWN
        if outcome is start_outcome.StartOutcome.FENCED:
            self._owner.lose_leadership('a worker has a later leader')
        self._owner.handle_start_outcome(order, outcome)

    async def _start_once(
        self, order: orders_module.StartOrder, payload: str
    ) -> start_outcome.StartOutcome:
        deadline_ms = self._lease.grant(self._lease_ms, self._clock.now_ms())
        if deadline_ms is None:
            return start_outcome.StartOutcome.NOT_SENT
        try:
            return await self._orders.start(
                self.worker.address,
                self.worker.worker_id,
                self._token,
                deadline_ms,
                order.task.name,
                order.run,
                payload,
                order.task.checkpoint,
                order.ticket,
                _START_ANSWER_MS,
            )
        except errors.StaleEpoch:
            return start_outcome.StartOutcome.FENCED
        except errors.WorkerReplaced:
            return start_outcome.StartOutcome.OTHER_LIFE
        except (errors.WorkerUnavailable, errors.WorkerStopped):
            return start_outcome.StartOutcome.NOT_SENT
        except errors.WorkerOutcomeUnknown:
            return start_outcome.StartOutcome.UNKNOWN

    async def _pace(self, order: orders_module.PaceOrder) -> None:
        try:
            await self._orders.pace(
                self.worker.address,
                self.worker.worker_id,
                self._token,
                order.task.name,
                order.run,
                order.percent,
                _START_ANSWER_MS,
            )
        except errors.StaleEpoch as error:
            self._owner.lose_leadership(error.message)
        except errors.WorkerError:
            # It may be carried out or not; the next report decides again.
            if order.task.run == order.run:
                order.task.pace_percent = None

    async def _stop(self, order: orders_module.StopOrder) -> None:
        for _ in range(_STOP_TRIES):
            try:
                await self._orders.stop(
                    self.worker.address,
                    self.worker.worker_id,
                    self._token,
                    order.name,
                    order.run,
                    _START_ANSWER_MS,
                )
            except errors.StaleEpoch as error:
                self._owner.lose_leadership(error.message)
                return
            except (errors.WorkerReplaced, errors.WorkerStopped):
                return
            except errors.WorkerError:
                # The leader's tick orders the stop again if all tries fail.
                await self._clock.sleep_ms(_STOP_PAUSE_MS)
                continue
            self._owner.handle_stop_accepted(order)
            return
