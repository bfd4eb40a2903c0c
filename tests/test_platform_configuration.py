"""Test how a daemon gets the configuration from the platform's store."""

import unittest

from basilspindle.cell import configuration_lag
from basilspindle.cell import configuration_update
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle.platform import client as client_module
from basilspindle.platform import configuration
from basilspindle.platform import store as store_module
from tests.standins import platform

# 5 Mbit/s, the narrowest link of a VM at the users' sites.
NARROW_LINK_BYTES_S = 625_000.0


def make_routes(count):
    """Return the names of ``count`` routes."""
    return tuple(f'queue-{number}' for number in range(count))


class ConfigurationCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a reader of the configuration in a stand-in store."""

    async def asyncSetUp(self):
        self.store = platform.StandinStore()
        await self.enterAsyncContext(self.store)
        self.client = await self.enterAsyncContext(client_module.Client())
        self.source = configuration.StoreConfigurationSource(
            store_module.LogStore(self.client, self.store.server.address),
            clock_module.Clock(),
        )

    def publish(self, version, **changes):
        self.store.put(
            'keyed.op',
            'config',
            platform.make_configuration(version, **changes),
        )


class ReadReportTest(ConfigurationCase):
    """Test what is logged about reads of the configuration."""

    async def test_an_update_names_source_size_and_time(self):
        """Guard against logs that hide what reading a version took."""
        self.publish(1, routes=make_routes(200))
        self.store.server.link_bytes_s = NARROW_LINK_BYTES_S
        poll = await self.source.poll(None, 0)
        report = poll.update.report
        self.assertEqual(configuration_update.Source.STORE, report.source)
        self.assertGreater(report.size_bytes, 40_000)
        self.assertGreater(report.transfer_ms, 60)
        self.publish(2)
        poll = await self.source.poll(poll.next_offset, 1_000)
        report = poll.update.report
        self.assertLess(report.size_bytes, 1_000)
        self.assertLess(report.transfer_ms, 60)

    async def test_a_failed_read_tells_silence_from_a_slow_answer(self):
        """Guard against logs that cannot tell a silent store from a slow one.

        In the incident both looked the same: no response within the timeout.
        """
        self.publish(1, routes=make_routes(100))
        for fault in ('silent', 'stalled'):
            self.store.server.fault = lambda request, fault=fault: fault
            with self.assertRaises(errors.LogUnavailable) as caught:
                await self.source.poll(None, 0)
            is_partial = 'bytes of it came' in caught.exception.message
            self.assertEqual(fault == 'stalled', is_partial)


class PollTest(ConfigurationCase):
    """Test which version a read returns and where the next one begins."""

    async def poll(self, next_offset):
        poll = await self.source.poll(next_offset, 100)
        version = poll.update.configuration.version if poll.update else None
        return version, poll.next_offset

    async def test_versions_that_are_not_the_newest_are_skipped(self):
        """Guard against a daemon that reads all versions that it missed."""
        self.publish(1)
        self.assertEqual((1, 1), await self.poll(None))
        for version in range(2, 9):
            self.publish(version, routes=make_routes(100))
        version, next_offset = await self.poll(1)
        self.assertEqual((2, None), (version, next_offset))
        self.assertEqual((8, 8), await self.poll(next_offset))
        self.assertEqual((None, 8), await self.poll(8))

    async def test_other_records_and_dropped_history(self):
        """Guard against a daemon that stops at what it cannot use."""
        self.publish(1)
        self.store.put('keyed.op', 'wave/1', b'{}')
        self.assertEqual((None, 2), await self.poll(1))
        self.store.put('keyed.op', 'config', b'{"version": "x"}')
        self.assertEqual((None, 3), await self.poll(2))
        self.publish(2)
        self.store.drop_history()
        self.assertEqual((2, 4), await self.poll(1))
        # The store was reset: it ends before the offset that was read.
        self.assertEqual((None, None), await self.poll(9))


class LagTest(unittest.TestCase):
    """Test the report of a daemon that is behind."""

    def test_lag_is_reported_once_a_second_until_it_ends(self):
        """Guard against a daemon that is behind without a trace in the log."""
        lag = configuration_lag.ConfigurationLag()
        self.assertFalse(lag.observe(5, 4, 0))
        self.assertFalse(lag.observe(5, 4, 900))
        self.assertTrue(lag.observe(6, 4, 1_100))
        self.assertEqual(1_100, lag.behind_ms)
        self.assertFalse(lag.observe(6, 4, 1_500))
        self.assertTrue(lag.observe(7, 5, 2_200))
        self.assertEqual(2_200, lag.behind_ms)
        self.assertFalse(lag.observe(7, 7, 2_300))
        self.assertEqual(0, lag.behind_ms)
        self.assertFalse(lag.observe(8, 7, 2_400))
        self.assertFalse(lag.observe(8, 7, 3_300))
