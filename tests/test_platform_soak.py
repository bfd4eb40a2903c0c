"""Test the invariants under random faults, with fixed seeds.

Every seed that has failed is kept here with its cause. `make soak-platform`
runs new seeds.
"""

from tests import soak_case


class SoakTest(soak_case.SoakCase):
    """Guard against faults that overlap or follow each other."""

    async def test_seed_1(self):
        """Run a seed that has never failed."""
        await self.soak(1)
