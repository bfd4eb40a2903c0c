"""Test TLS between daemons and between callers and the API."""

import logging
import pathlib
import ssl
import tempfile
import unittest

import httpx

from basilspindle import clock as clock_module
from basilspindle.daemon import api_server
from basilspindle.daemon import tls
from basilspindle import errors
from basilspindle import peer
from basilspindle.peer import messages
from basilspindle import settings
from tests.standins import certificates
from tests.standins import local_cluster


class TlsCase(unittest.IsolatedAsyncioTestCase):
    """Create two certificate authorities, of which one is trusted."""

    def setUp(self):
        # asyncio logs an error for every failed handshake.
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.trusted = certificates.Authority(pathlib.Path(folder), 'trusted')
        self.foreign = certificates.Authority(pathlib.Path(folder), 'foreign')

    def files(self, authority, name, ca=None):
        cert, key = authority.issue(name)
        return settings.PeerTls(
            cert_file=cert, key_file=key, ca_file=ca or authority.path
        )


class PeerTlsTest(TlsCase):
    """Guard against requests of processes outside the cluster.

    Only daemons have certificates of the trusted authority.
    """

    async def asyncSetUp(self):
        self.received = []
        server = await self.enterAsyncContext(
            peer.PeerServer(
                {messages.Drop: self.drop},
                ssl=tls.server_context(self.files(self.trusted, 'server')),
            )
        )
        await server.start('127.0.0.1', 0)
        self.address = f'127.0.0.1:{server.port}'

    async def drop(self, request):
        self.received.append(request)
        return messages.Dropped()

    async def call(self, context):
        client = await self.enterAsyncContext(
            peer.PeerClient(clock_module.Clock(), ssl=context)
        )
        request = messages.Drop(tasks=[])
        return await client.call(self.address, request, 3_000)

    async def test_daemons_of_the_cell_reach_each_other(self):
        reply = await self.call(
            tls.client_context(self.files(self.trusted, 'client'))
        )
        self.assertIsInstance(reply, messages.Dropped)

    async def test_others_are_not_served(self):
        anonymous = ssl.create_default_context(cafile=self.trusted.path)
        anonymous.check_hostname = False
        anonymous.set_alpn_protocols(['h2'])
        foreign = self.files(self.foreign, 'intruder', self.trusted.path)
        for context in (None, anonymous, tls.client_context(foreign)):
            with self.subTest(context=context):
                with self.assertRaises(errors.PeerError):
                    await self.call(context)
        self.assertEqual([], self.received)

    async def test_server_of_another_authority_is_not_called(self):
        distrusting = self.files(self.trusted, 'strict', self.foreign.path)
        with self.assertRaises(errors.PeerError):
            await self.call(tls.client_context(distrusting))
        self.assertEqual([], self.received)


class ApiTlsTest(TlsCase):
    """Guard against API keys sent without encryption."""

    async def test_callers_are_served_over_tls_only(self):
        cert, key = self.trusted.issue('api')
        address = f'127.0.0.1:{local_cluster.free_port()}'
        context = ssl.create_default_context(cafile=self.trusted.path)
        async with api_server.ApiServer(
            _hello, address, 1_000, cert_file=cert, key_file=key
        ):
            async with httpx.AsyncClient(verify=context) as client:
                answer = await client.get(f'https://{address}/')
                self.assertEqual(b'hello', answer.content)
                with self.assertRaises(httpx.HTTPError):
                    await client.get(f'http://{address}/')


async def _hello(scope, receive, send):
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    await send({'type': 'http.response.body', 'body': b'hello'})
