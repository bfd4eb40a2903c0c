"""Test the order of waiting jobs when the fleet is full."""

from basilspindle.cell import start_outcome
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
