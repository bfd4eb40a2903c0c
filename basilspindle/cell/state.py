"""Hold the state of a cell at its leader and keep it consistent."""

import copy

from basilspindle.cell import awaited
from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import configuration as configuration_module
from basilspindle.cell import configuration_index
from basilspindle.cell.decisions import arrivals
from basilspindle.cell.decisions import pool_capacity
from basilspindle.cell.decisions import retry_promises
from basilspindle.cell.decisions import share
from basilspindle.cell.decisions import speed_classes
from basilspindle.cell import job_table
from basilspindle.cell import orders as orders_module
from basilspindle.cell import queue_durations
from basilspindle.cell import report as report_module
from basilspindle.cell import usage as usage_module
from basilspindle.cell import worker as worker_module
from basilspindle.cell import worker_table
from basilspindle.workflow import advice_terms
from basilspindle.workflow import definition as definition_module
from basilspindle.workflow import job as job_module
from basilspindle.workflow import job_state
from basilspindle.workflow import need as need_module
from basilspindle.workflow import step_run as step_run_module
from basilspindle.workflow import task as task_module
from basilspindle.workflow import task_state

_State = task_state.TaskState
NO_NEED = need_module.Need()
# Run numbers reserved for each leader term. An earlier leader may have started
# runs that it did not record, and a later leader must not reuse their numbers.
# No leader starts one task this often.
_RUNS_PER_TERM = 100


