"""Manage the jobs of the partitions that this daemon owns."""

import asyncio
import collections.abc
import contextlib
import typing

from basilspindle import clock as clock_module
from basilspindle.coordinator import admission
from basilspindle.coordinator import capacity_tracker
from basilspindle.coordinator import dispatcher as dispatcher_module
from basilspindle.coordinator import events as coordinator_events
from basilspindle.coordinator import holder
from basilspindle.coordinator import housekeeping
from basilspindle.coordinator import log_and_skip
from basilspindle.coordinator import owned_partition
from basilspindle.coordinator import recovery
from basilspindle.coordinator import submitted
from basilspindle.coordinator import sweeper
from basilspindle.coordinator import task_end_handler
from basilspindle.coordinator import timing as timing_module
from basilspindle.coordinator import tracked_job
from basilspindle.coordinator import usage_estimates
from basilspindle import errors
from basilspindle import events
from basilspindle import journal as journal_package
from basilspindle import model
from basilspindle.peer import messages
from basilspindle import policy

# Longest time between two dispatch passes; ``wake`` starts one earlier.
_DISPATCH_PERIOD_MS = 400
_FAILED_PASS_PAUSE_MS = 1_000
_CANCEL_TIMEOUT_MS = 5_000
_HANDOVER_SEND_TIMEOUT_MS = 3_000
_NEVER_MS = 1 << 62
# Interval for checking whether the end of a job has been recorded.
_RECORD_POLL_MS = 100
_MAX_DUMPED_JOB_IDS = 1_000

# Tells whether the ownership of a partition is confirmed, with a second
# argument by calls that began at that time or later.
MayStart = collections.abc.Callable[..., bool]


