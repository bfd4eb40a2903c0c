"""Test an owner whose records are confirmed after their callers gave up."""

import asyncio
import functools
import unittest
from unittest import mock

from basilspindle import coordinator
from basilspindle.daemon import daemon as daemon_module
from basilspindle import errors
from basilspindle import journal
from basilspindle.peer import messages
from basilspindle import policy
from tests import coordinator_case
from tests import journal_case


class LateRecordCase(journal_case.JournalCase):
    """Run a coordinator on a journal whose log can hang."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.holders = coordinator_case.HoldersStandIn(8)
        self.coordinator = coordinator.Coordinator(
            self.clock,
            self.holders,
            coordinator.Timing(),
            lambda partition, since_ms=0: True,
            lambda job: True,
        )
        self.coordinator.set_workspaces(
            {'workspace-1': policy.WorkspacePolicy()}
        )
        await self.stack.enter_async_context(self.coordinator)
        self.owner = await self.open_owner(
            'a',
            on_late_confirmation=functools.partial(
                self.coordinator.apply_late_records, 3
            ),
        )
        self.activate()

    def activate(self):
        self.coordinator.activate(3, self.owner, [], [], 0)

    def submit(self, job_id):
        job = journal_case.make_job(job_id)
        return asyncio.ensure_future(
            self.coordinator.submit(messages.Submit(partition=3, job=job))
        )

    async def started(self):
        """Return the ids of the tasks that have been started by now."""
        await self.clock.advance_ms(3_000)
        return {task_id for task_id, _ in self.holders.started}


class HandoverTest(LateRecordCase):
    """Guard records in flight while a partition is given up and kept."""

    async def test_job_that_is_recorded_after_a_failed_handover_runs(self):
        """Guard against a job that nobody runs until the next owner does.

        The log did not answer, so the partition was not released.
        """
        await self.clock.advance_ms(1_000)
        self.service.faults.hang = True
        call = self.submit('j1')
        await self.clock.advance_ms(100)
        await self.coordinator.deactivate(3, True)
        with self.assertRaises(errors.Deposed) as caught:
            await self.run_ms(call)
        self.assertEqual(errors.Ran.UNKNOWN, caught.exception.ran)
        self.activate()
        self.service.faults.hang = False
        await self.clock.advance_ms(5_000)
        self.assertIn('j1', self.owner.state.jobs)
        self.assertEqual({'j1/0'}, await self.started())

    async def test_copy_that_is_sent_meanwhile_is_the_same_job(self):
        """Guard against a refusal of a job that is recorded, or two runs."""
        await self.clock.advance_ms(1_000)
        self.service.faults.hang = True
        first = self.submit('j1')
        await self.clock.advance_ms(100)
        await self.coordinator.deactivate(3, True)
        with self.assertRaises(errors.Deposed):
            await self.run_ms(first)
        self.activate()
        copy = self.submit('j1')
        await self.clock.advance_ms(100)
        self.service.faults.hang = False
        self.assertEqual('j1', (await self.run_ms(copy)).job_id)
        self.assertTrue((await self.run_ms(self.submit('j1'))).repeated)
        self.assertEqual({'j1/0'}, await self.started())
        self.assertEqual(1, len(self.holders.started))


class CancellationTest(LateRecordCase):
    """Guard a cancellation whose record was confirmed late."""

    async def test_job_whose_late_cancellation_is_recorded_does_not_start(
        self,
    ):
        """Guard against a job that only its present owner runs."""
        self.coordinator.set_workspaces(
            {'workspace-1': policy.WorkspacePolicy(limit_tasks=0)}
        )
        await self.run_ms(self.submit('j1'))
        await self.clock.advance_ms(1_000)
        self.service.faults.hang = True
        cancel = messages.Cancel(
            partition=3, workspace='workspace-1', job_id='j1'
        )
        with self.assertRaises(errors.LogOutcomeUnknown):
            await self.run_ms(self.coordinator.cancel(cancel))
        self.service.faults.hang = False
        await self.clock.advance_ms(5_000)
        self.assertTrue(self.owner.state.jobs['j1'].cancelled)
        self.coordinator.set_workspaces(
            {'workspace-1': policy.WorkspacePolicy()}
        )
        self.assertEqual(set(), await self.started())


class DaemonTest(unittest.TestCase):
    """Guard against late records that reach no coordinator."""

    def test_journal_of_a_daemon_reports_to_its_coordinator(self):
        daemon = mock.Mock()
        daemon._journal_count = 0
        with mock.patch.object(journal, 'PartitionJournal') as opened:
            daemon_module.Daemon._open_journal(daemon, 3)
        opened.call_args.kwargs['on_late_confirmation'](['record'])
        apply = daemon._components.coordinator.apply_late_records
        apply.assert_called_once_with(3, ['record'])
