"""Claim, write and read the stream of one partition."""

import asyncio
import collections.abc
import types
import typing

from basilspindle import clock as clock_module
from basilspindle import decoding
from basilspindle import errors
from basilspindle import events
from basilspindle.journal import append_item
from basilspindle.journal import batch as batch_module
from basilspindle.journal import chunk as chunk_module
from basilspindle.journal import events as journal_events
from basilspindle.journal import in_flight_batch
from basilspindle.journal import log_client
from basilspindle.journal import outbox as outbox_module
from basilspindle.journal import partition_state
from basilspindle.journal import records
from basilspindle.journal import snapshot as snapshot_module
from basilspindle.journal import timing as timing_module

NEVER_MS = -(1 << 62)
_MIN_BACKOFF_MS = 50
_MAX_BACKOFF_MS = 1_000
_MAX_READ_TIMEOUT_MS = 4_000
# An owner reads three times per assurance_ms. With four concurrent reads,
# answers that take up to 4/3 of assurance_ms don't delay the next read.
_MAX_CONCURRENT_POLLS = 4
_SNAPSHOT_RETRY_MS = 5_000
_SNAPSHOT_TIMEOUT_MS = 20_000
_LOG_DOWN_REASON = 'requests have failed for longer than log_down_ms'


class PartitionJournal:
    """Read the stream of a partition, and write to it as the owner.

    ``writer`` is the id of this object in its batches; no other journal in any
    process may ever use it. ``on_deposed`` is called once when a later claim
    by another writer, or a failure of this object, ends the ownership.
    ``on_late_confirmation`` gets the records that are confirmed after their
    caller stopped waiting. ``assured_at_ms`` is the send time of the last
    answered read or append which proved that no other writer had a later
    claim at that time; it is ``NEVER_MS`` without ownership.
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
        '_on_late_confirmation',
        '_following',
        '_state',
        '_next_offset',
        '_epoch',
        '_claim_returned',
        '_deposed',
        '_releasing',
        '_failed',
        '_counter',
        '_outbox',
        '_in_flight',
        '_last_append_ms',
        '_oldest_needed_at_ms',
        '_snapshot_begun_at_ms',
        '_snapshot_done',
        '_snapshot_retry_at_ms',
        '_replayed',
        '_wake_follower',
        '_rebuild_lock',
        '_polls',
        '_append_requests',
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
        on_late_confirmation: (
            collections.abc.Callable[[list[records.Record]], None] | None
        ) = None,
        following: bool = True,
    ) -> None:
        self.partition = partition
        self.stream = stream_name(partition)
        self.assured_at_ms = NEVER_MS
        self._client = client
        self._clock = clock
        self._member_id = member_id
        self._writer = writer
        self._timing = timing or timing_module.Timing()
        self.on_deposed = on_deposed
        self._on_late_confirmation = on_late_confirmation
        self._following = following
        self._state = self._make_state(complete=True)
        self._next_offset = 1
        self._epoch = 0
        self._claim_returned = False
        self._deposed = False
        self._releasing = False
        self._failed = False
        self._counter = 0
        self._outbox = outbox_module.Outbox()
        self._in_flight: in_flight_batch.InFlightBatch | None = None
        self._last_append_ms = NEVER_MS
        # Append time of the oldest record that a new reader needs: the
        # begin of the last complete snapshot, else the first record.
        self._oldest_needed_at_ms: int | None = None
        self._snapshot_begun_at_ms = 0
        self._snapshot_done: asyncio.Future[None] | None = None
        self._snapshot_retry_at_ms = NEVER_MS
        self._replayed = asyncio.Event()
        self._wake_follower = asyncio.Event()
        self._rebuild_lock = asyncio.Lock()
        self._polls: set[asyncio.Task[None]] = set()
        self._append_requests: set[asyncio.Task[int]] = set()
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> typing.Self:
        for run in (self._run_follower, self._run_appender):
            self._tasks.append(asyncio.create_task(self._fail_on_error(run)))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        running = [*self._tasks, *self._polls, *self._append_requests]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        self._tasks.clear()
        self._end_ownership()
        self._fail_in_flight(_outcome_unknown_error('the journal was closed'))
        self._fail_queued(
            self._client.unavailable_error('the journal was closed')
        )

    @property
    def state(self) -> partition_state.PartitionState:
        """Return the state; a gap in the stream replaces it by a new one."""
        return self._state

    @property
    def epoch(self) -> int:
        """Return the epoch of the own claim, 0 without ownership."""
        return self._epoch

    @property
    def latest_epoch(self) -> int:
        """Return the offset of the latest claim read, 0 if none."""
        return self._state.epoch

    @property
    def latest_claimant(self) -> str:
        """Return the member id of the latest claim read, '' if none."""
        return self._state.claimant

    @property
    def is_owner(self) -> bool:
        """Tell whether this object owns the partition.

        True once ``claim`` has returned, until a later claim or the release
        is read or this object fails or is closed.
        """
        return self._claim_returned and self._holds_latest_epoch

    @property
    def _holds_latest_epoch(self) -> bool:
        return self._epoch > 0 and self._epoch == self._state.epoch

    @property
    def tail_offset(self) -> int:
        """Return the offset after the last record read."""
        return self._next_offset

    @property
    def replayed(self) -> bool:
        """Tell whether the tail of the stream was reached once."""
        return self._replayed.is_set()

    async def wait_replayed(self) -> None:
        """Wait until the tail of the stream was reached once."""
        await self._replayed.wait()

    def follow(self, following: bool) -> None:
        """Set whether the stream is read while this is not the owner."""
        self._following = following
        self._wake_follower.set()

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
            'tail_offset': self._next_offset,
            'assured_age_ms': now_ms - self.assured_at_ms if assured else -1,
            'waiting': len(self._outbox),
            'in_flight': self._in_flight is not None,
            'failed': self._failed,
            'log_down': self._client.is_down,
            'jobs': len(self._state.jobs),
        }

    # Ownership

    async def claim(self, timeout_ms: int | None = None) -> int:
        """Claim the partition and return the epoch, the claim's offset.

        Returns the current epoch if this object already holds the latest
        claim. Raises ``Deposed`` if another claim came later,
        ``LogUnavailable`` if nothing was claimed and ``LogOutcomeUnknown``
        if the claim may still take effect.
        """
        if self._failed:
            raise errors.NotReady('the journal failed; restart this daemon')
        if timeout_ms is None:
            timeout_ms = self._timing.append_timeout_ms
        deadline_ms = self._clock.now_ms() + timeout_ms
        await self._read_tail_within(timeout_ms)
        # An earlier claim may have taken effect after its caller timed out.
        offset = self._epoch if self._holds_latest_epoch else 0
        if not offset:
            claim = records.Claim(self._member_id, self._writer)
            remaining_ms = max(1, deadline_ms - self._clock.now_ms())
            offset = await self._submit([claim], remaining_ms)
            await self._verify_claim_is_latest(offset, deadline_ms)
        self._claim_returned = True
        self._wake_follower.set()
        events.emit(
            journal_events.CLAIMED, partition=self.partition, epoch=offset
        )
        return offset

    async def _verify_claim_is_latest(
        self, offset: int, deadline_ms: int
    ) -> None:
        remaining_ms = max(1, deadline_ms - self._clock.now_ms())
        try:
            await self._read_tail_within(remaining_ms)
        except errors.LogError:
            # The claim took effect, and a later claim would be found by the
            # next read of the follower, which also gives the assurance.
            self._wake_follower.set()
        if self._epoch != offset:
            raise self._deposed_error()

    async def release(self) -> None:
        """Append a snapshot and a release of the partition.

        Does nothing without ownership, and returns early if another
        writer claims the partition meanwhile. Raises ``LogError`` if the
        log does not confirm the records.
        """
        if not self.is_owner:
            return
        self._releasing = True
        try:
            await self.snapshot()
            await self._submit(
                [records.Release()], self._timing.append_timeout_ms
            )
        except errors.Deposed:
            return
        finally:
            self._releasing = False

    async def append(
        self, *new_records: records.Record, timeout_ms: int | None = None
    ) -> None:
        """Append records as a unit and return when they are confirmed.

        Raises ``NotOwner`` without a claim or after a release, ``Deposed``
        after a later claim by another writer, ``LogUnavailable`` if the
        records had no effect and ``LogOutcomeUnknown`` if they were sent
        but not confirmed in time and may still take effect. ``ran`` of a
        ``Deposed`` is unknown if the records may precede the later claim.
        """
        if not self.is_owner or self._releasing:
            raise self._not_owner_error()
        if not new_records:
            return
        if self._client.is_down:
            raise self._client.unavailable_error(_LOG_DOWN_REASON)
        if timeout_ms is None:
            timeout_ms = self._timing.append_timeout_ms
        await self._submit(new_records, timeout_ms)

    async def _submit(
        self,
        new_records: collections.abc.Sequence[records.Record],
        timeout_ms: int,
    ) -> int:
        item = append_item.AppendItem(new_records)
        self._outbox.put(item)
        try:
            return await self._clock.wait_for(item.confirmed, timeout_ms)
        except errors.DeadlineExceeded:
            if item.is_confirmed:
                return item.confirmed.result()
            item.confirmed.cancel()
            if not item.sent:
                raise self._client.unavailable_error(
                    f'the append was not sent within {timeout_ms} ms'
                ) from None
            raise _outcome_unknown_error(
                f'no answer within {timeout_ms} ms'
            ) from None

    async def snapshot(self, timeout_ms: int = _SNAPSHOT_TIMEOUT_MS) -> None:
        """Append a snapshot of the state and wait until it is complete.

        Raises ``NotOwner`` without ownership, ``Deposed`` after a later
        claim by another writer and ``LogError`` if the log does not confirm
        the snapshot.
        """
        if not self.is_owner:
            raise self._not_owner_error()
        if self._snapshot_done is None:
            self._begin_snapshot()
        done = self._snapshot_done
        try:
            await self._clock.wait_for(asyncio.shield(done), timeout_ms)
        except errors.DeadlineExceeded:
            raise errors.LogOutcomeUnknown(
                f'the snapshot is not complete after {timeout_ms} ms; '
                'writing it continues in the background'
            ) from None

    def _begin_snapshot(self) -> None:
        self._snapshot_done = asyncio.get_running_loop().create_future()
        self._outbox.request_snapshot()

    def _end_snapshot(self, error: Exception | None) -> None:
        done = self._snapshot_done
        self._snapshot_done = None
        if done is None or done.done():
            return
        if error is None:
            done.set_result(None)
            return
        self._snapshot_retry_at_ms = self._clock.now_ms() + _SNAPSHOT_RETRY_MS
        done.set_exception(error)
        # Marks the error as retrieved: asyncio would log it if no caller
        # waits for the snapshot.
        done.exception()

    def _is_snapshot_due(self) -> bool:
        now_ms = self._clock.now_ms()
        if self._snapshot_done is not None or self._client.is_down:
            return False
        if now_ms < self._snapshot_retry_at_ms or not self.is_owner:
            return False
        if not self._state.complete:
            return True
        count = self._state.records_since_snapshot
        if count >= self._timing.snapshot_records:
            return True
        oldest_needed_at_ms = self._oldest_needed_at_ms
        if oldest_needed_at_ms is None:
            return False
        return (
            now_ms - oldest_needed_at_ms >= self._timing.snapshot_interval_ms
        )

    # Reading

    async def _fail_on_error(
        self,
        run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    ) -> None:
        try:
            await run()
        except Exception as error:
            # Without its tasks the journal can't notice a later claim, so
            # it must not count as the owner.
            events.emit(
                journal_events.JOURNAL_FAILED,
                partition=self.partition,
                error=repr(error),
            )
            self._failed = True
            self._fail_in_flight(_outcome_unknown_error('the journal failed'))
            self._depose()

    async def _run_follower(self) -> None:
        backoff_ms = _MIN_BACKOFF_MS
        while True:
            self._wake_follower.clear()
            if self._holds_latest_epoch:
                await self._poll_as_owner()
            elif self._following:
                if await self._poll_as_reader():
                    backoff_ms = _MIN_BACKOFF_MS
                else:
                    await self._wait_for_wake(backoff_ms)
                    backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)
            else:
                await self._wake_follower.wait()

    async def _poll_as_owner(self) -> None:
        # These reads don't wait at the log. With as many requests, long
        # polls would give an older assurance, since it dates from the send
        # of a poll, and the owner's own appends would end them early.
        if self._is_snapshot_due():
            self._begin_snapshot()
        poll_interval_ms = self._timing.poll_interval_ms
        age_ms = self._clock.now_ms() - self.assured_at_ms
        if age_ms < poll_interval_ms:
            await self._wait_for_wake(poll_interval_ms - age_ms)
            return
        if len(self._polls) < _MAX_CONCURRENT_POLLS:
            task = asyncio.create_task(self._fail_on_error(self._poll_once))
            self._polls.add(task)
            task.add_done_callback(self._polls.discard)
        await self._wait_for_wake(poll_interval_ms)

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

    async def _wait_for_wake(self, duration_ms: int) -> None:
        woken = asyncio.ensure_future(self._wake_follower.wait())
        timer = asyncio.ensure_future(self._clock.sleep_ms(duration_ms))
        try:
            await asyncio.wait(
                {woken, timer}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            woken.cancel()
            timer.cancel()

    async def _read_tail_within(self, timeout_ms: int) -> None:
        try:
            await self._clock.wait_for(self._read_tail(), timeout_ms)
        except errors.DeadlineExceeded:
            raise self._client.unavailable_error(
                'the tail of the stream was not reached within '
                f'{timeout_ms} ms'
            ) from None

    async def _read_tail(self) -> None:
        while await self._read(0):
            pass

    async def _read(self, wait_ms: int) -> bool:
        """Read once; return whether there may be more records."""
        sent_ms = self._clock.now_ms()
        try:
            chunk = await self._client.read(
                self.stream,
                self._next_offset,
                self._timing.read_limit,
                wait_ms,
            )
        except errors.LogTrimmed as error:
            await self._rebuild_state(error.first_offset)
            return True
        self._apply_chunk(chunk, sent_ms)
        return bool(chunk.records)

    def _apply_chunk(self, chunk: chunk_module.Chunk, sent_ms: int) -> None:
        for record in chunk.records:
            # Concurrent reads may return the same record.
            if record.offset >= self._next_offset:
                batch = self._decode(record.offset, record.data)
                self._apply_batch(record.offset, batch, record.age_ms)
        if chunk.records or chunk.next != self._next_offset:
            return
        # All records that the log held at the time of the read are applied,
        # so a later claim can only have come after this read was sent.
        self._replayed.set()
        self._renew_assurance(sent_ms)

    def _renew_assurance(self, sent_ms: int) -> None:
        if self._holds_latest_epoch:
            self.assured_at_ms = max(self.assured_at_ms, sent_ms)

    def _decode(self, offset: int, data: bytes) -> batch_module.Batch | None:
        try:
            return batch_module.decode(data)
        except decoding.FAULTS as error:
            events.emit(
                journal_events.RECORD_UNREADABLE,
                partition=self.partition,
                offset=offset,
                error=str(error),
            )
            return None

    def _apply_batch(
        self, offset: int, batch: batch_module.Batch | None, age_ms: int
    ) -> None:
        self._next_offset = offset + 1
        appended_ms = self._clock.now_ms() - age_ms
        if self._oldest_needed_at_ms is None:
            self._oldest_needed_at_ms = appended_ms
        if batch is None:
            return
        is_own = batch.writer == self._writer
        snapshot_count = self._state.snapshot_count
        is_source = is_own and batch.epoch == self._epoch
        if self._state.apply(offset, batch, is_source):
            self._track_snapshot(batch, appended_ms, snapshot_count)
            if is_own:
                self._handle_own_batch(offset, batch)
        if self._epoch and self._epoch != self._state.epoch:
            self._depose()

    def _track_snapshot(
        self, batch: batch_module.Batch, appended_ms: int, snapshot_count: int
    ) -> None:
        if any(isinstance(r, records.SnapshotBegin) for r in batch.records):
            self._snapshot_begun_at_ms = appended_ms
        if self._state.snapshot_count == snapshot_count:
            return
        self._oldest_needed_at_ms = self._snapshot_begun_at_ms
        if batch.writer == self._writer:
            self._end_snapshot(None)
            events.emit(
                journal_events.SNAPSHOT_WRITTEN,
                partition=self.partition,
                jobs=len(self._state.jobs),
            )

    def _handle_own_batch(
        self, offset: int, batch: batch_module.Batch
    ) -> None:
        if isinstance(batch.records[0], records.Claim):
            self._begin_ownership(offset)
        if self._state.released:
            self._end_ownership()
        in_flight = self._in_flight
        if in_flight is not None and in_flight.batch.counter == batch.counter:
            self._confirm_in_flight(in_flight, offset)
        elif in_flight is None or in_flight.batch.counter < batch.counter:
            self._counter = max(self._counter, batch.counter)

    def _confirm_in_flight(
        self, in_flight: in_flight_batch.InFlightBatch, offset: int
    ) -> None:
        self._in_flight = None
        in_flight.settle()
        late_records: list[records.Record] = []
        for item in in_flight.items:
            if not item.confirm(offset):
                late_records.extend(item.records)
        if late_records and self._on_late_confirmation is not None:
            self._on_late_confirmation(late_records)

    async def _rebuild_state(self, first: int) -> None:
        """Replace the state by a replay from the log's first offset."""
        async with self._rebuild_lock:
            if self._next_offset >= first:
                return
            if self.replayed:
                events.emit(
                    journal_events.STREAM_TRIMMED,
                    partition=self.partition,
                    next=self._next_offset,
                    first=first,
                )
            rebuilt = self._make_state(complete=False)
            next_offset = await self._replay_from(rebuilt, first)
            self._replace_state(rebuilt, next_offset)

    async def _replay_from(
        self, state: partition_state.PartitionState, next_offset: int
    ) -> int:
        self._oldest_needed_at_ms = None
        while True:
            chunk = await self._client.read(
                self.stream, next_offset, self._timing.read_limit, 0
            )
            for record in chunk.records:
                batch = self._decode(record.offset, record.data)
                self._replay_batch(state, record.offset, batch, record.age_ms)
            next_offset = chunk.next
            if not chunk.records:
                return next_offset

    def _replay_batch(
        self,
        state: partition_state.PartitionState,
        offset: int,
        batch: batch_module.Batch | None,
        age_ms: int,
    ) -> None:
        appended_ms = self._clock.now_ms() - age_ms
        if self._oldest_needed_at_ms is None:
            self._oldest_needed_at_ms = appended_ms
        if batch is None:
            return
        snapshot_count = state.snapshot_count
        state.apply(offset, batch)
        if any(isinstance(r, records.SnapshotBegin) for r in batch.records):
            self._snapshot_begun_at_ms = appended_ms
        if state.snapshot_count != snapshot_count:
            self._oldest_needed_at_ms = self._snapshot_begun_at_ms

    def _replace_state(
        self, state: partition_state.PartitionState, next_offset: int
    ) -> None:
        if not state.complete:
            events.emit(
                journal_events.HISTORY_INCOMPLETE, partition=self.partition
            )
        self._state = state
        self._next_offset = next_offset
        self._counter = max(self._counter, state.writers.get(self._writer, 0))
        in_flight = self._in_flight
        counter = state.writers.get(self._writer, 0)
        if in_flight is not None and in_flight.batch.counter <= counter:
            self._confirm_in_flight(in_flight, next_offset - 1)
        if self._epoch and self._epoch != state.epoch:
            # A batch that is still in flight may be among the records that
            # were trimmed unread before the later claim.
            self._depose(ran=errors.Ran.UNKNOWN)

    def _make_state(self, complete: bool) -> partition_state.PartitionState:
        return partition_state.PartitionState(
            result_keep_ms=self._timing.result_keep_ms, complete=complete
        )

    # Ownership changes

    def _begin_ownership(self, epoch: int) -> None:
        self._epoch = epoch
        self._deposed = False
        self._wake_follower.set()

    def _end_ownership(self) -> None:
        self._epoch = 0
        self._claim_returned = False
        self.assured_at_ms = NEVER_MS
        self._wake_follower.set()

    def _depose(self, ran: errors.Ran = errors.Ran.NO) -> None:
        """End the ownership; ``ran`` is the outcome of a batch in flight.

        A batch that was not read before the later claim does not precede it
        in the stream, and after it readers ignore the batch for its epoch.
        """
        claimed = self._claim_returned
        self._deposed = True
        self._end_ownership()
        if self._in_flight is not None and not self._in_flight.is_claim:
            error = self._deposed_error()
            error.ran = ran
            self._fail_in_flight(error)
        self._fail_queued(self._deposed_error())
        events.emit(
            journal_events.DEPOSED,
            partition=self.partition,
            latest_epoch=self.latest_epoch,
            claimant=self.latest_claimant,
        )
        if claimed and self.on_deposed is not None:
            self.on_deposed()

    def _fail_in_flight(self, error: Exception) -> None:
        in_flight = self._in_flight
        if in_flight is None:
            return
        self._in_flight = None
        in_flight.settle()
        for item in in_flight.items:
            item.fail(error)

    def _fail_queued(self, error: Exception) -> None:
        """Fail all queued appends and the snapshot that is not complete."""
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
        backoff_ms = _MIN_BACKOFF_MS
        while True:
            await self._outbox.wait()
            await self._linger()
            in_flight = self._take_batch()
            if in_flight is None:
                continue
            try:
                await self._append_until_settled(in_flight)
                backoff_ms = _MIN_BACKOFF_MS
            except errors.LogUnavailable:
                self._requeue(in_flight)
                await self._clock.sleep_ms(backoff_ms)
                backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)

    async def _linger(self) -> None:
        due_ms = self._last_append_ms + self._timing.linger_ms
        remaining_ms = due_ms - self._clock.now_ms()
        if remaining_ms > 0:
            await self._clock.sleep_ms(remaining_ms)

    def _take_batch(self) -> in_flight_batch.InFlightBatch | None:
        if self._outbox.snapshot_requested:
            self._put_snapshot()
        items = self._outbox.take(self._timing.batch_bytes)
        if not items:
            return None
        is_claim_batch = items[0].is_claim
        if not is_claim_batch and not self._holds_latest_epoch:
            for item in items:
                item.fail(self._not_owner_error())
            return None
        self._counter += 1
        batch = batch_module.Batch(
            writer=self._writer,
            counter=self._counter,
            epoch=0 if is_claim_batch else self._epoch,
            wall_ms=self._clock.wall_ms(),
            records=[record for item in items for record in item.records],
        )
        self._in_flight = in_flight_batch.InFlightBatch(batch, items)
        return self._in_flight

    def _put_snapshot(self) -> None:
        # No batch is in flight here, so the state includes every record
        # that precedes the snapshot in the stream.
        if self._holds_latest_epoch:
            self._outbox.put_snapshot(
                snapshot_module.make_records(self._state)
            )
            return
        # Clears the request.
        self._outbox.put_snapshot([])
        self._end_snapshot(self._not_owner_error())

    def _requeue(self, in_flight: in_flight_batch.InFlightBatch) -> None:
        """Put the items of a batch that had no effect back into the queue."""
        if in_flight.is_settled:
            return
        self._in_flight = None
        in_flight.settle()
        self._outbox.put_back(in_flight.items)
        if self._client.is_down:
            self._fail_queued_on_log_down()

    def _fail_queued_on_log_down(self) -> None:
        if self._snapshot_done is not None:
            events.emit(
                journal_events.SNAPSHOT_FAILED, partition=self.partition
            )
        self._fail_queued(self._client.unavailable_error(_LOG_DOWN_REASON))

    async def _append_until_settled(
        self, in_flight: in_flight_batch.InFlightBatch
    ) -> None:
        """Append a batch, repeatedly if needed, until its outcome is known.

        Raises ``LogUnavailable`` if the batch certainly had no effect.
        """
        try:
            await self._send(in_flight)
        except errors.LogOutcomeUnknown:
            events.emit(
                journal_events.APPEND_UNRESOLVED, partition=self.partition
            )
            await self._resolve_outcome(in_flight)

    async def _send(self, in_flight: in_flight_batch.InFlightBatch) -> None:
        sent_ms = self._clock.now_ms()
        self._last_append_ms = sent_ms
        request = asyncio.create_task(
            self._client.append(self.stream, in_flight.data)
        )
        self._append_requests.add(request)
        request.add_done_callback(self._finish_request)
        # A read may return the batch before the append is answered. A
        # request that takes longer than the poll interval may be on a dead
        # connection: it keeps running, and the outcome is read from the
        # stream over another connection.
        await self._wait_any(
            {request, in_flight.settled}, self._timing.poll_interval_ms
        )
        if in_flight.is_settled:
            return
        if not request.done():
            raise _outcome_unknown_error(
                f'no answer within {self._timing.poll_interval_ms} ms'
            )
        await self._handle_append_answer(in_flight, request.result(), sent_ms)

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

    def _finish_request(self, request: asyncio.Task[int]) -> None:
        self._append_requests.discard(request)
        if not request.cancelled():
            # Marks the error as retrieved: asyncio would log it if the
            # batch was settled by a read.
            request.exception()

    async def _handle_append_answer(
        self,
        in_flight: in_flight_batch.InFlightBatch,
        offset: int,
        sent_ms: int,
    ) -> None:
        if offset == self._next_offset:
            # Every record before the batch has been read.
            self._apply_batch(offset, in_flight.batch, 0)
            self._renew_assurance(sent_ms)
            return
        try:
            while self._next_offset <= offset and not in_flight.is_settled:
                await self._read(0)
        except errors.LogError:
            await self._resolve_outcome(in_flight)
            return
        if not in_flight.is_settled:
            await self._resolve_outcome(in_flight)

    async def _resolve_outcome(
        self, in_flight: in_flight_batch.InFlightBatch
    ) -> None:
        """Read, and append again, until the outcome of a batch is known.

        A duplicate has no effect: readers ignore a batch whose counter is
        not above the last one of its writer.
        """
        backoff_ms = _MIN_BACKOFF_MS
        # A read on a dead connection takes its whole timeout, so the
        # timeout starts short; a slow log needs longer, so it grows.
        timeout_ms = self._timing.poll_interval_ms
        while not in_flight.is_settled:
            try:
                await self._read_tail_within(timeout_ms)
                if in_flight.is_settled or self._drop_abandoned_claim(
                    in_flight
                ):
                    return
                await self._linger()
                await self._send(in_flight)
            except errors.LogError:
                if self._drop_abandoned_claim(in_flight):
                    return
                if self._client.is_down:
                    self._fail_queued_on_log_down()
                await self._wait_any({in_flight.settled}, backoff_ms)
                timeout_ms = min(2 * timeout_ms, _MAX_READ_TIMEOUT_MS)
                backoff_ms = min(2 * backoff_ms, _MAX_BACKOFF_MS)

    def _drop_abandoned_claim(
        self, in_flight: in_flight_batch.InFlightBatch
    ) -> bool:
        # A claim that is repeated after its caller timed out could depose
        # a member that has claimed the partition since.
        if not in_flight.is_claim or not in_flight.all_callers_gone:
            return False
        if self._in_flight is in_flight:
            self._in_flight = None
        in_flight.settle()
        return True


def stream_name(partition: int) -> str:
    """Return the name of the stream of a partition."""
    return f'work-{partition}'


def _outcome_unknown_error(reason: str) -> errors.LogOutcomeUnknown:
    return errors.LogOutcomeUnknown(
        f'an append was sent but not confirmed: {reason}; look up the job '
        'to see whether it took effect'
    )
