"""Guard the promises under random faults, with fixed seeds.

Every seed that ever failed stays here with its cause; `make soak-platform`
plays fresh ones.
"""

from tests import soak_case


class SoakTest(soak_case.SoakCase):
    """Guard against faults that come together or in series."""

    async def test_seed_1(self):
        """Guard with a seed that never failed."""
        await self.soak(1)
