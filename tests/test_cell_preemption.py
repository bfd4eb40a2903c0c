"""Test that gangs get room on a fleet that is nearly full."""

from unittest import mock

from basilspindle.cell.decisions import preemption
from basilspindle.cell import report as report_module
from basilspindle import workflow
from basilspindle.workflow import task_state
from tests import cell_case

_GANG = '00000000000000aa'
_SMALL_MS = 3_000
_STEP_MS = 100
# A gang of 1 s with twice that and 1 s more to end in has this much to wait.
_SLACK_MS = 2_000
# How long a worker takes to stop a task.
_STOP_MS = 300


class CrowdedCase(cell_case.CellCase):
    """Fleet whose small tasks take each core as soon as it is free."""

    def make_crowd(self, limit=workflow.Need()):
        queues = [
            cell_case.make_queue('queue', priority=1),
            cell_case.make_queue('small', priority=2),
        ]
        self.make_state(
            configuration=cell_case.make_configuration(queues, limit)
        )
        self.running = {}
        self.small_jobs = 0
        self.stopped = []

    def submit_small(self, count=1, **changes):
        for _ in range(count):
            self.small_jobs += 1
            step = cell_case.make_step(
                estimate_ms=_SMALL_MS, **{'checkpoints': True, **changes}
            )
            self.submit(
                cell_case.make_definition(
                    f'{self.small_jobs:016x}',
                    step,
                    queue='small',
                    priority=2,
                    stretch=8.0,
                )
            )

    def submit_gang(self, count=3, cpu=3_000, **changes):
        # Its expected start is tested elsewhere; this one is accepted already.
        step = cell_case.make_step(count, cpu=cpu, gang=True)
        definition = cell_case.make_definition(
            _GANG, step, priority=1, **changes
        )
        job = self.intake.adopt(
            workflow.Job(definition, self.now_ms), self.now_ms
        )
        self.record()
        return job

    def advance(self):
        """Play one time step: ends and stops of tasks, then a plan."""
        self.now_ms += _STEP_MS
        for name, row in list(self.running.items()):
            task, run, worker_name, end_ms = row
            if task.state is task_state.TaskState.STOPPING:
                end_ms = min(end_ms, task.stop_sent_ms + _STOP_MS)
            if self.now_ms < end_ms:
                continue
            del self.running[name]
            kind = report_module.EndKind.DONE
            if task.state is task_state.TaskState.STOPPING:
                kind = report_module.EndKind.STOPPED
                self.stopped.append(name)
            self.report_end(worker_name, name, run, kind)
        for name in self.state.workers:
            rows = [
                (task, run)
                for task, (_, run, worker, _) in self.running.items()
                if worker == name
            ]
            self.report(name, rows)
        for task, _, _, end_ms in self.running.values():
            left = (end_ms - self.now_ms) / task.step_run.step.estimate_ms
            task.percent = max(0, round(100 - 100 * left))
        self.record()
        orders = self.plan()
        for order in orders.stops:
            self.running[order.name][0].stop_sent_ms = self.now_ms
        for order in self.start_all(orders):
            # Ends come one by one, as they do in a busy fleet.
            duration_ms = _SMALL_MS + 100 * (len(self.running) % 8)
            self.running[order.task.name] = (
                order.task,
                order.run,
                order.worker_id,
                self.now_ms + duration_ms,
            )
        return orders

    def started(self):
        """Return the names of the started tasks of the gang."""
        return [name for name in self.running if name.startswith(_GANG)]


class GangRoomTest(CrowdedCase):
    """Guard gangs against smaller tasks that take all the room.

    On kwpa-refunds-large, day quiet-1, gangs of 9 to 40 tasks waited 10 to
    36 s while workers ran tasks of less urgent jobs that checkpoint.
    """

    def setUp(self):
        super().setUp()
        self.make_crowd()
        for number in range(6):
            self.add_worker(f'w{number}')
        self.submit_small(60)
        for _ in range(10):
            self.advance()

    def wait_for_gang(self, steps):
        for number in range(steps):
            self.submit_small()
            self.advance()
            if self.started():
                return number * _STEP_MS
        return None

    def test_a_gang_starts_although_small_tasks_wait(self):
        """Guard against a gang that waits as long as small tasks come."""
        self.submit_gang()
        waited_ms = self.wait_for_gang(30)
        self.assertIsNotNone(waited_ms)
        self.assertLessEqual(waited_ms, _SLACK_MS)
        self.assertEqual(3, len(self.started()))

    def test_no_more_tasks_are_stopped_than_the_gang_needs(self):
        """Guard against stops that make no room for the gang."""
        self.submit_gang()
        self.wait_for_gang(30)
        self.assertLessEqual(len(self.stopped), 9)

    def test_a_task_gives_way_only_once(self):
        """Guard against a task that never ends because of gangs."""
        tasks = [row[0] for row in self.running.values()]
        for task in tasks:
            task.preemptions = 1
        self.submit_gang()
        orders = self.advance()
        self.assertEqual([], orders.stops)

    def test_a_gang_that_is_too_late_stops_nothing(self):
        """Guard against stops for a result that has lost its value."""
        job = self.submit_gang()
        job.accepted_ms -= 60_000
        self.state.due_times_ms[_GANG] = job.accepted_ms + 3_000
        orders = self.advance()
        self.assertEqual([], orders.stops)

    def test_room_that_did_not_come_is_given_back(self):
        """Guard against idle room that is kept for a gang for ever."""
        self.submit_gang()
        orders = self.advance()
        self.assertTrue(orders.stops)
        kept = [worker.reserved for worker in self.state.workers.values()]
        self.assertTrue(any(need.cpu_millicores for need in kept))
        self.state.end_job(
            self.state.table.jobs[_GANG], workflow.JobState.CANCELLED
        )
        for worker in self.state.workers.values():
            self.assertEqual(0, worker.reserved.cpu_millicores)


