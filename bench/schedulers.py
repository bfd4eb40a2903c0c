"""Schedulers for the simulation: the policy package and two baselines."""

import collections
import random
import time

from basilspindle import model
from basilspindle import policy
from basilspindle.policy import usage_estimate
from bench import workload

_MAX_PICKED_TASKS = 16
_GANG_RETRY_DELAY_MS = 1_000

Start = tuple[workload.SimulatedJob, str]


def _task_order(job, resources, siblings):
    return model.TaskOrder(
        task_id=job.job_id,
        attempt=1,
        job_id=job.job_id,
        index=0,
        workspace=job.workspace,
        kind=job.kind,
        priority=job.priority,
        resources=resources,
        run_time_ms=job.declared_run_ms,
        idempotent=True,
        service=job.priority == model.Priority.SERVICE,
        input=b'',
        partition=0,
        partition_epoch=1,
        siblings=siblings,
    )


class PolicyScheduler:
    """Schedules with FairQueue, Placer and UsageEstimate together."""

    name = 'core'

    def __init__(
        self,
        scenario,
        rng: random.Random,
        min_declared_fraction: float = usage_estimate.MIN_DECLARED_FRACTION,
        **queue_options,
    ) -> None:
        self._queue = policy.FairQueue(**queue_options)
        self._queue.set_workspaces(scenario.workspaces)
        self._queue.set_fleet_resources(scenario.total_resources())
        self._placer = policy.Placer()
        for view in scenario.worker_views():
            self._placer.add(view)
        self._max_worker_resources = self._placer.room().largest
        self._min_declared_fraction = min_declared_fraction
        self._estimates = {}
        self._jobs = {}
        self._sibling_counts = collections.defaultdict(dict)
        self.decision_times_ns = []
        self.total_decision_ns = 0

    def _usage_estimate(self, job):
        key = job.workspace, job.kind
        estimate = self._estimates.get(key)
        if estimate is None:
            estimate = policy.UsageEstimate(
                min_declared_fraction=self._min_declared_fraction
            )
            self._estimates[key] = estimate
        return estimate

    def submit(self, job: workload.SimulatedJob, now_ms: int) -> None:
        """Queue a job."""
        self._jobs[job.job_id] = job
        estimate = self._usage_estimate(job)
        self._queue.push(
            job.job_id,
            job.workspace,
            job.priority,
            estimate.resources(
                job.declared_resources, self._max_worker_resources
            ),
            len(job.task_run_ms),
            job.gang,
            now_ms,
            0,
            run_time_ms=estimate.run_time_ms(job.declared_run_ms),
        )

    def report(self, job: workload.SimulatedJob, run_ms: int) -> None:
        """Update the usage estimate with the actual usage of an ended task."""
        self._usage_estimate(job).observe(
            job.actual_resources, run_ms, declared=job.declared_resources
        )

    def end(self, job, worker_id, resources) -> None:
        """Release the resources of an ended task."""
        start_ns = time.perf_counter_ns()
        self._placer.release(worker_id, resources, job.job_id)
        self._queue.end_running(job.workspace, resources)
        self.total_decision_ns += time.perf_counter_ns() - start_ns

    def _is_blocked(self, resources) -> bool:
        return not self._placer.fits(resources)

    def _count_fitting_tasks(self, resources) -> int:
        return sum(
            min(
                view.free.cpu_millicores // max(1, resources.cpu_millicores),
                view.free.memory_mb // max(1, resources.memory_mb),
                view.free.slots // max(1, resources.slots),
            )
            for view in self._placer.views.values()
            if resources.fits(view.free)
        )

    def decide(self, now_ms: int) -> list[tuple]:
        """Place waiting tasks; return (job, worker id, resources) of each."""
        started = []
        while True:
            start_ns = time.perf_counter_ns()
            picks = self._queue.pop(
                now_ms,
                _MAX_PICKED_TASKS,
                is_blocked=self._is_blocked,
                room_for=self._count_fitting_tasks,
            )
            pop_ns = time.perf_counter_ns() - start_ns
            self.total_decision_ns += pop_ns
            for pick in picks:
                started += self._place(pick, now_ms, pop_ns)
            if sum(pick.count for pick in picks) < _MAX_PICKED_TASKS:
                return started

    def _place(self, pick, now_ms, pop_ns):
        job = self._jobs[pick.job_id]
        placed = []
        for _ in range(pick.count):
            start_ns = time.perf_counter_ns()
            siblings = self._sibling_counts[job.job_id]
            order = _task_order(job, pick.resources, siblings)
            view = self._placer.choose(order)
            if view is not None:
                self._placer.allocate(
                    view.worker_id, pick.resources, job.job_id
                )
                if order.service:
                    for place in (view.failure_domain, view.rack):
                        siblings[place] = siblings.get(place, 0) + 1
            spent_ns = time.perf_counter_ns() - start_ns
            self.total_decision_ns += spent_ns
            self.decision_times_ns.append(spent_ns + pop_ns)
            if view is None:
                break
            placed.append((job, view.worker_id, pick.resources))
        if len(placed) == pick.count:
            return placed
        if pick.gang:
            for _, worker_id, resources in placed:
                self._placer.release(worker_id, resources, job.job_id)
            wait_ms = _GANG_RETRY_DELAY_MS
            self._queue.requeue(
                job.job_id, pick.count, now_ms, wait_ms=wait_ms
            )
            return []
        missing = pick.count - len(placed)
        self._queue.requeue(job.job_id, missing, now_ms)
        return placed


