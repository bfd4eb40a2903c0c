"""Keep the configuration of a daemon up to date."""

import asyncio
import collections.abc
import typing

from basilspindle.cell import configuration_feed
from basilspindle.cell import configuration_history
from basilspindle.cell import configuration_index
from basilspindle.cell import configuration_lag
from basilspindle.cell import configuration_transfer
from basilspindle.cell import configuration_update
from basilspindle.cell import events as cell_events
from basilspindle.cell import guard
from basilspindle.cell import hedged_read as hedged_read_module
from basilspindle.cell import link as link_module
from basilspindle.cell import messages
from basilspindle.cell import metrics
from basilspindle.cell import ports
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events

# Format of the payloads that daemons send each other. Daemons with different
# formats read the store.
FORMAT = 1
# A follower reads the store once its version has not been confirmed for this
# time: longer than a read of the leader, a ping interval and a round trip, and
# short enough to read the store before a version has to be in force (2 s).
_MAX_AGE_MS = 1_000
# A read of the store waits this long for a new version.
_STORE_WAIT_MS = 500
# A read that has no answer by then may be on a connection that went silent.
_STORE_HEDGE_MS = _STORE_WAIT_MS + 250
_RETRY_MS = 150
# A leader of an older build sends whole configurations only; one is requested
# if the store has not brought it sooner.
_WHOLE_AFTER_MS = 1_000
_WHOLE_TIMEOUT_MS = 10_000
# Age of a version that was never confirmed.
_UNKNOWN_AGE_MS = 3_600_000

OnChange = collections.abc.Callable[
    [configuration_index.ConfigurationIndex], None
]


