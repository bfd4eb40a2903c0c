"""Test a coordinator against one holder and a journal that can fail."""

import asyncio
import typing
import unittest

from basilspindle import coordinator
from basilspindle import errors
from basilspindle import journal
from basilspindle import model
from basilspindle.peer import messages
from basilspindle import policy
from tests.standins import manual_clock

HOLDER = 'entry-1@1'
TASK_RESOURCES = model.Resources(1000, 100, 0, 1)


class JournalStandIn:
    """Confirm records at once, or wait for ``gate`` or raise ``error``."""

    def __init__(self, epoch: int = 1) -> None:
        self.epoch = epoch
        self.records: list[typing.Any] = []
        self.state = journal.PartitionState()
        self.error: Exception | None = None
        self.gate: asyncio.Event | None = None

    async def append(self, *records: typing.Any, timeout_ms: int = 0) -> None:
        if self.gate is not None:
            await self.gate.wait()
        if self.error is not None:
            raise self.error
        self.records += records

    def count(self, kind: type) -> int:
        return sum(isinstance(record, kind) for record in self.records)


class HoldersStandIn:
    """Simulate one holder with ``slots`` slots; record every start."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running: dict[tuple[str, int], model.TaskOrder] = {}
        self.held: dict[tuple[str, int], model.TaskOrder] = {}
        self.started: list[tuple[str, int]] = []
        self.stopped: list[tuple[str, int]] = []
        self.requests: list[messages.Place] = []
        self.lost = False
        self.heard_since_ms = -(1 << 62)
        self.place_error: Exception | None = None
        self.commit_error: Exception | None = None
        self.lose_next_answer = False

    def rooms(self):
        if self.lost:
            return
        free_slots = self.slots - len(self.running) - len(self.held)
        free = model.Resources(
            free_slots * 1000, free_slots * 100, 0, free_slots
        )
        largest_worker = model.Resources(8000, 8000, 0, 8)
        yield (
            HOLDER,
            messages.Room(
                workers=1,
                free=free,
                largest=free,
                total=model.Resources(8000, 800, 0, self.slots),
                largest_total=largest_worker,
            ),
            free_slots,
        )

    def is_lost(self, holder_id: str) -> bool:
        return self.lost

    def all_heard_since_ms(self) -> int:
        return self.heard_since_ms

    def lowest_waiting_shares(self):
        return [-1.0, -1.0, -1.0]

    async def place(self, holder_id, request):
        self.requests.append(request)
        if self.place_error is not None:
            raise self.place_error
        tasks = self.held if request.hold else self.running
        placements = [self._put(order, tasks) for order in request.orders]
        if self.lose_next_answer:
            self.lose_next_answer = False
            raise errors.PeerOutcomeUnknown('the answer was lost')
        return messages.Placed(placements=placements)

    def _put(self, order, tasks):
        key = order.task_id, order.attempt
        if key not in tasks:
            if len(self.running) + len(self.held) >= self.slots:
                return messages.Placement(
                    task_id=key[0], attempt=key[1], reason='no_room'
                )
            tasks[key] = order
            if tasks is self.running:
                self.started.append(key)
        return messages.Placement(
            task_id=key[0],
            attempt=key[1],
            worker_id='worker-1',
            failure_domain='fd1',
            rack='r1',
        )

    async def commit(self, holder_id, request):
        if self.commit_error is not None:
            raise self.commit_error
        for key in request.tasks:
            self.running[key] = self.held.pop(key)
            self.started.append(key)
        return messages.Committed(
            placements=[
                messages.Placement(
                    task_id=key[0], attempt=key[1], worker_id='worker-1'
                )
                for key in request.tasks
            ]
        )

    async def drop(self, holder_id, request):
        for key in request.tasks:
            self.held.pop(key, None)

    async def stop(self, holder_id, request):
        self.stopped += request.tasks
        return messages.Stopping(unknown_tasks=[])


class CoordinatorCase(unittest.IsolatedAsyncioTestCase):
    """Set up a coordinator for workspaces red and blue with one holder."""

    slots = 8

    async def asyncSetUp(self):
        self.clock = manual_clock.ManualClock()
        self.holders = HoldersStandIn(self.slots)
        self.journal = JournalStandIn()
        self.assured = True
        self.confirmed_at_ms = 1 << 62
        self.key_valid = True
        self.timing = coordinator.Timing()
        self.coordinator = coordinator.Coordinator(
            self.clock,
            self.holders,
            self.timing,
            lambda partition, since_ms=0: (
                self.assured and since_ms <= self.confirmed_at_ms
            ),
            lambda job: self.key_valid,
        )
        self.set_limit(-1)
        await self.coordinator.__aenter__()
        self.addAsyncCleanup(self.coordinator.__aexit__)

    def set_limit(self, tasks: int, queued: int = 1000) -> None:
        self.coordinator.set_workspaces(
            {
                'red': policy.WorkspacePolicy(
                    limit_tasks=tasks, max_queued_tasks=queued
                ),
                'blue': policy.WorkspacePolicy(),
            }
        )

    def activate(self, running=(), ends=(), dispatch_in_ms=0):
        self.coordinator.activate(
            0,
            self.journal,
            running,
            ends,
            self.clock.now_ms() + dispatch_in_ms,
        )

    def job(self, job_id='j1', **changes: typing.Any) -> model.Job:
        fields: dict[str, typing.Any] = {
            'job_id': job_id,
            'workspace': 'red',
            'queue': 'default',
            'kind': 'report',
            'priority': model.Priority.BATCH,
            'tasks': 1,
            'resources': TASK_RESOURCES,
            'run_time_ms': 1000,
            'deadline_ms': 0,
            'gang': False,
            'service': False,
            'idempotent': True,
            'durable': False,
            'max_attempts': 3,
            'input': b'null',
            'key_id': 'red',
            'body_hash': 'h1',
            'submitted_wall_ms': self.clock.wall_ms(),
        }
        return model.Job(**{**fields, **changes})

    def running_task(self, task_id: str, attempt: int = 7, **changes):
        """Build a running task of an earlier owner, as a holder reports it."""
        fields = {
            'task_id': task_id,
            'attempt': attempt,
            'job_id': task_id.rpartition('/')[0],
            'index': 0,
            'workspace': 'red',
            'kind': 'report',
            'partition': 0,
            'worker_id': 'worker-9',
            'failure_domain': 'fd1',
            'rack': 'r1',
            'resources': TASK_RESOURCES,
            'holder_id': HOLDER,
        }
        return model.RunningTask(**{**fields, **changes})

    async def submit(self, job: model.Job) -> messages.Submitted:
        reply = await self.coordinator.submit(
            messages.Submit(partition=0, job=job)
        )
        await self.step()
        return reply

    async def step(self, duration_ms: int = 200) -> None:
        await self.clock.advance_ms(duration_ms)

    async def end(self, key, state=model.State.SUCCEEDED, **changes):
        order = self.holders.running.pop(key, None)
        fields = {
            'task_id': key[0],
            'attempt': key[1],
            'workspace': order.workspace if order else 'red',
            'partition': 0,
            'worker_id': 'worker-1',
            'state': state,
            'result': b'1',
        }
        await self.coordinator.report(
            messages.Report(
                holder_id=HOLDER,
                partition=0,
                ends=[model.TaskEnd(**{**fields, **changes})],
            )
        )
        await self.step()

    async def view(self, job_id='j1', workspace='red') -> model.JobView:
        reply = await self.coordinator.view(
            messages.View(partition=0, workspace=workspace, job_id=job_id)
        )
        return reply.view
