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
