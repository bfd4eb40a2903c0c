"""Measure a scheduling pass of the cell's leader by size.

Prints one JSON object a line. A fleet that is nearly full, and steps of which
a tenth are gangs, wait for room; between two passes one task ends. At small
sizes the former pass, which visits all steps, is measured beside it.

Usage: ``python -m bench.planner [--quick]``.
"""

import collections.abc
import json
import random
import statistics
import time
import typing

import click

from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import configuration_index
from basilspindle.cell.decisions import plan as plan_module
from basilspindle.cell import intake as intake_module
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle import workflow
from basilspindle.workflow import task_state
from tests import cell_case
from tests import full_pass

_WORKER_COUNTS = (30, 100, 270, 540, 1_000)
_STEP_COUNTS = (100, 1_000, 5_000)
_QUICK_WORKER_COUNTS = (30, 270)
_QUICK_STEP_COUNTS = (100, 1_000)
_PASSES = 60
_WORKER_MILLICORES = 64_000
_WORKER_MEMORY_MB = 131_072
_TASK_MILLICORES = (5_000, 11_000, 18_000)
_TARGET_P99_MS = 1.0
_TARGET_START_MS = 0.1
# A pass is made this long after the one before.
_PASS_INTERVAL_MS = 20
_SEED = 7
# The former pass takes 2.2 us for each pair of a worker and a step.
_MAX_FORMER_PAIRS = 100_000


class Fleet:
    """State of a leader with workers that are full and steps that wait."""

    def __init__(
        self,
        workers: int,
        steps: int,
        make_planner: collections.abc.Callable[
            [state_module.CellState], typing.Any
        ] = plan_module.Planner,
    ) -> None:
        self.now_ms = 1_000_000
        self.random = random.Random(_SEED)
        self.state = state_module.CellState(bounds_module.Bounds())
        self.state.configuration_index = (
            configuration_index.ConfigurationIndex(
                cell_case.make_configuration()
            )
        )
        self.intake = intake_module.Intake(self.state)
        self.planner = make_planner(self.state)
        self._jobs = 0
        for number in range(workers):
            self._add_worker(f'w{number:04}')
        self._submit()
        while self.plan():
            self._submit()
        while len(self.state.table.ready_steps) < steps:
            self._submit()
        self.plan()
        while getattr(self.planner, 'has_more', False):
            self.plan()

    def _add_worker(self, name: str) -> None:
        worker = worker_module.Worker(
            name,
            f'{name}:1',
            cell_case.POOL,
            'r1',
            'a',
            frozenset({'k'}),
            workflow.Need(_WORKER_MILLICORES, _WORKER_MEMORY_MB),
        )
        worker.reported = worker.is_recorded = True
        worker.last_contact_ms = self.now_ms
        self.state.workers[name] = worker

    def _submit(self) -> None:
        self._jobs += 1
        step = cell_case.make_step(
            self.random.randint(1, 30),
            cpu=self.random.choice(_TASK_MILLICORES),
            checkpoints=True,
            gang=self._jobs % 10 == 0,
        )
        job_id = f'{self._jobs:016x}'
        definition = cell_case.make_definition(
            job_id, step, stretch=500.0, priority=self._jobs % 3
        )
        job = self.intake.submit(definition, self.now_ms)
        job.durable_state = job.state
        job.durable_occurrences = job.next_occurrence

    def plan(self) -> list[object]:
        """Run a pass and let its starts succeed."""
        self.planner.plan(self.now_ms)
        orders = self.state.take_orders()
        for order in orders.starts:
            order.task.state = task_state.TaskState.RUNNING
            order.task.started_ms = self.now_ms
        return orders.starts

    def end_one_task(self) -> None:
        """End a random running task."""
        self.now_ms += _PASS_INTERVAL_MS
        for worker in self.state.workers.values():
            worker.last_contact_ms = self.now_ms
        workers = [w for w in self.state.workers.values() if w.tasks]
        worker = self.random.choice(workers)
        task = self.random.choice(list(worker.tasks.values()))
        task.step_run.mark_done(task)
        self.state.release(task)


def measure(
    workers: int,
    steps: int,
    prefix: str = 'planner',
    make_planner: collections.abc.Callable[
        [state_module.CellState], typing.Any
    ] = plan_module.Planner,
) -> None:
    """Print the time of a pass and of a start at one size."""
    fleet = Fleet(workers, steps, make_planner)
    times_ms, starts = [], 0
    for _ in range(_PASSES):
        fleet.end_one_task()
        begun_s = time.process_time()
        starts += len(fleet.plan())
        times_ms.append((time.process_time() - begun_s) * 1000)
    size = f'{workers} workers, {steps} waiting steps'
    rows = (
        ('pass_p50', statistics.median(times_ms), 'ms', None),
        ('pass_p99', sorted(times_ms)[-1], 'ms', _TARGET_P99_MS),
        ('start', sum(times_ms) / max(1, starts), 'ms', _TARGET_START_MS),
    )
    for name, value, unit, target in rows:
        line = {
            'name': f'{prefix}.{name}',
            'value': round(value, 3),
            'unit': unit,
            'baseline': target,
            'size': size,
        }
        print(json.dumps(line), flush=True)


@click.command()
@click.option('--quick', is_flag=True, help='Measure fewer sizes.')
def main(quick: bool) -> None:
    """Measure scheduling passes at each size."""
    for workers in _QUICK_WORKER_COUNTS if quick else _WORKER_COUNTS:
        for steps in _QUICK_STEP_COUNTS if quick else _STEP_COUNTS:
            measure(workers, steps)
            if workers * steps <= _MAX_FORMER_PAIRS:
                measure(
                    workers,
                    steps,
                    'former_planner',
                    full_pass.FullPassPlanner,
                )


if __name__ == '__main__':
    main()
