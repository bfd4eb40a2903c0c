"""Test which work is refused when capacity is short, and until when."""

import io
import itertools
import json
import random
import time

import msgspec

from basilspindle.cell import configuration_index
from basilspindle.cell.decisions import backlog as backlog_module
from basilspindle.cell.decisions import expected_start
from basilspindle.cell import messages
from basilspindle.cell import metrics
from basilspindle.cell import report as report_module
from basilspindle.cell import worker as worker_module
from basilspindle import errors
from basilspindle import events
from basilspindle import workflow
from tests import cell_case
from tests import test_refusal_promises

_Kind = report_module.EndKind
_SMALL = workflow.Need(4_000, 100_000)


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
        definition = cell_case.make_definition(
            'aa', cell_case.make_step(2, cpu=8_000)
        )
        self.intake.adopt(workflow.Job(definition, self.now_ms), self.now_ms)
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


class ShortageCase(cell_case.CellCase):
    """Fleet of four workers of 16 cores with three kinds of work.

    ``urgent`` has short tasks, ``batch`` is less urgent, and ``wide`` needs
    most of the fleet.
    """

    def setUp(self):
        super().setUp()
        self.configure()
        for number in range(4):
            self.add_worker(f'w{number}', cpu=16_000)
        self.numbers = itertools.count(1)

    def configure(self, limit=workflow.Need(), share=0.0, advice=None):
        queues = [
            cell_case.make_queue('urgent', priority=0, advice=advice),
            cell_case.make_queue('batch', priority=2),
        ]
        shares = {'calm': 0.0, 'busy': share}
        self.state.configuration_index = (
            configuration_index.ConfigurationIndex(
                cell_case.make_configuration(queues, limit, shares=shares)
            )
        )

    def define(self, count=1, cpu=1_000, workspace='calm', **changes):
        values = {'queue': 'batch', 'priority': 2}
        if changes.pop('urgent', False):
            # Objective of 1.5 s.
            values = {
                'queue': 'urgent',
                'priority': 0,
                'stretch': 1.5,
                'target_latency_ms': 300,
            }
            changes.setdefault('estimate_ms', 800)
        for name in ('stretch', 'target_latency_ms', 'priority'):
            if name in changes:
                values[name] = changes.pop(name)
        return cell_case.make_definition(
            f'{next(self.numbers):016x}',
            cell_case.make_step(count, cpu=cpu, **changes),
            workspace=workspace,
            **values,
        )

    def expect(self, definition, is_beyond_share=False):
        return expected_start.expected_start_ms(
            self.state, definition, is_beyond_share, self.now_ms
        )

    def try_submit(self, definition):
        """Return the refusal, None if the job was accepted."""
        try:
            self.submit(definition)
        except errors.CapacityShort as error:
            return error
        return None

    def fill(self, cores=64, **changes):
        """Start one-core tasks that occupy so many cores."""
        definition = self.define(cores, **changes)
        self.intake.adopt(workflow.Job(definition, self.now_ms), self.now_ms)
        self.record()
        return self.start_all(self.plan())

    def advance(self, duration_ms):
        self.now_ms += duration_ms
        for name, worker in self.state.workers.items():
            rows = [(task.name, task.run) for task in worker.tasks.values()]
            self.report(name, rows)


