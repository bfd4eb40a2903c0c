"""Test jobs, running tasks and ends of which one cannot be applied.

It must cost that job or task only: the others are recovered, reported and
ended, and no count of running tasks is left behind.
"""

from unittest import mock

from basilspindle.coordinator import housekeeping
from basilspindle.coordinator import recovery
from basilspindle.coordinator import task_end_handler
from basilspindle import journal
from basilspindle import model
from basilspindle.peer import messages
from tests import coordinator_case

_ODD_RESOURCES = (
    model.Resources(),
    model.Resources(2**53, 2**53, 2**53, 2**53),
    model.Resources(-(2**53), 1, 1, 1),
)


def _fail_for(owner, name, find_id):
    """Return a patch by which a function fails for the entry ``odd``."""
    original = getattr(owner, name)

    def call(*args, **options):
        if find_id(*args).startswith('odd'):
            raise ValueError('odd')
        return original(*args, **options)

    return mock.patch.object(owner, name, call)


class OddResourcesTest(coordinator_case.CoordinatorCase):
    """Guard against an end that cannot be subtracted from its workspace."""

    def running(self):
        queue = self.coordinator._queue
        return queue.running_tasks('red'), queue.running('red')

    async def check_end(self):
        await self.end(('j1/0', 7))
        self.assertEqual(model.State.SUCCEEDED, (await self.view('j1')).state)
        self.assertEqual((0, model.Resources()), self.running())

    async def test_task_of_a_recorded_job(self):
        """Guard against an end that its holder reports for ever."""
        for resources in _ODD_RESOURCES:
            with self.subTest(resources=resources):
                await self.asyncSetUp()
                self.journal.state.jobs['j1'] = journal.JobEntry(self.job())
                self.activate([self.running_task('j1/0', resources=resources)])
                await self.check_end()

    async def test_task_of_a_job_that_is_submitted_again(self):
        """Guard against a count that outlasts the task."""
        for resources in _ODD_RESOURCES:
            with self.subTest(resources=resources):
                await self.asyncSetUp()
                found = self.running_task('j1/0', resources=resources)
                self.activate([found])
                self.assertLessEqual(0, min(*self._amounts()))
                await self.coordinator.report(
                    messages.Report(
                        holder_id=coordinator_case.HOLDER,
                        partition=0,
                        ends=[],
                        found=[found],
                    )
                )
                await self.submit(self.job())
                self.assertEqual([], self.holders.started)
                await self.check_end()

    def _amounts(self):
        resources = self.running()[1]
        return resources.cpu_millicores, resources.memory_mb


class OddEntryTest(coordinator_case.CoordinatorCase):
    """Guard against one entry that hides those after it."""

    def record(self, job_id):
        self.journal.state.jobs[job_id] = journal.JobEntry(
            self.job(job_id, durable=True)
        )

    async def test_recorded_job(self):
        """Guard against a job that ends each new owner of its partition."""
        self.record('odd')
        self.record('j1')
        with _fail_for(
            recovery.tracked_job,
            'TrackedJob',
            lambda job, partition: job.job_id,
        ):
            self.activate()
            await self.step()
        self.assertEqual(
            ['j1/0'], [task_id for task_id, _ in self.holders.started]
        )

    async def test_queued_job(self):
        """Guard against jobs before it that are queued twice."""
        for job_id in ('j1', 'odd', 'j2'):
            self.record(job_id)
        with _fail_for(
            recovery, 'enqueue_tasks', lambda tracked, *_: tracked.job.job_id
        ):
            self.activate()
            for _ in range(3):
                await self.step(500)
        self.assertEqual(
            ['j1/0', 'j2/0'],
            sorted(task_id for task_id, _ in self.holders.started),
        )

    async def test_found_task_and_end(self):
        """Guard against a report that its holder repeats for ever."""
        self.activate()
        await self.submit(self.job('j1'))
        (key,) = self.holders.running
        report = messages.Report(
            holder_id=coordinator_case.HOLDER,
            partition=0,
            ends=[
                model.TaskEnd(
                    task_id=task_id,
                    attempt=attempt,
                    workspace='red',
                    partition=0,
                    worker_id='worker-1',
                    state=model.State.SUCCEEDED,
                    result=b'1',
                )
                for task_id, attempt in (('odd/1', 1), key)
            ],
            found=[self.running_task('odd/0'), self.running_task('old/0')],
        )
        with (
            _fail_for(recovery, '_adopt', lambda _, task, *__: task.task_id),
            _fail_for(
                task_end_handler.TaskEndHandler,
                'apply',
                lambda _, __, end: end.task_id,
            ),
        ):
            await self.coordinator.report(report)
        self.assertEqual(model.State.SUCCEEDED, (await self.view('j1')).state)
        self.assertEqual(1, self.coordinator._queue.running_tasks('red'))

    async def test_swept_job(self):
        """Guard against a job that keeps later ones from being swept."""
        self.activate()
        self.holders.slots = 0
        for job_id in ('odd', 'j1'):
            await self.submit(self.job(job_id))
        self.key_valid = False
        with _fail_for(
            housekeeping.Housekeeping,
            '_sweep_unstarted',
            lambda _, __, tracked, ___: tracked.job.job_id,
        ):
            await self.step(1_000)
        self.assertEqual(model.State.CANCELLED, (await self.view('j1')).state)