class Coordinator:
    """Accept, queue, place and end the jobs of owned partitions.

    One queue serves all partitions of the daemon. ``may_start`` tells
    whether this daemon's ownership of a partition was confirmed recently
    enough to start its tasks; ``key_valid`` tells whether the API key that
    a job was submitted with is still valid for its workspace.
    """

    __slots__ = (
        '_clock',
        '_queue',
        '_holders',
        '_may_start',
        '_partitions',
        '_capacity',
        '_end_handler',
        '_admission',
        '_dispatcher',
        '_sweeper',
        '_housekeeping',
        '_wake',
        '_background_tasks',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        holders: holder.Holders,
        timing: timing_module.Timing,
        may_start: MayStart,
        key_valid: collections.abc.Callable[[model.Job], bool],
    ) -> None:
        self._clock = clock
        self._holders = holders
        self._may_start = may_start
        self._queue = policy.FairQueue()
        self._partitions: dict[int, owned_partition.OwnedPartition] = {}
        self._capacity = capacity_tracker.CapacityTracker()
        self._wake = asyncio.Event()
        self._background_tasks: list[asyncio.Task[None]] = []
        estimates = usage_estimates.UsageEstimates()
        self._end_handler = task_end_handler.TaskEndHandler(
            clock, self._queue, self._capacity, estimates, self.wake
        )
        self._admission = admission.Admission(
            clock,
            self._queue,
            self._capacity,
            self._end_handler,
            estimates,
            self.wake,
        )
        self._dispatcher = dispatcher_module.Dispatcher(
            clock,
            self._queue,
            holders,
            self._capacity,
            timing,
            self._partitions,
            may_start,
            key_valid,
            self._end_handler.end_attempt,
        )
        self._sweeper = sweeper.Sweeper(
            clock,
            holders,
            timing,
            self._partitions,
            self._end_handler.end_attempt,
        )
        self._housekeeping = housekeeping.Housekeeping(
            clock,
            self._queue,
            timing,
            self._partitions,
            self._end_handler,
            self._admission.unschedulable_reason,
            key_valid,
            may_start,
        )

    async def __aenter__(self) -> typing.Self:
        self._background_tasks = [
            asyncio.ensure_future(self._run_dispatch()),
            asyncio.ensure_future(self._sweeper.run(self._run_housekeeping)),
        ]
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self._background_tasks:
            task.cancel()
        await asyncio.gather(*self._background_tasks, return_exceptions=True)
        await self._dispatcher.close()
        await self._housekeeping.close()
        await self._end_handler.close()

    def set_workspaces(
        self, workspaces: collections.abc.Mapping[str, policy.WorkspacePolicy]
    ) -> None:
        """Apply shares and limits; running tasks are not stopped."""
        self._queue.set_workspaces(workspaces)
        self.wake()

    def wake(self) -> None:
        """Request a dispatch pass."""
        self._wake.set()

    def waiting(self) -> int:
        """Return the number of waiting tasks."""
        return self._queue.waiting()

    def waiting_shares(self) -> list[float]:
        """Return, by priority class, the lowest share of waiting workspaces.

        -1.0 stands for a class without any.
        """
        return self._queue.lowest_waiting_shares()

    def activate(
        self,
        number: int,
        journal: typing.Any,
        running: collections.abc.Iterable[model.RunningTask],
        ends: collections.abc.Iterable[model.TaskEnd],
        dispatch_at_ms: int,
    ) -> None:
        """Recover the jobs of a partition and accept new ones.

        ``running`` and ``ends`` are what the holders have reported so far.
        No task of the partition is started before ``dispatch_at_ms`` or a
        call of ``apply_full_inventory``: until then tasks may be running
        that no holder has reported.
        """
        partition = owned_partition.OwnedPartition(number, journal)
        partition.dispatch_at_ms = dispatch_at_ms
        recovery.recover(partition, self._queue, running, self._clock)
        self._partitions[number] = partition
        self._apply_ends(partition, ends)
        for tracked in partition.jobs.values():
            tracked.update_state(self._clock.now_ms())
        if dispatch_at_ms <= self._clock.now_ms():
            self._start_dispatching(partition)

    def apply_full_inventory(
        self,
        number: int,
        running: collections.abc.Iterable[model.RunningTask],
        ends: collections.abc.Iterable[model.TaskEnd],
    ) -> None:
        """Adopt the tasks of a complete inventory and start dispatching."""
        partition = self._partitions.get(number)
        if partition is None or partition.dispatching:
            return
        for task in running:
            recovery.adopt(partition, task, task.holder_id, self._queue)
        self._apply_ends(partition, ends)
        self._start_dispatching(partition)

    def _apply_ends(
        self,
        partition: owned_partition.OwnedPartition,
        ends: collections.abc.Iterable[model.TaskEnd],
    ) -> None:
        for end in ends:
            with log_and_skip.LogAndSkip('end', end.task_id):
                self._end_handler.apply(partition, end)

    def reconcile(
        self,
        number: int,
        running: collections.abc.Iterable[model.RunningTask],
        ends: collections.abc.Iterable[model.TaskEnd],
    ) -> None:
        """Compare started tasks with the inventories of all workers."""
        self._housekeeping.reconcile(number, running, ends)

    def _start_dispatching(
        self, partition: owned_partition.OwnedPartition
    ) -> None:
        unresolved = recovery.find_unresolved_intents(partition)
        for tracked, index, end in unresolved:
            # Counted as running only because the end subtracts it again.
            with log_and_skip.LogAndSkip('end', end.task_id):
                self._queue.add_running(
                    tracked.job.workspace, tracked.job.resources
                )
                self._end_handler.end_attempt(tracked, index, end)
        recovery.enqueue_recovered(partition, self._queue, self._clock)
        partition.dispatching = True
        for tracked in partition.jobs.values():
            tracked.update_state(self._clock.now_ms())
        events.emit(
            coordinator_events.PARTITION_ACTIVE,
            partition=partition.number,
            epoch=partition.epoch,
            jobs=len(partition.jobs),
            unknown_tasks=len(unresolved),
        )
        self.wake()

    async def deactivate(self, number: int, handover: bool) -> None:
        """Stop managing a partition and wake the requests that wait on it.

        Returns once no request to a holder is in flight for the partition.
        At a handover these requests get time to complete; otherwise they
        are cancelled at once.
        """
        partition = self._partitions.get(number)
        if partition is None:
            return
        partition.dispatching = False
        # Keeps housekeeping from starting to dispatch again while requests
        # are drained.
        partition.dispatch_at_ms = _NEVER_MS
        await self._dispatcher.drain(
            number, _HANDOVER_SEND_TIMEOUT_MS if handover else 0
        )
        del self._partitions[number]
        partition.closed = True
        for tracked in partition.jobs.values():
            tracked.closed = True
            self._queue.remove(tracked.job.job_id)
            for _ in tracked.started:
                self._queue.end_running(
                    tracked.job.workspace, tracked.job.resources
                )
            tracked.changed.set()
        for orphan in partition.orphans.values():
            self._queue.end_running(orphan.workspace, orphan.resources)
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
        """Accept a job; submitting the same job id again has no effect.

        Raises ``BadRequest`` if no job can have the fields of this one,
        ``KeyReused`` if the job id was used with another body,
        ``QueueFull``, ``Unschedulable`` or ``LogUnavailable`` if the job
        was not accepted, and ``OutcomeUnknown`` if it may still be.
        """
        partition = self._get_partition(request.partition)
        reason = submitted.check(request.job)
        if reason:
            raise errors.BadRequest(
                f'the job is invalid: {reason}; run compatible versions on '
                'all daemons'
            )
        repeated = await self._admission.accept(partition, request.job)
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
                request.job.workspace,
                request.job.job_id,
                request.wait_ms,
            )
        except errors.BasilspindleError as error:
            # The job was accepted here and may have been started.
            raise errors.restate(
                error, errors.Ran.UNKNOWN, request.job.job_id
            ) from error

    async def view(self, request: messages.View) -> messages.Viewed:
        """Return a job once it has ended or ``wait_ms`` has passed.

        Raises ``NotFound``, or ``NotReady`` if another daemon may know the
        job.
        """
        view = await self._await_end(
            request.partition,
            request.workspace,
            request.job_id,
            request.wait_ms,
        )
        return messages.Viewed(view=view)

    async def _await_end(
        self, number: int, workspace: str, job_id: str, wait_ms: int
    ) -> model.JobView:
        tracked = self._get_job(number, workspace, job_id)
        deadline_ms = self._clock.now_ms() + wait_ms
        while not (tracked.state.final and self._is_certain(number, tracked)):
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                break
            if tracked.state.final:
                left_ms = min(left_ms, _RECORD_POLL_MS)
            with contextlib.suppress(errors.DeadlineExceeded):
                await self._clock.wait_for(tracked.changed.wait(), left_ms)
            tracked = self._get_job(number, workspace, job_id)
        if tracked.state.final and not self._is_certain(number, tracked):
            raise self._unconfirmed_error(number)
        return tracked.view(with_results=True)

    def _is_certain(
        self, number: int, tracked: tracked_job.TrackedJob
    ) -> bool:
        """Tell whether no other owner can take an ended job for open.

        That is so once its end is recorded. While the log does not answer,
        the peers have to confirm that there was no other owner at its end.
        """
        if not tracked.job.durable:
            return True
        entries = self._get_partition(number).journal.state.jobs
        entry = entries.get(tracked.job.job_id)
        if entry is None or entry.state.final:
            return True
        return self._may_start(number, tracked.ended_at_ms)

    async def list_jobs(self, request: messages.ListJobs) -> messages.JobList:
        """List the jobs of a workspace, ordered by id.

        Raises ``NotReady`` while the list may lack jobs.
        """
        partition = self._get_partition(request.partition)
        self._check_confirmed(request.partition)
        job_ids = sorted(
            job_id
            for job_id, tracked in partition.jobs.items()
            if tracked.job.workspace == request.workspace
            and job_id > request.after
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
        tracked = self._get_job(
            request.partition, request.workspace, request.job_id
        )
        if not tracked.state.final and not tracked.cancelled:
            partition = self._get_partition(request.partition)
            if tracked.job.durable:
                await partition.journal.append(
                    journal_package.JobCancelled(job_id=request.job_id),
                    timeout_ms=_CANCEL_TIMEOUT_MS,
                )
            self._cancel_tracked(tracked)
        return messages.Cancelled(view=tracked.view(with_results=True))

    def _cancel_tracked(self, tracked: tracked_job.TrackedJob) -> None:
        tracked.cancelled = True
        self._queue.remove(tracked.job.job_id)
        tracked.end_queued(model.State.CANCELLED, 'cancelled')
        tracked.update_state(self._clock.now_ms())
        self._sweeper.wake()

    def apply_late_records(
        self,
        number: int,
        records: collections.abc.Iterable[journal_package.Record],
    ) -> None:
        """Apply records that were confirmed after their callers gave up.

        Callers were told that the outcome is unknown. The next owner reads
        these records, so this one has to act on them too.
        """
        partition = self._partitions.get(number)
        if partition is None:
            return
        for record in records:
            if isinstance(record, journal_package.JobAccepted):
                job_id = record.job.job_id
                with log_and_skip.LogAndSkip('recover', job_id):
                    recovery.recover_late(
                        partition, job_id, self._queue, self._clock
                    )
            elif isinstance(record, journal_package.JobCancelled):
                tracked = partition.jobs.get(record.job_id)
                if tracked is not None and not tracked.state.final:
                    self._cancel_tracked(tracked)
        self.wake()

    async def report(self, request: messages.Report) -> messages.Reported:
        """Apply the task ends and running tasks that a holder reports.

        Returns once the ends of durable jobs are recorded. Raises
        ``LogError`` if that fails, or ``NotReady`` if running tasks are
        reported and the holder is unknown; the holder then reports again.
        """
        partition = self._get_partition(request.partition)
        # The tasks of a lost holder are ended and started again.
        is_lost = self._holders.is_lost(request.holder_id)
        if not is_lost:
            for task in request.found:
                recovery.adopt(partition, task, request.holder_id, self._queue)
        await self._end_handler.apply_and_record(partition, request.ends)
        if is_lost and request.found:
            raise errors.NotReady(
                'the holder that reports running tasks is not a known member; '
                'report again after the next heartbeat'
            )
        return messages.Reported()

    def _get_partition(self, number: int) -> owned_partition.OwnedPartition:
        partition = self._partitions.get(number)
        if partition is None:
            raise errors.NotOwner(
                f'partition {number} is not active on this daemon; send the '
                'request to the member that owns it'
            )
        return partition

    def _get_job(
        self, number: int, workspace: str, job_id: str
    ) -> tracked_job.TrackedJob:
        tracked = self._get_partition(number).jobs.get(job_id)
        if tracked is None or tracked.job.workspace != workspace:
            self._check_confirmed(number)
            raise errors.NotFound(
                f'workspace {workspace!r} has no job {job_id!r}; list the '
                'jobs to see those that are retained'
            )
        return tracked

    def _check_confirmed(self, number: int) -> None:
        """Raise ``NotReady`` if another daemon may own the partition.

        It may have accepted jobs that are not known here.
        """
        if not self._may_start(number):
            raise self._unconfirmed_error(number)

    def _unconfirmed_error(self, number: int) -> errors.NotReady:
        return errors.NotReady(
            f'the ownership of partition {number} is not confirmed; '
            'retry later'
        )

    async def _run_dispatch(self) -> None:
        while True:
            with contextlib.suppress(errors.DeadlineExceeded):
                await self._clock.wait_for(
                    self._wake.wait(), _DISPATCH_PERIOD_MS
                )
            self._wake.clear()
            try:
                while self._dispatcher.run_pass():
                    # Let the event loop handle replies between passes.
                    await asyncio.sleep(0)
            except Exception as error:
                events.emit(
                    coordinator_events.DISPATCH_FAILED, error=repr(error)
                )
                await self._clock.sleep_ms(_FAILED_PASS_PAUSE_MS)

    def _run_housekeeping(self) -> None:
        now_ms = self._clock.now_ms()
        for partition in list(self._partitions.values()):
            if (
                not partition.dispatching
                and now_ms >= partition.dispatch_at_ms
            ):
                self._start_dispatching(partition)
        self._housekeeping.sweep()

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of the coordinator for the state dump."""
        return {
            'waiting_tasks': self._queue.waiting(),
            'job_ids': [
                job_id
                for partition in self._partitions.values()
                for job_id in partition.jobs
            ][-_MAX_DUMPED_JOB_IDS:],
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
                    'open': partition.dispatching,
                }
                for number, partition in self._partitions.items()
            },
        }