class ExpectedStartTest(ShortageCase):
    """Guard the expected start against loads whose outcome is known."""

    def test_a_job_starts_at_once_on_a_free_fleet(self):
        """Guard against delays that are expected without a shortage."""
        expectation = self.expect(self.define(64))
        self.assertEqual(self.now_ms, expectation.start_ms)
        self.assertEqual(self.now_ms + 1_000, expectation.end_ms)
        self.assertEqual('', expectation.reason)

    def test_running_work_frees_room_in_its_time(self):
        """Guard against an estimate that leaves out running work.

        Half of the cores, busy for 8 s, become free in 4 s.
        """
        self.fill(estimate_ms=8_000)
        wait_ms = self.expect(self.define(32)).start_ms - self.now_ms
        self.assertAlmostEqual(4_000, wait_ms, delta=200)

    def test_work_that_waits_longer_than_a_turn_counts_its_own_time(self):
        """Guard against a backlog that seems as short as what runs now.

        Tasks of 1 s run, and three turns of tasks of 5 s wait.
        """
        self.fill()
        self.fill(192, estimate_ms=5_000)
        wait_ms = self.expect(self.define(1)).start_ms - self.now_ms
        self.assertGreater(wait_ms, 10_000)
        self.assertLess(wait_ms, 17_000)

    def test_less_urgent_work_delays_nothing(self):
        """Guard against urgent work that waits for other work."""
        self.fill(estimate_ms=4_000)
        self.fill(640, estimate_ms=4_000)
        expectation = self.expect(self.define(1, urgent=True))
        self.assertLess(expectation.start_ms - self.now_ms, 200)

    def test_work_beyond_a_share_delays_no_other(self):
        """Guard against a calm workspace behind a busy one."""
        self.fill(estimate_ms=4_000)
        before = self.expect(self.define(4)).start_ms
        definition = self.define(640)
        job = workflow.Job(definition, self.now_ms)
        job.is_beyond_share = True
        self.intake.adopt(job, self.now_ms)
        self.assertEqual(before, self.expect(self.define(4)).start_ms)
        self.assertGreater(
            self.expect(self.define(4), is_beyond_share=True).start_ms,
            before + 4_000,
        )

    def test_only_workers_that_take_work_count(self):
        """Guard against room on workers that are leaving."""
        for name in ('w0', 'w1', 'w2'):
            self.state.workers[name].ready = False
        expectation = self.expect(self.define(1))
        self.assertEqual(16_000, expectation.free_millicores)

    def test_shape_counts(self):
        """Guard against room in parts that no task fits into."""
        self.fill(4 * 9, estimate_ms=4_000, max_per_worker=9)
        self.advance(100)
        expectation = self.expect(self.define(1, cpu=8_000))
        self.assertGreater(expectation.start_ms, self.now_ms)
        self.assertEqual(28_000, expectation.free_millicores)

    def test_the_limit_of_the_workspace_binds(self):
        """Guard against a job that waits for a limit on a free fleet."""
        self.configure(workflow.Need(cpu_millicores=8_000))
        self.fill(8, estimate_ms=4_000)
        self.advance(100)
        wait_ms = self.expect(self.define(8)).start_ms - self.now_ms
        self.assertAlmostEqual(4_000, wait_ms, delta=200)
        other = self.expect(self.define(8, workspace='busy'))
        self.assertEqual(self.now_ms, other.start_ms)

    def test_what_waits_for_a_limit_delays_no_other_workspace(self):
        """Guard against refusals for work that the fleet has room for."""
        self.configure(workflow.Need(cpu_millicores=8_000))
        self.fill(640, workspace='busy', estimate_ms=4_000)
        self.advance(100)
        expectation = self.expect(self.define(8))
        self.assertEqual(self.now_ms, expectation.start_ms)

    def test_advice_that_approves_no_worker_delays_no_other_queue(self):
        """Guard against a queue whose advice stops all others.

        Failure: the advice service refuses everything, or is late.
        """
        terms = workflow.AdviceTerms(100, 1, 2_000)
        definition = self.define(640, urgent=True)
        for outcome in ('pending', 'refused'):
            job = workflow.Job(
                msgspec.structs.replace(
                    definition, job_id=outcome, advice=terms
                ),
                self.now_ms,
            )
            self.intake.adopt(job, self.now_ms)
            self.configure(advice=terms)
            if outcome == 'refused':
                [run] = job.runs.values()
                run.tickets = {}
                self.state.table.count_ready_step(run)
            expectation = self.expect(self.define(8))
            self.assertEqual(self.now_ms, expectation.start_ms)

    def test_it_changes_nothing(self):
        """Guard against a dry run that takes part of the room."""
        self.fill(estimate_ms=4_000)
        definition = self.define(32)
        first = self.expect(definition)
        for _ in range(3):
            again = self.expect(definition)
            self.assertEqual(first.start_ms, again.start_ms)
        self.assertEqual(0, len(self.state.retry_promises))


