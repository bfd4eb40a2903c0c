"""Test the term of a claim after one with a wrong term."""

import unittest

from basilspindle.cell import claim as claim_module
from tests import test_cell_election


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
