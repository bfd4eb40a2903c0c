"""Test the HTTP client of the adapter."""

import asyncio
import time
import unittest

from basilspindle.platform import client as client_module


class _PausedClient(client_module.Client):
    """Client whose process stands still while it connects."""

    async def _acquire(self, address):
        connection = await super()._acquire(address)
        time.sleep(0.2)
        return connection


class PausedClientTest(unittest.IsolatedAsyncioTestCase):
    """Guard calls against a process that stands still."""

    async def asyncSetUp(self):
        self.received = []
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def serve(self, reader, writer):
        self.received.append(await reader.read(1_000))
        writer.close()

    async def test_no_call_is_sent_after_its_timeout(self):
        """Guard against an order that a paused leader sends late.

        Once, tasks that were done ran again: a leader stood still while it
        connected, and its workers had restarted meanwhile.
        """
        async with _PausedClient() as client:
            with self.assertRaises(client_module.CallFailed) as raised:
                await client.call(self.address, 'POST', '/x', timeout_ms=100)
            self.assertFalse(raised.exception.sent)
            await asyncio.sleep(0.1)
        self.assertEqual([b''], self.received)


if __name__ == '__main__':
    unittest.main()
