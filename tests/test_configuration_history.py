"""Test the changes of the configuration that daemons send each other."""

import asyncio
import unittest
import unittest.mock

import hypothesis
from hypothesis import strategies
import msgspec

from basilspindle.cell import configuration_feed
from basilspindle.cell import configuration_history
from basilspindle.cell import configuration_transfer
from basilspindle.cell import messages
from basilspindle import clock as clock_module
from basilspindle import errors
from tests import cell_case
from tests import soak

_NAMES = strategies.sampled_from([f'q{number}' for number in range(8)])
_QUEUES = strategies.dictionaries(
    _NAMES, strategies.integers(0, 2), max_size=8
).map(
    lambda priorities: [
        cell_case.make_queue(name, priority=priority)
        for name, priority in priorities.items()
    ]
)


def make_version(version, count, **changes):
    """Return a configuration with ``count`` queues."""
    queues = [cell_case.make_queue(f'q{number}') for number in range(count)]
    return cell_case.make_configuration(queues, version=version, **changes)


def sort_items(configuration):
    """Return the content of a configuration without the order of items."""
    return (
        configuration.version,
        sorted(map(repr, configuration.queues)),
        sorted(map(repr, configuration.workspaces)),
        sorted(map(repr, configuration.pools)),
        configuration.limits,
    )


class HistoryTest(unittest.TestCase):
    """Test that a payload leads to the configuration that was published."""

    def follow(self, leader, follower):
        payload = leader.payload(follower.version)[2]
        follower.apply(payload)
        self.assertEqual(
            sort_items(leader.current), sort_items(follower.current)
        )
        return len(payload)

    @soak.settings(60)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(_QUEUES, strategies.booleans()), max_size=8
        )
    )
    def test_a_follower_that_skips_versions_gets_the_same(self, versions):
        """Guard against a daemon whose queues differ from the published."""
        leader = configuration_history.ConfigurationHistory()
        follower = configuration_history.ConfigurationHistory()
        for version, (queues, is_followed) in enumerate(versions, start=1):
            leader.replace(
                cell_case.make_configuration(
                    queues or [cell_case.make_queue()], version=version
                )
            )
            if is_followed:
                self.follow(leader, follower)
        if versions and follower.version < leader.version:
            self.follow(leader, follower)

    def test_a_withdrawn_key_is_gone_after_a_change(self):
        """Guard against a change that only adds keys."""
        leader = configuration_history.ConfigurationHistory()
        follower = configuration_history.ConfigurationHistory()
        configuration = make_version(1, 3)
        leader.replace(configuration)
        self.follow(leader, follower)
        workspace = configuration.workspaces[0]
        leader.replace(
            msgspec.structs.replace(
                configuration,
                version=2,
                workspaces=(msgspec.structs.replace(workspace, keys=()),),
            )
        )
        self.follow(leader, follower)
        self.assertEqual((), follower.current.workspaces[0].keys)

    def test_a_change_of_a_grown_configuration_is_small(self):
        """Guard against changes whose cost grows with the configuration."""
        leader = configuration_history.ConfigurationHistory()
        follower = configuration_history.ConfigurationHistory()
        leader.replace(make_version(1, 4_000))
        self.follow(leader, follower)
        leader.replace(make_version(2, 4_001))
        self.assertLess(self.follow(leader, follower), 1_000)

    def test_a_version_that_is_too_old_gets_the_whole(self):
        """Guard against a daemon that is stuck on a version of long ago."""
        leader = configuration_history.ConfigurationHistory()
        follower = configuration_history.ConfigurationHistory()
        leader.replace(make_version(1, 5))
        self.follow(leader, follower)
        for version in range(2, 200):
            leader.replace(make_version(version, 5 + version % 3))
        self.assertEqual(0, leader.payload(1)[0])
        self.follow(leader, follower)

    def test_a_new_leader_goes_on_from_the_changes_it_received(self):
        """Guard against whole configurations after a change of leader."""
        histories = [
            configuration_history.ConfigurationHistory() for _ in range(3)
        ]
        leader, successor, follower = histories
        leader.replace(make_version(1, 5))
        self.follow(leader, successor)
        self.follow(leader, follower)
        leader.replace(make_version(2, 6))
        self.follow(leader, successor)
        successor.replace(make_version(3, 7))
        self.assertEqual(1, successor.payload(1)[0])
        self.follow(successor, follower)

    def test_a_change_that_does_not_fit_is_refused(self):
        """Guard against a mixture of two configurations in force."""
        leader = configuration_history.ConfigurationHistory()
        leader.replace(make_version(1, 5))
        leader.replace(make_version(2, 6))
        for follower_version, count in ((None, 0), (3, 5), (1, 4)):
            follower = configuration_history.ConfigurationHistory()
            if follower_version:
                follower.replace(make_version(follower_version, count))
            before = follower.current
            with self.assertRaises(errors.ConfigurationDiverged):
                follower.apply(leader.payload(1)[2])
            self.assertEqual(before, follower.current)
        for payload in (b'', b'\x91\xc4\x01x', b'\x93'):
            with self.assertRaises(errors.ConfigurationDiverged):
                follower.apply(payload)

    def test_a_whole_configuration_is_decoded_up_to_a_limit(self):
        """Guard against a payload that fills the memory when decoded."""
        leader = configuration_history.ConfigurationHistory()
        leader.replace(make_version(1, 500))
        payload = leader.payload(0)[2]
        follower = configuration_history.ConfigurationHistory()
        with unittest.mock.patch.object(
            configuration_history, '_MAX_DECODED_BYTES', 5_000
        ):
            with self.assertRaises(errors.ConfigurationDiverged):
                follower.apply(payload)
        follower.apply(payload)


