"""Drive a scheduler through arrivals, starts and ends of work."""

import collections
import heapq

from basilspindle import model
from basilspindle.policy import amounts
from bench import run_metrics
from bench import workload

_REPORT_DELAY_MS = 30_000
_SAMPLES = 400
_COMPETING_MS = 1_000
# Schedulers decide after every change, and this often without any.
_IDLE_MS = 1_000


class Simulation:
    """One run of one scheduler over one site, in ticks of time."""

    def __init__(self, site: workload.Scenario, scheduler) -> None:
        self._site = site
        self._scheduler = scheduler
        self._figures = run_metrics.RunMetrics()
        self._ends = []
        self._reports = []
        self._waiting = collections.Counter()
        self._run_ms = {}
        self._left = {}
        self._used = [0, 0, 0, 0]
        self._by_workspace = collections.defaultdict(lambda: [0, 0, 0, 0])
        self._memory = collections.Counter()
        self._total = amounts.from_resources(site.total_resources())
        self._sizes = {w[0]: w[3].memory_mb for w in site.workers}
        self._sequence = 0

    def run(self) -> run_metrics.RunMetrics:
        """Run to the end and return the figures."""
        site = self._site
        arrivals = iter(site.jobs)
        job = next(arrivals, None)
        every_ms = max(site.tick_ms, site.end_ms // _SAMPLES)
        warm = False
        for now_ms in range(0, site.end_ms, site.tick_ms):
            if not warm and now_ms >= site.warm_up_ms:
                warm = True
                self._scheduler.decision_ns.clear()
                self._scheduler.total_decision_ns = 0
                self._figures.starts = 0
            changed = self._end(now_ms)
            while job is not None and job.arrival_ms <= now_ms:
                self._submit(job, now_ms)
                job = next(arrivals, None)
                changed = True
            if changed or now_ms % _IDLE_MS < site.tick_ms:
                for started in self._scheduler.decide(now_ms):
                    self._start(started, now_ms)
            if warm and now_ms % every_ms < site.tick_ms:
                self._sample(now_ms)
        self._censor()
        self._figures.decision_ns = self._scheduler.decision_ns
        self._figures.total_decision_ns = self._scheduler.total_decision_ns
        return self._figures

    def _submit(self, job, now_ms):
        self._left[job.job_id] = job
        self._run_ms[job.job_id] = list(job.task_run_ms)
        self._waiting[job.workspace, job.priority] += len(job.task_run_ms)
        self._scheduler.submit(job, now_ms)

    def _start(self, started, now_ms):
        job, worker_id, resources = started
        runs = self._run_ms[job.job_id]
        run_ms = runs.pop()
        if not runs:
            del self._left[job.job_id]
        self._waiting[job.workspace, job.priority] -= 1
        self._figures.starts += 1
        if job.arrival_ms >= self._site.warm_up_ms:
            kind = job.priority.name.lower()
            self._figures.record_wait(
                job.workspace, kind, now_ms - job.arrival_ms
            )
        self._use(job, worker_id, 1)
        self._sequence += 1
        item = (now_ms + run_ms, self._sequence, job, worker_id, resources)
        heapq.heappush(self._ends, item)
        reported_ms = now_ms + run_ms + _REPORT_DELAY_MS
        item = (reported_ms, self._sequence, job, run_ms)
        heapq.heappush(self._reports, item)

    def _end(self, now_ms):
        changed = False
        while self._ends and self._ends[0][0] <= now_ms:
            _, _, job, worker_id, resources = heapq.heappop(self._ends)
            self._use(job, worker_id, -1)
            self._scheduler.end(job, worker_id, resources)
            changed = True
        while self._reports and self._reports[0][0] <= now_ms:
            _, _, job, run_ms = heapq.heappop(self._reports)
            self._scheduler.report(job, run_ms)
        return changed

    def _use(self, job, worker_id, sign):
        workspace = self._by_workspace[job.workspace]
        for place, amount in enumerate(
            amounts.from_resources(job.actual_resources)
        ):
            self._used[place] += sign * amount
            workspace[place] += sign * amount
        self._memory[worker_id] += sign * job.actual_resources.memory_mb

    def _sample(self, now_ms):
        waiting = sum(self._waiting.values())
        parts = [
            used / total if total else 0.0
            for used, total in zip(self._used, self._total, strict=True)
        ]
        self._figures.trace.append((now_ms, max(parts), waiting))
        over = sum(
            self._memory[name] > size for name, size in self._sizes.items()
        )
        self._figures.overused_worker_ratios.append(over / len(self._sizes))
        if waiting:
            self._figures.packing_ratios.append(max(parts))
        competing = self._competing(now_ms)
        for priority in model.Priority:
            names = sorted(
                name for name, found in competing if found == priority
            )
            if len(names) > 1:
                self._figures.share_errors.append(self._share_error(names))

    def _competing(self, now_ms):
        # Strict classes leave nothing to share between classes, and a
        # workspace whose work has only just arrived has no part yet.
        return {
            (job.workspace, job.priority)
            for job in self._left.values()
            if now_ms - job.arrival_ms >= _COMPETING_MS
            and self._below_limit(job.workspace)
        }

    def _share_error(self, competing):
        # Mean distance from a weighted division of what the workspaces that
        # wait hold together, and what they hold.
        workspaces = self._site.workspaces
        shares = {name: self._dominant(name) for name in competing}
        held = sum(shares.values())
        weight = sum(workspaces[name].share for name in competing)
        error = sum(
            abs(shares[name] - held * workspaces[name].share / weight)
            for name in competing
        ) / len(competing)
        return error, held

    def _below_limit(self, name):
        limit = self._site.workspaces[name].limit_tasks
        return limit < 0 or self._by_workspace[name][3] < limit

    def _dominant(self, name):
        return max(
            used / total if total else 0.0
            for used, total in zip(
                self._by_workspace[name], self._total, strict=True
            )
        )

    def _censor(self):
        # Tasks that never started count with the time that they waited.
        for job_id, job in self._left.items():
            if job.arrival_ms < self._site.warm_up_ms:
                continue
            kind = job.priority.name.lower()
            for _ in self._run_ms[job_id]:
                waited_ms = self._site.end_ms - job.arrival_ms
                self._figures.record_wait(job.workspace, kind, waited_ms)