class UrgentStepTest(CrowdedCase):
    """Guard urgent steps that are no gangs on a fleet full of other work.

    Each of their tasks needs three cores of one worker, and smaller tasks take
    each core as soon as it is free.
    """

    def setUp(self):
        super().setUp()
        self.make_crowd()
        for number in range(6):
            self.add_worker(f'w{number}')

    def fill(self, count=60):
        self.submit_small(count)
        for _ in range(4):
            self.advance()
        # They run on for long, so that no room becomes free by itself.
        for name, (task, run, worker, _) in self.running.items():
            self.running[name] = (task, run, worker, self.now_ms + 12_000)

    def submit_urgent(self, estimate_ms, count=2):
        step = cell_case.make_step(count, cpu=3_000, estimate_ms=estimate_ms)
        definition = cell_case.make_definition(
            _GANG, step, priority=1, stretch=1.0, target_latency_ms=2_000
        )
        self.intake.adopt(workflow.Job(definition, self.now_ms), self.now_ms)
        self.record()

    def test_an_urgent_step_gets_room_before_it_is_late(self):
        """Guard against urgent work that is late behind other work."""
        self.fill()
        self.submit_urgent(3_000)
        for _ in range(15):
            self.submit_small()
            self.advance()
        self.assertEqual(2, len(self.started()))
        self.assertLessEqual(len(self.stopped), 6)

    def test_a_short_step_is_not_worth_stops(self):
        """Guard against stops that cost more than the work they help."""
        self.fill()
        self.submit_urgent(1_000)
        for _ in range(15):
            self.assertEqual([], self.advance().stops)

    def test_a_stop_that_ends_too_late_is_not_ordered(self):
        """Guard against work that is discarded for a job that is late."""
        self.fill()
        self.submit_urgent(3_000)
        self.state.due_times_ms[_GANG] = self.now_ms + 3_500
        for _ in range(15):
            self.assertEqual([], self.advance().stops)

    def test_no_task_is_stopped_beside_one_that_is_enough(self):
        """Guard against stops whose room the step does not need.

        The smallest tasks were chosen first, and kept when a larger one had
        to be stopped as well.
        """
        for name in list(self.state.workers):
            del self.state.workers[name]
        self.add_worker('w0', cpu=6_000)
        for cpu in (1_000, 1_000, 4_000):
            self.submit_small(cpu=cpu)
        self.fill(0)
        self.assertEqual(3, len(self.running))
        self.submit_urgent(9_000, count=1)
        stops = []
        for _ in range(15):
            stops += [order.name for order in self.advance().stops]
        self.assertEqual(['0000000000000003.0.0.0'], stops)
        self.assertEqual(1, len(self.started()))

    def test_nothing_is_stopped_where_no_more_tasks_may_run(self):
        """Guard against stops on a worker that has all its tasks of a step.

        The room there is of no use to the step, and tasks of it that run
        were not counted.
        """
        self.submit(
            cell_case.make_definition(
                _GANG,
                cell_case.make_step(
                    7, cpu=2_000, estimate_ms=9_000, max_per_worker=1
                ),
                priority=1,
                stretch=1.0,
                target_latency_ms=4_000,
            )
        )
        self.advance()
        self.assertEqual(len(self.state.workers), len(self.started()))
        self.fill()
        for _ in range(30):
            self.advance()
        self.assertEqual([], self.stopped)

    def test_nothing_is_stopped_where_there_is_room(self):
        """Guard against discarded work on a fleet with room."""
        self.fill(12)
        self.submit_urgent(3_000)
        self.assertEqual([], self.advance().stops)
        self.assertEqual(2, len(self.started()))

    def test_stops_within_a_second_are_bounded(self):
        """Guard against a fleet that stops tasks in place of running them."""
        for number in range(6, 80):
            self.add_worker(f'w{number}')
        self.fill(400)
        for number in range(40):
            step = cell_case.make_step(4, cpu=4_000, gang=True)
            definition = cell_case.make_definition(
                f'{number + 1_000:016x}', step, priority=1
            )
            self.intake.adopt(
                workflow.Job(definition, self.now_ms), self.now_ms
            )
        self.record()
        stops = sum(len(self.advance().stops) for _ in range(10))
        self.assertGreater(stops, 90)
        self.assertLessEqual(stops, 150)

    def test_a_gang_that_has_waited_for_long_gets_room(self):
        """Guard against an accepted gang that never starts.

        Smaller tasks of the same priority come all the time.
        """
        for _ in range(10):
            self.submit_small(6)
            self.advance()
        step = cell_case.make_step(3, cpu=3_000, gang=True)
        definition = cell_case.make_definition(_GANG, step, priority=2)
        job = workflow.Job(definition, self.now_ms)
        self.intake.adopt(job, self.now_ms)
        self.record()
        [run] = job.runs.values()
        run.ready_ms -= 61_000
        job.accepted_ms = job.first_sent_ms = self.now_ms - 61_000
        self.state.due_times_ms[_GANG] = job.accepted_ms + 3_000
        # Its turn is one second of ten.
        for _ in range(130):
            self.submit_small()
            self.advance()
            if self.started():
                break
        self.assertEqual(3, len(self.started()))


