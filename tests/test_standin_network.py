"""Test the stand-in network."""

import asyncio
import socket
import unittest

from tests.standins import platform
from tests.standins.platform import server as server_module

_TIMEOUT_S = 0.3
_SETTLE_S = 0.3
_REQUEST = b'GET / HTTP/1.1\r\n\r\n'
_LATE_S = 0.6
# Linux sent lost data again 0.4, 0.85, 1.7 and 3.35 s after the loss.
_RESEND_S = 5.0


def _request(name):
    return f'GET /{name} HTTP/1.1\r\n\r\n'.encode()


class NetworkTest(unittest.IsolatedAsyncioTestCase):
    """Guard against cuts that tests ask for and that do not hold."""

    async def asyncSetUp(self):
        self.server = await self.enterAsyncContext(
            server_module.Server(self.answer)
        )
        self.network = await self.enterAsyncContext(platform.Network())
        self.network.add('b', self.server.address)
        self.address = await self.network.path('a', self.server.address)

    async def answer(self, request):
        return server_module.Reply(200)

    def paths(self):
        return [request.path for request in self.server.requests]

    async def call(self):
        """Return what a call of the server ends with."""
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    *self.address.split(':')
                )
                writer.write(_REQUEST)
                data = await reader.read(100)
        except TimeoutError:
            return 'silent'
        except ConnectionRefusedError:
            return 'refused'
        writer.transport.abort()
        return 'answered' if data else 'closed'

    async def test_cuts_that_overlap(self):
        """Guard against a cut that ends when another one does."""
        self.assertEqual('answered', await self.call())
        silent = self.network.cut(['a'], ['b'])
        self.assertEqual('silent', await self.call())
        resets = self.network.cut(['b'], ['a'], resets=True)
        self.assertEqual('refused', await self.call())
        await self.network.heal(resets)
        self.assertEqual('silent', await self.call())
        self.network.cut(['b'], ['a'], resets=True)
        await self.network.heal(silent)
        self.assertEqual('refused', await self.call())
        await self.network.heal()
        self.assertEqual('answered', await self.call())

    async def test_a_cut_while_another_one_is_healed(self):
        """Guard against a path that stays open or closed after a race."""
        for number in range(5):
            cut = self.network.cut(['a'], ['b'], resets=True)
            healing = asyncio.ensure_future(self.network.heal(cut))
            for _ in range(number):
                await asyncio.sleep(0)
            second = self.network.cut(['a'], ['b'], resets=True)
            await healing
            self.assertEqual('refused', await self.call())
            await self.network.heal(second)
            self.assertEqual('answered', await self.call())

    async def test_what_is_sent_during_a_silent_cut(self):
        """Guard against messages that a silent cut loses."""
        cut = self.network.cut(['a'], ['b'])
        reader, writer = await asyncio.open_connection(
            *self.address.split(':')
        )
        writer.write(_REQUEST)
        await asyncio.sleep(_TIMEOUT_S)
        self.assertEqual([], self.server.requests)
        await self.network.heal(cut)
        async with asyncio.timeout(_TIMEOUT_S):
            self.assertTrue(await reader.read(100))
        writer.transport.abort()

    async def test_what_arrives_after_its_connection_was_closed(self):
        """Guard against a late cut that loses what a closed connection sent.

        A new connection must not wait for it.
        """
        _, first = await asyncio.open_connection(*self.address.split(':'))
        # Their replies are on the way when the connection is closed.
        self.server.delay_s = 2 * _SETTLE_S
        for name in ('before', 'again'):
            first.write(_request(name))
            await asyncio.sleep(_SETTLE_S / 2)
        self.network.cut(['a'], ['b'], one_way=True, late_s=_LATE_S)
        self.network.cut(['b'], ['a'], one_way=True)
        self.server.delay_s = 0.0
        first.write(_request('late'))
        await asyncio.sleep(2 * _SETTLE_S)
        first.write(_request('last'))
        first.transport.abort()
        await self.network.heal()
        self.assertEqual('answered', await self.call())
        prompt = ['/before', '/again', '/']
        self.assertEqual(prompt, self.paths())
        await asyncio.sleep(_LATE_S)
        self.assertEqual([*prompt, '/late', '/last'], self.paths())

    async def test_a_cut_while_data_is_late(self):
        """Guard against late data that a second cut does not hold."""
        _, writer = await asyncio.open_connection(*self.address.split(':'))
        writer.write(_request('before'))
        await asyncio.sleep(_SETTLE_S)
        first = self.network.cut(['a'], ['b'], late_s=_LATE_S)
        writer.write(_request('late'))
        await asyncio.sleep(_SETTLE_S)
        await self.network.heal(first)
        second = self.network.cut(['a'], ['b'])
        await asyncio.sleep(_LATE_S + _SETTLE_S)
        self.assertEqual(['/before'], self.paths())
        await self.network.heal(second)
        await asyncio.sleep(_SETTLE_S)
        self.assertEqual(['/before', '/late'], self.paths())
        writer.transport.abort()

    async def test_a_cut_one_way(self):
        """Guard against a one-way cut that holds the other direction."""
        reader, writer = await asyncio.open_connection(
            *self.address.split(':')
        )
        writer.write(_REQUEST)
        self.assertTrue(await reader.read(100))
        cut = self.network.cut(['b'], ['a'], one_way=True)
        writer.write(_request('held'))
        await asyncio.sleep(_SETTLE_S)
        self.assertEqual(['/', '/held'], self.paths())
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(_TIMEOUT_S):
                await reader.read(100)
        self.assertEqual('silent', await self.call())
        await self.network.heal(cut)
        async with asyncio.timeout(_TIMEOUT_S):
            self.assertTrue(await reader.read(100))
        cut = self.network.cut(['a'], ['b'], one_way=True)
        writer.write(_request('lost'))
        await asyncio.sleep(_SETTLE_S)
        self.assertNotIn('/lost', self.paths())
        writer.transport.abort()

    async def test_packets_that_are_lost(self):
        """Guard against a cut that kernels do not see as lost packets.

        Theirs sends again what a process sent before it closed.
        """
        _, first = await asyncio.open_connection(*self.address.split(':'))
        first.write(_request('before'))
        await asyncio.sleep(_SETTLE_S)
        cut = self.network.cut(['a'], ['b'], drops=True)
        first.write(_request('late'))
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(_TIMEOUT_S):
                await asyncio.open_connection(*self.address.split(':'))
        first.transport.abort()
        await first.wait_closed()
        await self.network.heal(cut)
        self.assertEqual('answered', await self.call())
        self.assertEqual(['/before', '/'], self.paths())
        until_s = asyncio.get_running_loop().time() + _RESEND_S
        while asyncio.get_running_loop().time() < until_s:
            await asyncio.sleep(0.05)
            if '/late' in self.paths():
                return
        self.fail(f'not sent again within {_RESEND_S} s: {self.paths()}')

    async def test_lost_packets_of_one_direction(self):
        """Guard against lost packets that were not asked for."""
        reader, writer = await asyncio.open_connection(
            *self.address.split(':')
        )
        writer.write(_REQUEST)
        self.assertTrue(await reader.read(100))
        cut = self.network.cut(['b'], ['a'], one_way=True, drops=True)
        writer.write(_request('held'))
        await asyncio.sleep(_SETTLE_S)
        self.assertEqual(['/', '/held'], self.paths())
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(_TIMEOUT_S):
                await reader.read(100)
        self.assertEqual('silent', await self.call())
        await self.network.heal(cut)
        async with asyncio.timeout(_RESEND_S):
            self.assertTrue(await reader.read(100))
        writer.transport.abort()

    async def test_a_server_that_refuses_connections(self):
        """Guard against paths that accept what their server refuses."""
        self.server.refuse()
        self.assertIn(await self.call(), ('closed', 'refused'))
        self.assertEqual('refused', await self.call())
        await self.server.listen()
        await asyncio.sleep(_SETTLE_S)
        self.assertEqual('answered', await self.call())

    async def test_paths_that_are_asked_for_at_the_same_time(self):
        """Guard against an address that is given before it is known."""
        other = await self.enterAsyncContext(server_module.Server(self.answer))
        self.network.add('c', other.address)
        values = await asyncio.gather(
            *(
                self.network.translate('a', other.address.encode())
                for _ in range(3)
            )
        )
        self.assertEqual(1, len(set(values)))
        self.assertEqual(
            other.address.encode(), self.network.restore(values[0])
        )

    async def test_the_port_of_a_server_that_refuses_connections(self):
        """Guard against a path that gets the port of a server.

        Messages between daemons then reached a worker.
        """
        self.server.refuse()
        host, port = self.server.address.split(':')
        with socket.socket() as other, self.assertRaises(OSError):
            other.bind((host, int(port)))
        self.assertIn(await self.call(), ('closed', 'refused'))
