"""Test how a daemon gets the configuration from the platform's store."""

import asyncio
import io
import json
import unittest

import loguru

from basilspindle.cell import configuration_lag
from basilspindle.cell import configuration_update
from basilspindle import clock as clock_module
from basilspindle import events
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
        self.stream = io.StringIO()
        events.configure_logging(self.stream)
        self.addCleanup(loguru.logger.remove)

    def publish(self, version, **changes):
        self.store.put(
            'keyed.op',
            'config',
            platform.make_configuration(version, **changes),
        )

    def lines(self, name):
        lines = map(json.loads, self.stream.getvalue().splitlines())
        return [line for line in lines if line['name'] == name]


class ReadReportTest(ConfigurationCase):
    """Test what is logged about reads of the configuration."""

    async def test_an_update_names_source_size_and_time(self):
        """Guard against logs that hide what reading a version took."""
        self.publish(1, routes=make_routes(200))
        self.store.server.link_bytes_s = NARROW_LINK_BYTES_S
        update = await self.source.next_version()
        self.assertEqual(configuration_update.Source.STORE, update.source)
        self.assertGreater(update.size_bytes, 40_000)
        self.assertGreater(update.transfer_ms, 60)
        self.publish(2)
        update = await self.source.next_version()
        self.assertLess(update.size_bytes, 1_000)
        self.assertLess(update.transfer_ms, 60)

    async def test_a_failed_read_tells_silence_from_a_slow_answer(self):
        """Guard against logs that cannot tell a silent store from a slow one.

        In the incident both looked the same: no response within the timeout.
        """
        self.publish(1)
        await self.source.next_version()
        self.store.server.fault = lambda request: 'silent'
        waiting = asyncio.ensure_future(self.source.next_version())
        while not self.lines('configuration_read_failed'):
            await asyncio.sleep(0.05)
        self.store.server.fault = lambda request: ''
        self.store.server.link_bytes_s = 3_000
        self.publish(2, routes=make_routes(100))
        while len(self.lines('configuration_read_failed')) < 2:
            await asyncio.sleep(0.05)
        waiting.cancel()
        silent, slow = self.lines('configuration_read_failed')[:2]
        self.assertNotIn('bytes of it came', silent['error'])
        self.assertRegex(slow['error'], r'\d+ bytes of it came')


class LagTest(unittest.TestCase):
    """Test the report of a daemon that is behind."""

    def test_lag_is_reported_once_a_second_until_it_ends(self):
        """Guard against a daemon that is behind without a trace in the log."""
        lag = configuration_lag.ConfigurationLag()
        self.assertIsNone(lag.observe(5, 4, 0))
        self.assertIsNone(lag.observe(5, 4, 900))
        self.assertEqual(1_100, lag.observe(6, 4, 1_100))
        self.assertIsNone(lag.observe(6, 4, 1_500))
        self.assertEqual(2_200, lag.observe(7, 5, 2_200))
        self.assertIsNone(lag.observe(7, 7, 2_300))
        self.assertIsNone(lag.observe(8, 7, 2_400))
        self.assertIsNone(lag.observe(8, 7, 3_300))
