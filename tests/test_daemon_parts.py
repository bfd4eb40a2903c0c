"""Test the daemon components that communicate with other daemons."""

import asyncio
import types
import unittest

import loguru

from basilspindle import cluster
from basilspindle.cluster import inventory_collector
from basilspindle import config
from basilspindle.daemon import configuration_fetcher
from basilspindle.daemon import holder_directory
from basilspindle.daemon import live_timing
from basilspindle.daemon import owner_directory
from basilspindle.daemon import partition_host
from basilspindle.daemon import partition_inventories
from basilspindle.daemon import peer_handlers
from basilspindle.daemon import worker_assignment
from basilspindle import errors
from basilspindle import model
from basilspindle.peer import messages
from tests.standins import manual_clock

_LIVE = cluster.MemberState.LIVE


def make_member(name, region='r1', incarnation='1', version=1, **fields):
    """Return a live member that has sent a heartbeat."""
    member = cluster.Member(f'{name}:1')
    member.update(
        messages.Heartbeat(
            member_id=name,
            incarnation=incarnation,
            address=f'{name}:1',
            api_address=f'{name}:2',
            failure_domain='fd',
            region=region,
            config_version=version,
            **fields,
        ),
        0,
    )
    member.state = _LIVE
    return member


class MembershipStandIn:
    """A membership with fixed members; the first is this daemon."""

    def __init__(self, *members):
        self.all = list(members)

    @property
    def own(self):
        return self.all[0]

    def required_members(self):
        return [m for m in self.members() if m.state.must_reply]

    def members(self):
        return self.all[1:]

    def live(self):
        return [m for m in self.all if m.state is _LIVE]

    def all_heard_since_ms(self):
        return 0

    def get(self, member_id):
        found = [m for m in self.all if m.member_id == member_id]
        return max(found, key=lambda m: m.incarnation, default=None)


class ClientStandIn:
    """A client with one reply per address; an exception is raised."""

    def __init__(self):
        self.replies = {}
        self.calls = []

    async def call(self, address, request, timeout_ms):
        self.calls.append((address, request))
        reply = self.replies.get(address)
        if isinstance(reply, Exception):
            raise reply
        return reply


class FleetStandIn:
    """A fleet that records the requests it receives."""

    def __init__(self):
        self.requests = []
        self.capacity = messages.Room()

    def free_capacity(self):
        return self.capacity

    async def record(self, request):
        self.requests.append(request)
        return 'here'

    place = commit = drop = stop = record

    async def inventory(self, request):
        task = model.RunningTask(
            task_id='r1/0',
            attempt=1,
            job_id='r1',
            index=0,
            workspace='red',
            kind='query',
            partition=request.partition,
            worker_id='w1',
            failure_domain='fd',
            rack='rack',
            resources=model.Resources(),
        )
        return messages.Inventoried(running=[task], ends=[], workers=['w1'])


class PeerHandlersTest(unittest.IsolatedAsyncioTestCase):
    """Guard against tasks started for a request that its sender abandoned.

    A request may be delayed in a buffer or in a paused process.
    """

    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.fleet = FleetStandIn()
        self.handlers = peer_handlers.PeerHandlers(
            self.clock,
            MembershipStandIn(make_member('a', incarnation='7')),
            None,
            self.fleet,
            None,
            None,
        )

    async def test_old_or_foreign_placement_is_refused(self):
        cases = (
            ('new', '7', 0, True),
            ('at the limit', '7', peer_handlers.PLACE_MAX_AGE_MS, True),
            ('too old', '7', peer_handlers.PLACE_MAX_AGE_MS + 1, False),
            ('for an earlier process', '6', 0, False),
            ('for no process', '', 0, False),
        )
        for name, incarnation, age_ms, taken in cases:
            request = messages.Place(
                member_id='b',
                orders=[],
                receiver_incarnation=incarnation,
                receiver_time_ms=self.clock.now_ms() - age_ms,
            )
            with self.subTest(name):
                self.fleet.requests.clear()
                if taken:
                    await self.handlers.place(request)
                else:
                    with self.assertRaises(errors.PlacementExpired) as got:
                        await self.handlers.place(request)
                    self.assertIs(errors.Ran.NO, got.exception.ran)
                self.assertEqual(taken, bool(self.fleet.requests))

    async def test_inventory_names_this_process_as_holder(self):
        """Guard against stop requests sent to an earlier process.

        The owner sends them to the holder that the inventory names.
        """
        request = messages.Inventory(
            partition=1, partition_epoch=1, member_id='b'
        )
        reply = await self.handlers.inventory(request)
        self.assertEqual('a@7', reply.running[0].holder_id)


