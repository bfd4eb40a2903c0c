"""Call the advice service for the steps that the planner asks about."""

import asyncio
import collections.abc

from basilspindle.cell import advisers as advisers_module
from basilspindle.cell.decisions import plan as plan_module
from basilspindle.cell import events as cell_events
from basilspindle.cell import link as link_module
from basilspindle.cell import messages
from basilspindle.cell import orders as orders_module
from basilspindle.cell import ports
from basilspindle.cell import state as state_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.workflow import step_run as step_run_module

# A daemon whose call failed gets no calls for this long, and the step whose
# call failed is not retried earlier.
_FAILURE_PAUSE_MS = 150
# A call may take this much longer than expected for it and the other calls
# in flight at the same daemon.
_TIMEOUT_MARGIN_MS = 1_500


class AdviceCalls:
    """Distribute the calls over this daemon and its followers."""

    __slots__ = (
        '_state',
        '_clock',
        '_advice',
        '_on_advice',
        '_local_adviser',
        '_remote_advisers',
        '_calls',
    )

    def __init__(
        self,
        state: state_module.CellState,
        clock: clock_module.Clock,
        advice: ports.AdviceService,
        on_advice: collections.abc.Callable[[], None],
    ) -> None:
        self._state = state
        self._clock = clock
        self._advice = advice
        self._on_advice = on_advice
        self._local_adviser = advisers_module.Adviser(None)
        self._remote_advisers: dict[
            link_module.Link, advisers_module.Adviser
        ] = {}
        self._calls: set[asyncio.Task[None]] = set()

    def add_link(self, link: link_module.Link) -> None:
        """Let the daemon at the other end of a link make calls."""
        self._remote_advisers.setdefault(link, advisers_module.Adviser(link))

    def remove_link(self, link: link_module.Link) -> None:
        """Stop using a daemon whose connection has ended."""
        self._remote_advisers.pop(link, None)

    def send(self, order: orders_module.AdviceRequest) -> None:
        """Start the calls for the workers and the step of an order."""
        run = order.step_run
        parts = advisers_module.split(
            self._advisers,
            order.worker_ids,
            self._expected_ms(run, len(order.worker_ids)),
        )
        run.pending_advice_calls = len(parts)
        for worker_ids in parts:
            part = orders_module.AdviceRequest(run, worker_ids)
            task = asyncio.ensure_future(self._ask(part))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    def close(self) -> None:
        """Cancel all calls in flight."""
        for task in self._calls:
            task.cancel()

    @property
    def _advisers(self) -> list[advisers_module.Adviser]:
        return [self._local_adviser, *self._remote_advisers.values()]

    def _expected_ms(
        self, run: step_run_module.StepRun, workers: int
    ) -> float:
        terms = self._state.advice_terms(run.job.definition)
        return terms.call_ms(workers) if terms else 0.0

    async def _ask(self, order: orders_module.AdviceRequest) -> None:
        run = order.step_run
        expected_ms = self._expected_ms(run, len(order.worker_ids))
        adviser = advisers_module.choose(
            self._advisers, expected_ms, self._clock.now_ms()
        )
        if adviser is None:
            self._fail(order, 'every daemon is paused after a failed call')
            return
        adviser.pending_ms += expected_ms
        begun_ms = self._clock.now_ms()
        timeout_ms = int(adviser.pending_ms) + _TIMEOUT_MARGIN_MS
        try:
            result = await self._call(adviser, order, timeout_ms)
        except Exception as error:
            # The step is not asked about again before its call has ended.
            adviser.paused_until_ms = self._clock.now_ms() + _FAILURE_PAUSE_MS
            self._fail(order, _describe(error))
            return
        finally:
            adviser.pending_ms -= expected_ms
        events.emit(
            cell_events.ADVICE_TAKEN,
            step=run.key,
            asked=len(order.worker_ids),
            good=len(result.tickets),
            took_ms=self._clock.now_ms() - begun_ms,
        )
        plan_module.apply_advice(
            run,
            order.worker_ids,
            result.tickets,
            self._clock.now_ms() + result.valid_ms,
        )
        self._state.table.count_ready_step(run)
        self._on_advice()

    async def _call(
        self,
        adviser: advisers_module.Adviser,
        order: orders_module.AdviceRequest,
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
        reason = reply.text if isinstance(reply, messages.Refused) else reply
        raise errors.Overloaded(
            f'the daemon that was asked got no advice ({reason}); ask another '
            'daemon'
        )

    def _fail(self, order: orders_module.AdviceRequest, reason: str) -> None:
        events.emit(
            cell_events.ADVICE_FAILED, step=order.step_run.key, error=reason
        )
        plan_module.apply_advice_failure(
            self._state,
            order.step_run,
            self._clock.now_ms() + _FAILURE_PAUSE_MS,
        )


def _describe(error: Exception) -> str:
    if isinstance(error, errors.BasilspindleError):
        return error.message
    return repr(error)