class AdmissionTest(ShortageCase):
    """Guard which jobs are refused when capacity is short."""

    def test_room_that_is_free_is_used_by_anyone(self):
        """Guard against refusals while capacity is idle.

        In runs of the first deployment, work beyond its workspace's share was
        refused while there was free capacity.
        """
        self.configure(share=0.1)
        for _ in range(10):
            definition = self.define(4, workspace='busy')
            self.assertIsNone(self.try_submit(definition))
            self.start_all(self.plan())

    def test_a_busy_workspace_yields_first(self):
        """Guard against a calm workspace that is refused instead."""
        self.configure(share=0.1)
        self.fill(estimate_ms=8_000, workspace='busy')
        self.submit(self.define(1, workspace='busy'))
        self.submit(self.define(1, workspace='busy'))
        kinds = {'count': 16, 'target_latency_ms': 2_000}
        refusal = self.try_submit(self.define(workspace='busy', **kinds))
        self.assertEqual('beyond_share', refusal.details['reason'])
        self.assertIsNone(self.try_submit(self.define(**kinds)))

    def test_short_urgent_work_is_refused_last(self):
        """Guard against refusals after which a short job is late.

        Triage of the first deployment: an objective of 1.5 s, and callers
        come back after 1 s or more.
        """
        self.fill(estimate_ms=4_000)
        for _ in range(200):
            self.submit(self.define(1, estimate_ms=200, stretch=100.0))
        wide = self.try_submit(self.define(64, estimate_ms=5_000))
        self.assertEqual('capacity', wide.details['reason'])
        # The running tasks free 16 cores a second.
        for _ in range(6):
            urgent = self.define(2, urgent=True)
            self.assertIsNone(self.try_submit(urgent))

    def test_wide_work_yields_before_narrow_work(self):
        """Guard against many refused jobs in place of one.

        Both kinds have the same slack, which the wait uses up in part.
        """
        for _ in range(50):
            self.state.arrivals.add_submitted(
                cell_case.POOL, 1_000_000, self.now_ms
            )
        self.fill(estimate_ms=4_000)
        kinds = {'target_latency_ms': 2_500, 'stretch': 1.0}
        narrow = self.define(1, cpu=16_000, **kinds)
        wide = self.define(32, **kinds)
        self.assertEqual('', self.expect(wide).reason)
        self.assertIsNotNone(self.try_submit(wide))
        self.assertIsNone(self.try_submit(narrow))

    def test_what_no_worker_or_limit_holds_is_refused(self):
        """Guard against accepted gangs that never start."""
        self.configure(workflow.Need(cpu_millicores=20_000))
        refusal = self.try_submit(self.define(1, cpu=17_000))
        self.assertEqual('no_worker_fits', refusal.details['reason'])
        refusal = self.try_submit(self.define(3, cpu=8_000, gang=True))
        self.assertEqual('above_limit', refusal.details['reason'])

    def test_gangs_that_never_fit_together_are_refused(self):
        """Guard against accepted gangs that never start.

        The tasks allowed on a worker and the rack of a gang were not counted:
        such gangs were left at the end of random plays.
        """
        self.add_worker('w4', cpu=16_000, rack='r2')
        for count, changes in (
            (5, {'max_per_worker': 1}),
            (64, {'same_rack': True}),
        ):
            job = self.define(count, gang=True, **changes)
            self.assertIsNone(self.try_submit(job))
            job = self.define(count + 1, gang=True, **changes)
            refusal = self.try_submit(job)
            self.assertEqual('no_worker_fits', refusal.details['reason'])

    def test_late_callers_leave_the_share_to_new_jobs(self):
        """Guard against a busy workspace whose jobs are all late.

        Replays a workspace at six times its share beside a full fleet. On the
        first deployment, callers that came back late used up its share, and
        new jobs were refused and late in turn.
        """
        self.configure(share=5.0)
        on_time = set()
        retries = []
        for _ in range(160):
            # The calm workspace fills what is free.
            self.fill(4, estimate_ms=2_000)
            returning = [job for at_ms, job in retries if at_ms <= self.now_ms]
            retries = [row for row in retries if row[0] > self.now_ms]
            new = [
                self.define(1, workspace='busy', urgent=True) for _ in range(3)
            ]
            for definition in returning + new:
                refusal = self.try_submit(definition)
                if refusal is None:
                    continue
                at_ms = self.now_ms + refusal.retry_after_ms
                retries.append((at_ms, definition))
            self.start_all(self.plan())
            self.advance(100)
            for worker in self.state.workers.values():
                for task in list(worker.tasks.values()):
                    step = task.step_run.step
                    if self.now_ms - task.started_ms < step.estimate_ms:
                        continue
                    job = task.step_run.job
                    due_ms = self.state.due_times_ms[job.job_id]
                    if job.definition.priority == 0 and self.now_ms <= due_ms:
                        on_time.add(job.job_id)
                    self.report_end(worker.worker_id, task.name, task.run)
            self.record()
        # Five jobs a second for 16 s are within the share.
        self.assertGreaterEqual(len(on_time), 0.8 * 5 * 16)

    def test_a_slow_queue_is_served_on_a_free_fleet(self):
        """Guard against refusals because estimates are too low."""
        definition = self.define(2, urgent=True)
        self.state.queue_durations(definition).factor = 4.0
        self.assertIsNone(self.try_submit(definition))

    def test_the_refusal_tells_what_was_ahead(self):
        """Guard against refusals that an operator can't explain."""
        self.fill(estimate_ms=8_000)
        refusal = self.try_submit(self.define(64, workspace='busy'))
        self.assertIs(errors.Ran.NO, refusal.ran)
        self.assertEqual('overloaded', refusal.kind)
        self.assertEqual('busy', refusal.details['workspace'])
        self.assertEqual('batch', refusal.details['queue'])
        self.assertEqual('capacity', refusal.details['reason'])
        self.assertEqual(0, refusal.details['free_millicores'])
        self.assertEqual(0, refusal.details['ahead_millicores'])
        self.assertGreater(refusal.details['expected_start_in_ms'], 6_000)


