"""Test the claim, takeover, handover and loss of partitions."""

import unittest

from basilspindle import cluster
from basilspindle import errors
from basilspindle.peer import messages
from tests.standins import cluster_rig
from tests.standins import memory_log

# assurance_ms + worker_lease_ms, extended by 5% for clock drift:
# (1,500 + 3,000) * 1.05.
_EXPIRY_MS = 4_725


class OwnershipTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a partition with two active owners, or with none."""

    async def asyncSetUp(self):
        self.rig = await self.enterAsyncContext(cluster_rig.ClusterRig())
        for member_id in 'abc':
            await self.rig.add(member_id)
        await self.rig.wait_until(self.owner)
        await self.rig.run_ms(2_000)
        self.initial_owner = self.owner()
        self.others = [
            daemon
            for daemon in self.rig.daemons.values()
            if daemon is not self.initial_owner
        ]

    def owner(self):
        found = [d for d in self.rig.daemons.values() if d.may_start(0)]
        self.assertLessEqual(len(found), 1)
        return found[0] if found else None

    def successor(self):
        return next((d for d in self.others if d.may_start(0)), None)

    async def test_every_member_routes_to_the_owner(self):
        """Guard against requests sent to a member that is not the owner."""
        await self.rig.run_ms(1_000)
        for daemon in self.rig.daemons.values():
            owner = daemon.ownership.owner_of(0)
            self.assertEqual(self.initial_owner.member_id, owner.member_id)
        claim = messages.Claim(0, 1, True)
        self.assertEqual([claim], self.initial_owner.ownership.claims())

    async def test_killed_owner_is_replaced_at_once(self):
        """Guard against waiting for the worker leases of a dead owner.

        Its assurance has to run out: it may only be cut off with resets.
        """
        await self.initial_owner.kill()
        spent_ms = await self.rig.wait_until(self.successor)
        timing = self.rig.timing
        limit_ms = timing.suspect_ms + timing.assurance_ms * 1.05
        self.assertLessEqual(spent_ms, limit_ms + 100)

    async def test_restarted_owner_claims_again_at_once(self):
        """Guard against a restart that waits for the full expiry."""
        await self.initial_owner.kill()
        self.others.append(await self.rig.add(self.initial_owner.member_id))
        spent_ms = await self.rig.wait_until(self.successor)
        timing = self.rig.timing
        limit_ms = timing.suspect_ms + timing.settle_ms
        self.assertLessEqual(spent_ms, limit_ms + 200)

    async def test_silent_owner_is_replaced_after_the_lapse(self):
        """Guard against a takeover while the old owner may start tasks."""
        self.initial_owner.pause()
        spent_ms = await self.rig.wait_until(self.successor)
        suspect_ms = self.rig.timing.suspect_ms
        self.assertGreaterEqual(spent_ms, suspect_ms - 500 + _EXPIRY_MS)
        self.assertLessEqual(spent_ms, suspect_ms + 200 + _EXPIRY_MS)

    async def test_an_owner_cut_off_with_resets_starts_nothing_more(self):
        """Guard against two owners of a partition.

        Both sides of a cut see refused connections, as if the processes of
        the other side had ended, and the owner does not reach the log either.
        """
        for delay_ms in (0, 250, 500):
            with self.subTest(delay_ms=delay_ms):
                await self.rig.run_ms(delay_ms)
                cut_off = self.owner()
                cut_off.log.down = True
                self.rig.network.reset(cut_off.node.address)
                for _ in range(500):
                    # Checks that there is at most one.
                    self.owner()
                    await self.rig.run_ms(20)
                self.assertIsNot(cut_off, self.owner())
                cut_off.log.down = False
                self.rig.network.heal()
                await self.rig.run_ms(5_000)

    async def test_resumed_owner_starts_nothing_and_learns(self):
        """Guard against a resumed owner that ignores its lost claim."""
        self.initial_owner.pause()
        await self.rig.wait_until(self.successor)
        self.assertFalse(self.initial_owner.may_start(0))
        for daemon in self.others:
            with self.assertRaises(errors.Fenced):
                daemon.fences.check(0, 1)
        self.initial_owner.resume()
        await self.rig.run_ms(1_000)
        self.assertEqual({}, self.initial_owner.active_epochs)
        self.assertEqual([], self.initial_owner.ownership.claims())

    async def test_resumed_owner_learns_while_the_log_is_down(self):
        """Guard against a loss that an owner learns of only from the log."""
        self.initial_owner.pause()
        await self.rig.wait_until(self.successor)
        successor = self.successor()
        other = next(d for d in self.others if d is not successor)
        self.rig.log.down = True
        self.rig.network.cut(
            self.initial_owner.node.address, successor.node.address
        )
        del other.rig.source.vms[successor.member_id]
        self.initial_owner.resume()
        await self.rig.run_ms(300)
        self.assertEqual({}, self.initial_owner.active_epochs)

    async def test_log_outage_keeps_owners_that_all_answer(self):
        """Guard against a log outage that stops all task starts."""
        self.rig.log.down = True
        for _ in range(100):
            await self.rig.run_ms(200)
            self.assertTrue(self.initial_owner.may_start(0))

    async def test_log_outage_and_a_silent_member_end_assurance(self):
        """Guard against starts while a silent member may have claimed."""
        self.rig.log.down = True
        self.others[0].pause()
        await self.rig.run_ms(2_500)
        self.assertFalse(self.initial_owner.may_start(0))
        self.assertIn(0, self.initial_owner.active_epochs)
        self.others[0].resume()
        await self.rig.run_ms(1_000)
        self.assertTrue(self.initial_owner.may_start(0))

    async def test_resumed_owner_is_not_assured_before_it_is_settled(self):
        """Guard against a resumed owner that has not heard of a new claim."""
        self.rig.log.down = True
        self.initial_owner.pause()
        await self.rig.run_ms(10_000)
        self.initial_owner.resume()
        await self.rig.run_ms(1_000)
        replied_ms = self.initial_owner.membership.answered_send_ms(
            self.others[0].member_id
        )
        self.assertLess(self.rig.clock.now_ms() - replied_ms, 1_000)
        self.assertFalse(self.initial_owner.may_start(0))
        await self.rig.run_ms(1_500)
        self.assertTrue(self.initial_owner.may_start(0))

    async def test_resumed_owner_gets_its_partition_back_soon(self):
        """Guard against a gap while the preferred owner backs off."""
        self.initial_owner.pause()
        await self.rig.wait_until(self.successor)
        self.initial_owner.resume()
        gaps = []

        def is_back():
            gaps.append(self.owner() is None)
            return self.initial_owner.may_start(0)

        await self.rig.wait_until(is_back)
        self.assertLessEqual(20 * sum(gaps), 700)

    async def test_dead_member_blocks_starts_in_log_outage(self):
        """Guard against starts while a member is only cut off with resets.

        It may reach the log and have claimed. It blocks starts until the log
        answers, the member is back, or the VM list drops it.
        """
        self.rig.log.down = True
        dead, gone = self.others
        await dead.kill()
        await self.rig.run_ms(3_000)
        self.assertFalse(self.initial_owner.may_start(0))
        await self.rig.add(dead.member_id)
        await self.rig.run_ms(3_000)
        self.assertTrue(self.initial_owner.may_start(0))
        await gone.kill()
        await self.rig.run_ms(3_000)
        self.assertFalse(self.initial_owner.may_start(0))
        del self.rig.source.vms[gone.member_id]
        await self.rig.run_ms(3_000)
        self.assertTrue(self.initial_owner.may_start(0))

    async def test_planned_stop_hands_over_without_a_wait(self):
        """Guard against a planned stop that waits for the full expiry."""
        self.initial_owner.leaving = True
        stop = self.initial_owner.ownership.hand_over_all()
        self.assertTrue(await self.rig.run_until_complete(stop))
        self.assertEqual({}, self.initial_owner.active_epochs)
        spent_ms = await self.rig.wait_until(self.successor)
        self.assertLessEqual(spent_ms, 700)

    async def test_planned_stop_and_exit_hand_over_without_a_wait(self):
        """Guard against a wait for an owner that released and exited."""
        self.initial_owner.leaving = True
        await self.rig.run_until_complete(
            self.initial_owner.ownership.hand_over_all()
        )
        await self.initial_owner.kill()
        spent_ms = await self.rig.wait_until(self.successor)
        self.assertLessEqual(spent_ms, 700)

    async def test_stop_in_an_outage_of_the_log_ends(self):
        """Guard against a planned stop that waits for the log for ever."""
        self.rig.log.down = True
        self.initial_owner.leaving = True
        stop = self.initial_owner.ownership.hand_over_all(timeout_ms=5_000)
        self.assertFalse(await self.rig.run_until_complete(stop))
        self.assertEqual({}, self.initial_owner.active_epochs)

    async def test_partition_moves_to_joining_preferred_owner(self):
        """Guard against partitions that never move to a new member."""
        joined = 0
        while not joined:
            member_id = f'n{self.rig._serial}'
            ids = [*self.rig.daemons, member_id]
            joined = cluster.rendezvous('partition-0', ids) == member_id
            joining = await self.rig.add(member_id)
        gap_ms = []

        def has_moved():
            if not joining.may_start(0) and not self.initial_owner.may_start(
                0
            ):
                gap_ms.append(20)
            return joining.may_start(0)

        await self.rig.wait_until(has_moved)
        self.assertLessEqual(sum(gap_ms), 700)
        self.assertEqual({}, self.initial_owner.active_epochs)

    async def test_handover_that_the_log_refuses_goes_on(self):
        """Guard against a partition without owner after a failed move."""
        self.initial_owner.ownership._own_claims[0].request_handover()
        self.rig.log.down = True
        await self.rig.wait_until(lambda: self.initial_owner.may_start(0))
        self.assertEqual({0: 1}, self.initial_owner.active_epochs)

    async def test_claim_whose_answer_is_lost_is_repeated(self):
        """Guard against a claim given up when its reply is lost."""
        self.rig.log.lost_answers = 1
        await self.initial_owner.kill()
        await self.rig.wait_until(self.successor)
        self.assertEqual(3, len(self.rig.log.read(0)))

    async def test_abandoned_claim_is_not_released(self):
        """Guard against a release by a claimant that fenced nobody.

        The next claimant would take it for the release of the owner and
        start tasks while the owner still does.
        """
        self.rig.network.isolate(self.initial_owner.node.address)
        await self.rig.wait_until(lambda: len(self.rig.log.read(0)) == 2)
        await self.rig.run_ms(100)
        for daemon in self.others:
            for own_claim in daemon.ownership._own_claims.values():
                own_claim.request_handover()
        await self.rig.run_ms(10_000)
        entries = self.rig.log.read(0)
        self.assertTrue(entries[2].is_claim)

    async def test_fence_deposes_the_owner(self):
        """Guard against an owner that confirms a fence and goes on."""
        fence = messages.Fence(partition=0, epoch=9, member_id='x')
        reply = await self.initial_owner.ownership.handle_fence(fence)
        self.assertEqual(9, reply.epoch)
        self.assertFalse(self.initial_owner.may_start(0))
        await self.rig.run_ms(100)
        self.assertEqual({}, self.initial_owner.active_epochs)

    async def test_owner_unknown_to_the_claimant_is_waited_for(self):
        """Guard against a lagging VM list that hides the current owner."""
        self.rig.log.append(0, memory_log.Entry(True, 'hidden', 0))
        await self.rig.wait_until(lambda: self.owner() is None)
        spent_ms = await self.rig.wait_until(self.owner)
        # One expiry until the lost claim is repeated, one for the repeat.
        self.assertGreaterEqual(spent_ms, 2 * _EXPIRY_MS - 500)

    async def test_members_cut_from_each_other_do_not_flap(self):
        """Guard against two claimants that depose each other for ever."""
        self.rig.network.cut(
            self.initial_owner.node.address, self.others[0].node.address
        )
        started = 0
        for _ in range(600):
            await self.rig.run_ms(200)
            started += self.owner() is not None
        self.assertGreater(started, 360)
        self.assertLess(len(self.rig.log.read(0)), 12)

    async def test_member_without_configuration_claims_nothing(self):
        """Guard against a daemon that owns partitions it cannot serve."""
        for daemon in self.others:
            daemon.config_version = 0
        await self.rig.run_ms(1_000)
        await self.initial_owner.kill()
        await self.rig.run_ms(10_000)
        self.assertIsNone(self.successor())

    async def test_uncovered_workers_are_counted_as_running(self):
        """Guard against a task started twice after its holder is lost."""
        self.rig.source.vms['w'] = cluster.VirtualMachine(
            id='w', address='w:1', role=cluster.Role.WORKER
        )
        await self.initial_owner.kill()
        await self.rig.wait_until(self.successor)
        now_ms = self.rig.clock.now_ms()
        until_ms = self.successor().unseen_until_ms[0]
        self.assertAlmostEqual(now_ms + 31_500, until_ms, delta=50)
        first = self.successor()
        second = next(d for d in self.others if d is not first)
        second.workers = ['w']
        await first.kill()
        await self.rig.wait_until(lambda: second.may_start(0))
        self.assertLessEqual(
            second.unseen_until_ms[0], self.rig.clock.now_ms()
        )


class FenceTest(unittest.TestCase):
    """Guard against task starts by a superseded owner."""

    def test_lower_epochs_are_refused_once_a_fence_is_up(self):
        fences = cluster.FenceTable()
        fences.check(3, 5)
        self.assertEqual(9, fences.advance(3, 9))
        self.assertEqual(9, fences.advance(3, 7))
        with self.assertRaises(errors.Fenced):
            fences.check(3, 8)
        fences.check(3, 9)
        fences.check(4, 1)


class RegionTest(unittest.IsolatedAsyncioTestCase):
    """Guard against regions that take partitions from each other."""

    async def test_cut_regions_keep_their_partitions(self):
        """Guard against a cut between regions that moves partitions."""
        rig = cluster_rig.ClusterRig(partitions=2, regions=('r1', 'r2'))
        async with rig:
            a = await rig.add('a', 'r1')
            b = await rig.add('b', 'r2')
            await rig.wait_until(lambda: a.active_epochs and b.active_epochs)
            rig.network.cut('a:1', 'b:1')
            await rig.run_ms(5_000)
            rig.log.down = True
            await rig.run_ms(5_000)
            self.assertTrue(a.may_start(0))
            self.assertTrue(b.may_start(1))
            self.assertEqual(
                ({0: 1}, {1: 1}), (a.active_epochs, b.active_epochs)
            )


class HashingTest(unittest.TestCase):
    """Guard against hashes that differ between processes or versions."""

    def test_choices_are_stable(self):
        ids = ['a', 'b', 'c', 'd']
        keys = [f'partition-{n}' for n in range(200)]
        chosen = {key: cluster.rendezvous(key, ids) for key in keys}
        self.assertEqual(set(ids), set(chosen.values()))
        fewer = {key: cluster.rendezvous(key, ids[:3]) for key in keys}
        moved = {key for key in keys if fewer[key] != chosen[key]}
        self.assertEqual({k for k in keys if chosen[k] == 'd'}, moved)
        self.assertEqual('', cluster.rendezvous('k', []))
        self.assertEqual('a', cluster.rendezvous('worker-1', 'abc'))

    def test_partitions_and_homes_are_stable(self):
        self.assertEqual(0, cluster.partition_of('team-1', 12))
        found = {cluster.partition_of(f't{n}', 12) for n in range(300)}
        self.assertEqual(set(range(12)), found)
        self.assertEqual('r2', cluster.home_region(3, ['r2', 'r1']))
