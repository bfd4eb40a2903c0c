"""Test a process whose first heartbeats have a wrong address."""

import contextlib
import unittest

import msgspec

from basilspindle import errors
from tests.standins import cluster_rig


class RepeatedIdentityTest(unittest.IsolatedAsyncioTestCase):
    """Guard a member against what was heard of it first."""

    async def check(self, count):
        rig = await self.enterAsyncContext(cluster_rig.ClusterRig())
        for member_id in 'ab':
            await rig.add(member_id)
        await rig.run_ms(2_000)
        receiver = rig.daemons['a']
        # A later process than the one that the rig starts at the address.
        member = await rig.add('d3')
        sample = member.build_heartbeat()
        await member.kill()
        del rig.daemons['d3']
        incarnation = f'{int(sample.incarnation[:13]) + 1}-d3'
        for _ in range(count):
            await receiver.membership.handle(
                msgspec.structs.replace(
                    sample, incarnation=incarnation, address='z:9'
                )
            )
            await rig.run_ms(200)
        true_heartbeat = msgspec.structs.replace(
            sample, incarnation=incarnation
        )
        for _ in range(300):
            with contextlib.suppress(errors.BasilspindleError):
                await receiver.membership.handle(true_heartbeat)
            await rig.run_ms(200)
        known = {m.address for m in receiver.membership.live()}
        self.assertIn(sample.address, known)

    async def test_one_wrong_address(self):
        """Guard against an odd first heartbeat that shuts the sender out."""
        await self.check(1)

    async def test_two_wrong_addresses(self):
        """Guard against a process that is refused until it restarts.

        Two heartbeats with the same wrong address count as the identity of
        the process, and nothing corrects it later.
        """
        await self.check(2)

    async def test_odd_heartbeats_of_a_process_that_only_calls(self):
        """Guard against a member that an odd heartbeat displaces.

        Its address has never answered a call, so a repeated one corrects it.
        """
        rig = await self.enterAsyncContext(cluster_rig.ClusterRig())
        for member_id in 'ab':
            await rig.add(member_id)
        await rig.run_ms(2_000)
        receiver = rig.daemons['b'].membership
        sample = rig.daemons['a'].build_heartbeat()
        receiver.get('a').last_answered_send_ms = None
        for address in ('z:9', 'y:9', 'z:9'):
            with self.assertRaises(errors.BadRequest):
                await receiver.handle(
                    msgspec.structs.replace(sample, address=address)
                )
        await receiver.handle(sample)
        with self.assertRaises(errors.BadRequest):
            await receiver.handle(
                msgspec.structs.replace(sample, address='z:9')
            )
        self.assertEqual('a:1', receiver.get('a').address)