class _Leader:
    """Link to a leader whose answers are lost where the test says so."""

    def __init__(self, history, lost=()):
        self.closed = asyncio.Event()
        self.requests = []
        self.spoiled = 0
        self._history = history
        self._lost = set(lost)

    async def call(self, request, timeout_ms):
        self.requests.append(request)
        if len(self.requests) in self._lost:
            raise errors.PeerOutcomeUnknown('lost', ran=errors.Ran.UNKNOWN)
        version = self._history.version
        if request.version >= version:
            self.closed.set()
            return messages.ConfigurationPart(0, version, 0, 0, b'', 0, 7)
        base, version, payload = self._history.payload(
            request.version, request.base_version, request.target
        )
        is_continued = (base, version) == (
            request.base_version,
            request.target,
        )
        number = request.number if is_continued else 0
        data, part_count = configuration_transfer.cut(payload, number)
        if self.spoiled:
            self.spoiled -= 1
            data = bytes(len(data))
        return messages.ConfigurationPart(
            base, version, number, part_count, data, 0, 7
        )


class _Receiver:
    def __init__(self):
        self.history = configuration_history.ConfigurationHistory()
        self.confirmed = []
        self.transfers = 0

    @property
    def version(self):
        return self.history.version

    def confirm(self, version, at_ms):
        self.confirmed.append(version)

    def note_progress(self):
        return

    def apply_payload(self, payload, transfer, next_offset):
        self.transfers += 1
        self.history.apply(payload)


class FeedTest(unittest.IsolatedAsyncioTestCase):
    """Test the transfer of a payload in parts."""

    def setUp(self):
        self.history = configuration_history.ConfigurationHistory()
        # Names that do not compress well, so that there are several parts.
        queues = [
            cell_case.make_queue(f'{number * 7919 % 104_729:x}-{number**3:x}')
            for number in range(4_000)
        ]
        self.history.replace(cell_case.make_configuration(queues))
        self.receiver = _Receiver()

    async def follow(self, leader):
        feed = configuration_feed.ConfigurationFeed(
            leader, self.receiver, clock_module.Clock()
        )
        await asyncio.wait_for(feed.run(), 5)
        self.assertEqual(self.history.current, self.receiver.history.current)

    async def test_a_lost_part_is_requested_again(self):
        """Guard against a transfer that begins again after a lost part."""
        leader = _Leader(self.history, lost=(3, 5))
        await self.follow(leader)
        numbers = [request.number for request in leader.requests]
        self.assertGreater(len(numbers), 4)
        self.assertEqual([0, 1, 2, 2, 3, 3], numbers[:6])

    async def test_a_transfer_ends_although_a_newer_version_came(self):
        """Guard against a daemon that never completes one of many versions."""
        leader = _Leader(self.history)
        call = leader.call

        async def call_and_publish(request, timeout_ms):
            part = await call(request, timeout_ms)
            if len(leader.requests) == 2:
                self.history.replace(
                    msgspec.structs.replace(self.history.current, version=2)
                )
            return part

        leader.call = call_and_publish
        await self.follow(leader)
        self.assertEqual(2, self.receiver.transfers)
        targets = [request.target for request in leader.requests]
        self.assertEqual([0, 1, 1], targets[:3])

    async def test_a_spoiled_payload_is_replaced_by_the_whole(self):
        """Guard against a follower that stops at a change it cannot apply."""
        self.receiver.history.replace(self.history.current)
        self.history.replace(make_version(2, 3))
        self.history.replace(make_version(3, 4))
        leader = _Leader(self.history)
        leader.spoiled = 1
        await self.follow(leader)
        self.assertEqual(
            [1, 0], [request.version for request in leader.requests[:2]]
        )
