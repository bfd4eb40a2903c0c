"""Simulate a scheduler: arrivals of jobs, starts and ends of tasks."""

import collections
import heapq

from basilspindle.indexing import amounts
from basilspindle import model
from bench import run_metrics
from bench import workload

_USAGE_REPORT_DELAY_MS = 30_000
_MAX_SAMPLES = 400
_MIN_COMPETING_WAIT_MS = 1_000
# Interval of the decisions that are made without a change.
_IDLE_DECISION_INTERVAL_MS = 1_000


class Simulation:
    """Runs one scenario with one scheduler in steps of one tick.

    The scheduler decides in each tick in which a job arrived or a task
    ended, and otherwise once an interval.
    """

    def __init__(self, scenario: workload.Scenario, scheduler) -> None:
        self._scenario = scenario
        self._scheduler = scheduler
        self._metrics = run_metrics.RunMetrics()
        self._pending_ends = []
        self._pending_reports = []
        self._waiting_task_counts = collections.Counter()
        self._remaining_run_ms = {}
        self._jobs_not_started = {}
        self._used_amounts = [0, 0, 0, 0]
        self._used_by_workspace = collections.defaultdict(lambda: [0, 0, 0, 0])
        self._used_memory_mb = collections.Counter()
        self._total_amounts = amounts.from_resources(
            scenario.total_resources()
        )
        self._worker_memory_mb = {
            worker[0]: worker[3].memory_mb for worker in scenario.workers
        }
        self._sequence = 0

    def run(self) -> run_metrics.RunMetrics:
        """Run the scenario to its end and return the metrics.

        Metrics other than the waits are taken after the warm-up only, and
        waits only of jobs that arrive after it.
        """
        scenario = self._scenario
        arrivals = iter(scenario.jobs)
        job = next(arrivals, None)
        sample_interval_ms = max(
            scenario.tick_ms, scenario.end_ms // _MAX_SAMPLES
        )
        warmed_up = False
        for now_ms in range(0, scenario.end_ms, scenario.tick_ms):
            if not warmed_up and now_ms >= scenario.warm_up_ms:
                warmed_up = True
                self._scheduler.decision_times_ns.clear()
                self._scheduler.total_decision_ns = 0
                self._metrics.starts = 0
            changed = self._process_due_events(now_ms)
            while job is not None and job.arrival_ms <= now_ms:
                self._submit(job, now_ms)
                job = next(arrivals, None)
                changed = True
            if (
                changed
                or now_ms % _IDLE_DECISION_INTERVAL_MS < scenario.tick_ms
            ):
                for started in self._scheduler.decide(now_ms):
                    self._start(started, now_ms)
            if warmed_up and now_ms % sample_interval_ms < scenario.tick_ms:
                self._sample(now_ms)
        self._record_unstarted_tasks()
        self._metrics.decision_times_ns = self._scheduler.decision_times_ns
        self._metrics.total_decision_ns = self._scheduler.total_decision_ns
        return self._metrics

    def _submit(self, job, now_ms):
        self._jobs_not_started[job.job_id] = job
        self._remaining_run_ms[job.job_id] = list(job.task_run_ms)
        self._waiting_task_counts[job.workspace, job.priority] += len(
            job.task_run_ms
        )
        self._scheduler.submit(job, now_ms)

    def _start(self, started, now_ms):
        job, worker_id, resources = started
        remaining = self._remaining_run_ms[job.job_id]
        run_ms = remaining.pop()
        if not remaining:
            del self._jobs_not_started[job.job_id]
        self._waiting_task_counts[job.workspace, job.priority] -= 1
        self._metrics.starts += 1
        if job.arrival_ms >= self._scenario.warm_up_ms:
            priority = job.priority.name.lower()
            self._metrics.record_wait(
                job.workspace, priority, now_ms - job.arrival_ms
            )
        self._change_usage(job, worker_id, 1)
        self._sequence += 1
        end = (now_ms + run_ms, self._sequence, job, worker_id, resources)
        heapq.heappush(self._pending_ends, end)
        reported_ms = now_ms + run_ms + _USAGE_REPORT_DELAY_MS
        report = (reported_ms, self._sequence, job, run_ms)
        heapq.heappush(self._pending_reports, report)

    def _process_due_events(self, now_ms):
        changed = False
        while self._pending_ends and self._pending_ends[0][0] <= now_ms:
            _, _, job, worker_id, resources = heapq.heappop(self._pending_ends)
            self._change_usage(job, worker_id, -1)
            self._scheduler.end(job, worker_id, resources)
            changed = True
        while self._pending_reports and self._pending_reports[0][0] <= now_ms:
            _, _, job, run_ms = heapq.heappop(self._pending_reports)
            self._scheduler.report(job, run_ms)
        return changed

    def _change_usage(self, job, worker_id, sign):
        workspace_amounts = self._used_by_workspace[job.workspace]
        for index, amount in enumerate(
            amounts.from_resources(job.actual_resources)
        ):
            self._used_amounts[index] += sign * amount
            workspace_amounts[index] += sign * amount
        self._used_memory_mb[worker_id] += (
            sign * job.actual_resources.memory_mb
        )

    def _sample(self, now_ms):
        waiting_tasks = sum(self._waiting_task_counts.values())
        used_fractions = [
            used / total if total else 0.0
            for used, total in zip(
                self._used_amounts, self._total_amounts, strict=True
            )
        ]
        self._metrics.trace.append(
            (now_ms, max(used_fractions), waiting_tasks)
        )
        overused_workers = sum(
            self._used_memory_mb[worker_id] > size_mb
            for worker_id, size_mb in self._worker_memory_mb.items()
        )
        self._metrics.overused_worker_ratios.append(
            overused_workers / len(self._worker_memory_mb)
        )
        if waiting_tasks:
            self._metrics.packing_ratios.append(max(used_fractions))
        competing = self._competing_workspaces(now_ms)
        for priority in model.Priority:
            workspaces = sorted(
                workspace
                for workspace, waiting_priority in competing
                if waiting_priority == priority
            )
            if len(workspaces) > 1:
                self._metrics.share_errors.append(
                    self._share_error(workspaces)
                )

    def _competing_workspaces(self, now_ms):
        # Priority classes are strict and leave nothing to share between
        # them, so shares are compared within one class. A workspace whose
        # jobs have only just arrived cannot have its share yet.
        return {
            (job.workspace, job.priority)
            for job in self._jobs_not_started.values()
            if now_ms - job.arrival_ms >= _MIN_COMPETING_WAIT_MS
            and self._below_limit(job.workspace)
        }

    def _share_error(self, names):
        # Returns the mean distance of the dominant shares from a division
        # of their sum by weight, and that sum.
        workspaces = self._scenario.workspaces
        shares = {name: self._dominant_share(name) for name in names}
        held_share = sum(shares.values())
        total_weight = sum(workspaces[name].share for name in names)
        error = sum(
            abs(
                shares[name]
                - held_share * workspaces[name].share / total_weight
            )
            for name in names
        ) / len(names)
        return error, held_share

    def _below_limit(self, workspace):
        limit = self._scenario.workspaces[workspace].limit_tasks
        return limit < 0 or self._used_by_workspace[workspace][3] < limit

    def _dominant_share(self, workspace):
        return max(
            used / total if total else 0.0
            for used, total in zip(
                self._used_by_workspace[workspace],
                self._total_amounts,
                strict=True,
            )
        )

    def _record_unstarted_tasks(self):
        # A task that never started counts with the time it has waited, so
        # that a scheduler that starts fewer tasks does not look faster.
        for job_id, job in self._jobs_not_started.items():
            if job.arrival_ms < self._scenario.warm_up_ms:
                continue
            priority = job.priority.name.lower()
            for _ in self._remaining_run_ms[job_id]:
                waited_ms = self._scenario.end_ms - job.arrival_ms
                self._metrics.record_wait(job.workspace, priority, waited_ms)
