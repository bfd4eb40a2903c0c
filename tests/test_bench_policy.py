"""Guard the simulation that scheduling decisions are measured with."""

import random
import unittest

from basilspindle import model
from basilspindle import policy
from bench import schedulers
from bench import simulation
from bench import workload

_WORKER_SIZE = model.Resources(4_000, 4_000, 0, 4)
_SHAPE = model.Resources(1_000, 1_000, 0, 1)


def _scenario():
    rng = random.Random(3)
    jobs = [
        workload.SimulatedJob(
            f'job-{n}',
            rng.randrange(5_000),
            f'workspace-{n % 2}',
            'kind',
            model.Priority(n % 3),
            _SHAPE,
            _SHAPE,
            500,
            [rng.randint(100, 900) for _ in range(4 if n % 7 else 5)],
            n % 7 == 0,
        )
        for n in range(30)
    ]
    workers = [(f'w{n}', f'd{n}', f'r{n}', _WORKER_SIZE) for n in range(2)]
    workspaces = {f'workspace-{n}': policy.WorkspacePolicy() for n in range(2)}
    return workload.Scenario('tiny', workers, workspaces, jobs, 10, 0, 60_000)


class SimulationTest(unittest.TestCase):
    """Guard against figures from lost tasks or overcommitted workers."""

    def test_every_task_starts_once_and_fits(self):
        for scheduler in (
            schedulers.PolicyScheduler,
            schedulers.FirstFit,
            schedulers.TwoChoices,
        ):
            scenario = _scenario()
            metrics = simulation.Simulation(
                scenario, scheduler(scenario, random.Random(1))
            ).run()
            expected = sum(len(job.task_run_ms) for job in scenario.jobs)
            waits = [
                wait
                for priority_waits in metrics.waits_by_priority_ms.values()
                for wait in priority_waits
            ]
            with self.subTest(scheduler=scheduler.name):
                self.assertEqual(expected, metrics.starts)
                self.assertEqual(expected, len(waits))
                self.assertLess(max(waits), 50_000)
                self.assertLessEqual(
                    max(used for _, used, _ in metrics.trace), 1.0
                )
                self.assertEqual(0.0, max(metrics.overused_worker_ratios))

    def test_same_seed_same_waits(self):
        """Guard against figures that differ from run to run."""
        waits = []
        for _ in range(2):
            scenario = _scenario()
            scheduler = schedulers.PolicyScheduler(scenario, random.Random(1))
            waits.append(
                simulation.Simulation(scenario, scheduler)
                .run()
                .waits_by_priority_ms
            )
        self.assertEqual(*waits)