class ConfigurationSync:
    """Bring each version of the configuration into force at a daemon.

    The leader reads the store. A follower gets from the leader what changed,
    and reads the store itself while no leader confirms that the version in
    force is the newest. ``index`` is None until there is a version.
    """

    def __init__(
        self,
        source: ports.ConfigurationSource,
        clock: clock_module.Clock,
        on_change: OnChange,
        on_fault: collections.abc.Callable[[Exception], None],
    ) -> None:
        self.index: configuration_index.ConfigurationIndex | None = None
        self._source = source
        self._clock = clock
        self._on_change = on_change
        self._on_fault = on_fault
        self._history = configuration_history.ConfigurationHistory()
        self._lag = configuration_lag.ConfigurationLag()
        self._newest_version = 0
        # Where to read on in the store; None to read the newest version.
        self._next_offset: int | None = None
        # When the version in force was last known to be the newest, and when
        # a part of a newer one last came.
        self._confirmed_ms: int | None = None
        self._progress_ms: int | None = None
        self._confirmed = asyncio.Event()
        self._changed = asyncio.Event()
        self._feed: configuration_feed.ConfigurationFeed | None = None
        self._store_task: asyncio.Task[None] | None = None
        self._leader_task: asyncio.Task[None] | None = None
        self._store_failing = False

    async def __aenter__(self) -> typing.Self:
        self._store_task = self._start(self._follow_store)
        return self

    async def __aexit__(self, *_: object) -> None:
        tasks = [self._store_task, self._leader_task]
        running = [task for task in tasks if task is not None]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    @property
    def version(self) -> int:
        """Return the version in force, 0 if there is none."""
        return self._history.version

    @property
    def is_behind(self) -> bool:
        """Tell whether a newer version is known and not in force yet."""
        return self._newest_version > self.version

    @property
    def age_ms(self) -> int:
        """Return the time since the version was known to be the newest."""
        return self._time_since_ms(self._confirmed_ms)

    def observe_leader(
        self, link: link_module.Link, pong: messages.Pong, sent_ms: int
    ) -> None:
        """Note what the leader answered to a ping sent at ``sent_ms``."""
        if not pong.leads:
            return
        self._newest_version = max(self._newest_version, pong.version)
        behind_ms = self._report_lag()
        if pong.configuration_format == FORMAT:
            self._follow_leader(link)
            self.confirm(pong.version, sent_ms - pong.configuration_age_ms)
        elif behind_ms > _WHOLE_AFTER_MS:
            self._start_leader_task(lambda: self._read_whole(link))

    def confirm(self, version: int, at_ms: int) -> None:
        """Note that a version was the newest at a time."""
        if version != self.version:
            return
        if self._confirmed_ms is None or at_ms > self._confirmed_ms:
            self._confirmed_ms = at_ms
        if self.age_ms < _MAX_AGE_MS:
            self._confirmed.set()

    def note_progress(self) -> None:
        """Note that the leader is sending a newer version."""
        self._progress_ms = self._clock.now_ms()

    def apply_payload(
        self,
        payload: bytes,
        transfer: configuration_transfer.ConfigurationTransfer,
        next_offset: int | None,
    ) -> None:
        """Bring a payload into force; raises ``ConfigurationDiverged``."""
        if transfer.target <= self.version:
            return
        begun_ms = self._clock.now_ms()
        previous_version = self.version
        self._history.apply(payload)
        self._next_offset = next_offset
        self._bring_into_force(
            configuration_update.ReadReport(
                configuration_update.Source.LEADER,
                len(payload),
                begun_ms - transfer.begun_ms,
            ),
            previous_version,
            begun_ms,
        )

    async def serve(
        self, request: messages.FollowConfiguration
    ) -> messages.ConfigurationPart:
        """Answer a follower, waiting for a version newer than its own."""
        if request.version >= self.version:
            try:
                await self._clock.wait_for(
                    self._changed.wait(), request.wait_ms
                )
            except errors.DeadlineExceeded:
                # The answer then confirms the version of the follower.
                pass
        next_offset = -1 if self._next_offset is None else self._next_offset
        if request.version >= self.version:
            return messages.ConfigurationPart(
                0, self.version, 0, 0, b'', self.age_ms, next_offset
            )
        base_version, version, payload = self._history.payload(
            request.version, request.base_version, request.target
        )
        is_continued = (base_version, version) == (
            request.base_version,
            request.target,
        )
        number = request.number if is_continued else 0
        data, part_count = configuration_transfer.cut(payload, number)
        return messages.ConfigurationPart(
            base_version,
            version,
            number,
            part_count,
            data,
            self.age_ms,
            next_offset if version == self.version else -1,
        )

    async def _follow_store(self) -> None:
        while True:
            link = self._feed.link if self._feed is not None else None
            since_ms = min(self.age_ms, self._time_since_ms(self._progress_ms))
            if link is None or link.closed.is_set() or since_ms >= _MAX_AGE_MS:
                await self._poll_store()
                continue
            try:
                await self._clock.wait_for(
                    link.closed.wait(), _MAX_AGE_MS - since_ms
                )
            except errors.DeadlineExceeded:
                # The leader may have confirmed the version meanwhile.
                continue

    async def _poll_store(self) -> None:
        # Ends early if the leader confirms the version first.
        self._confirmed.clear()
        confirmed = asyncio.ensure_future(self._confirmed.wait())
        hedged_read = hedged_read_module.HedgedRead(
            lambda on_progress: self._source.poll(
                self._next_offset, _STORE_WAIT_MS, on_progress
            )
        )
        polling = asyncio.ensure_future(
            hedged_read.first_answer(_STORE_HEDGE_MS)
        )
        try:
            await asyncio.wait(
                {polling, confirmed}, return_when=asyncio.FIRST_COMPLETED
            )
            if polling.done():
                self._apply_poll(polling.result())
        except errors.LogError as error:
            self._note_store_failure(error)
            await self._clock.sleep_ms(_RETRY_MS)
        finally:
            polling.cancel()
            confirmed.cancel()

    def _apply_poll(self, poll: ports.ConfigurationPoll) -> None:
        if self._store_failing:
            self._store_failing = False
            events.emit(cell_events.STORE_REGAINED, call='configuration')
        begun_ms = self._clock.now_ms()
        self._next_offset = poll.next_offset
        update = poll.update
        version = self.version
        if update is not None:
            version = update.configuration.version
            if version > self.version:
                previous_version = self.version
                self._history.replace(update.configuration)
                self._bring_into_force(
                    update.report, previous_version, begun_ms
                )
        if poll.next_offset is not None:
            transfer_ms = update.report.transfer_ms if update else 0
            self.confirm(version, begun_ms - transfer_ms)

    def _note_store_failure(self, error: errors.BasilspindleError) -> None:
        source = configuration_update.Source.STORE
        metrics.CONFIGURATION_READ_FAILURES.labels(source).inc()
        events.emit(
            cell_events.CONFIGURATION_READ_FAILED,
            source=source,
            version=self.version,
            error=error.message,
        )
        if not self._store_failing:
            self._store_failing = True
            events.emit(
                cell_events.STORE_FAILED,
                call='configuration',
                error=error.message,
            )

    def _follow_leader(self, link: link_module.Link) -> None:
        if self._feed is not None and self._feed.link is link:
            return
        if self._leader_task is not None:
            self._leader_task.cancel()
            self._leader_task = None
        self._feed = configuration_feed.ConfigurationFeed(
            link, self, self._clock
        )
        self._start_leader_task(self._feed.run)

    def _start_leader_task(self, work: guard.Work) -> None:
        if self._leader_task is None or self._leader_task.done():
            self._leader_task = self._start(work)

    def _start(self, work: guard.Work) -> asyncio.Task[None]:
        return asyncio.ensure_future(guard.run(work, self._on_fault))

    async def _read_whole(self, link: link_module.Link) -> None:
        begun_ms = self._clock.now_ms()
        received_bytes = link.received_bytes
        try:
            reply = await link.call(messages.GetTerms(), _WHOLE_TIMEOUT_MS)
        except errors.PeerError as error:
            events.emit(
                cell_events.CONFIGURATION_READ_FAILED,
                source=configuration_update.Source.LEADER,
                version=self.version,
                error=error.message,
                received_bytes=link.received_bytes - received_bytes,
            )
            return
        if not isinstance(reply, messages.TermsAre):
            return
        configuration = reply.configuration
        if configuration is None or configuration.version <= self.version:
            return
        now_ms = self._clock.now_ms()
        previous_version = self.version
        self._history.replace(configuration)
        self._next_offset = None
        self._bring_into_force(
            configuration_update.ReadReport(
                configuration_update.Source.LEADER,
                link.received_bytes - received_bytes,
                now_ms - begun_ms,
            ),
            previous_version,
            now_ms,
        )

    def _bring_into_force(
        self,
        report: configuration_update.ReadReport,
        previous_version: int,
        begun_ms: int,
    ) -> None:
        configuration = self._history.current
        assert configuration is not None
        self.index = configuration_index.ConfigurationIndex(configuration)
        self._on_change(self.index)
        self._newest_version = max(self._newest_version, self.version)
        self._report_lag()
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        apply_ms = report.decode_ms + self._clock.now_ms() - begun_ms
        metrics.CONFIGURATION_VERSION.set(configuration.version)
        metrics.CONFIGURATION_BYTES.labels(report.source).inc(
            report.size_bytes
        )
        metrics.CONFIGURATION_READ_SECONDS.labels(report.source).observe(
            report.transfer_ms / 1000
        )
        metrics.CONFIGURATION_APPLY_SECONDS.observe(apply_ms / 1000)
        events.emit(
            cell_events.CONFIGURATION_IN_FORCE,
            version=configuration.version,
            previous_version=previous_version,
            source=report.source,
            size_bytes=report.size_bytes,
            transfer_ms=report.transfer_ms,
            apply_ms=apply_ms,
            queues=len(configuration.queues),
        )

    def _report_lag(self) -> int:
        now_ms = self._clock.now_ms()
        is_due = self._lag.observe(self._newest_version, self.version, now_ms)
        if is_due:
            events.emit(
                cell_events.CONFIGURATION_BEHIND,
                version=self.version,
                newest=self._newest_version,
                behind_ms=self._lag.behind_ms,
            )
        return self._lag.behind_ms

    def _time_since_ms(self, at_ms: int | None) -> int:
        if at_ms is None:
            return _UNKNOWN_AGE_MS
        return min(self._clock.now_ms() - at_ms, _UNKNOWN_AGE_MS)