class HolderDirectoryTest(unittest.IsolatedAsyncioTestCase):
    """Guard against requests that reach another process than intended."""

    def setUp(self):
        self.own = make_member('a')
        self.other = make_member('b', incarnation='5', sent_at_ms=42)
        self.membership = MembershipStandIn(self.own, self.other)
        self.client = ClientStandIn()
        self.fleet = FleetStandIn()
        self.holders = holder_directory.HolderDirectory(
            manual_clock.ManualClock(),
            self.membership,
            self.client,
            self.fleet,
        )

    async def test_placement_names_the_receivers_time(self):
        """Guard against a placement whose age the receiver cannot check."""
        request = messages.Place(member_id='', orders=[])
        await self.holders.place('b@5', request)
        address, sent = self.client.calls[0]
        self.assertEqual(
            ('b:1', 'a', '5', 42),
            (
                address,
                sent.member_id,
                sent.receiver_incarnation,
                sent.receiver_time_ms,
            ),
        )

    async def test_own_requests_stay_here(self):
        """Guard against a daemon that calls itself over the network."""
        for call in ('place', 'commit', 'drop', 'stop'):
            await getattr(self.holders, call)('a@1', call)
        self.assertEqual(4, len(self.fleet.requests))
        self.assertEqual([], self.client.calls)

    async def test_restarted_daemon_is_another_holder(self):
        """Guard against a restarted process treated as the old holder."""
        self.membership.all[1] = make_member('b', incarnation='6')
        names = [name for name, _, _ in self.holders.rooms()]
        self.assertEqual(['a@1', 'b@6'], names)
        self.assertTrue(self.holders.is_lost('b@5'))
        self.assertFalse(self.holders.is_lost('b@6'))
        for call in ('place', 'commit', 'drop', 'stop'):
            with self.assertRaises(errors.PeerUnavailable):
                await getattr(self.holders, call)('b@5', None)
        self.assertEqual([], self.client.calls)

    def test_only_ended_members_are_lost(self):
        """Guard against tasks restarted while their holder may be running."""
        for state in cluster.MemberState:
            self.other.state = state
            # A holder that refuses connections may renew its tasks' leases.
            ended = state == 'gone'
            self.assertEqual(ended, self.holders.is_lost('b@5'), state)
        self.own.state = cluster.MemberState.SUSPECT
        self.assertFalse(self.holders.is_lost('a@1'))

    def test_stamp_changes_with_own_capacity(self):
        """Guard against placements subtracted from a newer capacity report.

        The stamp tells the coordinator that the report is new.
        """
        stamps = []
        for workers in (0, 0, 2, 2, 0):
            self.fleet.capacity = messages.Room(workers=workers)
            stamps.append(next(self.holders.rooms())[2])
        self.assertEqual([0, 0, 1, 1, 2], stamps)

    def test_lowest_waiting_shares_of_other_members(self):
        """Guard against comparing shares with those of this daemon itself."""
        self.assertEqual([-1.0] * 3, self.holders.lowest_waiting_shares())
        self.own.heartbeat = None
        for name, shares in (
            ('c', [0.5, -1.0, 0.0]),
            ('d', [0.2, -1.0, 0.3]),
        ):
            self.membership.all.append(
                make_member(name, waiting_shares=shares)
            )
        self.assertEqual(
            [0.2, -1.0, 0.0], self.holders.lowest_waiting_shares()
        )


