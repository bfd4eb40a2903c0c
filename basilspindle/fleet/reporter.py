"""Report tasks to the owners of their partitions until they confirm."""

import asyncio
import collections.abc

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.fleet import allocation as allocation_module
from basilspindle.fleet import events as fleet_events
from basilspindle.fleet import settings as settings_module
from basilspindle import model

Report = collections.abc.Callable[
    [int, list[model.TaskEnd], list[model.RunningTask]],
    collections.abc.Awaitable[bool],
]
OnConfirmed = collections.abc.Callable[[list[model.TaskEnd]], None]

_MAX_BATCH_REPORTS = 500
_MAX_BATCH_BYTES = 1 << 20
_FIRST_RETRY_MS = 100


class _Pending:
    """Reports that the owner of one partition has not confirmed.

    ``found`` holds tasks that were found running on a worker.
    """

    __slots__ = ('ends', 'found', 'task')

    def __init__(self) -> None:
        self.ends: dict[allocation_module.AttemptKey, model.TaskEnd] = {}
        self.found: dict[allocation_module.AttemptKey, model.RunningTask] = {}
        self.task: asyncio.Task[None] | None = None

    def batch(self) -> tuple[list[model.TaskEnd], list[model.RunningTask]]:
        ends, size = [], 0
        for end in self.ends.values():
            size += len(end.result)
            if ends and (
                len(ends) >= _MAX_BATCH_REPORTS or size > _MAX_BATCH_BYTES
            ):
                break
            ends.append(end)
        return ends, list(self.found.values())[:_MAX_BATCH_REPORTS]

    def confirm(
        self, ends: list[model.TaskEnd], found: list[model.RunningTask]
    ) -> None:
        for end in ends:
            key = end.task_id, end.attempt
            if self.ends.get(key) is end:
                del self.ends[key]
        for task in found:
            self.found.pop((task.task_id, task.attempt), None)


class Reporter:
    """Send reports, with one batch in flight per partition.

    Reports are the ends of tasks and the tasks that were found running on
    a worker. They are sent again until the owner confirms them.
    """

    __slots__ = ('_clock', '_report', '_settings', '_on_confirmed', '_pending')

    def __init__(
        self,
        clock: clock_module.Clock,
        report: Report,
        settings: settings_module.FleetSettings,
        on_confirmed: OnConfirmed,
    ) -> None:
        self._clock = clock
        self._report = report
        self._settings = settings
        self._on_confirmed = on_confirmed
        self._pending: dict[int, _Pending] = {}

    async def close(self) -> None:
        """Stop sending; workers keep the results of unconfirmed ends."""
        tasks = [p.task for p in self._pending.values() if p.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def report_end(self, end: model.TaskEnd) -> None:
        """Queue the end of a task; replaces a report that it runs."""
        pending = self._pending_reports(end.partition)
        key = end.task_id, end.attempt
        pending.found.pop(key, None)
        pending.ends[key] = end
        self._ensure_sending(end.partition, pending)

    def report_running(self, task: model.RunningTask) -> None:
        """Queue a task that was found running on a worker."""
        pending = self._pending_reports(task.partition)
        pending.found[task.task_id, task.attempt] = task
        self._ensure_sending(task.partition, pending)

    def unconfirmed_ends(self, partition: int) -> list[model.TaskEnd]:
        """Return the unconfirmed ends of a partition."""
        pending = self._pending.get(partition)
        return list(pending.ends.values()) if pending else []

    @property
    def idle(self) -> bool:
        """Return whether all reports are confirmed."""
        return not any(p.ends or p.found for p in self._pending.values())

    def unconfirmed_counts(self) -> dict[int, int]:
        """Return the number of unconfirmed reports by partition."""
        return {
            partition: len(p.ends) + len(p.found)
            for partition, p in self._pending.items()
            if p.ends or p.found
        }

    def _pending_reports(self, partition: int) -> _Pending:
        return self._pending.setdefault(partition, _Pending())

    def _ensure_sending(self, partition: int, pending: _Pending) -> None:
        if pending.task is None or pending.task.done():
            pending.task = asyncio.ensure_future(
                self._send_all(partition, pending)
            )

    async def _send_all(self, partition: int, pending: _Pending) -> None:
        retry_ms = _FIRST_RETRY_MS
        while pending.ends or pending.found:
            ends, found = pending.batch()
            if await self._send(partition, ends, found):
                pending.confirm(ends, found)
                self._on_confirmed(ends)
                retry_ms = _FIRST_RETRY_MS
                continue
            await self._clock.sleep_ms(retry_ms)
            retry_ms = min(2 * retry_ms, self._settings.retry_max_ms)

    async def _send(
        self,
        partition: int,
        ends: list[model.TaskEnd],
        found: list[model.RunningTask],
    ) -> bool:
        try:
            return await self._report(partition, ends, found)
        except errors.BasilspindleError as fault:
            events.emit(
                fleet_events.REPORT_FAILED,
                partition=partition,
                ends=len(ends),
                error=fault.kind,
            )
        except Exception as fault:
            # An unexpected error must not end the retries: workers
            # discard a result only after its report was confirmed.
            events.emit(
                fleet_events.REPORT_FAILED,
                partition=partition,
                ends=len(ends),
                error=repr(fault),
            )
        return False
