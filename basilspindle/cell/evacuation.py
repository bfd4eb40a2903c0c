"""Follow which failure domains are closed, and hold starts if unsure.

Only the leader starts tasks, so only it follows them. A start in a closed
domain is a fault from ``evacuate_ms`` after the acknowledgement of the
operator's record on. A start is sent only if the records were read at most
half of that time ago; the other half is for the order on its way.
"""

import collections.abc

from basilspindle.cell import confirmation as confirmation_module
from basilspindle.cell import events as cell_events
from basilspindle.cell import hedged_call as hedged_call_module
from basilspindle.cell import hedged_read as hedged_read_module
from basilspindle.cell import metrics
from basilspindle.cell import ports
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events

# The records may have been read this fraction of evacuate_ms ago.
_MAX_AGE_FRACTION = 0.5
# A read waits this fraction of evacuate_ms for a record, 500 ms at most.
_WAIT_FRACTION = 0.1
_MAX_WAIT_MS = 500
# A read that has no answer this long after its wait may be on a connection
# that went silent.
_HEDGE_MARGIN_MS = 250
# The same for the first read, as for the journal that is read with it.
_LOAD_HEDGE_MS = 700
_RETRY_MS = 150
# Pause between two reads if the store does not wait for a record.
_MIN_POLL_INTERVAL_MS = 100
# The store is away if at least so many reads in a row failed: the first may
# have been under way while this process stood still.
_MIN_FAILURES = 2
# Failures tell that the store is away for this long. While it is, a read
# fails at least every 1.7 s.
_FAILURE_VALID_MS = 2_500

OnChange = collections.abc.Callable[[frozenset[str]], None]
_Answer = tuple[ports.EvacuationPoll, int]


