"""Test which work is refused when capacity is short, and until when."""

import random

from basilspindle.cell.decisions import backlog as backlog_module
from basilspindle.cell import report as report_module
from basilspindle import workflow
from tests import cell_case

_Kind = report_module.EndKind


def _factor(_):
    return 1.0


class BacklogTest(cell_case.CellCase):
    """Guard the totals of waiting and running work."""

    def setUp(self):
        super().setUp()
        self.chance = random.Random(48)
        self.numbers = iter(range(10_000))

    def submit_job(self):
        steps = [
            cell_case.make_step(
                self.chance.randint(1, 5),
                cpu=self.chance.choice((500, 1_500, 9_000)),
                estimate_ms=self.chance.randint(0, 4_000),
                gang=self.chance.random() < 0.3,
                after=(0,) if index else (),
            )
            for index in range(self.chance.randint(1, 2))
        ]
        job = self.intake.adopt(
            workflow.Job(
                cell_case.make_definition(
                    f'{next(self.numbers):016x}',
                    *steps,
                    priority=self.chance.randint(0, 2),
                    workspace=self.chance.choice(('alpha', 'beta')),
                ),
                self.now_ms,
            ),
            self.now_ms,
        )
        self.record()
        return job

    def end_run(self):
        rows = [
            (worker, task)
            for worker in self.state.workers.values()
            for task in worker.tasks.values()
        ]
        if rows:
            worker, task = self.chance.choice(rows)
            kind = self.chance.choice(
                (_Kind.DONE, _Kind.DONE, _Kind.FAILED, _Kind.STOPPED)
            )
            self.report_end(worker.worker_id, task.name, task.run, kind)

    def end_job(self):
        jobs = list(self.state.table.jobs.values())
        if jobs:
            job = self.chance.choice(jobs)
            self.state.end_job(job, workflow.JobState.CANCELLED)
            if not job.occupying_tasks and self.chance.random() < 0.5:
                self.state.table.remove(job)

    def lose_worker(self):
        worker = self.chance.choice(list(self.state.workers.values()))
        self.state.requeue_worker_tasks(worker)

    def scan(self):
        """Return the totals that a scan of all steps and tasks gives."""
        waiting = backlog_module.Waiting()
        for run in self.state.table.ready_steps.values():
            if run.step.need.cpu_millicores > 4_000:
                continue
            millicores = len(run.waiting) * run.step.need.cpu_millicores
            waiting.add(
                backlog_module.Waiting(
                    len(run.waiting),
                    millicores,
                    millicores * run.step.estimate_ms,
                )
            )
        used = sum(
            worker.used.cpu_millicores
            for worker in self.state.workers.values()
        )
        return waiting, used

    def test_totals_equal_a_full_scan(self):
        """Guard against totals that drift from the work that waits."""
        for number in range(4):
            self.add_worker(f'w{number}')
        backlog = self.state.table.backlog
        kinds = frozenset((workflow.Need(4_000, 100_000),))
        backlog.set_kinds(cell_case.POOL, kinds, ())
        works = (
            self.submit_job,
            self.submit_job,
            lambda: self.start_all(self.plan()),
            self.end_run,
            self.end_run,
            self.end_run,
            self.end_job,
            self.lose_worker,
        )
        for _ in range(2_000):
            self.now_ms += 50
            self.chance.choice(works)()
            self.record()
            for name, worker in self.state.workers.items():
                rows = [
                    (task.name, task.run) for task in worker.tasks.values()
                ]
                self.report(name, rows)
            waiting, used = self.scan()
            self.assertEqual(
                waiting,
                backlog.waiting_in_pool(cell_case.POOL, None, _factor),
            )
            self.assertEqual(used, backlog.running_in_pool(cell_case.POOL))
        for job in list(self.state.table.jobs.values()):
            self.state.end_job(job, workflow.JobState.CANCELLED)
        for worker in self.state.workers.values():
            self.state.requeue_worker_tasks(worker)
        self.assertEqual(0, backlog.freed_in_pool(cell_case.POOL, _factor))
        self.assertEqual(0, backlog.freed_in_workspace('alpha', _factor))

    def test_a_new_kind_of_worker_makes_its_work_count(self):
        """Guard against a backlog without the work of a later worker."""
        backlog = self.state.table.backlog
        need = workflow.Need(4_000, 100_000)
        backlog.set_kinds(cell_case.POOL, frozenset((need,)), ())
        self.submit(
            cell_case.make_definition('aa', cell_case.make_step(2, cpu=8_000))
        )
        pool = cell_case.POOL
        self.assertEqual(0, backlog.waiting_in_pool(pool, None, _factor).tasks)
        kinds = frozenset((need, workflow.Need(8_000, 100_000)))
        backlog.set_kinds(pool, kinds, self.state.table.ready_steps.values())
        self.assertEqual(2, backlog.waiting_in_pool(pool, None, _factor).tasks)

    def test_work_is_counted_by_rank(self):
        """Guard against urgent work that waits for less urgent work."""
        for number, priority in enumerate((0, 1, 1, 2)):
            self.submit(
                cell_case.make_definition(
                    f'{number:016x}', cell_case.make_step(), priority=priority
                )
            )
        backlog = self.state.table.backlog
        counts = [
            backlog.waiting_in_pool(cell_case.POOL, rank, _factor).tasks
            for rank in ((False, 0), (False, 1), (False, 2), (True, 0))
        ]
        self.assertEqual([1, 3, 4, 4], counts)
