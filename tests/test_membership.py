"""Test member states and the replies that assurance depends on."""

import unittest

import msgspec

from basilspindle import cluster
from basilspindle import errors
from basilspindle.peer import messages
from tests.standins import cluster_rig

_State = cluster.MemberState


class MembershipTest(unittest.IsolatedAsyncioTestCase):
    """Guard against wrong member states and missing required replies."""

    async def asyncSetUp(self):
        self.rig = await self.enterAsyncContext(cluster_rig.ClusterRig())
        self.a = await self.rig.add('a')
        self.b = await self.rig.add('b')
        await self.rig.run_ms(5_000)
        self.membership = self.a.membership

    def state(self):
        return self.membership.get('b').state

    def required_ids(self):
        return [
            member.member_id for member in self.membership.required_members()
        ]

    def fenceable_ids(self):
        return [
            member.member_id for member in self.membership.fenceable_members()
        ]

    async def test_list_makes_members_known_and_live(self):
        """Guard against daemons that do not find each other."""
        self.assertIs(_State.LIVE, self.state())
        self.assertIs(_State.LIVE, self.b.membership.get('a').state)
        live = {member.member_id for member in self.membership.live()}
        self.assertEqual({'a', 'b'}, live)

    async def test_unlisted_member_is_known_from_its_heartbeat(self):
        """Guard against a lagging VM list that hides a daemon."""
        self.rig.source.silent = True
        c = await self.rig.add('c')
        self.rig.source.silent = False
        del self.rig.source.vms['c']
        await c.membership.handle(self.a.build_heartbeat())
        await self.rig.run_ms(1_000)
        self.assertIs(_State.LIVE, self.membership.get('c').state)

    async def test_silent_member_is_suspect_and_counts(self):
        """Guard against a paused owner that is taken for a dead one."""
        changes = []
        self.membership.on_change(lambda: changes.append(self.state()))
        self.b.pause()
        heard_ms = self.membership.get('b').last_heard_ms
        await self.rig.run_ms(heard_ms + 1_500 - self.rig.clock.now_ms())
        self.assertIs(_State.LIVE, self.state())
        await self.rig.run_ms(60_000)
        self.assertIs(_State.SUSPECT, self.state())
        self.assertEqual(['b'], self.required_ids())
        self.assertEqual(_State.SUSPECT, changes[0])
        self.b.resume()
        await self.rig.run_ms(1_000)
        self.assertIs(_State.LIVE, self.state())

    async def test_refusing_member_is_down_after_suspect_ms(self):
        """Guard against a dead daemon that is waited for as a silent one.

        It is still required: a cut with resets refuses connections as well.
        """
        await self.b.kill()
        await self.rig.run_ms(1_400)
        self.assertEqual(['b'], self.fenceable_ids())
        await self.rig.run_ms(1_200)
        self.assertIs(_State.DOWN, self.state())
        self.assertEqual([], self.fenceable_ids())
        self.assertEqual(['b'], self.required_ids())

    async def test_silence_ends_a_series_of_refusals(self):
        """Guard against an unreachable daemon that is taken for dead."""
        await self.b.kill()
        await self.rig.run_ms(1_000)
        self.rig.network.isolate('b:1')
        await self.rig.run_ms(10_000)
        self.assertIs(_State.SUSPECT, self.state())
        self.assertEqual(['b'], self.fenceable_ids())

    async def test_old_refusals_do_not_outlast_a_pause(self):
        """Guard against a resumed daemon that relies on old refusals.

        The refusing daemon may have restarted during the pause.
        """
        await self.b.kill()
        await self.rig.run_ms(5_000)
        self.assertEqual([], self.fenceable_ids())
        self.a.pause()
        await self.rig.run_ms(10_000)
        self.assertEqual(['b'], self.fenceable_ids())

    async def test_pause_restarts_the_refusal_series(self):
        """Guard against two refusals around a pause counted as a series."""
        await self.b.kill()
        await self.rig.wait_until(
            lambda: self.membership.get('b').last_refused_ms
        )
        self.a.pause()
        await self.rig.run_ms(10_000)
        self.a.resume()
        await self.rig.run_ms(700)
        self.assertEqual(['b'], self.fenceable_ids())

    async def test_resumed_process_does_not_suspect_the_others(self):
        """Guard against a resumed daemon that claims all partitions."""
        self.a.pause()
        await self.rig.run_ms(20_000)
        states = []
        self.membership.on_change(lambda: states.append(self.state()))
        self.a.resume()
        await self.rig.run_ms(3_000)
        self.assertNotIn(_State.SUSPECT, states)

    async def test_member_that_left_the_list_is_gone(self):
        """Guard against a removed VM that blocks the others for ever."""
        self.b.pause()
        del self.rig.source.vms['b']
        await self.rig.run_ms(4_000)
        self.assertIsNone(self.membership.get('b'))
        self.assertEqual([], self.required_ids())
        with self.assertRaises(errors.StaleIncarnation):
            await self.membership.handle(self.b.build_heartbeat())

    async def test_nobody_is_gone_while_the_list_is_silent(self):
        """Guard against a member marked gone in a VM list outage."""
        self.rig.source.silent = True
        del self.rig.source.vms['b']
        self.b.pause()
        await self.rig.run_ms(30_000)
        self.assertIs(_State.SUSPECT, self.state())
        self.assertEqual(['b'], self.required_ids())

    async def test_member_leaves_by_heartbeat_or_vm_list(self):
        """Guard against new work for a leaving member (I8)."""
        self.b.leaving = True
        await self.rig.run_ms(1_000)
        self.assertIs(_State.LEAVING, self.state())
        self.assertEqual(['b'], self.required_ids())
        self.b.leaving = False
        await self.rig.run_ms(1_000)
        self.assertIs(_State.LIVE, self.state())
        listed = self.rig.source.vms['b']
        self.rig.source.vms['b'] = msgspec.structs.replace(
            listed, state=cluster.VmState.LEAVING
        )
        await self.rig.run_ms(3_000)
        self.assertIs(_State.LEAVING, self.state())

    async def test_silence_and_pauses_of_members(self):
        """Guard against a loss that is believed while one may know better."""
        self.assertLess(self.heard_for_ms(), 5_100)
        self.assertGreater(self.heard_for_ms(), 4_000)
        self.b.pause()
        await self.rig.run_ms(3_000)
        self.assertLess(self.heard_for_ms(), 200)
        self.b.resume()
        await self.rig.run_ms(3_000)
        self.assertGreater(self.heard_for_ms(), 2_000)
        self.a.pause()
        await self.rig.run_ms(2_000)
        # The first callback after a pause may be any.
        self.assertEqual(0, self.heard_for_ms())
        self.a.resume()
        await self.rig.run_ms(1_000)
        self.assertLess(self.heard_for_ms(), 1_100)
        del self.rig.source.vms['b']
        self.b.pause()
        await self.rig.run_ms(10_000)
        self.assertGreater(self.heard_for_ms(), 6_000)

    def heard_for_ms(self):
        return self.a.clock.now_ms() - self.membership.all_heard_since_ms()

    async def test_lower_incarnation_is_refused(self):
        """Guard against late heartbeats of a replaced process."""
        old = self.b.build_heartbeat()
        await self.b.kill()
        await self.rig.add('b')
        await self.rig.run_ms(2_000)
        member = self.membership.get('b')
        self.assertGreater(member.incarnation, old.incarnation)
        with self.assertRaises(errors.StaleIncarnation):
            await self.membership.handle(old)
        self.assertEqual(
            member.incarnation, self.membership.get('b').incarnation
        )

    async def test_answered_send_ms_is_the_request_time(self):
        """Guard against assurance dated by the reply, not the request."""
        self.b.pause()
        await self.rig.run_ms(700)
        before_ms = self.membership.answered_send_ms('b')
        self.assertLess(before_ms, self.rig.clock.now_ms() - 600)
        self.b.resume()
        await self.rig.run_ms(10)
        self.assertLess(
            self.membership.answered_send_ms('b'), self.rig.clock.now_ms()
        )

    async def test_a_failing_listener_stops_nothing(self):
        """Guard against a listener's exception that ends heartbeats."""
        self.membership.on_change(lambda: 1 // 0)
        self.b.leaving = True
        await self.rig.run_ms(1_000)
        self.b.leaving = False
        await self.rig.run_ms(1_000)
        self.assertIs(_State.LIVE, self.state())

    async def test_one_of_a_pair_calls_while_the_log_answers(self):
        """Guard against both members of a pair calling each other."""
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
        """Guard against assurance across a one-way network cut."""
        self.rig.network.cut('a:1', 'b:1', both=False)
        sent_ms = self.membership.answered_send_ms('b')
        await self.rig.run_ms(5_000)
        self.assertEqual(sent_ms, self.membership.answered_send_ms('b'))
        self.assertLessEqual(
            self.membership.oldest_answered_send_ms(), sent_ms
        )

    async def test_all_replied_covers_regions_and_acceptance(self):
        """Guard against assurance that ignores a required member."""
        now_ms = self.rig.clock.now_ms()
        self.assertLessEqual(
            now_ms - self.membership.oldest_answered_send_ms(), 500
        )
        self.assertIsNone(
            self.membership.oldest_answered_send_ms(accept=lambda reply: False)
        )
        far = await self.rig.add('far', region='r2')
        far.pause()
        await self.rig.run_ms(2_500)
        self.assertIsNone(self.membership.oldest_answered_send_ms())
        self.assertIsNotNone(
            self.membership.oldest_answered_send_ms(region='r1')
        )

    async def test_silent_seed_must_reply(self):
        """Guard against a seed that is not required to reply."""
        seeded = cluster.Membership(
            self.a.clock,
            self.rig.timing,
            self.a.membership._client,
            self.a.membership._vm_list,
            self.a.build_heartbeat,
            seeds=['x:1', 'b:1', 'a:1'],
        )
        async with seeded:
            await self.rig.run_ms(3_000)
            addresses = [m.address for m in seeded.required_members()]
            self.assertEqual(['b:1', 'x:1'], sorted(addresses))


class ConfigAssuranceTest(unittest.IsolatedAsyncioTestCase):
    """Guard against keys accepted under an outdated configuration (I3)."""

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
        """Guard against an age counted from the wrong time."""
        self.c.pause()
        self.b.config_age_ms = 300
        await self.rig.run_ms(5_000)
        member = self.a.membership.get('b')
        self.assertEqual(
            self.rig.clock.now_ms() - member.last_answered_send_ms + 300,
            self.age_ms(),
        )

    async def test_all_replies_assure_without_the_log(self):
        """Guard against lost assurance while all daemons agree."""
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
