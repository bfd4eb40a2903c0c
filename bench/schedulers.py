"""Schedule simulated work: the policy core and two baselines."""

import collections
import random
import time

from basilspindle import model
from basilspindle import policy
from basilspindle.policy import usage_estimate
from bench import workload

_BATCH_SIZE = 16
_GANG_RETRY_MS = 1_000

Start = tuple[workload.SimulatedJob, str]


def _orders(job, resources, siblings):
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
    """FairQueue, Placer and UsageEstimate together."""

    name = 'core'

    def __init__(
        self,
        site,
        rng: random.Random,
        floor: float = usage_estimate.MIN_DECLARED_FRACTION,
        **options,
    ) -> None:
        self._queue = policy.FairQueue(**options)
        self._queue.set_workspaces(site.workspaces)
        self._queue.set_fleet_resources(site.total_resources())
        self._placer = policy.Placer()
        for view in site.worker_views():
            self._placer.add(view)
        self._largest = self._placer.room().largest
        self._floor = floor
        self._estimates = {}
        self._jobs = {}
        self._siblings = collections.defaultdict(dict)
        self.decision_ns = []
        self.total_decision_ns = 0

    def _estimate(self, job):
        key = job.workspace, job.kind
        estimate = self._estimates.get(key)
        if estimate is None:
            estimate = policy.UsageEstimate(min_declared_fraction=self._floor)
            self._estimates[key] = estimate
        return estimate

    def submit(self, job: workload.SimulatedJob, now_ms: int) -> None:
        """Queue a job."""
        self._jobs[job.job_id] = job
        estimate = self._estimate(job)
        self._queue.push(
            job.job_id,
            job.workspace,
            job.priority,
            estimate.resources(job.declared_resources, self._largest),
            len(job.task_run_ms),
            job.gang,
            now_ms,
            0,
            run_time_ms=estimate.run_time_ms(job.declared_run_ms),
        )

    def report(self, job: workload.SimulatedJob, run_ms: int) -> None:
        """Take in a usage report, some time after the task ended."""
        self._estimate(job).observe(
            job.actual_resources, run_ms, declared=job.declared_resources
        )

    def end(self, job, worker_id, resources) -> None:
        """Count a task as ended."""
        begun_ns = time.perf_counter_ns()
        self._placer.release(worker_id, resources, job.job_id)
        self._queue.end_running(job.workspace, resources)
        self.total_decision_ns += time.perf_counter_ns() - begun_ns

    def _blocked(self, resources) -> bool:
        return not self._placer.fits(resources)

    def _room_for(self, resources) -> int:
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
        """Start what may start; return (job, worker id, resources)."""
        started = []
        while True:
            begun_ns = time.perf_counter_ns()
            picks = self._queue.pop(
                now_ms,
                _BATCH_SIZE,
                is_blocked=self._blocked,
                room_for=self._room_for,
            )
            pop_ns = time.perf_counter_ns() - begun_ns
            self.total_decision_ns += pop_ns
            for pick in picks:
                started += self._place(pick, now_ms, pop_ns)
            if sum(pick.count for pick in picks) < _BATCH_SIZE:
                return started

    def _place(self, pick, now_ms, pop_ns):
        job = self._jobs[pick.job_id]
        done = []
        for _ in range(pick.count):
            begun_ns = time.perf_counter_ns()
            siblings = self._siblings[job.job_id]
            order = _orders(job, pick.resources, siblings)
            view = self._placer.choose(order)
            if view is not None:
                self._placer.allocate(
                    view.worker_id, pick.resources, job.job_id
                )
                if order.service:
                    for name in (view.failure_domain, view.rack):
                        siblings[name] = siblings.get(name, 0) + 1
            spent_ns = time.perf_counter_ns() - begun_ns
            self.total_decision_ns += spent_ns
            self.decision_ns.append(spent_ns + pop_ns)
            if view is None:
                break
            done.append((job, view.worker_id, pick.resources))
        if len(done) == pick.count:
            return done
        if pick.gang:
            for _, worker_id, resources in done:
                self._placer.release(worker_id, resources, job.job_id)
            wait_ms = _GANG_RETRY_MS
            self._queue.requeue(
                job.job_id, pick.count, now_ms, wait_ms=wait_ms
            )
            return []
        missing = pick.count - len(done)
        self._queue.requeue(job.job_id, missing, now_ms)
        return done


