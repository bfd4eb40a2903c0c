"""Test who may say that a submission never runs (docs/decisions/refusals.md).

Each test guards one way by which a refused submission could run.
"""

import asyncio
import unittest

from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import claim as claim_module
from basilspindle.cell import configuration_index
from basilspindle.cell import leader as leader_module
from basilspindle.cell import messages
from basilspindle import clock as clock_module
from basilspindle.workflow import job_state
from tests import cell_case

_JOB = '00000000000000aa'
_OTHER = '00000000000000bb'
_LONG_MS = 5_000
# Shorter than any append of these tests.
_SHORT_MS = 10


class LeaderCase(unittest.IsolatedAsyncioTestCase):
    """A leader whose appends are collected and confirmed by the test."""

    def setUp(self):
        self.leader = leader_module.Leader(
            claim_module.Claim('n', 'n:1', 'i', 0, epoch=1),
            None,
            None,
            None,
            None,
            clock_module.Clock(),
            bounds_module.Bounds(),
            configuration_index.ConfigurationIndex(
                cell_case.make_configuration()
            ),
            None,
        )
        self.leader.ready = True
        self.recorder = self.leader._recorder
        self.table = self.leader.state.table

    async def begin(self, request):
        """Return a task with the reply to a request that has arrived."""
        task = asyncio.ensure_future(self.leader.handle(request))
        await asyncio.sleep(0)
        return task

    def submission(self, timeout_ms=_LONG_MS):
        return messages.Submit(
            cell_case.make_definition(_JOB, cell_case.make_step()),
            timeout_ms,
            1,
        )


class SeveralWaitersTest(LeaderCase):
    """Guard requests that wait for the same job against each other."""

    async def test_a_cancelled_job_is_not_withdrawn_from_its_cancellation(
        self,
    ):
        """Guard against a job that runs after its cancelling was accepted.

        The submission gives up, and the record of a later one under the same
        id was taken for that of the cancelled job (UNASKED).
        """
        first = await self.begin(self.submission(_SHORT_MS))
        cancelling = await self.begin(
            messages.Cancel(_JOB, cell_case.WORKSPACE)
        )
        await first
        again = await self.begin(self.submission())
        self.recorder.apply(self.recorder.collect())
        self.assertIsInstance(await again, messages.Accepted)
        self.assertIsInstance(await cancelling, messages.Accepted)
        self.assertIs(
            job_state.JobState.CANCELLED,
            self.leader._intake.find_state(_JOB, cell_case.WORKSPACE),
        )

    async def test_a_request_that_gives_up_leaves_the_job_to_another(self):
        """Guard against a wait for a job that its leader has dropped."""
        first = await self.begin(self.submission(_SHORT_MS))
        second = await self.begin(self.submission())
        self.assertIsInstance(await first, messages.NotLeading)
        self.assertTrue(self.table.knows(_JOB))
        self.recorder.apply(self.recorder.collect())
        self.assertIsInstance(await second, messages.Accepted)

    async def test_the_last_request_that_gives_up_withdraws_the_job(self):
        """Guard against callers that are told less than is known."""
        first = await self.begin(self.submission(_SHORT_MS))
        second = await self.begin(self.submission(2 * _SHORT_MS))
        await first
        self.assertIsInstance(await second, messages.Refused)
        self.assertFalse(self.table.knows(_JOB))
        self.assertEqual([], self.recorder.collect().jobs)
        self.assertEqual({}, self.recorder._waiters)


class EndOfLeadershipTest(LeaderCase):
    """Guard requests that wait when their leader steps down."""

    async def test_a_waiter_that_has_just_given_up_holds_up_no_other(self):
        """Guard against a DELETE that is answered seconds after the end.

        The connection of one request is lost in the turn of the event loop
        in which the leader ends.
        """
        first = await self.begin(messages.Cancel(_JOB, cell_case.WORKSPACE))
        other = await self.begin(messages.Cancel(_OTHER, cell_case.WORKSPACE))
        first.cancel()
        self.recorder.close()
        self.assertIsInstance(
            await asyncio.wait_for(other, 1), messages.NotLeading
        )