class RetryAfterTest(ShortageCase):
    """Guard when refused callers are told to come back."""

    def refuse(self, count=16, **changes):
        definition = self.define(count, **changes)
        refusal = self.try_submit(definition)
        self.assertIsNotNone(refusal)
        return definition, refusal.retry_after_ms

    def test_callers_come_back_when_there_is_room(self):
        """Guard against retries into the same overload.

        Each job takes a quarter of what runs, which ends within 16 s, so that
        there is room for one every 4 s.
        """
        self.fill(estimate_ms=16_000)
        times = []
        for _ in range(5):
            refusal = self.try_submit(
                self.define(16, target_latency_ms=15_000, stretch=0.0)
            )
            times.append(refusal.retry_after_ms if refusal else 0)
        accepted = times.count(0)
        self.assertGreaterEqual(accepted, 2)
        self.assertEqual(sorted(times), times)
        self.assertGreaterEqual(times[-1], 12_000)
        self.assertTrue(all(ms % 1_000 == 0 for ms in times))

    def test_the_more_urgent_comes_back_first(self):
        """Guard against urgent work that waits for other callers."""
        self.fill(estimate_ms=4_000)
        kinds = {'target_latency_ms': 500}
        self.refuse(32, **kinds)
        _, less = self.refuse(32, **kinds)
        _, more = self.refuse(32, priority=1, **kinds)
        self.assertLess(more, less)

    def test_no_newcomer_overtakes_a_caller_that_waited(self):
        """Guard against callers that never get their turn."""
        running = self.fill(estimate_ms=4_000)
        kinds = {'stretch': 1.0, 'target_latency_ms': 800}
        definition, retry_ms = self.refuse(32, **kinds)
        self.advance(retry_ms - 500)
        for start in running[:32]:
            self.report_end(start.worker_id, start.task.name, start.run)
        self.advance(450)
        newcomer = self.try_submit(self.define(32, **kinds))
        self.assertIsNotNone(newcomer)
        self.advance(60)
        self.assertIsNone(self.try_submit(definition))
        self.assertEqual(1, len(self.state.retry_promises))

    def test_a_late_caller_does_not_wait_for_itself(self):
        """Guard against refusals while all room that a job needs is free.

        A caller that comes back late ranks behind others where its workspace
        has a share, and its own promise counted as work of another one.
        """
        self.configure(share=10.0)
        running = self.fill(estimate_ms=4_000)
        definition, retry_ms = self.refuse(
            60, workspace='busy', stretch=1.0, target_latency_ms=500
        )
        for start in running[:60]:
            self.report_end(start.worker_id, start.task.name, start.run)
        self.advance(retry_ms)
        self.assertIsNone(self.try_submit(definition))

    def test_no_room_is_kept_for_callers_beyond_the_share(self):
        """Guard against new jobs that are refused for callers that are late.

        On the first deployment, room for hundreds of returning callers of one
        workspace was kept from its new jobs, which were late in turn.
        """
        self.configure(share=0.1)
        for _ in range(2):
            self.submit(self.define(1, workspace='busy'))
        running = self.fill(62, estimate_ms=4_000)
        kinds = {'workspace': 'busy', 'urgent': True}
        retry_ms = min(self.refuse(48, **kinds)[1] for _ in range(8))
        self.advance(retry_ms - 200)
        for start in running[:8]:
            self.report_end(start.worker_id, start.task.name, start.run)
        self.advance(100)
        self.assertIsNone(self.try_submit(self.define(1, **kinds)))

    def test_a_job_without_value_is_taken_where_room_is_free(self):
        """Guard against a caller that is refused for ever on a free fleet.

        A daemon process refused each repeat of a job with 16 cores free.
        """
        running = self.fill(estimate_ms=4_000)
        definition, _ = self.refuse(32, target_latency_ms=500)
        for _ in range(12):
            self.advance(1_000)
            self.assertIsNotNone(self.try_submit(definition))
        for start in running:
            self.report_end(start.worker_id, start.task.name, start.run)
        self.advance(1_000)
        self.assertIsNone(self.try_submit(definition))

    def test_the_objective_counts_from_the_first_time(self):
        """Guard against a late job that is taken for one on time."""
        running = self.fill(estimate_ms=4_000)
        definition, retry_ms = self.refuse(32, target_latency_ms=500)
        first_ms = self.now_ms
        self.advance(retry_ms)
        for start in running:
            self.report_end(start.worker_id, start.task.name, start.run)
        self.advance(60)
        self.assertIsNone(self.try_submit(definition))
        due_ms = self.state.due_times_ms[definition.job_id]
        self.assertEqual(first_ms + 2_500, due_ms)

    def test_a_new_leader_serves_a_caller_of_its_predecessor(self):
        """Guard against a caller that a change of leader turns away.

        Failure: the leader changes between a refusal and the retry.
        """
        self.fill(estimate_ms=4_000)
        definition, retry_ms = self.refuse(64)
        self.make_state(term=1)
        self.configure()
        for number in range(4):
            self.add_worker(f'w{number}', cpu=16_000)
        self.now_ms += retry_ms
        self.assertIsNone(self.try_submit(definition))

    def test_promises_are_bounded_and_end(self):
        """Guard against memory that grows with each refused caller.

        Failure: ten thousand submissions in a second.
        """
        self.fill(estimate_ms=60_000)
        began = time.process_time()
        for number in range(10_000):
            if number % 10 == 0:
                self.now_ms += 1
            workspace = f'ws{number % 30}'
            self.assertIsNotNone(
                self.try_submit(self.define(64, workspace=workspace))
            )
        took_s = time.process_time() - began
        self.assertLessEqual(len(self.state.retry_promises), 4_096)
        self.assertGreater(len(self.state.retry_promises), 3_000)
        # 1 ms each is a whole core for a second; 0.1 ms is usual.
        self.assertLess(took_s, 10)
        self.now_ms += 40_000
        self.state.retry_promises.expire(self.now_ms)
        self.assertEqual(0, len(self.state.retry_promises))
        self.assertEqual(
            0,
            self.state.retry_promises.millicores_until(
                cell_case.POOL, (True, 9)
            ),
        )


