"""Own the jobs of the partitions that this daemon has claimed."""

import asyncio
import collections.abc
import contextlib
import typing

from basilspindle import clock as clock_module
from basilspindle.coordinator import dispatcher as dispatcher_module
from basilspindle.coordinator import estimate_book
from basilspindle.coordinator import events as coordinator_events
from basilspindle.coordinator import holder
from basilspindle.coordinator import outcome
from basilspindle.coordinator import owned_partition
from basilspindle.coordinator import recovery
from basilspindle.coordinator import sweeper
from basilspindle.coordinator import task_name
from basilspindle.coordinator import timing as timing_module
from basilspindle.coordinator import tracked_job
from basilspindle.coordinator import tracked_task
from basilspindle import errors
from basilspindle import events
from basilspindle import journal as journal_package
from basilspindle import model
from basilspindle.peer import messages
from basilspindle import policy

_IDLE_PASS_MS = 400
_FAILED_PASS_PAUSE_MS = 1_000
# The journal goes on with an append that its caller no longer waits for.
_APPEND_TIMEOUT_MS = 24 * 3_600_000
_SUBMIT_TIMEOUT_MS = 5_000
_SEND_MS = 3_000
_NEVER_MS = 1 << 62
_MAX_DUMPED_JOBS = 1_000
# An inventory may have been taken before a task was placed.
_NEW_TASK_MS = 10_000
_MISSES = 2
# Longer than a request may wait. At 310 starts per second the 15 minutes of
# durable jobs would be 279,000 jobs.
_HELD_KEEP_MS = 20_000


