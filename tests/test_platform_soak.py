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


class YoungWorkersSoakTest(soak_case.SoakCase):
    """Guard against the same while lives of workers have just begun."""

    ages_workers = False

    async def test_seed_3(self):
        """Run a seed in which tasks ran again that a successor saw end.

        A leader that was cut off with a worker started them (issue 35).
        """
        await self.soak(3)


class RefusalSoakTest(soak_case.SoakCase):
    """Guard against a refused job that runs (issue 38).

    Callers ask once, the leader is overloaded, and cuts between it and other
    daemons deliver late what was sent over connections closed since.
    """

    async def test_seed_11(self):
        """Run a seed in which the store is slow at times as well."""
        await self.soak(11)
