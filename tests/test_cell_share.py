"""Test that a busy workspace does not delay or displace the others."""

from basilspindle.cell import configuration as configuration_module
from basilspindle.cell.decisions import share
from basilspindle import errors
from basilspindle import workflow
from tests import cell_case

_CALM = 'calm'
_BUSY = 'busy'


class ShareCase(cell_case.CellCase):
    """Full fleet with a calm workspace and one at seven times its usual rate.

    The fleet runs four one-second tasks at a time. Each job is one such task.
    The share of the calm workspace is two jobs per second, that of the busy
    one is one job per second.
    """

    def setUp(self):
        super().setUp()
        shares = {_CALM: 2.0, _BUSY: 1.0}
        self.make_state(
            configuration=cell_case.make_configuration(shares=shares)
        )
        self.add_worker('w1', cpu=4_000)
        self.next_number = 0

    def submit_jobs(self, workspace, count, priority=0):
        """Submit jobs; returns the accepted jobs and the refusals."""
        accepted, refused = [], []
        for _ in range(count):
            self.next_number += 1
            definition = cell_case.make_definition(
                f'{self.next_number:016x}',
                cell_case.make_step(),
                workspace=workspace,
                priority=priority,
            )
            try:
                accepted.append(self.submit(definition))
            except errors.Overloaded as error:
                refused.append(error)
        return accepted, refused

    def run_one_second(self):
        """Start the tasks that fit and end them a second later."""
        starts = self.start_all(self.plan())
        self.now_ms += 1_000
        for start in starts:
            self.report_end('w1', start.task.name, start.run)
        self.record()
        self.report('w1')
        return starts


class OrderTest(ShareCase):
    """Guard the order of waiting tasks."""

    def test_work_beyond_a_share_goes_last(self):
        """Guard against a calm workspace that waits behind a busy one."""
        unfinished = []
        for _ in range(8):
            self.submit_jobs(_BUSY, 14)
            calm, _ = self.submit_jobs(_CALM, 2)
            self.run_one_second()
            unfinished += [job for job in calm if not job.state.is_final]
        self.assertEqual([], unfinished)

    def test_urgent_work_beyond_a_share_waits_too(self):
        """Guard against a busy workspace that occupies a whole priority."""
        self.submit_jobs(_BUSY, 14, priority=0)
        self.submit_jobs(_CALM, 2, priority=3)
        starts = self.run_one_second()
        workspaces = [
            start.task.step_run.job.definition.workspace for start in starts
        ]
        self.assertEqual(4, len(workspaces))
        self.run_one_second()
        waiting = [
            run.job.definition.workspace
            for run in self.state.table.ready_steps.values()
        ]
        self.assertNotIn(_CALM, waiting)

    def test_free_room_is_used_by_anyone(self):
        """Guard against workers that are idle while tasks wait."""
        accepted, _ = self.submit_jobs(_BUSY, 10)
        started = [len(self.run_one_second()) for _ in range(3)]
        self.assertEqual([4, 4, len(accepted) - 8], started)


class RefusalTest(ShareCase):
    """Guard which workspaces are refused."""

    def test_the_busy_workspace_is_refused_first(self):
        """Guard against refusing a calm workspace because of a busy one."""
        refused = {_BUSY: 0, _CALM: 0}
        for _ in range(10):
            refused[_BUSY] += len(self.submit_jobs(_BUSY, 14)[1])
            refused[_CALM] += len(self.submit_jobs(_CALM, 2)[1])
            self.run_one_second()
        self.assertEqual(0, refused[_CALM])
        self.assertGreater(refused[_BUSY], 60)

    def test_a_share_counts_accepted_jobs_only(self):
        """Guard against refused submissions that use up the share."""
        limiter = share.ShareLimiter()
        workspace = configuration_module.WorkspaceConfig(
            _BUSY, ('k',), 2.0, workflow.Need()
        )
        for _ in range(9):
            self.assertFalse(limiter.is_beyond(workspace, 0))
        for _ in range(4):
            limiter.consume(workspace, 0)
        self.assertTrue(limiter.is_beyond(workspace, 0))
        self.assertFalse(limiter.is_beyond(workspace, 500))

    def test_withdrawn_jobs_use_up_no_share(self):
        """Guard against retries of withdrawn jobs that exceed the share."""
        for number in range(2 * 4):
            definition = cell_case.make_definition(
                f'{number:016x}', cell_case.make_step(), workspace=_CALM
            )
            job = self.intake.submit(definition, self.now_ms)
            self.assertFalse(job.is_beyond_share)
            self.assertTrue(self.intake.withdraw(job))

    def test_a_workspace_without_a_share_has_no_bound(self):
        """Guard against refusals where no share is configured."""
        limiter = share.ShareLimiter()
        workspace = configuration_module.WorkspaceConfig(
            _BUSY, ('k',), 0.0, workflow.Need()
        )
        for _ in range(100):
            limiter.consume(workspace, 0)
        self.assertFalse(limiter.is_beyond(workspace, 0))
        self.assertFalse(limiter.is_beyond(None, 0))