class Coordinator:
    """Accept, queue, place and end the jobs of owned partitions.

    One queue serves all partitions of the daemon. ``may_start`` tells
    whether this daemon is assured to own a partition, ``key_valid`` whether
    the key that a job came with still stands for its team.
    """

    __slots__ = (
        '_clock',
        '_queue',
        '_timing',
        '_partitions',
        '_dispatcher',
        '_sweeper',
        '_holders',
        '_wake',
        '_key_valid',
        '_tasks',
        '_pending',
        '_estimates',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        holders: holder.Holders,
        timing: timing_module.Timing,
        may_start: collections.abc.Callable[[int], bool],
        key_valid: collections.abc.Callable[[model.Job], bool],
    ) -> None:
        self._clock = clock
        self._queue = policy.FairQueue()
        self._timing = timing
        self._partitions: dict[int, owned_partition.OwnedPartition] = {}
        self._holders = holders
        self._wake = asyncio.Event()
        self._key_valid = key_valid
        self._pending: dict[str, int] = {}
        self._estimates = estimate_book.EstimateBook()
        self._tasks: list[asyncio.Task[None]] = []
        self._dispatcher = dispatcher_module.Dispatcher(
            clock,
            self._queue,
            holders,
            timing,
            self._partitions,
            may_start,
            self._end_attempt,
        )
        self._sweeper = sweeper.Sweeper(
            clock, holders, timing, self._partitions, self._end_attempt
        )

    async def __aenter__(self) -> typing.Self:
        self._tasks = [
            asyncio.ensure_future(self._run()),
            asyncio.ensure_future(self._sweeper.run(self._sweep)),
        ]
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._dispatcher.close()

    def set_teams(
        self, teams: collections.abc.Mapping[str, policy.TeamPolicy]
    ) -> None:
        """Put shares and limits in force; nothing running is stopped."""
        self._queue.set_teams(teams)
        self.wake()

    def wake(self) -> None:
        """Start a dispatch pass soon."""
        self._wake.set()

    def waiting(self) -> int:
        """Return the number of waiting tasks."""
        return self._queue.waiting()

    def waiting_shares(self) -> list[float]:
        """Return the lowest normalised share that waits, by class."""
        return self._queue.waiting_shares()

    def activate(
        self,
        number: int,
        journal: typing.Any,
        running: collections.abc.Iterable[model.RunningTask],
        ends: collections.abc.Iterable[model.TaskEnd],
        opens_at_ms: int,
    ) -> None:
        """Recover the jobs of a partition and take new ones.

        Starts nothing of the partition before ``opens_at_ms`` unless
        ``see_all`` is called, since until then tasks may run that nobody
        has reported.
        """
        partition = owned_partition.OwnedPartition(number, journal)
        partition.opens_at_ms = opens_at_ms
        recovery.recover(partition, self._queue, running, self._clock)
        self._partitions[number] = partition
        for end in ends:
            self._apply_end(partition, end)
        for tracked in partition.jobs.values():
            tracked.settle(self._clock.now_ms())
        if opens_at_ms <= self._clock.now_ms():
            self._open(partition)

    def see_all(
        self,
        number: int,
        running: collections.abc.Iterable[model.RunningTask],
        ends: collections.abc.Iterable[model.TaskEnd],
    ) -> None:
        """Take the inventories of all workers, and start from now on."""
        partition = self._partitions.get(number)
        if partition is None or partition.open:
            return
        for task in running:
            recovery.adopt(partition, task, task.holder_id, self._queue)
        for end in ends:
            self._apply_end(partition, end)
        self._open(partition)

    def reconcile(
        self,
        number: int,
        running: collections.abc.Iterable[model.RunningTask],
        ends: collections.abc.Iterable[model.TaskEnd],
    ) -> None:
        """Compare with the complete inventories of all workers.

        A task that two of them in a row lack is lost: if a worker restarts
        between two holders, neither knows what ran there.
        """
        partition = self._partitions.get(number)
        if partition is None:
            return
        present = {(task.task_id, task.attempt) for task in running}
        present.update((end.task_id, end.attempt) for end in ends)
        before_ms = self._clock.now_ms() - _NEW_TASK_MS
        for tracked in list(partition.jobs.values()):
            for task in list(tracked.started.values()):
                task_id = tracked.job.task_id(task.index)
                known = (task_id, task.attempt) in present
                fresh = task.placed_at_ms > before_ms
                if known or fresh or not task.worker_id:
                    task.missed = 0
                    continue
                task.missed += 1
                if task.missed >= _MISSES:
                    self._end_attempt(
                        tracked, task.index, sweeper.lost(tracked, task)
                    )

    def _open(self, partition: owned_partition.OwnedPartition) -> None:
        lost = recovery.find_lost_intents(partition)
        for tracked, index, end in lost:
            self._queue.add_running(tracked.job.team, tracked.job.resources)
            self._end_attempt(tracked, index, end)
        recovery.enqueue(partition, self._queue, self._clock)
        partition.open = True
        for tracked in partition.jobs.values():
            tracked.settle(self._clock.now_ms())
        events.emit(
            coordinator_events.PARTITION_ACTIVE,
            partition=partition.number,
            epoch=partition.epoch,
            jobs=len(partition.jobs),
            unknown_tasks=len(lost),
        )
        self.wake()

    async def deactivate(self, number: int, handover: bool) -> None:
        """Give up the jobs of a partition; its waiters are told.

        Returns once nothing is being sent. At a handover what is being
        sent may end first.
        """
        partition = self._partitions.get(number)
        if partition is None:
            return
        partition.open = False
        partition.opens_at_ms = _NEVER_MS
        await self._dispatcher.finish(number, _SEND_MS if handover else 0)
        del self._partitions[number]
        for tracked in partition.jobs.values():
            self._queue.remove(tracked.job.job_id)
            for _ in tracked.started:
                self._queue.end_running(
                    tracked.job.team, tracked.job.resources
                )
            tracked.changed.set()
        for orphan in partition.orphans.values():
            self._queue.end_running(orphan.team, orphan.resources)
        for task in partition.accepting.values():
            task.cancel()
        events.emit(
            coordinator_events.PARTITION_INACTIVE,
            partition=number,
            epoch=partition.epoch,
            handover=handover,
        )

    def owns(self, number: int) -> bool:
        """Tell whether the partition is active here."""
        return number in self._partitions

    async def submit(self, request: messages.Submit) -> messages.Submitted:
        """Accept a job once; a repeated submission is the same job.

        Raises ``KeyReused`` for another body under the same job id,
        ``QueueFull``, ``Unschedulable``, ``LogUnavailable`` (not run) and
        ``OutcomeUnknown`` (may be accepted later).
        """
        partition = self._partition(request.partition)
        repeated = await self._accept(partition, request.job)
        view = None
        if request.wait_ms:
            view = await self._await_submitted(request)
        return messages.Submitted(
            job_id=request.job.job_id, repeated=repeated, view=view
        )

    async def _await_submitted(
        self, request: messages.Submit
    ) -> model.JobView:
        try:
            return await self._await_end(
                request.partition,
                request.job.team,
                request.job.job_id,
                request.wait_ms,
            )
        except errors.NotOwner as error:
            # The job was accepted here and may have been started.
            error.ran = errors.Ran.UNKNOWN
            raise

    async def _accept(
        self, partition: owned_partition.OwnedPartition, job: model.Job
    ) -> bool:
        known = partition.jobs.get(job.job_id)
        if known is not None:
            _check_same(known.job, job)
            return True
        repeated = job.job_id in partition.accepting
        declared = job.resources
        if not repeated:
            self._check_room(job)
            job = self._estimates.correct(
                job, self._dispatcher.rooms.largest()
            )
        if job.durable:
            await self._accept_durable(partition, job)
        else:
            self._admit(partition, job)
        known = partition.jobs.get(job.job_id)
        if known is not None and not repeated:
            known.declared = declared
        return repeated

    def _check_room(self, job: model.Job) -> None:
        reason = self._misfit(job)
        if reason:
            raise errors.Unschedulable(
                f'{reason}; ask for less or add larger workers'
            )
        self._queue.check_room(
            job.team, job.tasks + self._pending.get(job.team, 0)
        )

    def _misfit(self, job: model.Job) -> str:
        """Return why no worker can hold a task, '' if one may."""
        largest = self._dispatcher.rooms.largest()
        if largest == model.Resources():
            return ''
        return policy.can_ever_fit(job.resources, [largest])

    async def _accept_durable(
        self, partition: owned_partition.OwnedPartition, job: model.Job
    ) -> None:
        task = partition.accepting.get(job.job_id)
        if task is None:
            task = asyncio.ensure_future(self._record(partition, job))
            partition.accepting[job.job_id] = task
            task.add_done_callback(_ignore_result)
        try:
            await self._clock.wait_ms(asyncio.shield(task), _SUBMIT_TIMEOUT_MS)
        except errors.DeadlineExceeded:
            raise errors.OutcomeUnknown(
                'the log has not confirmed the job yet; ask for the job '
                'by its id before submitting it again',
                job_id=job.job_id,
            ) from None
        except asyncio.CancelledError:
            if task.cancelled():
                raise errors.OutcomeUnknown(
                    'the partition moved to another daemon; submit again '
                    'with the same idempotency key',
                    job_id=job.job_id,
                ) from None
            raise
        known = partition.jobs.get(job.job_id)
        if known is not None:
            _check_same(known.job, job)

    async def _record(
        self, partition: owned_partition.OwnedPartition, job: model.Job
    ) -> bool:
        self._pending[job.team] = self._pending.get(job.team, 0) + job.tasks
        try:
            await partition.journal.append(
                journal_package.JobAccepted(job=job),
                timeout_ms=_APPEND_TIMEOUT_MS,
            )
            if self._partitions.get(partition.number) is partition:
                self._admit(partition, job)
            return True
        finally:
            self._pending[job.team] -= job.tasks
            partition.accepting.pop(job.job_id, None)

    def _admit(
        self, partition: owned_partition.OwnedPartition, job: model.Job
    ) -> None:
        tracked = tracked_job.TrackedJob(job, partition.number)
        partition.jobs[job.job_id] = tracked
        recovery.adopt_orphans(partition, tracked)
        recovery.enqueue_job(tracked, self._queue, self._clock)
        for task_id, (_, end) in list(partition.orphan_ends.items()):
            if task_name.split(task_id)[0] == job.job_id:
                del partition.orphan_ends[task_id]
                self._apply_end(partition, end)
        tracked.settle(self._clock.now_ms())
        self.wake()

    async def view(self, request: messages.View) -> messages.Viewed:
        """Show a job, waiting for its end; raises ``NotFound``."""
        view = await self._await_end(
            request.partition, request.team, request.job_id, request.wait_ms
        )
        return messages.Viewed(view=view)

    async def _await_end(
        self, number: int, team: str, job_id: str, wait_ms: int
    ) -> model.JobView:
        tracked = self._job(number, team, job_id)
        due_ms = self._clock.now_ms() + wait_ms
        while not tracked.state.final:
            left_ms = due_ms - self._clock.now_ms()
            if left_ms <= 0:
                break
            with contextlib.suppress(errors.DeadlineExceeded):
                await self._clock.wait_ms(tracked.changed.wait(), left_ms)
            tracked = self._job(number, team, job_id)
        return tracked.view(with_results=True)

    async def list_jobs(self, request: messages.ListJobs) -> messages.JobList:
        """List one team's jobs in order of their ids."""
        partition = self._partition(request.partition)
        job_ids = sorted(
            job_id
            for job_id, tracked in partition.jobs.items()
            if tracked.job.team == request.team and job_id > request.after
        )
        page = job_ids[: request.limit]
        return messages.JobList(
            views=[
                partition.jobs[job_id].view(with_results=False)
                for job_id in page
            ],
            more=len(job_ids) > len(page),
        )

    async def cancel(self, request: messages.Cancel) -> messages.Cancelled:
        """Cancel a job: end its queued tasks, stop its started ones."""
        tracked = self._job(request.partition, request.team, request.job_id)
        if not tracked.state.final and not tracked.cancelled:
            partition = self._partition(request.partition)
            if tracked.job.durable:
                await partition.journal.append(
                    journal_package.JobCancelled(job_id=request.job_id),
                    timeout_ms=_SUBMIT_TIMEOUT_MS,
                )
            tracked.cancelled = True
            self._queue.remove(request.job_id)
            tracked.end_queued(model.State.CANCELLED, 'cancelled')
            tracked.settle(self._clock.now_ms())
            self._sweeper.wake()
        return messages.Cancelled(view=tracked.view(with_results=True))

    async def report(self, request: messages.Report) -> messages.Reported:
        """Take ends of tasks; confirms once durable ones are recorded.

        Raises ``LogUnavailable`` while they are not; the holder reports
        again.
        """
        partition = self._partition(request.partition)
        for task in request.found:
            recovery.adopt(partition, task, request.holder_id, self._queue)
        records = []
        for end in request.ends:
            record = self._apply_end(partition, end)
            if record is not None:
                records.append(record)
        if records:
            await self._record_ends(partition, records)
        return messages.Reported()

    async def _record_ends(
        self,
        partition: owned_partition.OwnedPartition,
        records: list[journal_package.TaskEnded],
    ) -> None:
        try:
            await partition.journal.append(
                *records, timeout_ms=_SUBMIT_TIMEOUT_MS
            )
        except errors.LogError:
            events.emit(
                coordinator_events.END_NOT_RECORDED,
                partition=partition.number,
                ends=len(records),
            )
            raise

    def _apply_end(
        self, partition: owned_partition.OwnedPartition, end: model.TaskEnd
    ) -> journal_package.TaskEnded | None:
        """Apply an end once; return the record that makes it last."""
        job_id, index = task_name.split(end.task_id)
        tracked = partition.jobs.get(job_id)
        if tracked is None:
            orphan = partition.orphans.pop(end.task_id, None)
            if orphan is not None:
                self._queue.end_running(orphan.team, orphan.resources)
            partition.orphan_ends[end.task_id] = (self._clock.now_ms(), end)
            return None
        task = tracked.started.get(index)
        if task is not None and task.attempt == end.attempt:
            if _is_outdated(task, end):
                return None
            self._end_attempt(tracked, index, end)
        result = tracked.ended.get(index)
        if result is None or not tracked.job.durable:
            return None
        return _ended_record(tracked, result, end.attempt)

    def _end_attempt(
        self,
        tracked: tracked_job.TrackedJob,
        index: int,
        end: model.TaskEnd,
    ) -> None:
        job = tracked.job
        task = tracked.started[index]
        if end.state is model.State.SUCCEEDED and tracked.declared:
            self._estimates.observe(job, tracked.declared, end)
        verdict = outcome.judge(tracked, index, end)
        if end.state is model.State.FAILED and end.worker_id:
            tracked.failed_workers.setdefault(index, []).append(end.worker_id)
        if verdict in (
            outcome.Verdict.RETRY,
            outcome.Verdict.RETRY_UNCOUNTED,
        ):
            counted = verdict is outcome.Verdict.RETRY
            placed = bool(task.worker_id)
            tracked.give_back(index, counted=counted)
            self._requeue(tracked, placed)
        else:
            state = _FINAL_STATES.get(verdict, end.state)
            tracked.end(
                model.TaskResult(
                    index=index,
                    state=state,
                    attempts=tracked.attempts.get(index, 0),
                    worker_id=end.worker_id,
                    result=end.result,
                    error=end.error,
                )
            )
            self._queue.end_running(job.team, job.resources)
            if verdict is outcome.Verdict.UNKNOWN:
                events.emit(
                    coordinator_events.OUTCOME_UNKNOWN,
                    job_id=job.job_id,
                    index=index,
                    worker_id=end.worker_id,
                )
        if task.holder_id and end.started:
            self._dispatcher.rooms.give(task.holder_id, job.resources)
        tracked.settle(self._clock.now_ms())
        self.wake()

    def _requeue(self, tracked: tracked_job.TrackedJob, placed: bool) -> None:
        """Queue one task again; one that was never placed keeps its turn."""
        job = tracked.job
        if not placed:
            with contextlib.suppress(errors.NotFound):
                self._queue.give_back(job.job_id, 1, self._clock.now_ms())
                return
        self._queue.end_running(job.team, job.resources)
        recovery.push(tracked, 1, self._queue, self._clock)

    def _partition(self, number: int) -> owned_partition.OwnedPartition:
        partition = self._partitions.get(number)
        if partition is None:
            raise errors.NotOwner(
                f'partition {number} is not active on this daemon; ask the '
                'member that claims it'
            )
        return partition

    def _job(
        self, number: int, team: str, job_id: str
    ) -> tracked_job.TrackedJob:
        tracked = self._partition(number).jobs.get(job_id)
        if tracked is None or tracked.job.team != team:
            raise errors.NotFound(
                f'team {team!r} has no job {job_id!r}; list the jobs to '
                'see those that are kept'
            )
        return tracked

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(errors.DeadlineExceeded):
                await self._clock.wait_ms(self._wake.wait(), _IDLE_PASS_MS)
            self._wake.clear()
            try:
                while self._dispatcher.run_pass():
                    # Let replies be handled between two passes.
                    await asyncio.sleep(0)
            except Exception as error:
                events.emit(
                    coordinator_events.DISPATCH_FAILED, error=repr(error)
                )
                await self._clock.sleep_ms(_FAILED_PASS_PAUSE_MS)

    async def _sweep(self) -> None:
        """Expire queued jobs, refuse withdrawn keys, drop old results."""
        now_ms = self._clock.now_ms()
        for job_id, _ in self._queue.expired(now_ms):
            await self._close(job_id, model.State.EXPIRED, 'deadline passed')
        for partition in list(self._partitions.values()):
            if not partition.open and now_ms >= partition.opens_at_ms:
                self._open(partition)
            for tracked in list(partition.jobs.values()):
                await self._sweep_job(partition, tracked, now_ms)
            for task_id, (since_ms, _) in list(partition.orphan_ends.items()):
                if now_ms - since_ms > self._timing.lost_after_ms:
                    del partition.orphan_ends[task_id]

    async def _sweep_job(
        self,
        partition: owned_partition.OwnedPartition,
        tracked: tracked_job.TrackedJob,
        now_ms: int,
    ) -> None:
        if tracked.state.final:
            await self._record_job_end(partition, tracked)
            keep_ms = self._timing.result_keep_ms
            if not tracked.job.durable:
                keep_ms = _HELD_KEEP_MS
            if now_ms - tracked.ended_at_ms > keep_ms:
                partition.jobs.pop(tracked.job.job_id, None)
            return
        if tracked.started or tracked.ended:
            return
        reason = self._misfit(tracked.job)
        if reason:
            await self._close(
                tracked.job.job_id, model.State.UNSCHEDULABLE, reason
            )
        elif not self._key_valid(tracked.job):
            await self._close(
                tracked.job.job_id,
                model.State.CANCELLED,
                'the key was withdrawn before the job started',
            )

    async def _record_job_end(
        self,
        partition: owned_partition.OwnedPartition,
        tracked: tracked_job.TrackedJob,
    ) -> None:
        """Record the end of a job that its ended tasks do not show.

        Tasks that were cancelled, expired or lost have no record of their
        own; without this the job would stay in every snapshot.
        """
        if not tracked.job.durable:
            return
        entry = partition.journal.state.jobs.get(tracked.job.job_id)
        if entry is None or entry.state.final:
            return
        record = journal_package.JobEnded(
            job_id=tracked.job.job_id,
            state=tracked.state,
            reason=tracked.reason,
        )
        with contextlib.suppress(errors.BasilspindleError):
            await partition.journal.append(
                record, timeout_ms=_SUBMIT_TIMEOUT_MS
            )

    async def _close(
        self, job_id: str, state: model.State, reason: str
    ) -> None:
        for partition in self._partitions.values():
            tracked = partition.jobs.get(job_id)
            if tracked is None or tracked.state.final:
                continue
            self._queue.remove(job_id)
            tracked.end_queued(state, reason)
            tracked.settle(self._clock.now_ms())
            await self._record_job_end(partition, tracked)
            return

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the operators' dump."""
        return {
            'waiting_tasks': self._queue.waiting(),
            'job_ids': [
                job_id
                for partition in self._partitions.values()
                for job_id in partition.jobs
            ][-_MAX_DUMPED_JOBS:],
            'partitions': {
                number: {
                    'epoch': partition.epoch,
                    'jobs': len(partition.jobs),
                    'started_tasks': sum(
                        len(tracked.started)
                        for tracked in partition.jobs.values()
                    ),
                    'orphans': len(partition.orphans),
                    'accepting': len(partition.accepting),
                    'open': partition.open,
                }
                for number, partition in self._partitions.items()
            },
        }


