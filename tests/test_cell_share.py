"""Guard workspaces against one that sends many times its usual."""

from basilspindle.cell import configuration as configuration_module
from basilspindle.cell import share
from basilspindle import errors
from basilspindle import workflow
from tests import cell_case

_CALM = 'calm'
_BUSY = 'busy'


class ShareCase(cell_case.CellCase):
    """A full fleet, a calm workspace and one at seven times its usual.

    The fleet ends four tasks of a second at a time. The calm workspace may
    count on two jobs of one task a second, the busy one on one.
    """

    def setUp(self):
        super().setUp()
        shares = {_CALM: 2.0, _BUSY: 1.0}
        self.make_state(terms=cell_case.make_terms(shares=shares))
        self.add_worker('w1', cpu=4_000)
        self.serial = 0

    def send(self, workspace, count, priority=0):
        """Return the jobs that are accepted and the refusals."""
        accepted, refused = [], []
        for _ in range(count):
            self.serial += 1
            definition = cell_case.make_definition(
                f'{self.serial:016x}',
                cell_case.make_step(),
                workspace=workspace,
                priority=priority,
            )
            try:
                accepted.append(self.submit(definition))
            except errors.Overloaded as error:
                refused.append(error)
        return accepted, refused

    def pass_second(self):
        """Start what fits and end it a second later."""
        starts = self.run_all(self.plan())
        self.now_ms += 1_000
        for start in starts:
            self.end('w1', start.task.name, start.run)
        self.record()
        self.report('w1')
        return starts


class OrderTest(ShareCase):
    """Guard the order of what waits."""

    def test_what_is_beyond_a_share_waits_for_all_others(self):
        """Guard against calm workspaces that wait behind a busy one."""
        late = []
        for _ in range(8):
            self.send(_BUSY, 14)
            calm, _ = self.send(_CALM, 2)
            self.pass_second()
            late += [job for job in calm if not job.state.is_final]
        self.assertEqual([], late)

    def test_urgent_work_beyond_a_share_waits_too(self):
        """Guard against a class that a busy workspace takes for itself."""
        self.send(_BUSY, 14, priority=0)
        self.send(_CALM, 2, priority=3)
        starts = self.pass_second()
        owners = [
            start.task.step_run.job.definition.workspace for start in starts
        ]
        self.assertEqual(4, len(owners))
        self.pass_second()
        waiting = [
            run.job.definition.workspace
            for run in self.state.table.ready_steps.values()
        ]
        self.assertNotIn(_CALM, waiting)

    def test_free_room_is_used_by_anyone(self):
        """Guard against workers that idle while work waits."""
        accepted, _ = self.send(_BUSY, 10)
        started = [len(self.pass_second()) for _ in range(3)]
        self.assertEqual([4, 4, len(accepted) - 8], started)


class RefusalTest(ShareCase):
    """Guard who is turned away."""

    def test_the_busy_workspace_is_refused_first(self):
        """Guard against calm callers that are refused for a busy one."""
        refused = {_BUSY: 0, _CALM: 0}
        for _ in range(10):
            refused[_BUSY] += len(self.send(_BUSY, 14)[1])
            refused[_CALM] += len(self.send(_CALM, 2)[1])
            self.pass_second()
        self.assertEqual(0, refused[_CALM])
        self.assertGreater(refused[_BUSY], 60)

    def test_a_share_counts_accepted_jobs_only(self):
        """Guard against refused tries that use up the share."""
        shares = share.ShareLimiter()
        terms = configuration_module.WorkspaceConfig(
            _BUSY, ('k',), 2.0, workflow.Need()
        )
        for _ in range(9):
            self.assertFalse(shares.is_beyond(terms, 0))
        for _ in range(4):
            shares.consume(terms, 0)
        self.assertTrue(shares.is_beyond(terms, 0))
        self.assertFalse(shares.is_beyond(terms, 500))

    def test_withdrawn_jobs_use_up_no_share(self):
        """Guard against callers who return after an outage and wait."""
        for number in range(2 * 4):
            definition = cell_case.make_definition(
                f'{number:016x}', cell_case.make_step(), workspace=_CALM
            )
            job = self.intake.submit(definition, self.now_ms)
            self.assertFalse(job.is_beyond_share)
            self.assertTrue(self.intake.withdraw(job))

    def test_a_workspace_without_a_share_has_no_bound(self):
        """Guard against refusals where nothing is configured."""
        shares = share.ShareLimiter()
        terms = configuration_module.WorkspaceConfig(
            _BUSY, ('k',), 0.0, workflow.Need()
        )
        for _ in range(100):
            shares.consume(terms, 0)
        self.assertFalse(shares.is_beyond(terms, 0))
        self.assertFalse(shares.is_beyond(None, 0))