class CellState:
    """Jobs, workers and usage of the cell, and the orders to be sent.

    ``changed_jobs`` are the jobs whose current state is not recorded yet.
    ``freed_workers`` and ``freed_workspaces`` are ids and names of those that
    may take more tasks than at the last scheduling pass. ``term`` numbers the
    leaders of the cell from 0. ``due_times_ms`` holds, by job id, the time by
    which a job has to end to be on time.

    ``awaited_workers`` are workers of earlier leaders that have not reported
    to this one and may run tasks that it does not know of.
    ``stopping_usage`` is, by workspace, what jobs that ended under an earlier
    leader may still run on such workers.
    ``unattributed_ends`` are run ends of jobs whose records cannot be read,
    and have yet to be recorded.
    ``closed_domains`` are the failure domains in which no task may start.
    """

    __slots__ = (
        'table',
        'usage',
        'workers',
        'configuration_index',
        'bounds',
        'orders',
        'changed_jobs',
        'freed_workers',
        'freed_workspaces',
        'term',
        'awaited_workers',
        'stopping_usage',
        'unattributed_ends',
        'due_times_ms',
        'speed_classes',
        '_queue_durations',
        'share_limiter',
        'closed_domains',
        'capacities',
        'retry_promises',
        'arrivals',
    )

    def __init__(self, bounds: bounds_module.Bounds, term: int = 0) -> None:
        self.table = job_table.JobTable()
        self.usage = usage_module.Usage()
        self.workers = worker_table.WorkerTable()
        self.configuration_index: (
            configuration_index.ConfigurationIndex | None
        ) = None
        self.bounds = bounds
        self.orders = orders_module.Orders()
        self.changed_jobs: dict[str, job_module.Job] = {}
        self.freed_workers: set[str] = set()
        self.freed_workspaces: set[str] = set()
        self.term = term
        self.awaited_workers = awaited.AwaitedWorkers()
        self.stopping_usage: dict[str, need_module.Need] = {}
        self.unattributed_ends: list[report_module.RunEnd] = []
        self.due_times_ms: dict[str, int] = {}
        self.speed_classes = speed_classes.SpeedClasses()
        self._queue_durations: dict[str, queue_durations.QueueDurations] = {}
        self.share_limiter = share.ShareLimiter()
        self.closed_domains: frozenset[str] = frozenset()
        self.capacities = pool_capacity.PoolCapacities()
        self.retry_promises = retry_promises.RetryPromises()
        self.arrivals = arrivals.Arrivals()

    def copy_for_admission(self) -> 'CellState':
        """Return a copy for a decision that must not change this state.

        What admission updates and caches is copied: totals, capacities and
        promises. All else is shared and must not be changed.
        """
        made = copy.copy(self)
        made.table = copy.copy(self.table)
        made.table.backlog = self.table.backlog.copy()
        made.capacities = self.capacities.copy()
        made.retry_promises = self.retry_promises.copy()
        return made

    def take_orders(self) -> orders_module.Orders:
        """Return the pending orders and clear them."""
        taken, self.orders = self.orders, orders_module.Orders()
        return taken

    def is_closed(self, worker: worker_module.Worker) -> bool:
        """Tell whether a worker is in a closed failure domain."""
        return worker.failure_domain in self.closed_domains

    def accepts(self, worker: worker_module.Worker, now_ms: int) -> bool:
        """Tell whether new tasks may be placed on a worker now."""
        return not self.is_closed(worker) and worker.accepts(now_ms)

    def set_closed_domains(self, closed_domains: frozenset[str]) -> None:
        """Close these failure domains and open all others."""
        reopened = self.closed_domains - closed_domains
        self.closed_domains = closed_domains
        for worker in self.workers.values():
            if worker.failure_domain in reopened:
                self.freed_workers.add(worker.worker_id)
        for run in self.table.ready_steps.values():
            # A step reserves what it needs as a whole, so the part in open
            # domains is of no use without the rest.
            if any(
                worker_id in self.workers
                and self.is_closed(self.workers[worker_id])
                for worker_id in run.reserved_tasks
            ):
                self.release_reservation(run)

    def duration_factor(self, queue: str) -> float:
        """Return the ratio of actual to estimated durations of a queue."""
        durations = self._queue_durations.get(queue)
        return durations.factor if durations is not None else 1.0

    def queue_durations(
        self, definition: definition_module.JobDefinition
    ) -> queue_durations.QueueDurations:
        """Return the task durations of the queue of a job, to be updated."""
        durations = self._queue_durations.get(definition.queue)
        if durations is None:
            durations = queue_durations.QueueDurations(definition.pool)
            self._queue_durations[definition.queue] = durations
        return durations

    def classify_workers(self, now_ms: int) -> None:
        """Divide the workers into speed classes again if it is time."""
        self.speed_classes.renew(
            self.workers, self._queue_durations.values(), now_ms
        )

    def queue_advice(self, queue: str) -> advice_terms.AdviceTerms | None:
        """Return the advice terms of a configured queue, or None."""
        if self.configuration_index is None:
            return None
        config = self.configuration_index.queues.get(queue)
        return config.advice if config is not None else None

    def advice_terms(
        self, definition: definition_module.JobDefinition
    ) -> advice_terms.AdviceTerms | None:
        """Return the advice terms of the queue of a job, or None."""
        if self.configuration_index is None:
            return definition.advice
        queue = self.configuration_index.queues.get(definition.queue)
        return queue.advice if queue is not None else definition.advice

    def workspace_config(
        self, workspace: str
    ) -> configuration_module.WorkspaceConfig | None:
        """Return the configuration of a workspace, or None."""
        if self.configuration_index is None:
            return None
        return self.configuration_index.workspaces.get(workspace)

    def workspace_limit(self, workspace: str) -> need_module.Need | None:
        """Return the resource limit of a workspace, or None for no limit."""
        config = self.workspace_config(workspace)
        return config.limit if config is not None else None

    def next_run(self, task: task_module.Task) -> int:
        """Return the number of the next run of a task."""
        return max(task.run, task.ended_run, self.term * _RUNS_PER_TERM) + 1

    def occupy(
        self,
        task: task_module.Task,
        worker: worker_module.Worker,
        run: int,
        state: task_state.TaskState,
    ) -> None:
        """Assign a run of a task to a worker and count its usage."""
        job = task.step_run.job
        task.step_run.waiting.pop(task.index, None)
        task.state = state
        task.worker_id = worker.worker_id
        task.run = run
        task.stop_sent_ms = 0
        task.listed_born_wall_ms = task.unanswered_start_ms = 0
        task.answered_ms, task.answered_clock_ms = 0, None
        task.load = 0
        task.pace_percent, task.paced_ms = 100, 0
        task.has_unanswered_pace, task.pace_repeated_until_ms = False, 0
        task.is_restored = False
        task.percent = task.sampled_ms = task.sampled_percent = 0
        task.lag, task.is_stalled = 0.0, False
        task.is_timed = state is _State.STARTING and not task.checkpoint
        task.base_percent, task.measured_ms = 0, 0.0
        worker.add_task(task)
        job.occupying_tasks.add(task)
        if state is not _State.STARTING:
            job.mark_started()
        self.usage.add(job.definition.workspace, task.step_run.step.reserved)
        self.table.count_ready_step(task.step_run)
        self.table.backlog.add_running(task)

    def adopt(
        self, task: task_module.Task, worker: worker_module.Worker, run: int
    ) -> None:
        """Assign a run that an earlier leader has started to its worker."""
        self.occupy(task, worker, run, _State.RUNNING)
        self.table.remove_ready_step(task.step_run)
        if task.step_run.waiting and not task.step_run.step.gang:
            self.table.add_ready_step(task.step_run)

    def release(self, task: task_module.Task) -> None:
        """Remove a task from its worker; queue it again unless it is done."""
        step_run = task.step_run
        job = step_run.job
        worker = self.workers.get(task.worker_id)
        if worker is not None and worker.remove_task(task):
            self.usage.add(
                job.definition.workspace, step_run.step.reserved, -1
            )
            self.freed_workers.add(worker.worker_id)
            self.freed_workspaces.add(job.definition.workspace)
        job.occupying_tasks.discard(task)
        self.table.backlog.remove_running(task)
        task.worker_id = ''
        if task.state is not _State.DONE:
            step_run.mark_waiting(task)
            self.table.count_ready_step(step_run)
            if not job.state.is_final and job.is_ready(step_run):
                self.reopen(step_run)

    def reopen(self, step_run: step_run_module.StepRun) -> None:
        """Make a step ready again; a gang only once all its tasks stopped."""
        step_run.retry_at_ms = 0
        if step_run.step.gang and any(
            task.occupies_worker for task in step_run.tasks
        ):
            # A gang is restarted only as a whole.
            return
        self.table.add_ready_step(step_run)

    def request_stop(self, task: task_module.Task) -> None:
        """Order the stop of a task that occupies a worker."""
        if task.state is not _State.DONE:
            task.state = _State.STOPPING
        task.started_ms = 0
        self.orders.stops.append(
            orders_module.StopOrder(task.worker_id, task.name, task.run)
        )

    def stop_gang(self, step_run: step_run_module.StepRun) -> None:
        """Order the stop of all tasks of a gang that occupy a worker."""
        for task in step_run.tasks:
            if task.occupies_worker and task.state is not _State.STOPPING:
                self.request_stop(task)

    def end_job(self, job: job_module.Job, state: job_state.JobState) -> None:
        """Set the final state of a job and stop its running tasks."""
        if job.state.is_final:
            return
        job.state = state
        self.table.remove_ready_steps(job)
        for step_run in job.runs.values():
            self.release_reservation(step_run)
        for task in list(job.occupying_tasks):
            if task.state is not _State.STOPPING:
                self.request_stop(task)
        self.mark_changed(job)

    def reserve(
        self,
        step_run: step_run_module.StepRun,
        assignment: dict[str, int],
        until_ms: int,
    ) -> None:
        """Keep capacity for tasks of a step, given by worker id."""
        self.release_reservation(step_run)
        step_run.reserved_tasks = dict(assignment)
        step_run.reserved_until_ms = until_ms
        for worker_id, count in assignment.items():
            worker = self.workers[worker_id]
            need = step_run.step.reserved
            worker.reserved = worker.reserved.plus(need, count)

    def release_reservation(self, step_run: step_run_module.StepRun) -> None:
        """Release the capacity that a step has reserved."""
        for worker_id, count in step_run.reserved_tasks.items():
            worker = self.workers.get(worker_id)
            if worker is not None:
                need = step_run.step.reserved
                worker.reserved = worker.reserved.plus(need, -count)
                self.freed_workers.add(worker_id)
        step_run.reserved_tasks = {}
        step_run.awaits_preempted = False

    def mark_changed(self, job: job_module.Job) -> None:
        """Mark a job to be recorded with the next append."""
        self.changed_jobs[job.job_id] = job

    def requeue_worker_tasks(self, worker: worker_module.Worker) -> None:
        """Requeue all tasks of a worker that restarted or lost its lease."""
        self.requeue_tasks(list(worker.tasks.values()))
        worker.unexpected_runs.clear()
        worker.has_changed_runs = True

    def requeue_tasks(self, tasks: list[task_module.Task]) -> None:
        """Requeue tasks whose runs have ended without a report."""
        for task in tasks:
            task.ended_run = max(task.ended_run, task.run)
            self.release(task)
            if task.step_run.step.gang:
                self.stop_gang(task.step_run)
