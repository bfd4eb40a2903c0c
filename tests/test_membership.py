"""Guard the states of members and what counts for assurance."""

import unittest

import msgspec

from basilspindle import cluster
from basilspindle import errors
from basilspindle.peer import messages
from tests.standins import cluster_rig

_State = cluster.MemberState


class MembershipTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a member that counts too little or too long."""

    async def asyncSetUp(self):
        self.rig = await self.enterAsyncContext(cluster_rig.ClusterRig())
        self.a = await self.rig.add('a')
        self.b = await self.rig.add('b')
        await self.rig.run_ms(5_000)
        self.seen = self.a.membership

    def state(self):
        return self.seen.get('b').state

    def counts(self):
        return [member.member_id for member in self.seen.required_members()]

    async def test_list_makes_members_known_and_live(self):
        """Guard against daemons that do not find each other."""
        self.assertIs(_State.LIVE, self.state())
        self.assertIs(_State.LIVE, self.b.membership.get('a').state)
        live = {member.member_id for member in self.seen.live()}
        self.assertEqual({'a', 'b'}, live)

    async def test_unlisted_member_is_known_from_its_heartbeat(self):
        """Guard against a lagging VM list that hides a daemon."""
        self.rig.source.silent = True
        c = await self.rig.add('c')
        self.rig.source.silent = False
        del self.rig.source.vms['c']
        await c.membership.handle(self.a.speak())
        await self.rig.run_ms(1_000)
        self.assertIs(_State.LIVE, self.seen.get('c').state)

    async def test_silent_member_is_suspect_and_counts(self):
        """Guard against a paused owner that is taken for a dead one."""
        changes = []
        self.seen.on_change(lambda: changes.append(self.state()))
        self.b.pause()
        heard_ms = self.seen.get('b').last_heard_ms
        await self.rig.run_ms(heard_ms + 1_500 - self.rig.clock.now_ms())
        self.assertIs(_State.LIVE, self.state())
        await self.rig.run_ms(60_000)
        self.assertIs(_State.SUSPECT, self.state())
        self.assertEqual(['b'], self.counts())
        self.assertEqual(_State.SUSPECT, changes[0])
        self.b.resume()
        await self.rig.run_ms(1_000)
        self.assertIs(_State.LIVE, self.state())

    async def test_refusing_member_is_down_after_suspect_ms(self):
        """Guard against a dead daemon that keeps others unassured."""
        await self.b.kill()
        await self.rig.run_ms(1_400)
        self.assertEqual(['b'], self.counts())
        await self.rig.run_ms(1_200)
        self.assertIs(_State.DOWN, self.state())
        self.assertEqual([], self.counts())

    async def test_silence_ends_a_series_of_refusals(self):
        """Guard against a cut address that counts as dead."""
        await self.b.kill()
        await self.rig.run_ms(1_000)
        self.rig.network.isolate('b:1')
        await self.rig.run_ms(10_000)
        self.assertIs(_State.SUSPECT, self.state())
        self.assertEqual(['b'], self.counts())

    async def test_old_refusals_do_not_outlast_a_pause(self):
        """Guard against a restarted daemon unseen by a resumed one."""
        await self.b.kill()
        await self.rig.run_ms(5_000)
        self.assertEqual([], self.counts())
        self.a.pause()
        await self.rig.run_ms(10_000)
        self.assertEqual(['b'], self.counts())

    async def test_a_pause_between_two_refusals_starts_again(self):
        """Guard against a long series made of two refusals."""
        await self.b.kill()
        await self.rig.until(lambda: self.seen.get('b').last_refused_ms)
        self.a.pause()
        await self.rig.run_ms(10_000)
        self.a.resume()
        await self.rig.run_ms(700)
        self.assertEqual(['b'], self.counts())

    async def test_resumed_process_does_not_suspect_the_others(self):
        """Guard against a resumed daemon that claims everything."""
        self.a.pause()
        await self.rig.run_ms(20_000)
        states = []
        self.seen.on_change(lambda: states.append(self.state()))
        self.a.resume()
        await self.rig.run_ms(3_000)
        self.assertNotIn(_State.SUSPECT, states)

    async def test_member_that_left_the_list_is_gone(self):
        """Guard against a removed VM that blocks the others for ever."""
        self.b.pause()
        del self.rig.source.vms['b']
        await self.rig.run_ms(4_000)
        self.assertIsNone(self.seen.get('b'))
        self.assertEqual([], self.counts())
        with self.assertRaises(errors.StaleIncarnation):
            await self.seen.handle(self.b.speak())

    async def test_nobody_is_gone_while_the_list_is_silent(self):
        """Guard against an outage of the VM list that frees a member."""
        self.rig.source.silent = True
        del self.rig.source.vms['b']
        self.b.pause()
        await self.rig.run_ms(30_000)
        self.assertIs(_State.SUSPECT, self.state())
        self.assertEqual(['b'], self.counts())

    async def test_leaving_by_itself_or_by_the_list(self):
        """Guard against new work for a member that leaves (I8)."""
        self.b.leaving = True
        await self.rig.run_ms(1_000)
        self.assertIs(_State.LEAVING, self.state())
        self.assertEqual(['b'], self.counts())
        self.b.leaving = False
        await self.rig.run_ms(1_000)
        self.assertIs(_State.LIVE, self.state())
        listed = self.rig.source.vms['b']
        self.rig.source.vms['b'] = msgspec.structs.replace(
            listed, state=cluster.VmState.LEAVING
        )
        await self.rig.run_ms(3_000)
        self.assertIs(_State.LEAVING, self.state())

    async def test_lower_incarnation_is_refused(self):
        """Guard against late packets of a process that was replaced."""
        old = self.b.speak()
        await self.b.kill()
        await self.rig.add('b')
        await self.rig.run_ms(2_000)
        member = self.seen.get('b')
        self.assertGreater(member.incarnation, old.incarnation)
        with self.assertRaises(errors.StaleIncarnation):
            await self.seen.handle(old)
        self.assertEqual(member.incarnation, self.seen.get('b').incarnation)

    async def test_reply_time_is_that_of_the_send(self):
        """Guard against an assurance that is older than it says."""
        self.b.pause()
        await self.rig.run_ms(700)
        before_ms = self.seen.answered_send_ms('b')
        self.assertLess(before_ms, self.rig.clock.now_ms() - 600)
        self.b.resume()
        await self.rig.run_ms(10)
        self.assertLess(
            self.seen.answered_send_ms('b'), self.rig.clock.now_ms()
        )

    async def test_a_failing_listener_stops_nothing(self):
        """Guard against heartbeats that end with a fault elsewhere."""
        self.seen.on_change(lambda: 1 // 0)
        self.b.leaving = True
        await self.rig.run_ms(1_000)
        self.b.leaving = False
        await self.rig.run_ms(1_000)
        self.assertIs(_State.LIVE, self.state())

    async def test_one_of_a_pair_calls_while_the_log_answers(self):
        """Guard against twice the calls that are needed."""
        calls = []
        for daemon in (self.a, self.b):
            handle = daemon.node.handlers[messages.Heartbeat]

            async def count(request, handle=handle):
                calls.append(request.member_id)
                return await handle(request)

            daemon.node.handlers[messages.Heartbeat] = count
        await self.rig.run_ms(6_000)
        calls.clear()
        await self.rig.run_ms(10_000)
        self.assertEqual(['a'] * 20, calls)
        self.rig.log.down = True
        await self.rig.run_ms(1_000)
        for daemon in (self.a, self.b):
            age_ms = self.rig.clock.now_ms()
            age_ms -= daemon.membership.oldest_answered_send_ms()
            self.assertLessEqual(age_ms, 500)

    async def test_heartbeats_one_way_do_not_assure(self):
        """Guard against a one-way cut that counts as connected."""
        self.rig.network.cut('a:1', 'b:1', both=False)
        sent_ms = self.seen.answered_send_ms('b')
        await self.rig.run_ms(5_000)
        self.assertEqual(sent_ms, self.seen.answered_send_ms('b'))
        self.assertLessEqual(self.seen.oldest_answered_send_ms(), sent_ms)

    async def test_all_replied_covers_regions_and_acceptance(self):
        """Guard against an assurance without a member that must reply."""
        now_ms = self.rig.clock.now_ms()
        self.assertLessEqual(now_ms - self.seen.oldest_answered_send_ms(), 500)
        self.assertIsNone(
            self.seen.oldest_answered_send_ms(accept=lambda reply: False)
        )
        far = await self.rig.add('far', region='r2')
        far.pause()
        await self.rig.run_ms(2_500)
        self.assertIsNone(self.seen.oldest_answered_send_ms())
        self.assertIsNotNone(self.seen.oldest_answered_send_ms(region='r1'))

    async def test_silent_seed_counts(self):
        """Guard against a daemon of the settings that is left out."""
        membership = cluster.Membership(
            self.a.clock,
            self.rig.timing,
            self.a.membership._client,
            self.a.membership._vm_list,
            self.a.speak,
            seeds=['x:1', 'b:1', 'a:1'],
        )
        async with membership:
            await self.rig.run_ms(3_000)
            addresses = [m.address for m in membership.required_members()]
            self.assertEqual(['b:1', 'x:1'], sorted(addresses))


class ConfigAssuranceTest(unittest.IsolatedAsyncioTestCase):
    """Guard against keys honoured under an outdated configuration (I3)."""

    async def asyncSetUp(self):
        self.rig = await self.enterAsyncContext(cluster_rig.ClusterRig())
        self.a = await self.rig.add('a')
        self.b = await self.rig.add('b')
        self.c = await self.rig.add('c')
        await self.rig.run_ms(3_000)
        self.assurance = cluster.ConfigAssurance(self.a.membership)

    def age_ms(self):
        at_ms = self.assurance.assured_at_ms(1)
        return None if at_ms is None else self.rig.clock.now_ms() - at_ms

    async def test_a_peer_that_reads_the_log_assures(self):
        """Guard against an age counted from the wrong moment."""
        self.c.pause()
        self.b.config_age_ms = 300
        await self.rig.run_ms(5_000)
        member = self.a.membership.get('b')
        self.assertEqual(
            self.rig.clock.now_ms() - member.last_answered_send_ms + 300,
            self.age_ms(),
        )

    async def test_all_replies_assure_without_the_log(self):
        """Guard against refusals while all daemons agree."""
        self.assertLessEqual(self.age_ms(), 500)
        self.c.pause()
        await self.rig.run_ms(5_000)
        self.assertGreater(self.age_ms(), 2_500)

    async def test_a_higher_version_ends_the_assurance(self):
        """Guard against a known newer version that is ignored."""
        self.c.config_version = 2
        await self.rig.run_ms(1_000)
        self.assertIsNone(self.assurance.assured_at_ms(1))
        self.assertIsNotNone(self.assurance.assured_at_ms(2))
