"""Guard the counts of FairQueue under any sequence of calls."""

import collections

from hypothesis import stateful
from hypothesis import strategies

from basilspindle import model
from basilspindle import policy
from tests import soak

_WORKSPACES = ('blue', 'red', 'green')
_SHAPES = (
    model.Resources(1_000, 1_000, 0, 1),
    model.Resources(4_000, 2_000, 0, 1),
    model.Resources(1_000, 8_000, 1, 1),
)
_TOTAL = model.Resources(64_000, 64_000, 4, 32)


class QueueMachine(stateful.RuleBasedStateMachine):
    """Compare the queue with a model that counts every task."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.queue = policy.FairQueue(gang_wait_ms=500)
        self.queue.set_fleet_resources(_TOTAL)
        self.limits = {}
        self.set_limits(12, 20_000)
        self.jobs = {}
        self.waiting = collections.Counter()
        self.in_flight = collections.Counter()
        self.running = []
        self.due_ms = {}
        self.removed = set()

    @stateful.rule(
        tasks=strategies.integers(0, 20),
        cpu=strategies.sampled_from([-1, 0, 6_000, 20_000]),
    )
    def set_limits(self, tasks, cpu):
        limit = model.Resources(cpu, -1, -1, -1)
        self.limits = {
            'blue': policy.WorkspacePolicy(limit_tasks=tasks),
            'red': policy.WorkspacePolicy(limit=limit, share=2.0),
            'green': policy.WorkspacePolicy(),
        }
        self.queue.set_workspaces(self.limits)

    @stateful.rule(
        workspace=strategies.sampled_from(_WORKSPACES),
        priority=strategies.sampled_from(list(model.Priority)),
        shape=strategies.sampled_from(_SHAPES),
        count=strategies.integers(1, 6),
        gang=strategies.booleans(),
        deadline_ms=strategies.sampled_from([0, 300]),
        run_time_ms=strategies.sampled_from([0, 100, 10_000]),
    )
    def push(
        self, workspace, priority, shape, count, gang, deadline_ms, run_time_ms
    ):
        job_id = f'job-{len(self.jobs)}'
        self.jobs[job_id] = (workspace, shape, count if gang else 0)
        self.queue.push(
            job_id,
            workspace,
            priority,
            shape,
            count,
            gang,
            self.now_ms,
            deadline_ms,
            run_time_ms=run_time_ms,
        )
        self.waiting[job_id] += count
        if deadline_ms:
            self.due_ms[job_id] = self.now_ms + deadline_ms

    @stateful.rule(
        most=strategies.integers(1, 8),
        full=strategies.sets(strategies.sampled_from(_SHAPES)),
        room=strategies.integers(0, 9),
        floor=strategies.sampled_from([None, 0.0, 0.5]),
    )
    def pop(self, most, full, room, floor):
        picks = self.queue.pop(
            self.now_ms,
            most,
            is_blocked=lambda shape: shape in full,
            shares_elsewhere=None if floor is None else [-1.0, floor, -1.0],
            room_for=lambda shape: room,
        )
        for pick in picks:
            self._count(pick)
            assert pick.resources not in full
        for name, workspace in self.limits.items():
            if any(pick.workspace == name for pick in picks):
                self._check_limits(name, workspace)

    def _count(self, pick):
        workspace, shape, gang_tasks = self.jobs[pick.job_id]
        assert (workspace, shape) == (pick.workspace, pick.resources)
        assert pick.count in (gang_tasks, self.waiting[pick.job_id]) or (
            not pick.gang and pick.count <= self.waiting[pick.job_id]
        )
        self.waiting[pick.job_id] -= pick.count
        self.in_flight[pick.job_id] += pick.count
        self.running.extend([(pick.job_id, workspace, shape)] * pick.count)

    def _check_limits(self, name, workspace):
        running = self.queue.running(name)
        if workspace.limit_tasks >= 0:
            assert self.queue.running_tasks(name) <= workspace.limit_tasks
        if workspace.limit is not None and workspace.limit.cpu_millicores >= 0:
            assert running.cpu_millicores <= workspace.limit.cpu_millicores

    @stateful.precondition(lambda self: +self.in_flight)
    @stateful.rule(data=strategies.data(), removed=strategies.booleans())
    def give_back(self, data, removed):
        job_id = data.draw(strategies.sampled_from(sorted(+self.in_flight)))
        count = data.draw(strategies.integers(1, self.in_flight[job_id]))
        workspace, shape, gang_tasks = self.jobs[job_id]
        if gang_tasks and self.in_flight[job_id] == gang_tasks:
            count = data.draw(strategies.sampled_from([count, gang_tasks]))
        if removed:
            self.remove(data, job_id)
        back = self.queue.requeue(job_id, count, self.now_ms)
        assert back == (0 if job_id in self.removed else count)
        self.in_flight[job_id] -= count
        self.waiting[job_id] += back
        for _ in range(count):
            self.running.remove((job_id, workspace, shape))

    def _confirm(self, job_id):
        self.queue.confirm(job_id, self.in_flight[job_id])
        self.in_flight[job_id] = 0

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data(), again=strategies.booleans())
    def end(self, data, again):
        task = data.draw(strategies.sampled_from(self.running))
        job_id, workspace, shape = task
        self._confirm(job_id)
        self.running.remove(task)
        self.queue.end_running(workspace, shape)
        if again and job_id not in self.removed:
            priority = model.Priority.BATCH
            self.queue.push(
                job_id, workspace, priority, shape, 1, False, self.now_ms, 0
            )
            self.jobs[job_id] = (workspace, shape, 0)
            self.due_ms.pop(job_id, None)
            self.waiting[job_id] += 1

    @stateful.precondition(lambda self: self.jobs)
    @stateful.rule(data=strategies.data())
    def remove(self, data, job_id=None):
        job_id = job_id or data.draw(strategies.sampled_from(list(self.jobs)))
        assert self.queue.remove(job_id) == self.waiting[job_id]
        self.waiting[job_id] = 0
        self.removed.add(job_id)

    @stateful.rule(step_ms=strategies.integers(0, 400))
    def expire(self, step_ms):
        self.now_ms += step_ms
        for job_id, count in self.queue.remove_expired(self.now_ms):
            self.waiting[job_id] -= count
            assert self.waiting[job_id] >= 0
        for job_id, due_ms in self.due_ms.items():
            assert due_ms > self.now_ms or not self.waiting[job_id]

    @stateful.invariant()
    def counts_agree(self):
        assert self.queue.waiting() == sum(self.waiting.values())
        for name in _WORKSPACES:
            tasks = [
                shape
                for _, workspace, shape in self.running
                if workspace == name
            ]
            total = model.Resources()
            for shape in tasks:
                total = total.add(shape)
            assert self.queue.running_tasks(name) == len(tasks)
            assert self.queue.running(name) == total

    def teardown(self):
        """Guard against a waiting task that can never be popped."""
        for job_id, workspace, shape in self.running:
            self.queue.end_running(workspace, shape)
        self.queue.set_workspaces(
            dict.fromkeys(_WORKSPACES, policy.WorkspacePolicy())
        )
        left = collections.Counter()
        for pick in self.queue.pop(self.now_ms, 1_000_000):
            left[pick.job_id] += pick.count
        assert left == +self.waiting


QueueTest = QueueMachine.TestCase
QueueTest.settings = soak.settings(150, stateful_step_count=40)