_FINAL_STATES = {
    outcome.Verdict.UNKNOWN: model.State.UNKNOWN,
    outcome.Verdict.CANCELLED: model.State.CANCELLED,
}


def _is_outdated(task: tracked_task.TrackedTask, end: model.TaskEnd) -> bool:
    """Tell whether a later holder of the worker has found the task.

    An earlier holder may declare a task lost that it can no longer see.
    """
    lost = end.state in (model.State.QUEUED, model.State.UNKNOWN)
    return lost and end.started and end.worker_epoch < task.worker_epoch


def _check_same(known: model.Job, job: model.Job) -> None:
    if known.body_hash != job.body_hash:
        raise errors.KeyReused(
            'the idempotency key was used for another body; use a new key '
            'for new work',
            job_id=known.job_id,
        )


def _ended_record(
    tracked: tracked_job.TrackedJob,
    result: model.TaskResult,
    attempt: int,
) -> journal_package.TaskEnded:
    return journal_package.TaskEnded(
        job_id=tracked.job.job_id,
        index=result.index,
        attempt=attempt,
        state=result.state,
        worker_id=result.worker_id,
        result=result.result,
        error=result.error,
    )


def _ignore_result(task: asyncio.Task[bool]) -> None:
    # The submission that waits reads the error; without one it is dropped.
    if not task.cancelled():
        task.exception()