class FailureTest(ShortageCase):
    """Guard decisions while a part of the system has failed."""

    def test_missing_reports_leave_room_on_other_workers(self):
        """Guard against room that nobody knows of.

        Failure: a third of the workers don't report.
        """
        self.add_worker('w4', cpu=16_000)
        self.add_worker('w5', cpu=16_000)
        self.now_ms += 3_000
        for name in ('w0', 'w1', 'w2', 'w3'):
            self.report(name)
        expectation = self.expect(self.define(1))
        self.assertEqual(64_000, expectation.free_millicores)
        self.assertIsNone(self.try_submit(self.define(64)))

    def test_before_any_report_nothing_is_refused(self):
        """Guard against a new leader that refuses all."""
        for worker in self.state.workers.values():
            worker.reported = False
        self.assertIsNone(self.try_submit(self.define(64)))

    def test_a_worker_that_is_missing_for_a_moment_refuses_nothing(self):
        """Guard against refusals for 10 s while a worker restarts.

        Failure: the registry entry of the only worker that a step fits on is
        missing. What never fits is still refused, and so is the step once
        the worker has been missing for longer.
        """
        self.add_worker('w4', cpu=32_000)
        self.assertIsNone(self.try_submit(self.define(1)))
        del self.state.workers['w4']
        for _ in range(6):
            self.now_ms += 5_000
            for name in ('w0', 'w1', 'w2', 'w3'):
                self.report(name)
            self.assertIsNone(self.try_submit(self.define(1, cpu=30_000)))
            refusal = self.try_submit(self.define(1, cpu=33_000))
            self.assertEqual('no_worker_fits', refusal.details['reason'])
        self.now_ms += 1_000
        refusal = self.try_submit(self.define(1, cpu=30_000))
        self.assertEqual('no_worker_fits', refusal.details['reason'])

    def test_the_first_reports_to_a_new_leader_refuse_nothing(self):
        """Guard against refusals by the room of a few of many workers.

        Failure: the leader has changed, and 3 of 32 workers have reported.
        The work that waits, as far as is known, runs on the others. A gang
        was told to come back after 8 s.
        """
        for number in range(4, 32):
            self.add_worker(f'w{number}', cpu=16_000)
        for worker in self.state.workers.values():
            worker.reported = False
            self.state.awaited_workers.expect(
                worker.worker_id, self.now_ms + 10_000
            )
        jobs = [self.adopt(self.define(8, urgent=True)) for _ in range(60)]
        for job in jobs:
            job.recovered = True
        gang = {'estimate_ms': 5_000, 'gang': True}
        for number, job in enumerate(jobs[:32]):
            if number == 3:
                self.plan()
                self.assertIsNone(
                    self.try_submit(self.define(20, cpu=4_500, **gang))
                )
            [run] = job.runs.values()
            self.report(f'w{number}', [(task.name, 1) for task in run.tasks])
        self.now_ms += 60
        self.assertEqual(
            32 * 8_000, self.expect(self.define()).free_millicores
        )

    def test_limits_bind_although_a_lost_worker_is_awaited(self):
        """Guard against work that is accepted for a limit that is used up.

        Failure: the leader has changed, and one of many workers is lost for
        good, so that it is awaited for 15 s.
        """
        self.configure(workflow.Need(cpu_millicores=8_000))
        self.fill(8, estimate_ms=8_000)
        self.state.awaited_workers.expect('lost', self.now_ms + 15_000)
        refusal = self.try_submit(self.define(8, target_latency_ms=1_000))
        self.assertEqual('workspace_limit', refusal.details['reason'])

    def test_a_limit_below_what_runs_ends_in_refusals(self):
        """Guard against work accepted for a limit that is used up.

        Failure: a limit is lowered below what runs.
        """
        self.fill(32, estimate_ms=8_000)
        self.configure(workflow.Need(cpu_millicores=8_000))
        self.advance(100)
        refusal = self.try_submit(self.define(1, target_latency_ms=1_000))
        self.assertEqual('workspace_limit', refusal.details['reason'])
        self.assertIsNone(self.try_submit(self.define(8, workspace='busy')))

    def test_a_removed_workspace_does_not_stop_others(self):
        """Guard against totals of a workspace that is gone.

        Failure: a workspace is removed while its work waits.
        """
        self.fill(640, workspace='gone', estimate_ms=4_000)
        self.refuse_other()
        for job in list(self.state.table.jobs.values()):
            self.state.end_job(job, workflow.JobState.CANCELLED)
        for worker in self.state.workers.values():
            self.state.requeue_worker_tasks(worker)
        self.advance(100)
        self.assertIsNone(self.try_submit(self.define(64)))

    def refuse_other(self):
        self.assertIsNotNone(self.try_submit(self.define(64)))

    def test_a_job_withdrawn_in_an_outage_leaves_nothing_behind(self):
        """Guard against room taken by jobs that no append holds.

        Failure: the store is unavailable while capacity is short.
        """
        self.fill(estimate_ms=2_000)
        before = self.expect(self.define(1)).start_ms
        job = self.intake.submit(self.define(8), self.now_ms)
        self.assertGreater(self.expect(self.define(1)).start_ms, before)
        self.assertTrue(self.intake.withdraw(job))
        self.assertEqual(
            0,
            self.state.table.backlog.waiting_in_pool(
                cell_case.POOL, None, _factor
            ).tasks,
        )


