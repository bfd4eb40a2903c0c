"""Own, write and follow the stream of one partition."""

import asyncio
import collections.abc
import types
import typing

import msgspec

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.journal import append_item
from basilspindle.journal import batch as batch_module
from basilspindle.journal import chunk as chunk_module
from basilspindle.journal import events as journal_events
from basilspindle.journal import flight as flight_module
from basilspindle.journal import log_client
from basilspindle.journal import outbox as outbox_module
from basilspindle.journal import partition_state
from basilspindle.journal import records
from basilspindle.journal import snapshot as snapshot_module
from basilspindle.journal import timing as timing_module

NEVER_MS = -(1 << 62)
_BACKOFF_MS = 50
_MAX_BACKOFF_MS = 1_000
_MAX_READ_TIMEOUT_MS = 4_000
# With a read every third of the assurance, answers that take up to four
# thirds of it overlap instead of delaying the next read.
_MAX_POLLS = 4
_SNAPSHOT_RETRY_MS = 5_000
_SNAPSHOT_TIMEOUT_MS = 20_000
_DOWN = 'it has failed for some time'


class PartitionJournal:
    """Journal of a partition, as its owner or as a reader.

    ``writer`` must be unique to this object over all processes and time.
    ``on_deposed`` is called once when a foreign claim ends the ownership,
    ``on_late`` with the records of a caller that had given up on them when
    they were confirmed. ``assured_at_ms`` is the send time of the last
    answered read, or append, that proved that there was no foreign claim
    at that time; it is ``NEVER_MS`` without ownership.
    """

    __slots__ = (
        'partition',
        'stream',
        'assured_at_ms',
        '_client',
        '_clock',
        '_member_id',
        '_writer',
        '_timing',
        'on_deposed',
        '_on_late',
        '_following',
        '_state',
        '_next',
        '_epoch',
        '_claimed',
        '_deposed',
        '_closing',
        '_broken',
        '_counter',
        '_outbox',
        '_flight',
        '_last_append_ms',
        '_renewed_at_ms',
        '_begun_at_ms',
        '_snapshot_done',
        '_snapshot_retry_ms',
        '_replayed',
        '_changed',
        '_rebuild_lock',
        '_polls',
        '_requests',
        '_tasks',
    )

    def __init__(
        self,
        client: log_client.LogClient,
        clock: clock_module.Clock,
        partition: int,
        *,
        member_id: str,
        writer: str,
        timing: timing_module.Timing | None = None,
        on_deposed: collections.abc.Callable[[], None] | None = None,
        on_late: (
            collections.abc.Callable[[list[records.Record]], None] | None
        ) = None,
        following: bool = True,
    ) -> None:
        self.partition = partition
        self.stream = f'work-{partition}'
        self.assured_at_ms = NEVER_MS
        self._client = client
        self._clock = clock
        self._member_id = member_id
        self._writer = writer
        self._timing = timing or timing_module.Timing()
        self.on_deposed = on_deposed
        self._on_late = on_late
        self._following = following
        self._state = self._make_state(complete=True)
        self._next = 1
        self._epoch = 0
        self._claimed = False
        self._deposed = False
        self._closing = False
        self._broken = False
        self._counter = 0
        self._outbox = outbox_module.Outbox()
        self._flight: flight_module.Flight | None = None
        self._last_append_ms = NEVER_MS
        self._renewed_at_ms: int | None = None
        self._begun_at_ms = 0
        self._snapshot_done: asyncio.Future[None] | None = None
        self._snapshot_retry_ms = NEVER_MS
        self._replayed = asyncio.Event()
        self._changed = asyncio.Event()
        self._rebuild_lock = asyncio.Lock()
        self._polls: set[asyncio.Task[None]] = set()
        self._requests: set[asyncio.Task[int]] = set()
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> typing.Self:
        for run in (self._run_follower, self._run_appender):
            self._tasks.append(asyncio.create_task(self._guard(run)))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        running = [*self._tasks, *self._polls, *self._requests]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        self._tasks.clear()
        self._end_ownership()
        self._fail_flight(_unknown('the journal was closed'))
        self._fail_waiting(self._client.unavailable('the journal was closed'))

    @property
    def state(self) -> partition_state.PartitionState:
        """Return the state; another object after a gap in the stream."""
        return self._state

    @property
    def epoch(self) -> int:
        """Return the epoch owned by this object, 0 if none."""
        return self._epoch

    @property
    def latest_epoch(self) -> int:
        """Return the offset of the latest claim read, 0 if none."""
        return self._state.epoch

    @property
    def latest_claimant(self) -> str:
        """Return the member of the latest claim read, '' if none."""
        return self._state.claimant

    @property
    def is_owner(self) -> bool:
        """Tell whether ``claim`` returned and no foreign claim was read."""
        return self._claimed and self._holds

    @property
    def _holds(self) -> bool:
        return self._epoch > 0 and self._epoch == self._state.epoch

    @property
    def tail_offset(self) -> int:
        """Return the offset that is read next."""
        return self._next

    @property
    def replayed(self) -> bool:
        """Tell whether the tail was reached once."""
        return self._replayed.is_set()

    async def wait_replayed(self) -> None:
        """Wait until the tail was reached once."""
        await self._replayed.wait()

    def follow(self, following: bool) -> None:
        """Read the stream also without ownership, or don't."""
        self._following = following
        self._changed.set()

    def dump(self) -> dict:
        """Return the state for diagnosis, without inputs and results."""
        now_ms = self._clock.now_ms()
        assured = self.assured_at_ms != NEVER_MS
        return {
            'partition': self.partition,
            'epoch': self._epoch,
            'latest_epoch': self.latest_epoch,
            'latest_claimant': self.latest_claimant,
            'released': self._state.released,
            'complete': self._state.complete,
            'following': self._following,
            'replayed': self.replayed,
            'tail_offset': self._next,
            'assured_age_ms': now_ms - self.assured_at_ms if assured else -1,
            'waiting': len(self._outbox),
            'in_flight': self._flight is not None,
            'failed': self._broken,
            'log_down': self._client.is_down,
            'jobs': len(self._state.jobs),
        }

    # Ownership

    async def claim(self, timeout_ms: int | None = None) -> int:
        """Claim the partition and return the epoch, a log offset.

        Returns the present epoch if the claim is already in force.
        Raises ``Deposed`` if another claim came later, ``LogUnavailable``
        if nothing was claimed and ``LogOutcomeUnknown`` if the claim may
        still take effect.
        """
        if self._broken:
            raise errors.NotReady('the journal failed; restart this daemon')
        if timeout_ms is None:
            timeout_ms = self._timing.append_timeout_ms
        deadline_ms = self._clock.now_ms() + timeout_ms
        await self._read_tail_within(timeout_ms)
        # An earlier claim whose caller gave up may have taken effect.
        offset = self._epoch if self._holds else 0
        if not offset:
            claim = records.Claim(self._member_id, self._writer)
            rest_ms = max(1, deadline_ms - self._clock.now_ms())
            offset = await self._submit([claim], rest_ms)
            await self._confirm_claim(offset, deadline_ms)
        self._claimed = True
        self._changed.set()
        events.emit(
            journal_events.CLAIMED, partition=self.partition, epoch=offset
        )
        return offset

    async def _confirm_claim(self, offset: int, deadline_ms: int) -> None:
        rest_ms = max(1, deadline_ms - self._clock.now_ms())
        try:
            await self._read_tail_within(rest_ms)
        except errors.LogError:
            # The claim itself is confirmed; only the assurance is missing.
            self._changed.set()
        if self._epoch != offset:
            raise self._deposed_error()

    async def release(self) -> None:
        """Write a snapshot and give up the partition.

        Does nothing without ownership or if it is lost meanwhile. Raises
        ``LogError`` if the log does not take it.
        """
        if not self.is_owner:
            return
        self._closing = True
        try:
            await self.snapshot()
            await self._submit(
                [records.Release()], self._timing.append_timeout_ms
            )
        except errors.Deposed:
            return
        finally:
            self._closing = False

    async def append(
        self, *entries: records.Record, timeout_ms: int | None = None
    ) -> None:
        """Append records together and return when they are confirmed.

        Raises ``NotOwner`` without a claim or after a release, ``Deposed``
        after a foreign claim, ``LogUnavailable`` if the records were never
        sent and ``LogOutcomeUnknown`` if they were sent and not confirmed
        in time; they may then be confirmed later.
        """
        if not self.is_owner or self._closing:
            raise self._not_owner_error()
        if not entries:
            return
        if self._client.is_down:
            raise self._client.unavailable(_DOWN)
        if timeout_ms is None:
            timeout_ms = self._timing.append_timeout_ms
        await self._submit(entries, timeout_ms)

    async def _submit(
        self,
        entries: collections.abc.Sequence[records.Record],
        timeout_ms: int,
    ) -> int:
        item = append_item.AppendItem(entries)
        self._outbox.put(item)
        try:
            return await self._clock.wait_ms(item.confirmed, timeout_ms)
        except errors.DeadlineExceeded:
            if item.is_confirmed:
                return item.confirmed.result()
            item.confirmed.cancel()
            if not item.sent:
                raise self._client.unavailable(
                    f'nothing was sent within {timeout_ms} ms'
                ) from None
            raise _unknown(f'no answer within {timeout_ms} ms') from None

    async def snapshot(self, timeout_ms: int = _SNAPSHOT_TIMEOUT_MS) -> None:
        """Write a snapshot of the state and wait until it is complete.

        Raises ``Deposed``, or ``LogError`` if the log does not take it.
        """
        if not self.is_owner:
            raise self._not_owner_error()
        if self._snapshot_done is None:
            self._begin_snapshot()
        done = self._snapshot_done
        try:
            await self._clock.wait_ms(asyncio.shield(done), timeout_ms)
        except errors.DeadlineExceeded:
            raise errors.LogOutcomeUnknown(
                f'the snapshot is not complete after {timeout_ms} ms; '
                'it goes on'
            ) from None

    def _begin_snapshot(self) -> None:
        self._snapshot_done = asyncio.get_running_loop().create_future()
        self._outbox.want_snapshot()

    def _end_snapshot(self, error: Exception | None) -> None:
        done = self._snapshot_done
        self._snapshot_done = None
        if done is None or done.done():
            return
        if error is None:
            done.set_result(None)
            return
        self._snapshot_retry_ms = self._clock.now_ms() + _SNAPSHOT_RETRY_MS
        done.set_exception(error)
        done.exception()

    def _is_snapshot_due(self) -> bool:
        now_ms = self._clock.now_ms()
        if self._snapshot_done is not None or self._client.is_down:
            return False
        if now_ms < self._snapshot_retry_ms or not self.is_owner:
            return False
        if not self._state.complete:
            return True
        count = self._state.records_since_snapshot
        if count >= self._timing.snapshot_records:
            return True
        renewed_ms = self._renewed_at_ms
        if renewed_ms is None:
            return False
        return now_ms - renewed_ms >= self._timing.snapshot_ms

    # Reading

    async def _guard(
        self,
        run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        try:
            await run()
        except Exception as error:
            # An owner whose tasks ended must not stay assured.
            events.emit(
                journal_events.JOURNAL_FAILED,
                partition=self.partition,
                error=repr(error),
            )
            self._broken = True
            self._fail_flight(_unknown('the journal failed'))
            self._depose()

    async def _run_follower(self) -> None:
        backoff_ms = _BACKOFF_MS
        while True:
            self._changed.clear()
            if self._holds:
                await self._poll_as_owner()
            elif self._following:
                if await self._poll_as_reader():
                    backoff_ms = _BACKOFF_MS
                else:
                    await self._pause(backoff_ms)
                    backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)
            else:
                await self._changed.wait()

    async def _poll_as_owner(self) -> None:
        # Reads without a wait give a younger assurance than long polls
        # for the same number of requests, and don't return the owner's
        # own appends.
        if self._is_snapshot_due():
            self._begin_snapshot()
        poll_ms = self._timing.poll_ms
        age_ms = self._clock.now_ms() - self.assured_at_ms
        if age_ms < poll_ms:
            await self._pause(poll_ms - age_ms)
            return
        if len(self._polls) < _MAX_POLLS:
            task = asyncio.create_task(self._guard(self._poll_once))
            self._polls.add(task)
            task.add_done_callback(self._polls.discard)
        await self._pause(poll_ms)

    async def _poll_once(self) -> None:
        try:
            await self._read_tail()
        except errors.LogError:
            return

    async def _poll_as_reader(self) -> bool:
        try:
            await self._read(self._timing.assurance_ms)
        except errors.LogError:
            return False
        return True

    async def _pause(self, duration_ms: int) -> None:
        changed = asyncio.ensure_future(self._changed.wait())
        timer = asyncio.ensure_future(self._clock.sleep_ms(duration_ms))
        try:
            await asyncio.wait(
                {changed, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            changed.cancel()
            timer.cancel()

    async def _read_tail_within(self, timeout_ms: int) -> None:
        try:
            await self._clock.wait_ms(self._read_tail(), timeout_ms)
        except errors.DeadlineExceeded:
            raise self._client.unavailable(
                f'the tail was not reached within {timeout_ms} ms'
            ) from None

    async def _read_tail(self) -> None:
        while await self._read(0):
            pass

    async def _read(self, wait_ms: int) -> bool:
        """Read once; return whether there may be more."""
        sent_ms = self._clock.now_ms()
        try:
            chunk = await self._client.read(
                self.stream, self._next, self._timing.read_limit, wait_ms
            )
        except errors.LogTrimmed as error:
            await self._rebuild(error.first)
            return True
        self._absorb(chunk, sent_ms)
        return bool(chunk.records)

    def _absorb(self, chunk: chunk_module.Chunk, sent_ms: int) -> None:
        for record in chunk.records:
            # Reads overlap, so that a record may come twice.
            if record.offset >= self._next:
                batch = self._decode(record.offset, record.data)
                self._advance(record.offset, batch, record.age_ms)
        if chunk.records or chunk.next != self._next:
            return
        self._replayed.set()
        self._assure(sent_ms)

    def _assure(self, sent_ms: int) -> None:
        if self._holds:
            self.assured_at_ms = max(self.assured_at_ms, sent_ms)

    def _decode(self, offset: int, data: bytes) -> batch_module.Batch | None:
        try:
            return batch_module.decode(data)
        except msgspec.MsgspecError as error:
            events.emit(
                journal_events.RECORD_UNREADABLE,
                partition=self.partition,
                offset=offset,
                error=str(error),
            )
            return None

    def _advance(
        self, offset: int, batch: batch_module.Batch | None, age_ms: int
    ) -> None:
        self._next = offset + 1
        appended_ms = self._clock.now_ms() - age_ms
        if self._renewed_at_ms is None:
            self._renewed_at_ms = appended_ms
        if batch is None:
            return
        mine = batch.writer == self._writer
        snapshots = self._state.snapshots
        own = mine and batch.epoch == self._epoch
        if self._state.apply(offset, batch, own):
            self._note_snapshot(batch, appended_ms, snapshots)
            if mine:
                self._note_own(offset, batch)
        if self._epoch and self._epoch != self._state.epoch:
            self._depose()

    def _note_snapshot(
        self, batch: batch_module.Batch, appended_ms: int, snapshots: int
    ) -> None:
        if any(isinstance(r, records.SnapshotBegin) for r in batch.records):
            self._begun_at_ms = appended_ms
        if self._state.snapshots == snapshots:
            return
        self._renewed_at_ms = self._begun_at_ms
        if batch.writer == self._writer:
            self._end_snapshot(None)
            events.emit(
                journal_events.SNAPSHOT_WRITTEN,
                partition=self.partition,
                jobs=len(self._state.jobs),
            )

    def _note_own(self, offset: int, batch: batch_module.Batch) -> None:
        if isinstance(batch.records[0], records.Claim):
            self._begin_ownership(offset)
        if self._state.released:
            self._end_ownership()
        flight = self._flight
        if flight is not None and flight.batch.counter == batch.counter:
            self._settle(flight, offset)
        elif flight is None or flight.batch.counter < batch.counter:
            self._counter = max(self._counter, batch.counter)

    def _settle(self, flight: flight_module.Flight, offset: int) -> None:
        self._flight = None
        flight.settle()
        late: list[records.Record] = []
        for item in flight.items:
            if not item.confirm(offset):
                late.extend(item.records)
        if late and self._on_late is not None:
            self._on_late(late)

    async def _rebuild(self, first: int) -> None:
        """Replay from the first offset that the log keeps."""
        async with self._rebuild_lock:
            if self._next >= first:
                return
            if self.replayed:
                events.emit(
                    journal_events.STREAM_TRIMMED,
                    partition=self.partition,
                    next=self._next,
                    first=first,
                )
            fresh = self._make_state(complete=False)
            next_offset = await self._replay(fresh, first)
            self._replace(fresh, next_offset)

    async def _replay(
        self, state: partition_state.PartitionState, next_offset: int
    ) -> int:
        self._renewed_at_ms = None
        while True:
            chunk = await self._client.read(
                self.stream, next_offset, self._timing.read_limit, 0
            )
            for record in chunk.records:
                batch = self._decode(record.offset, record.data)
                self._replay_one(state, record.offset, batch, record.age_ms)
            next_offset = chunk.next
            if not chunk.records:
                return next_offset

    def _replay_one(
        self,
        state: partition_state.PartitionState,
        offset: int,
        batch: batch_module.Batch | None,
        age_ms: int,
    ) -> None:
        appended_ms = self._clock.now_ms() - age_ms
        if self._renewed_at_ms is None:
            self._renewed_at_ms = appended_ms
        if batch is None:
            return
        snapshots = state.snapshots
        state.apply(offset, batch)
        if any(isinstance(r, records.SnapshotBegin) for r in batch.records):
            self._begun_at_ms = appended_ms
        if state.snapshots != snapshots:
            self._renewed_at_ms = self._begun_at_ms

    def _replace(
        self, state: partition_state.PartitionState, next_offset: int
    ) -> None:
        if not state.complete:
            events.emit(
                journal_events.HISTORY_INCOMPLETE, partition=self.partition
            )
        self._state = state
        self._next = next_offset
        self._counter = max(self._counter, state.writers.get(self._writer, 0))
        if self._epoch and self._epoch != state.epoch:
            self._depose()
        flight = self._flight
        counter = state.writers.get(self._writer, 0)
        if flight is not None and flight.batch.counter <= counter:
            self._settle(flight, next_offset - 1)

    def _make_state(self, complete: bool) -> partition_state.PartitionState:
        return partition_state.PartitionState(
            result_keep_ms=self._timing.result_keep_ms, complete=complete
        )

    # Ownership changes

    def _begin_ownership(self, epoch: int) -> None:
        self._epoch = epoch
        self._deposed = False
        self._changed.set()

    def _end_ownership(self) -> None:
        self._epoch = 0
        self._claimed = False
        self.assured_at_ms = NEVER_MS
        self._changed.set()

    def _depose(self) -> None:
        claimed = self._claimed
        self._deposed = True
        self._end_ownership()
        error = self._deposed_error()
        if self._flight is not None and not self._flight.is_claim:
            # It was not read before the claim, so that it has no effect.
            self._fail_flight(error)
        self._fail_waiting(error)
        events.emit(
            journal_events.DEPOSED,
            partition=self.partition,
            latest_epoch=self.latest_epoch,
            claimant=self.latest_claimant,
        )
        if claimed and self.on_deposed is not None:
            self.on_deposed()

    def _fail_flight(self, error: Exception) -> None:
        flight = self._flight
        if flight is None:
            return
        self._flight = None
        flight.settle()
        for item in flight.items:
            item.fail(error)

    def _fail_waiting(self, error: Exception) -> None:
        self._outbox.fail(error)
        self._end_snapshot(error)

    def _deposed_error(self) -> errors.Deposed:
        return errors.Deposed(
            f'{self.latest_claimant or "another member"} claimed partition '
            f'{self.partition}; send the request to it'
        )

    def _not_owner_error(self) -> errors.PeerError:
        if self._deposed:
            return self._deposed_error()
        return errors.NotOwner(
            f'this member does not own partition {self.partition}; send the '
            'request to the owner'
        )

    # Writing

    async def _run_appender(self) -> None:
        backoff_ms = _BACKOFF_MS
        while True:
            await self._outbox.wait()
            await self._linger()
            flight = self._take_flight()
            if flight is None:
                continue
            try:
                await self._deliver(flight)
                backoff_ms = _BACKOFF_MS
            except errors.LogUnavailable:
                self._return(flight)
                await self._clock.sleep_ms(backoff_ms)
                backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)

    async def _linger(self) -> None:
        due_ms = self._last_append_ms + self._timing.linger_ms
        rest_ms = due_ms - self._clock.now_ms()
        if rest_ms > 0:
            await self._clock.sleep_ms(rest_ms)

    def _take_flight(self) -> flight_module.Flight | None:
        if self._outbox.snapshot_wanted:
            self._put_snapshot()
        items = self._outbox.take(self._timing.batch_bytes)
        if not items:
            return None
        claims = items[0].is_claim
        if not claims and not self._holds:
            for item in items:
                item.fail(self._not_owner_error())
            return None
        self._counter += 1
        batch = batch_module.Batch(
            writer=self._writer,
            counter=self._counter,
            epoch=0 if claims else self._epoch,
            wall_ms=self._clock.wall_ms(),
            records=[record for item in items for record in item.records],
        )
        self._flight = flight_module.Flight(batch, items)
        return self._flight

    def _put_snapshot(self) -> None:
        # Nothing is in flight here, so that the state is that of all
        # records before the snapshot.
        if self._holds:
            self._outbox.put_snapshot(snapshot_module.write(self._state))
            return
        self._outbox.put_snapshot([])
        self._end_snapshot(self._not_owner_error())

    def _return(self, flight: flight_module.Flight) -> None:
        """Queue a batch again that certainly had no effect."""
        if flight.is_settled:
            return
        self._flight = None
        flight.settle()
        self._outbox.put_back(flight.items)
        if self._client.is_down:
            self._refuse_waiting()

    def _refuse_waiting(self) -> None:
        if self._snapshot_done is not None:
            events.emit(
                journal_events.SNAPSHOT_FAILED, partition=self.partition
            )
        self._fail_waiting(self._client.unavailable(_DOWN))

    async def _deliver(self, flight: flight_module.Flight) -> None:
        """Append a batch until its outcome is known.

        Raises ``LogUnavailable`` if it certainly had no effect.
        """
        try:
            await self._attempt(flight)
        except errors.LogOutcomeUnknown:
            events.emit(
                journal_events.APPEND_UNRESOLVED, partition=self.partition
            )
            await self._resolve(flight)

    async def _attempt(self, flight: flight_module.Flight) -> None:
        sent_ms = self._clock.now_ms()
        self._last_append_ms = sent_ms
        request = asyncio.create_task(
            self._client.append(self.stream, flight.data)
        )
        self._requests.add(request)
        request.add_done_callback(self._forget)
        # A read may confirm the batch before its own answer arrives. An
        # overdue request may be on a silent connection: it is left alone,
        # and the outcome is found by reading, over another connection.
        await self._wait_any({request, flight.settled}, self._timing.poll_ms)
        if flight.is_settled:
            return
        if not request.done():
            raise _unknown(f'no answer within {self._timing.poll_ms} ms')
        await self._confirm(flight, request.result(), sent_ms)

    async def _wait_any(
        self, futures: set[asyncio.Future], timeout_ms: int
    ) -> None:
        timer = asyncio.ensure_future(self._clock.sleep_ms(timeout_ms))
        try:
            await asyncio.wait(
                {*futures, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            timer.cancel()

    def _forget(self, request: asyncio.Task[int]) -> None:
        self._requests.discard(request)
        if not request.cancelled():
            request.exception()

    async def _confirm(
        self, flight: flight_module.Flight, offset: int, sent_ms: int
    ) -> None:
        if offset == self._next:
            # Nothing lies between what was read and the batch.
            self._advance(offset, flight.batch, 0)
            self._assure(sent_ms)
            return
        try:
            while self._next <= offset and not flight.is_settled:
                await self._read(0)
        except errors.LogError:
            await self._resolve(flight)
            return
        if not flight.is_settled:
            await self._resolve(flight)

    async def _resolve(self, flight: flight_module.Flight) -> None:
        """Read and append again until the outcome is known."""
        backoff_ms = _BACKOFF_MS
        # A silent connection costs a read its whole timeout, and a slow log
        # needs a long one; so it grows.
        timeout_ms = self._timing.poll_ms
        while not flight.is_settled:
            try:
                await self._read_tail_within(timeout_ms)
                if flight.is_settled or self._abandon(flight):
                    return
                await self._linger()
                await self._attempt(flight)
            except errors.LogError:
                if self._abandon(flight):
                    return
                if self._client.is_down:
                    self._refuse_waiting()
                await self._wait_any({flight.settled}, backoff_ms)
                timeout_ms = min(2 * timeout_ms, _MAX_READ_TIMEOUT_MS)
                backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)

    def _abandon(self, flight: flight_module.Flight) -> bool:
        # A claim repeated after its caller gave up could depose an owner
        # that was chosen meanwhile.
        if not flight.is_claim or not flight.is_abandoned:
            return False
        if self._flight is flight:
            self._flight = None
        flight.settle()
        return True


def _unknown(reason: str) -> errors.LogOutcomeUnknown:
    return errors.LogOutcomeUnknown(
        f'an append was sent and not confirmed: {reason}; query the job'
    )