class _Baseline:
    """Worker views, workspace limits and timings of both baselines."""

    def __init__(self, scenario, rng: random.Random) -> None:
        self._views_by_id = {
            view.worker_id: view for view in scenario.worker_views()
        }
        self._views = list(self._views_by_id.values())
        self._rng = rng
        self._task_limits = {
            name: workspace.limit_tasks
            for name, workspace in scenario.workspaces.items()
        }
        self._running_tasks = collections.Counter()
        self._held_back = collections.defaultdict(collections.deque)
        self.decision_times_ns = []
        self.total_decision_ns = 0

    def report(self, job, run_ms) -> None:
        """Ignore the actual usage: the baselines use declared resources."""

    def _below_limit(self, workspace) -> bool:
        limit = self._task_limits[workspace]
        return limit < 0 or self._running_tasks[workspace] < limit

    def _allocate(self, view, job):
        view.free = view.free.subtract(job.declared_resources)
        self._running_tasks[job.workspace] += 1

    def _release(self, job, worker_id):
        view = self._views_by_id[worker_id]
        view.free = view.free.add(job.declared_resources)
        self._running_tasks[job.workspace] -= 1


class FirstFit(_Baseline):
    """Schedules jobs in order of arrival on the first worker that fits.

    Tasks of a workspace at its task limit are held back until one of its
    tasks ends, so that limits apply as in PolicyScheduler.
    """

    name = 'first_fit'

    def __init__(self, scenario, rng) -> None:
        super().__init__(scenario, rng)
        self._waiting_jobs = collections.deque()

    def submit(self, job, now_ms) -> None:
        """Queue a gang as a whole and the tasks of other jobs one by one."""
        tasks = len(job.task_run_ms)
        self._waiting_jobs.extend(
            [(job, tasks)] if job.gang else [(job, 1)] * tasks
        )

    def end(self, job, worker_id, resources) -> None:
        """Release the resources of an ended task."""
        self._release(job, worker_id)
        if self._held_back[job.workspace]:
            self._waiting_jobs.appendleft(
                self._held_back[job.workspace].popleft()
            )

    def decide(self, now_ms):
        """Place tasks from the head of the queue until one does not fit."""
        started = []
        while self._waiting_jobs:
            start_ns = time.perf_counter_ns()
            job, count = self._waiting_jobs[0]
            if not self._below_limit(job.workspace):
                self._held_back[job.workspace].append(
                    self._waiting_jobs.popleft()
                )
                continue
            placed = self._place(job, count)
            if placed:
                self._waiting_jobs.popleft()
                started += placed
            spent_ns = time.perf_counter_ns() - start_ns
            self.total_decision_ns += spent_ns
            self.decision_times_ns += [spent_ns] * max(1, len(placed))
            if not placed:
                break
        return started

    def _place(self, job, count):
        placed = []
        for view in self._views:
            while len(placed) < count and job.declared_resources.fits(
                view.free
            ):
                self._allocate(view, job)
                placed.append((job, view.worker_id, job.declared_resources))
            if len(placed) == count:
                return placed
        for _, worker_id, _ in placed:
            self._release(job, worker_id)
        return []


class TwoChoices(_Baseline):
    """Sends each task to the shorter queue of two random workers.

    Tasks of a gang are placed one by one.
    """

    name = 'two_choices'

    def __init__(self, scenario, rng) -> None:
        super().__init__(scenario, rng)
        self._queues = {
            name: collections.deque() for name in self._views_by_id
        }
        self._assigned_tasks = collections.Counter()
        self._changed_queues = set()

    def submit(self, job, now_ms) -> None:
        """Queue each task at a worker that is large enough for it."""
        for _ in job.task_run_ms:
            start_ns = time.perf_counter_ns()
            candidates = []
            while len(candidates) < 2:
                view = self._rng.choice(self._views)
                if job.declared_resources.fits(view.total):
                    candidates.append(view.worker_id)
            shortest = min(candidates, key=self._assigned_tasks.__getitem__)
            self._assigned_tasks[shortest] += 1
            self._queues[shortest].append(job)
            self._changed_queues.add(shortest)
            spent_ns = time.perf_counter_ns() - start_ns
            self.total_decision_ns += spent_ns
            self.decision_times_ns.append(spent_ns)

    def end(self, job, worker_id, resources) -> None:
        """Release the resources of an ended task."""
        self._release(job, worker_id)
        self._assigned_tasks[worker_id] -= 1
        self._changed_queues.add(worker_id)
        if self._held_back[job.workspace]:
            other_id, held_back = self._held_back[job.workspace].popleft()
            self._queues[other_id].appendleft(held_back)
            self._changed_queues.add(other_id)

    def decide(self, now_ms):
        """Place tasks from the heads of the queues that have changed."""
        started = []
        for worker_id in sorted(self._changed_queues):
            queue = self._queues[worker_id]
            view = self._views_by_id[worker_id]
            while queue and queue[0].declared_resources.fits(view.free):
                job = queue.popleft()
                if not self._below_limit(job.workspace):
                    self._held_back[job.workspace].append((worker_id, job))
                    continue
                self._allocate(view, job)
                started.append((job, worker_id, job.declared_resources))
        self._changed_queues.clear()
        return started