class Evacuation:
    """Closed failure domains as one leader knows them.

    ``closed_domains`` are those of the last answered read.
    """

    __slots__ = (
        'closed_domains',
        '_source',
        '_clock',
        '_confirmation',
        '_on_change',
        '_max_age_ms',
        '_wait_ms',
        '_next_offset',
        '_known_ms',
        '_failures',
        '_failed_ms',
        '_held_since_ms',
    )

    def __init__(
        self,
        source: ports.EvacuationSource,
        clock: clock_module.Clock,
        evacuate_ms: int,
        confirmation: confirmation_module.Confirmation,
        on_change: OnChange,
    ) -> None:
        self.closed_domains: frozenset[str] = frozenset()
        self._source = source
        self._clock = clock
        self._confirmation = confirmation
        self._on_change = on_change
        self._max_age_ms = int(evacuate_ms * _MAX_AGE_FRACTION)
        self._wait_ms = min(int(evacuate_ms * _WAIT_FRACTION), _MAX_WAIT_MS)
        self._next_offset: int | None = None
        # When the latest read began that told of all records by then.
        self._known_ms: int | None = None
        # Reads in a row without an answer, and when the last one ended.
        self._failures = 0
        self._failed_ms = 0
        self._held_since_ms: int | None = None

    async def load(self) -> None:
        """Read the records until the store has answered once."""
        hedged_call = hedged_call_module.HedgedCall(
            self._clock,
            lambda: self._read(0, hedged_call.note_progress),
            self._note_failure,
        )
        with hedged_call:
            self._apply(*await hedged_call.first_answer(_LOAD_HEDGE_MS))

    async def follow(self) -> None:
        """Apply later records until cancelled."""
        while True:
            begun_ms = self._clock.now_ms()
            # An answer without a wait tells sooner that nothing changed.
            wait_ms = self._wait_ms
            if self.age_ms > self._max_age_ms // 2:
                wait_ms = 0
            try:
                poll = await self._poll(wait_ms)
            except Exception as error:
                # Whatever the records are, they must not end the leadership:
                # the next leader would read them as well.
                self._note_failure(error)
                await self._clock.sleep_ms(_RETRY_MS)
                continue
            if poll.changes or not poll.is_current:
                continue
            spent_ms = self._clock.now_ms() - begun_ms
            if wait_ms and spent_ms < _MIN_POLL_INTERVAL_MS:
                await self._clock.sleep_ms(_MIN_POLL_INTERVAL_MS - spent_ms)

    @property
    def age_ms(self) -> int:
        """Return how long ago the records were known, at most an hour."""
        if self._known_ms is None:
            return 3_600_000
        return self._clock.now_ms() - self._known_ms

    def holds_starts(self) -> bool:
        """Tell whether the records are not known well enough for starts."""
        is_held = self._must_hold()
        now_ms = self._clock.now_ms()
        if is_held and self._held_since_ms is None:
            self._held_since_ms = now_ms
            events.emit(
                cell_events.STARTS_HELD,
                age_ms=self.age_ms,
                failures=self._failures,
                confirmed_age_ms=self._confirmation.age_ms,
            )
        elif not is_held and self._held_since_ms is not None:
            events.emit(
                cell_events.STARTS_RESUMED,
                held_ms=now_ms - self._held_since_ms,
                age_ms=self.age_ms,
            )
            self._held_since_ms = None
        return is_held

    def _must_hold(self) -> bool:
        if self.age_ms <= self._max_age_ms:
            return False
        # While the store is away for this daemon, work goes on with what was
        # known last. It is not away if it confirms appends.
        now_ms = self._clock.now_ms()
        is_away = (
            self._failures >= _MIN_FAILURES
            and now_ms - self._failed_ms <= _FAILURE_VALID_MS
            and self._confirmation.age_ms > self._max_age_ms
        )
        return not is_away

    async def _poll(self, wait_ms: int) -> ports.EvacuationPoll:
        hedged_read = hedged_read_module.HedgedRead(
            lambda on_progress: self._read(wait_ms, on_progress)
        )
        poll, begun_ms = await hedged_read.first_answer(
            wait_ms + _HEDGE_MARGIN_MS
        )
        self._apply(poll, begun_ms)
        return poll

    async def _read(
        self, wait_ms: int, on_progress: hedged_read_module.OnProgress
    ) -> _Answer:
        # The answer may be on its way for long: it tells of the records that
        # were acknowledged before the read began.
        begun_ms = self._clock.now_ms()
        poll = await self._source.poll(self._next_offset, wait_ms, on_progress)
        return poll, begun_ms

    def _apply(self, poll: ports.EvacuationPoll, begun_ms: int) -> None:
        self._next_offset = poll.next_offset
        if poll.is_current:
            self._known_ms = max(begun_ms, self._known_ms or 0)
        if self._failures:
            self._failures = 0
            events.emit(cell_events.STORE_REGAINED, call='evacuation')
        closed = set() if poll.is_whole else set(self.closed_domains)
        for domain, is_closed in poll.changes.items():
            if is_closed:
                closed.add(domain)
            else:
                closed.discard(domain)
        self._set_closed(frozenset(closed))

    def _set_closed(self, closed: frozenset[str]) -> None:
        previous, self.closed_domains = self.closed_domains, closed
        metrics.CLOSED_DOMAINS.set(len(closed))
        if closed == previous:
            return
        self._on_change(closed)
        for domain in sorted(closed - previous):
            events.emit(
                cell_events.DOMAIN_CLOSED,
                failure_domain=domain,
                closed=sorted(closed),
            )
        for domain in sorted(previous - closed):
            events.emit(
                cell_events.DOMAIN_REOPENED,
                failure_domain=domain,
                closed=sorted(closed),
            )

    def _note_failure(self, error: Exception) -> None:
        metrics.EVACUATION_READ_FAILURES.inc()
        if isinstance(error, errors.BasilspindleError):
            message = error.message
        else:
            message = repr(error)
            events.emit(
                cell_events.INTERNAL_FAULT, part='Evacuation', error=message
            )
        if not self._failures:
            events.emit(
                cell_events.STORE_FAILED, call='evacuation', error=message
            )
        self._failures += 1
        self._failed_ms = self._clock.now_ms()
