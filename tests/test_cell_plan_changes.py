"""Test that a pass that follows changes decides as one that visits all.

Both play the same random events on states of their own. Allowed to differ:
when a step is examined again that nothing has helped, and the order of the
orders of one pass.
"""

import random
import unittest
from unittest import mock

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

_ADVISED = 'advised'
_ADVICE = workflow.AdviceTerms(10.0, 1.0, 2_000.0)
_PASSES = 150
_SEEDS = 20
_LIMIT = workflow.Need(cpu_millicores=14_000)
_WORKSPACES = ('alpha', 'beta')


class Cell:
    """State of one leader, and what a random play does to it."""

    def __init__(self, make_planner):
        self.state = state_module.CellState(bounds_module.Bounds())
        queues = [
            cell_case.make_queue(),
            cell_case.make_queue(_ADVISED, advice=_ADVICE),
        ]
        self.state.configuration_index = (
            configuration_index.ConfigurationIndex(
                cell_case.make_configuration(
                    queues, _LIMIT, shares=dict.fromkeys(_WORKSPACES, 0.0)
                )
            )
        )
        self.intake = intake_module.Intake(self.state)
        self.planner = make_planner(self.state)
        self.calls = []

    def add_worker(self, name, cpu, now_ms):
        number = int(name[1:])
        worker = worker_module.Worker(
            name,
            f'{name}:1',
            cell_case.POOL,
            f'r{number % 2}',
            'a',
            frozenset({'k'} if number % 3 else ()),
            workflow.Need(cpu, 100_000),
        )
        worker.reported = worker.is_recorded = True
        worker.last_contact_ms = now_ms
        self.state.workers[name] = worker
        self.state.freed_workers.add(name)

    def remove_worker(self, name):
        worker = self.state.workers[name]
        self.state.requeue_worker_tasks(worker)
        self.state.workers.pop(name)

    def submit(self, definition, now_ms):
        # Whether a job is accepted is tested elsewhere.
        job = workflow.Job(definition, now_ms)
        self.intake.adopt(job, now_ms)
        job.durable_state = job.state
        job.durable_occurrences = job.next_occurrence

    def end(self, name, is_done, is_avoided):
        task = self.state.table.tasks[name]
        run = task.step_run
        members = run.tasks if run.step.gang else [task]
        for member in members:
            if is_done:
                run.mark_done(member)
            else:
                if is_avoided:
                    member.avoided_worker_ids.add(member.worker_id)
                member.state = task_state.TaskState.WAITING
        for member in members:
            self.state.release(member)
        if run.is_done:
            self.state.table.ready_steps.pop(run.key, None)
            self.state.table.add_ready_steps(run.job, 0)

    def answer(self, number, approved, now_ms):
        order = self.calls.pop(number)
        if approved is None:
            plan_module.apply_advice_failure(
                self.state, order.step_run, now_ms + 150
            )
            return
        plan_module.apply_advice(
            order.step_run,
            order.worker_ids,
            {name: 't' for name in order.worker_ids if name in approved},
            now_ms + 2_000,
        )

    def plan(self, now_ms):
        for worker in self.state.workers.values():
            worker.last_contact_ms = now_ms
        self.planner.plan(now_ms)
        orders = self.state.take_orders()
        for order in orders.starts:
            order.task.state = task_state.TaskState.RUNNING
            order.task.started_ms = now_ms
        for stop in orders.stops:
            task = self.state.table.tasks[stop.name]
            task.state = task_state.TaskState.WAITING
            self.state.release(task)
        self.calls += orders.advice
        self.calls.sort(key=lambda order: order.step_run.key)
        return (
            sorted((o.task.name, o.worker_id, o.run) for o in orders.starts),
            sorted((stop.name, stop.run) for stop in orders.stops),
            sorted(
                (o.step_run.key, tuple(o.worker_ids)) for o in orders.advice
            ),
        )


