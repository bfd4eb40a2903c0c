"""Test the order of waiting jobs when the fleet is full."""

from basilspindle.cell.decisions import urgency
from basilspindle.cell import start_outcome
from basilspindle import workflow
from tests import cell_case

_LATE = '00000000000000aa'
_TIMELY = '00000000000000bb'


class OrderTest(cell_case.CellCase):
    """One core for two one-second jobs, with an objective of 3 s."""

    def setUp(self):
        super().setUp()
        self.add_worker('w1', cpu=1_000)

    def submit_job(self, job_id, **changes):
        step = cell_case.make_step()
        return self.submit(cell_case.make_definition(job_id, step, **changes))

    def first_started_job_id(self):
        [start] = self.plan().starts
        return start.task.step_run.job.job_id

    def test_jobs_that_can_be_on_time_go_first(self):
        """Guard against a late job that delays jobs which are on time."""
        late = self.submit_job(_LATE)
        # Its result has no value after three times its objective.
        late.accepted_ms -= 9_000
        self.state.due_times_ms[_LATE] = late.accepted_ms + 3_000
        self.submit_job(_TIMELY)
        self.assertEqual(_TIMELY, self.first_started_job_id())

    def test_the_job_with_the_least_time_left_goes_first(self):
        """Guard against jobs that are started in the order of their ids."""
        self.submit_job(_LATE, target_latency_ms=5_000)
        self.submit_job(_TIMELY)
        self.assertEqual(_TIMELY, self.first_started_job_id())

    def test_an_urgent_class_goes_first(self):
        """Guard against urgent jobs behind less urgent ones."""
        self.submit_job(_LATE, priority=2)
        self.submit_job(_TIMELY, priority=0, target_latency_ms=60_000)
        self.assertEqual(_TIMELY, self.first_started_job_id())


class LateTest(cell_case.CellCase):
    """Guard the place of work that can no longer be on time.

    Each job takes 1 s on one core and has an objective of 3 s.
    """

    def setUp(self):
        super().setUp()
        self.now_ms = 1_000_000
        self.add_worker('w1', cpu=1_000)

    def submit_job(self, number, sent_before_ms=0, **changes):
        """Add an accepted job that its caller first sent so long ago."""
        definition = cell_case.make_definition(
            f'{number:016x}', cell_case.make_step(**changes), priority=1
        )
        job = workflow.Job(definition, self.now_ms)
        job.first_sent_ms -= sent_before_ms
        self.intake.adopt(job, self.now_ms)
        self.record()
        return job

    def order(self):
        key = urgency.Urgency(self.now_ms, self.state.due_times_ms)
        runs = sorted(self.state.table.ready_steps.values(), key=key)
        return [run.job for run in runs]

    def test_late_work_comes_after_work_that_can_be_on_time(self):
        """Guard against late jobs that make the next ones late as well.

        In a run of the first deployment the accepted backlog was processed
        late, in order of due time, and new short work waited behind it.
        """
        late = self.submit_job(1, sent_before_ms=4_000)
        worthless = self.submit_job(2, sent_before_ms=20_000)
        timely = self.submit_job(3)
        self.assertEqual([timely, late, worthless], self.order())

    def test_an_estimate_may_be_somewhat_too_long(self):
        """Guard against jobs that are given up while they may be on time.

        With 0.9 s left for a declared second, most jobs whose estimates are
        off by 0.2 to 0.9 are not late yet.
        """
        near = self.submit_job(1, sent_before_ms=2_100)
        timely = self.submit_job(2)
        self.assertEqual([near, timely], self.order())

    def test_of_late_work_the_widest_comes_last(self):
        """Guard against many late jobs that wait for one wide one."""
        wide = self.submit_job(1, sent_before_ms=4_500, count=40)
        narrow = [self.submit_job(n, sent_before_ms=4_000) for n in (2, 3)]
        self.assertEqual([*narrow, wide], self.order())

    def test_late_work_does_not_wait_for_ever(self):
        """Guard against an accepted job that starves.

        More urgent jobs than the worker can run come all the time.
        """
        late = self.submit_job(1, sent_before_ms=60_000)
        late.is_beyond_share = True
        began_ms = self.now_ms
        number = 1
        while not late.started:
            for _ in range(2):
                number += 1
                definition = cell_case.make_definition(
                    f'{number:016x}', cell_case.make_step()
                )
                self.intake.adopt(
                    workflow.Job(definition, self.now_ms), self.now_ms
                )
            self.record()
            starts = self.start_all(self.plan())
            self.now_ms += 1_000
            for start in starts:
                self.report_end('w1', start.task.name, start.run)
            self.report('w1')
            # Its turn is one second of ten.
            self.assertLess(self.now_ms - began_ms, 72_000)

    def test_work_without_value_gets_a_small_part_of_the_room(self):
        """Guard against new work that waits behind the backlog of an outage.

        All of it has waited for longer than a minute and comes to nothing.
        """
        for number in range(1, 60):
            job = self.submit_job(number, sent_before_ms=120_000)
            for run in job.runs.values():
                run.ready_ms -= 120_000
        starts = []
        for number in range(1_000, 1_030):
            self.submit_job(number)
            starts += self.start_all(self.plan())
            self.now_ms += 1_000
            self.report_end('w1', starts[-1].task.name, starts[-1].run)
            self.record()
            self.report('w1')
        timely = [
            start
            for start in starts
            if int(start.task.step_run.job.job_id, 16) >= 1_000
        ]
        self.assertEqual(30, len(starts))
        self.assertEqual(27, len(timely))

    def test_long_work_keeps_its_place(self):
        """Guard against work that may wait and displaces urgent work.

        Its objective is 10 minutes, of which it has waited for two.
        """
        definition = cell_case.make_definition(
            f'{1:016x}',
            cell_case.make_step(),
            priority=2,
            target_latency_ms=600_000,
        )
        job = workflow.Job(definition, self.now_ms)
        self.intake.adopt(job, self.now_ms)
        self.record()
        self.now_ms += 120_000
        urgent = self.submit_job(2)
        self.assertEqual([urgent, job], self.order())


class UnansweredStartTest(cell_case.CellCase):
    """Guard the use of workers that leave start orders unanswered."""

    def setUp(self):
        super().setUp()
        for name in ('w1', 'w2'):
            self.add_worker(name, cpu=20_000)

    def start_job(self, number):
        self.submit(
            cell_case.make_definition(f'{number:016x}', cell_case.make_step())
        )
        [start] = self.plan().starts
        return start

    def test_a_worker_without_answers_comes_last_until_it_answers(self):
        """Guard against tasks lost on the worker, or never using it again."""
        start = self.start_job(1)
        self.assertEqual('w1', start.worker_id)
        self.apply_outcome(start, start_outcome.StartOutcome.UNKNOWN)
        self.state.take_orders()
        self.now_ms += 2_000
        for name in ('w1', 'w2'):
            self.report(name)
        # w1 is fuller and would be chosen but for the unanswered start.
        later = self.start_job(2)
        self.assertEqual('w2', later.worker_id)
        self.apply_outcome(later)
        worker = self.state.workers['w1']
        for _ in range(5):
            worker.record_success()
        self.assertEqual(0, round(worker.failure_score))