class _Baseline:
    """Views, limits and clocks that both baselines share."""

    def __init__(self, site, rng: random.Random) -> None:
        self._views = {view.worker_id: view for view in site.worker_views()}
        self._order = list(self._views.values())
        self._rng = rng
        self._limits = {
            name: workspace.limit_tasks
            for name, workspace in site.workspaces.items()
        }
        self._running = collections.Counter()
        self._parked = collections.defaultdict(collections.deque)
        self.decision_ns = []
        self.total_decision_ns = 0

    def report(self, job, run_ms) -> None:
        """Ignore usage."""

    def _allowed(self, workspace) -> bool:
        limit = self._limits[workspace]
        return limit < 0 or self._running[workspace] < limit

    def _take(self, view, job):
        view.free = view.free.subtract(job.declared_resources)
        self._running[job.workspace] += 1

    def _give(self, job, worker_id):
        view = self._views[worker_id]
        view.free = view.free.add(job.declared_resources)
        self._running[job.workspace] -= 1


class FirstFit(_Baseline):
    """First come, first served; the first worker with room.

    Workspaces at their upper limit are passed over, as for the core.
    """

    name = 'first_fit'

    def __init__(self, site, rng) -> None:
        super().__init__(site, rng)
        self._waiting = collections.deque()

    def submit(self, job, now_ms) -> None:
        """Queue a job at the end."""
        size = len(job.task_run_ms)
        self._waiting.extend([(job, size)] if job.gang else [(job, 1)] * size)

    def end(self, job, worker_id, resources) -> None:
        """Count a task as ended."""
        self._give(job, worker_id)
        if self._parked[job.workspace]:
            self._waiting.appendleft(self._parked[job.workspace].popleft())

    def decide(self, now_ms):
        """Start from the head of the queue until one does not fit."""
        started = []
        while self._waiting:
            begun_ns = time.perf_counter_ns()
            job, count = self._waiting[0]
            if not self._allowed(job.workspace):
                self._parked[job.workspace].append(self._waiting.popleft())
                continue
            placed = self._fit(job, count)
            if placed:
                self._waiting.popleft()
                started += placed
            spent_ns = time.perf_counter_ns() - begun_ns
            self.total_decision_ns += spent_ns
            self.decision_ns += [spent_ns] * max(1, len(placed))
            if not placed:
                break
        return started

    def _fit(self, job, count):
        placed = []
        for view in self._order:
            while len(placed) < count and job.declared_resources.fits(
                view.free
            ):
                self._take(view, job)
                placed.append((job, view.worker_id, job.declared_resources))
            if len(placed) == count:
                return placed
        for _, worker_id, _ in placed:
            self._give(job, worker_id)
        return []


class TwoChoices(_Baseline):
    """Each task joins the shorter queue of two random workers.

    Tasks of a gang are placed one by one.
    """

    name = 'two_choices'

    def __init__(self, site, rng) -> None:
        super().__init__(site, rng)
        self._queues = {name: collections.deque() for name in self._views}
        self._load = collections.Counter()
        self._touched = set()

    def submit(self, job, now_ms) -> None:
        """Send each task to a worker's queue."""
        for _ in job.task_run_ms:
            begun_ns = time.perf_counter_ns()
            able = []
            while len(able) < 2:
                view = self._rng.choice(self._order)
                if job.declared_resources.fits(view.total):
                    able.append(view.worker_id)
            best = min(able, key=self._load.__getitem__)
            self._load[best] += 1
            self._queues[best].append(job)
            self._touched.add(best)
            spent_ns = time.perf_counter_ns() - begun_ns
            self.total_decision_ns += spent_ns
            self.decision_ns.append(spent_ns)

    def end(self, job, worker_id, resources) -> None:
        """Count a task as ended."""
        self._give(job, worker_id)
        self._load[worker_id] -= 1
        self._touched.add(worker_id)
        if self._parked[job.workspace]:
            other, parked = self._parked[job.workspace].popleft()
            self._queues[other].appendleft(parked)
            self._touched.add(other)

    def decide(self, now_ms):
        """Start the heads of the queues that changed."""
        started = []
        for worker_id in sorted(self._touched):
            queue = self._queues[worker_id]
            view = self._views[worker_id]
            while queue and queue[0].declared_resources.fits(view.free):
                job = queue.popleft()
                if not self._allowed(job.workspace):
                    self._parked[job.workspace].append((worker_id, job))
                    continue
                self._take(view, job)
                started.append((job, worker_id, job.declared_resources))
        self._touched.clear()
        return started
