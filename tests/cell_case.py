"""Test fixtures that run the decisions of a leader without I/O."""

import asyncio
import unittest

from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import configuration as configuration_module
from basilspindle.cell import configuration_index
from basilspindle.cell.decisions import plan as plan_module
from basilspindle.cell import ends as ends_module
from basilspindle.cell import intake as intake_module
from basilspindle.cell import journal as journal_module
from basilspindle.cell import reconcile
from basilspindle.cell import report as report_module
from basilspindle.cell import start_outcome
from basilspindle.cell import starts as starts_module
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle import clock as clock_module
from basilspindle import workflow

POOL = 'pool'
QUEUE = 'queue'
WORKSPACE = 'alpha'
BORN_MS = 1_000


def make_step(count=1, cpu=1_000, **changes):
    """Return a step with ``count`` identical tasks."""
    values = {'estimate_ms': 1_000, **changes}
    return workflow.Step(count, workflow.Need(cpu, 100), **values)


def make_definition(job_id, *steps, **changes):
    """Return a job definition with the default workspace and queue."""
    values = {
        'max_attempts': 3,
        'stretch': 2.0,
        'target_latency_ms': 1_000,
        **changes,
    }
    workspace = values.pop('workspace', WORKSPACE)
    queue = values.pop('queue', QUEUE)
    return workflow.JobDefinition(
        job_id, workspace, queue, POOL, 'payload', steps, **values
    )


def make_queue(name=QUEUE, **changes):
    """Return the configuration of a queue."""
    values = {
        'host': 'h.example',
        'prefix': f'/{name}/',
        'pool': POOL,
        'priority': 0,
        'max_attempts': 3,
        'stretch': 2.0,
        'target_latency_ms': 1_000,
        'timeout_ms': 3_000,
        'is_open': False,
        'advice': None,
        **changes,
    }
    return configuration_module.QueueConfig(name, **values)


def make_configuration(
    queues=None, limit=workflow.Need(), version=1, shares=None
):
    """Return a configuration; ``shares`` are jobs/s by workspace."""
    return configuration_module.Configuration(
        version,
        tuple(queues or [make_queue()]),
        tuple(
            configuration_module.WorkspaceConfig(name, (key,), share, limit)
            for key, (name, share) in zip(
                ('key', 'other-key'),
                (shares or {WORKSPACE: 0.0}).items(),
                strict=False,
            )
        ),
        (configuration_module.PoolConfig(POOL, '/health', 64),),
        configuration_module.RequestLimits(),
    )


class ManualClock(clock_module.Clock):
    """Clock that advances only while something sleeps."""

    __slots__ = ('now',)

    def __init__(self):
        self.now = 0

    def now_ms(self):
        """Return the time."""
        return self.now

    async def sleep_ms(self, duration_ms):
        """Let other tasks run once and advance the time."""
        await asyncio.sleep(0)
        self.now += duration_ms


def make_journal(store, clock, confirmed):
    """Return a journal without records that extends a confirmation."""
    return journal_module.Journal(
        store,
        clock,
        1,
        confirmed,
        journal_module.Batch,
        lambda batch: None,
    )


class ConfirmedOwner:
    """Owner of sessions whose leadership the store confirms at once."""

    confirmed_ms = 1 << 60

    def end_if_expired(self):
        """Tell whether the owner may no longer lead."""
        return False

    def withholds_start(self, order):
        """Tell whether a start must not be sent now."""
        return False

    async def wait_confirmed(self, at_ms, timeout_ms):
        """Tell whether no later leader can have led at a time."""
        return True


class CellCase(unittest.TestCase):
    """State of a leader whose workers are simulated by the test."""

    def setUp(self):
        self.now_ms = 100_000
        self.state = self.make_state()
        self.end_numbers = {}

    def make_state(self, term=0, configuration=None):
        state = state_module.CellState(bounds_module.Bounds(), term)
        state.configuration_index = configuration_index.ConfigurationIndex(
            configuration or make_configuration()
        )
        self.intake = intake_module.Intake(state)
        self.planner = plan_module.Planner(state)
        self.state = state
        return state

    def add_worker(self, name, cpu=4_000, rack='r1', reported=True):
        worker = worker_module.Worker(
            name,
            f'{name}:1',
            POOL,
            rack,
            'a',
            frozenset({'k', rack}),
            workflow.Need(cpu, 100_000),
        )
        worker.answered_address = worker.address
        worker.is_recorded = True
        self.state.workers[name] = worker
        if reported:
            self.report(name)
        return worker

    def submit(self, definition):
        job = self.intake.submit(definition, self.now_ms)
        self.record()
        return job

    def adopt(self, definition):
        """Return a new job that was accepted, whatever admission says."""
        job = workflow.Job(definition, self.now_ms)
        self.intake.adopt(job, self.now_ms)
        self.record()
        return job

    def record(self):
        """Mark the current state of all jobs as recorded."""
        for job in self.state.changed_jobs.values():
            job.durable_state = job.state
            job.durable_occurrences = job.next_occurrence
        self.state.changed_jobs.clear()

    def plan(self):
        """Run a scheduling pass and return its orders, which are sent."""
        self.planner.plan(self.now_ms)
        orders = self.state.take_orders()
        for order in orders.starts:
            order.task.step_run.job.mark_started()
        return orders

    def apply_outcome(self, order, outcome=start_outcome.StartOutcome.RUNS):
        starts_module.apply_outcome(self.state, order, outcome, self.now_ms)

    def start_all(self, orders):
        """Let all ordered starts succeed and return them."""
        for order in orders.starts:
            self.apply_outcome(order)
        return orders.starts

    def report_end(
        self, worker_name, task, run, kind=report_module.EndKind.DONE
    ):
        """Apply the end of a run that a worker reports."""
        self.end_numbers[worker_name] = (
            self.end_numbers.get(worker_name, 0) + 1
        )
        row = report_module.RunEnd(
            self.end_numbers[worker_name], task, run, kind, ''
        )
        worker = self.state.workers[worker_name]
        ends_module.apply_end(self.state, worker, row, self.now_ms)
        worker.applied_end_number = row.number

    def report(
        self,
        name,
        running=(),
        ends=(),
        sent_ms=None,
        born=BORN_MS,
        loads=None,
        is_full=True,
    ):
        rows = tuple(
            report_module.ActiveRun(
                task, run, '', 50, (loads or {}).get(task, 0)
            )
            for task, run in running
        )
        report = report_module.Report(0, born, rows, tuple(ends), is_full)
        reconcile.apply_report(
            self.state,
            self.state.workers[name],
            report,
            self.now_ms if sent_ms is None else sent_ms,
            self.now_ms,
        )