class NoCheckpointTest(CrowdedCase):
    """Guard work that would be thrown away by a stop."""

    def test_tasks_without_checkpoints_do_not_give_way(self):
        """Guard against work that is lost to make room."""
        self.make_crowd()
        for number in range(4):
            self.add_worker(f'w{number}')
        self.submit_small(40, checkpoints=False)
        for _ in range(10):
            self.advance()
        self.submit_gang()
        orders = self.advance()
        self.assertEqual([], orders.stops)


class GangLimitTest(CrowdedCase):
    """Guard gangs against small tasks that take the workspace's limit."""

    def setUp(self):
        super().setUp()
        self.make_crowd(workflow.Need(cpu_millicores=12_000))
        for number in range(8):
            self.add_worker(f'w{number}')

    def test_a_gang_gets_its_part_of_the_limit(self):
        """Guard against a gang that its own workspace keeps waiting."""
        self.submit_small(60, checkpoints=False)
        for _ in range(10):
            self.advance()
        self.submit_gang()
        for _ in range(40):
            self.advance()
            if self.started():
                break
        self.assertEqual(3, len(self.started()))

    def test_own_tasks_that_checkpoint_give_way(self):
        """Guard against a wait for tasks that could continue later."""
        self.submit_small(60)
        for _ in range(10):
            self.advance()
        self.submit_gang()
        for _ in range(8):
            self.advance()
        self.assertEqual(3, len(self.started()))

    def test_a_workspace_below_half_is_not_held_for_long(self):
        """Guard against small work that waits while much of a limit is free.

        The gang needs three quarters of the limit, and a task that runs on
        keeps it from starting.
        """
        self.submit_small(4, checkpoints=False)
        self.advance()
        for row in list(self.running):
            task, run, worker, _ = self.running[row]
            self.running[row] = (task, run, worker, self.now_ms + 60_000)
        self.submit_gang()
        self.submit_small(2, checkpoints=False)
        for _ in range(19):
            self.advance()
        self.assertEqual(4, len(self.running))
        for _ in range(5):
            self.advance()
        self.assertEqual(6, len(self.running))

    def test_tasks_are_not_looked_for_in_each_pass(self):
        """Guard against passes that visit all tasks for each gang.

        Sweep of kwpa-refunds-large, 1,002 workers: GANG and LOST.
        """
        self.submit_small(60, checkpoints=False)
        for _ in range(10):
            self.advance()
        self.submit_gang()
        with mock.patch.object(
            preemption, 'plan_limit_preemption', return_value=[]
        ) as seek:
            for _ in range(10):
                self.now_ms += 20
                self.state.freed_workspaces.add(cell_case.WORKSPACE)
                self.plan()
        self.assertEqual(1, seek.call_count)

    def test_a_gang_above_the_limit_holds_nothing_back(self):
        """Guard against a workspace blocked by a gang that cannot start."""
        self.submit_gang(count=5)
        self.advance()
        self.submit_small(20)
        self.advance()
        self.assertEqual(12, len(self.running))