class WorkerAssignmentTest(unittest.TestCase):
    """Guard against workers with no holder or with several holders."""

    def setUp(self):
        self.members = [make_member(f'm{n}', f'r{n % 2}') for n in range(6)]
        self.workers = [
            cluster.VirtualMachine(
                id=f'w{n}',
                address=f'w{n}:1',
                role=cluster.Role.WORKER,
                region=f'r{n % 2}',
            )
            for n in range(60)
        ]
        list_ = types.SimpleNamespace(workers=lambda: self.workers)
        self.views = [
            worker_assignment.WorkerAssignment(
                MembershipStandIn(
                    member, *(m for m in self.members if m is not member)
                ),
                list_,
            )
            for member in self.members
        ]

    def holders(self):
        """Return the holder of each worker; check that each has just one."""
        found = {}
        for member, view in zip(self.members, self.views, strict=True):
            if member.state is _LIVE:
                for info in view.desired(frozenset()):
                    self.assertNotIn(info.worker_id, found)
                    found[info.worker_id] = member
        self.assertEqual(len(self.workers), len(found))
        return found

    def test_each_worker_has_one_holder_in_its_region(self):
        for vm in self.workers:
            self.assertEqual(vm.region, self.holders()[vm.id].region)

    def test_loss_moves_only_the_workers_of_the_lost_member(self):
        """Guard against moving workers of live members when another fails."""
        before = self.holders()
        lost = self.members[2]
        lost.state = cluster.MemberState.DOWN
        after = self.holders()
        for vm in self.workers:
            self.assertIsNot(lost, after[vm.id])
            self.assertEqual(vm.region, after[vm.id].region)
            if before[vm.id] is not lost:
                self.assertIs(before[vm.id], after[vm.id])
        lost.state = _LIVE
        self.assertEqual(before, self.holders())

    def test_region_without_members_is_held_from_elsewhere(self):
        """Guard against idle workers in a region without live members."""
        for member in self.members[1::2]:
            member.state = cluster.MemberState.DOWN
        regions = {member.region for member in self.holders().values()}
        self.assertEqual({'r0'}, regions)

    def test_member_without_configuration_holds_nothing(self):
        """Guard against workers held by a daemon that cannot place tasks."""
        self.members[0] = make_member('m0', 'r0', version=0)
        for view in self.views:
            view._membership.all = [
                self.members[0] if m.member_id == 'm0' else m
                for m in view._membership.all
            ]
        held = {member.member_id for member in self.holders().values()}
        self.assertEqual(5, len(held))
        self.assertNotIn('m0', held)

    def test_state_of_the_list_reaches_the_fleet(self):
        """Guard against new tasks on workers that are leaving or drained."""
        leaving = cluster.VirtualMachine(
            id='x',
            address='x:1',
            role=cluster.Role.WORKER,
            state=cluster.VmState.LEAVING,
        )
        cases = ((leaving, frozenset()), (self.workers[0], {'w0'}))
        infos = [worker_assignment.worker_info(*case) for case in cases]
        self.assertEqual(
            [(True, False), (False, True)],
            [(info.leaving, info.drained) for info in infos],
        )


class OwnerDirectoryTest(unittest.TestCase):
    """Guard against calls to a daemon that does not own the partition."""

    def test_addresses(self):
        own, other = make_member('a'), make_member('b')
        owners = {0: own, 1: other}
        ownership = types.SimpleNamespace(owner_of=owners.get)
        directory = owner_directory.OwnerDirectory(
            ownership, MembershipStandIn(own, other), 12
        )
        found = [directory.owner_address(number) for number in range(3)]
        self.assertEqual(['', 'b:1', None], found)
        self.assertEqual(
            cluster.partition_of('red', 12), directory.partition_of('red')
        )


class ConfigurationFetcherTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a newer configuration that is not fetched."""

    async def test_asks_the_newest_first_and_goes_on(self):
        client = ClientStandIn()
        fetcher = configuration_fetcher.ConfigurationFetcher(client)
        self.assertEqual(b'', await fetcher.fetch_configuration(0))
        members = [
            make_member(name, version=version)
            for name, version in (('a', 9), ('b', 3), ('c', 5), ('d', 4))
        ]
        fetcher.set_membership(MembershipStandIn(*members))
        client.replies = {
            'c:1': errors.PeerUnavailable('refused'),
            'd:1': messages.Configuration(version=4, record=b'four'),
        }
        self.assertEqual(b'four', await fetcher.fetch_configuration(3))
        self.assertEqual(['c:1', 'd:1'], [a for a, _ in client.calls])
        self.assertEqual(b'', await fetcher.fetch_configuration(5))
        self.assertEqual(2, len(client.calls))


class LiveTimingTest(unittest.TestCase):
    """Guard against time settings that ignore configuration changes."""

    def test_follows_the_store(self):
        store = types.SimpleNamespace(timing=config.Timing())
        timing = live_timing.LiveTiming(store)
        names = [n for n in dir(timing) if n.endswith('_ms')]
        self.assertEqual(6, len(names))
        store.timing = config.Timing(**{name: 77 for name in names})
        self.assertEqual([77] * 6, [getattr(timing, n) for n in names])


class PartitionHostTest(unittest.IsolatedAsyncioTestCase):
    """Guard against dispatching too early or later than necessary.

    Too early is while tasks of the partition may run unreported.
    """

    async def asyncSetUp(self):
        self.clock = manual_clock.ManualClock()
        self.dispatched = []
        self.deactivated = []
        self.reconciled = []
        self.all_covered = False
        self.silent = False
        self.heard_since_ms = 0
        self.error = None
        self.collect_count = 0
        self.host = await self.enterAsyncContext(
            partition_host.PartitionHost(self.clock, self, self.collect)
        )
        self.journal = types.SimpleNamespace(epoch=4)

    def activate(self, *_):
        pass

    def reconcile(self, partition, running, ends):
        self.reconciled.append((partition, running, ends))

    def apply_full_inventory(self, partition, running, ends):
        self.dispatched.append((partition, running, ends))

    async def collect(self, partition, epoch):
        self.assertEqual(4, epoch)
        self.collect_count += 1
        if self.error is not None:
            raise self.error
        until_ms = self.clock.now_ms() + (0 if self.all_covered else 30_000)
        return inventory_collector.CollectedInventory(
            ['task'], ['end'], until_ms, self.silent, self.heard_since_ms
        )

    async def activate_partition(self, unseen_ms=30_000):
        until_ms = self.clock.now_ms() + unseen_ms
        await self.host.activate(2, self.journal, [], [], until_ms)
        await self.clock.advance_ms(1_000)

    async def test_opens_once_all_workers_are_covered(self):
        await self.activate_partition()
        self.assertEqual([], self.dispatched)
        self.all_covered = True
        await self.clock.advance_ms(10_000)
        self.assertEqual([(2, ['task'], ['end'])], self.dispatched)

    async def test_failed_collection_is_retried(self):
        """Guard against waiting for the task leases after one error."""
        loguru.logger.disable('basilspindle')
        self.addCleanup(loguru.logger.enable, 'basilspindle')
        self.error = ValueError('fault')
        await self.activate_partition()
        self.error, self.all_covered = None, True
        await self.clock.advance_ms(1_000)
        self.assertEqual(1, len(self.dispatched))

    async def test_opens_after_the_task_leases_of_unseen_workers(self):
        await self.activate_partition()
        await self.clock.advance_ms(28_000)
        self.assertEqual([], self.dispatched)
        await self.clock.advance_ms(2_000)
        self.assertEqual([(2, [], [])], self.dispatched)

    async def test_pause_of_the_owner(self):
        """Guard against a task that another member took over meanwhile."""
        await self.activate_partition()
        self.clock._now_ms += 40_000
        self.heard_since_ms = self.clock.now_ms()
        await self.clock.advance_ms(28_000)
        self.assertEqual([], self.dispatched)
        self.all_covered = True
        await self.clock.advance_ms(1_000)
        self.assertEqual([(2, ['task'], ['end'])], self.dispatched)

    async def test_silent_member_may_renew_the_leases_of_unseen_workers(self):
        """Guard against a task that runs twice behind a network partition.

        The holder that cannot be reached may keep renewing its lease.
        """
        self.silent = True
        await self.activate_partition()
        await self.clock.advance_ms(120_000)
        self.assertEqual([], self.dispatched)
        self.silent = False
        await self.clock.advance_ms(29_000)
        self.assertEqual([], self.dispatched)
        await self.clock.advance_ms(2_000)
        self.assertEqual([(2, [], [])], self.dispatched)

    async def test_inventories_are_compared_once_open(self):
        self.all_covered = True
        await self.activate_partition()
        await self.clock.advance_ms(60_500)
        self.assertEqual([(2, ['task'], ['end'])], self.reconciled)

    async def test_collection_stops_when_not_needed(self):
        """Guard against collecting inventories when there is no need.

        There is none once the partition is dispatching or deactivated.
        """
        await self.activate_partition(0)
        self.assertEqual(0, self.collect_count)
        await self.activate_partition()
        await self.host.deactivate(2, False)
        self.assertEqual([(2, False)], self.deactivated)
        self.all_covered = True
        await self.clock.advance_ms(2_000)
        self.assertEqual([], self.dispatched)
        self.all_covered = False
        await self.activate_partition(2_000)
        await self.clock.advance_ms(2_000)
        count = self.collect_count
        await self.clock.advance_ms(5_000)
        self.assertEqual(count, self.collect_count)

    async def test_new_activation_cancels_previous_collection(self):
        """Guard against inventories requested with an old epoch."""
        await self.activate_partition()
        first = asyncio.all_tasks()
        await self.activate_partition()
        self.assertEqual(len(first), len(asyncio.all_tasks()))

    async def deactivate(self, partition, handover):
        self.deactivated.append((partition, handover))


class PartitionInventoriesTest(unittest.IsolatedAsyncioTestCase):
    """Guard against task starts while a listed worker is not covered."""

    async def test_complete_only_with_every_worker(self):
        clock = manual_clock.ManualClock()
        client = ClientStandIn()
        silent = make_member('c')
        silent.state = cluster.MemberState.SUSPECT
        membership = MembershipStandIn(
            make_member('a'), make_member('b'), silent
        )
        listed = []

        async def refresh():
            return listed.pop()

        async def local(_):
            return messages.Inventoried(running=[], ends=[], workers=['w1'])

        vms = [types.SimpleNamespace(id=name) for name in ('w1', 'w2')]
        vm_list = types.SimpleNamespace(refresh=refresh, workers=lambda: vms)
        inventories = partition_inventories.PartitionInventories(
            clock, config.Timing(), client, membership, vm_list, local
        )
        other = messages.Inventoried(running=[], ends=[], workers=['w2'])
        cases = (
            (errors.PeerUnavailable('refused'), True, False),
            (other, True, True),
            (other, False, False),
        )
        for reply, answered, expected in cases:
            listed.append(answered)
            client.replies = {'b:1': reply}
            found = await inventories(3, 8)
            complete = found.unseen_until_ms <= clock.now_ms()
            self.assertEqual(expected, complete)
            self.assertTrue(found.has_silent_member)
        self.assertEqual({'b:1'}, {a for a, _ in client.calls})
        self.assertEqual({8}, {r.partition_epoch for _, r in client.calls})
