"""Guard whom a daemon follows when the store cannot be read."""

import unittest

from basilspindle.cell import claim as claim_module
from basilspindle.cell import election as election_module
from basilspindle.cell import identity as identity_module
from basilspindle import clock as clock_module


class _Clock(clock_module.Clock):
    async def sleep_ms(self, duration_ms):
        return


class _Election(election_module.Election):
    """Follows in name only and notes whom."""

    answer = None

    def __init__(self):
        identity = identity_module.Identity('me', '1:1', 'a')
        super().__init__(
            identity, None, _Clock(), None, None, lambda: 0, lambda terms: None
        )
        self.followed = []

    async def _ask_members(self):
        return self.answer

    async def _follow(self, claim):
        self.followed.append(claim.epoch)


def _claim(epoch):
    return claim_module.Claim('n', '9:9', 'i', 0, epoch=epoch)


class WithoutStoreTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a step back to a leader that was replaced.

    A leader that does not know of its successor may refuse a job that the
    successor has accepted.
    """

    async def turn(self, known, answer):
        election = _Election()
        election.claim = _claim(known)
        election.answer = _claim(answer) if answer else None
        await election._turn_without_store()
        return election.followed

    async def test_the_newest_claim_is_followed(self):
        """Guard against older answers of other daemons."""
        self.assertEqual([7], await self.turn(5, 7))
        self.assertEqual([5], await self.turn(5, 3))
        self.assertEqual([5], await self.turn(5, None))

    async def test_an_announcement_counts(self):
        """Guard against an announcement that is forgotten."""
        election = _Election()
        election.claim = _claim(5)
        election.hear(_claim(8))
        election.hear(_claim(6))
        election.answer = _claim(7)
        await election._turn_without_store()
        self.assertEqual([8], election.followed)


class _Register:
    """Counts the calls to the store."""

    def __init__(self, claim):
        self.claim = claim
        self.members = {}
        self.reads = 0
        self.made_at = []

    async def add_member(self, node, address):
        return

    async def read(self):
        self.reads += 1
        return self.claim, 7

    async def read_members(self):
        return

    async def try_claim(self, claim, at):
        self.made_at.append(at)


class TakeoverTest(unittest.IsolatedAsyncioTestCase):
    """Guard how soon a leader that is gone is replaced."""

    def election(self, end_of, refused):
        election = _Election()
        election._register = _Register(_claim(5))

        async def follow(claim):
            return end_of

        async def is_refused(claim):
            return refused

        election._follow = follow
        election._is_refused = is_refused
        return election

    async def test_a_killed_leader_is_replaced_without_another_read(self):
        """Guard against calls to a slow store before the claim."""
        ended = election_module._Followed
        for end_of in (ended.GONE, ended.CLOSED):
            election = self.election(end_of, refused=True)
            await election._turn()
            self.assertEqual(1, election._register.reads)
            self.assertEqual([7], election._register.made_at)

    async def test_a_leader_that_only_closed_a_connection_stays(self):
        """Guard against the replacement of a leader that lives."""
        closed = election_module._Followed.CLOSED
        election = self.election(closed, refused=False)
        await election._turn()
        self.assertEqual([], election._register.made_at)