class LogTest(test_refusal_promises.LeaderCase):
    """Guard what an operator can see of a refusal."""

    async def test_the_line_and_the_counter_name_the_reason(self):
        """Guard against refusals that can't be told apart."""
        state = self.leader.state
        worker = worker_module.Worker(
            'w', 'w:1', cell_case.POOL, 'r', 'a', frozenset(), _SMALL
        )
        state.workers['w'] = worker
        definition = cell_case.make_definition(
            'aa', cell_case.make_step(cpu=8_000)
        )
        counter = metrics.REFUSALS.labels('no_worker_fits')
        before = counter._value.get()
        stream = io.StringIO()
        events.configure_logging(stream)
        self.addCleanup(events.configure_logging, io.StringIO())
        reply = await self.leader.handle(messages.Submit(definition, 1_000, 1))
        self.assertIsInstance(reply, messages.Refused)
        self.assertEqual('overloaded', reply.kind)
        self.assertEqual(10_000, reply.retry_after_ms)
        [line] = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertEqual(911, line['event'])
        self.assertEqual('no_worker_fits', line['reason'])
        self.assertEqual(cell_case.WORKSPACE, line['workspace'])
        self.assertEqual(cell_case.QUEUE, line['queue'])
        for field in (
            'job',
            'retry_after_ms',
            'beyond_share',
            'expected_start_in_ms',
            'expected_end_in_ms',
            'due_in_ms',
            'ahead_millicores',
            'free_millicores',
        ):
            self.assertIn(field, line)
        self.assertEqual(before + 1, counter._value.get())
