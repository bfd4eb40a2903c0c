"""Test the term of a claim after one with a wrong term."""

import unittest

import msgspec

from basilspindle.cell import claim as claim_module
from tests import test_cell_election


# A claim as builds write it that do not record starts, and as they read it.
_EARLIER_FIELDS = ('n', 'a:1', 'i', 4, False, 9)


class _EarlierClaim(msgspec.Struct, frozen=True, array_like=True):
    node: str
    address: str
    incarnation: str
    term: int
    resigned: bool = False
    epoch: int = 0


class RecordFormTest(unittest.TestCase):
    """Guard claims against builds that know one field less."""

    def test_a_claim_of_an_earlier_build_can_be_read(self):
        """Guard against a cell whose newest claim nobody reads."""
        raw = msgspec.msgpack.encode(_EARLIER_FIELDS)
        claim = msgspec.msgpack.decode(raw, type=claim_module.Claim)
        self.assertEqual(claim_module.Claim(*_EARLIER_FIELDS), claim)
        self.assertIsNone(claim.first_recording_term)
        # Its leader records no starts.
        self.assertEqual(5, claim_module.first_recording_term(claim, 5))

    def test_an_earlier_build_can_read_a_claim(self):
        """Guard against the same while builds are replaced one by one."""
        claim = claim_module.Claim(*_EARLIER_FIELDS, first_recording_term=3)
        raw = msgspec.msgpack.encode(claim)
        earlier = msgspec.msgpack.decode(raw, type=_EarlierClaim)
        self.assertEqual(_EARLIER_FIELDS, msgspec.structs.astuple(earlier))


class NextTermTest(unittest.IsolatedAsyncioTestCase):
    """Guard against run numbers that an earlier leader has used."""

    async def check(self, previous_term):
        # Seven earlier claims may have had the terms 0 to 6.
        previous = claim_module.Claim(
            'n', 'a:1', 'i', previous_term, resigned=True, epoch=7
        )
        register = test_cell_election._Register(previous)
        election = test_cell_election._Election()
        election._register = register
        await election._run_round()
        [term] = register.terms
        self.assertGreater(term, 6)
        # Terms of later claims have room to rise.
        self.assertLess(term, 1_000)

    async def test_after_a_term_that_is_too_high(self):
        await self.check(2**53 - 1)

    async def test_after_the_expected_term(self):
        await self.check(6)

    async def test_after_a_term_that_is_too_low(self):
        """Guard against a term that begins anew after one odd claim."""
        await self.check(0)