class Play:
    """Random events that are applied to both cells alike."""

    def __init__(self, seed, with_advice):
        self.with_advice = with_advice
        self.random = random.Random(seed)
        self.now_ms = 100_000
        self.jobs = self.workers = 0
        self.cells = [
            Cell(full_pass.FullPassPlanner),
            Cell(plan_module.Planner),
        ]
        for _ in range(self.random.randint(2, 6)):
            self.add_worker()

    def each(self, action):
        for cell in self.cells:
            action(cell)

    def add_worker(self):
        self.workers += 1
        name = f'w{self.workers}'
        cpu = self.random.choice((3_000, 4_000, 6_000))
        self.each(lambda cell: cell.add_worker(name, cpu, self.now_ms))

    def submit(self):
        self.jobs += 1
        rng = self.random
        gang = rng.random() < 0.25
        step = cell_case.make_step(
            rng.randint(1, 4),
            cpu=rng.choice((500, 1_000, 1_700, 2_500)),
            gang=gang,
            checkpoints=rng.random() < 0.5,
            same_rack=rng.random() < 0.2,
            required_label='k' if rng.random() < 0.2 else '',
            max_per_worker=rng.choice((0, 0, 0, 1)),
            estimate_ms=rng.choice((300, 1_000, 4_000)),
        )
        definition = cell_case.make_definition(
            f'{self.jobs:016x}',
            step,
            workspace=rng.choice(_WORKSPACES),
            queue=rng.choice(
                (
                    cell_case.QUEUE,
                    _ADVISED if self.with_advice else cell_case.QUEUE,
                )
            ),
            priority=rng.randint(0, 2),
            stretch=rng.choice((3.0, 200.0)),
            target_latency_ms=100_000,
        )
        self.each(lambda cell: cell.submit(definition, self.now_ms))

    def end_one(self):
        cell = self.cells[0]
        names = sorted(
            name
            for worker in cell.state.workers.values()
            for name in worker.tasks
        )
        if names:
            name = self.random.choice(names)
            is_done = self.random.random() < 0.8
            self.each(lambda cell: cell.end(name, is_done, self.with_advice))

    def suspend_worker(self):
        names = sorted(self.cells[0].state.workers)
        name = self.random.choice(names)
        until_ms = self.now_ms + self.random.choice((100, 400))

        def suspend(cell):
            cell.state.workers[name].suspect_until_ms = until_ms

        self.each(suspend)

    def resume_workers(self):
        def resume(cell):
            for worker in cell.state.workers.values():
                if 0 < worker.suspect_until_ms <= self.now_ms:
                    worker.suspect_until_ms = 0
                    cell.state.freed_workers.add(worker.worker_id)

        self.each(resume)

    def lose_worker(self):
        names = sorted(self.cells[0].state.workers)
        if len(names) > 2:
            name = self.random.choice(names)
            self.each(lambda cell: cell.remove_worker(name))
            self.add_worker()

    def answer_advice(self):
        calls = self.cells[0].calls
        if not calls:
            return
        number = self.random.randrange(len(calls))
        approved = {
            name
            for name in calls[number].worker_ids
            if self.random.random() < 0.6
        }
        if self.random.random() < 0.1:
            approved = None
        self.each(lambda cell: cell.answer(number, approved, self.now_ms))

    def step(self):
        """Play events and one pass; return the orders of both."""
        self.now_ms += self.random.choice((4, 20, 50))
        rng = self.random
        for _ in range(rng.choice((0, 1, 1, 2))):
            self.submit()
        for _ in range(rng.choice((0, 1, 2))):
            self.end_one()
        for _ in range(rng.choice((0, 1, 2))):
            self.answer_advice()
        if rng.random() < 0.05:
            self.suspend_worker()
        if rng.random() < 0.03:
            self.lose_worker()
        self.resume_workers()
        return [cell.plan(self.now_ms) for cell in self.cells]


@mock.patch.object(plan_module, '_MAX_EXAMINED_STEPS', 10_000)
class SameOrdersTest(unittest.TestCase):
    """Guard against steps that no event wakes although it would help."""

    def check(self, seeds, with_advice):
        for seed in seeds:
            play = Play(seed, with_advice)
            for number in range(_PASSES):
                expected, found = play.step()
                with self.subTest(seed=seed, number=number):
                    self.assertEqual(expected, found)
                if expected != found:
                    break

    def test_orders_are_those_of_a_pass_over_all_steps(self):
        """Guard against a missing wake-up, or steps out of order."""
        self.check(range(_SEEDS), False)

    def test_orders_with_advice_and_avoided_workers(self):
        """Guard the same with tickets, and workers where a task failed."""
        self.check(range(_SEEDS), True)

    def test_orders_of_plays_that_differed(self):
        """Guard the same in the plays that differed in a longer trial."""
        self.check((21, 24, 36, 38, 47, 83, 89), True)


class BoundedPassTest(cell_case.CellCase):
    """Guard steps that a bounded pass leaves to the next one."""

    def test_steps_that_are_left_out_start_in_the_next_pass(self):
        """Guard against small steps behind many that find no room."""
        self.add_worker('w1', cpu=4_000)
        for number in range(100):
            step = cell_case.make_step(cpu=5_000 + number)
            self.adopt(
                cell_case.make_definition(f'{number:016x}', step, stretch=1.0)
            )
        step = cell_case.make_step(cpu=1_000)
        self.adopt(cell_case.make_definition('f' * 16, step, stretch=1.0))
        passes = 1
        starts = self.plan().starts
        while not starts and self.planner.has_more:
            passes += 1
            starts = self.plan().starts
        self.assertEqual(1, len(starts))
        self.assertLessEqual(passes, 3)
        while self.planner.has_more:
            passes += 1
            self.plan()
            self.assertLess(passes, 10)

    def test_a_step_is_not_passed_over_while_urgent_ones_come(self):
        """Guard against work that never starts beside more urgent work.

        More urgent steps than a pass examines come before each pass; they
        find no room, and the step would.
        """
        self.add_worker('w1', cpu=4_000)
        step = cell_case.make_step(cpu=1_000)
        self.adopt(cell_case.make_definition('f' * 16, step, priority=2))
        for number in range(30):
            for other in range(60):
                step = cell_case.make_step(cpu=5_000 + other)
                self.adopt(
                    cell_case.make_definition(
                        f'{60 * number + other:016x}', step, priority=0
                    )
                )
            self.now_ms += 4
            if self.plan().starts:
                return
        self.fail('the step did not start within 30 passes')


if __name__ == '__main__':
    unittest.main()
