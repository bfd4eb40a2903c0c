"""Test the answers to callers that a daemon gives by itself."""

import unittest

from basilspindle.cell import configuration_index
from basilspindle import clock as clock_module
from basilspindle.platform import frontend as frontend_module
from tests import cell_case


class _Node:
    name = 'd0'

    def __init__(self, is_behind):
        self.index = configuration_index.ConfigurationIndex(
            cell_case.make_configuration()
        )
        self.is_configuration_behind = is_behind
        self.stopping = False


class OutdatedConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """Test requests that the configuration in force does not allow."""

    async def status(self, is_behind, path, key):
        frontend = frontend_module.Frontend(
            _Node(is_behind), clock_module.Clock()
        )
        scope = {
            'type': 'http',
            'method': 'GET',
            'path': path,
            'headers': [
                (b'host', b'h.example'),
                (b'authorization', b'Bearer ' + key),
            ],
        }
        sent = []

        async def send(message):
            sent.append(message)

        await frontend(scope, None, send)
        return sent[0]['status']

    async def test_a_refusal_waits_for_a_newer_version(self):
        """Guard against a false 404 or 401 for a queue or key just added."""
        cases = (('/unknown/', b'key', 404), ('/queue/', b'unknown', 401))
        for path, key, status in cases:
            with self.subTest(path=path):
                self.assertEqual(status, await self.status(False, path, key))
                self.assertEqual(503, await self.status(True, path, key))
