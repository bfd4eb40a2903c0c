"""Test that limits on clients leave ordinary requests as they are."""

import asyncio
import socket
import unittest

from basilspindle.cell import configuration as configuration_module
from basilspindle.platform import client_limits
from basilspindle.platform import connection_table
from basilspindle.platform import listener

_TIMEOUT_S = 10.0
# What clients within the configuration may send.
_HEAD_BYTES = 16_384
_BODY_BYTES = 262_144
_GET = b'GET /%d HTTP/1.1\r\nHost: h\r\n\r\n'
_HEAD_TIMEOUT_MS = 200


class _Server:
    """Listener whose application answers with path and size of the body."""

    def __init__(self, **settings):
        self.limits = client_limits.ClientLimits(
            client_limits.ClientSettings(**settings), 4_096, 2_696, 160
        )
        self.held = connection_table.HeldBytes(self.limits.max_held_bytes)
        self.table = connection_table.ConnectionTable(
            'callers',
            self.limits,
            self.held,
            self.limits.max_connections,
            refuses=True,
        )

        async def app(scope, receive, send):
            await self._answer(scope, receive, send)

        self.listener = listener.Listener(app, '127.0.0.1:0', self.table)
        # Paths that get their response only when this is set, and those that
        # get it before their body is read.
        self.may_answer = asyncio.Event()
        self.started = []
        self.scopes = []

    async def _answer(self, scope, receive, send):
        self.started.append(scope['path'])
        self.scopes.append(scope)
        size = 0
        more = not scope['path'].startswith('/early')
        while more:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return
            size += len(message['body'])
            more = message['more_body']
        if scope['path'].startswith('/slow'):
            await self.may_answer.wait()
        text = f'{scope["path"]} {size}\n'.encode()
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', str(len(text)).encode())],
            }
        )
        await send({'type': 'http.response.body', 'body': text})


class _Case(unittest.IsolatedAsyncioTestCase):
    async def serve(self, **settings):
        server = _Server(**settings)
        await self.enterAsyncContext(server.listener)
        return server

    async def connect(self, server):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', server.listener.port
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def read_text(self, reader):
        """Return the status and the body of the next response."""
        async with asyncio.timeout(_TIMEOUT_S):
            head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
            size = int(head.partition('content-length: ')[2].split()[0])
            body = await reader.readexactly(size)
        return int(head.split()[1]), body.decode().strip()

    async def read_end(self, reader):
        """Return what comes before the connection is closed."""
        async with asyncio.timeout(_TIMEOUT_S):
            try:
                return await reader.read()
            except ConnectionError:
                return b''


class OrdinaryTest(_Case):
    """Test requests within the limits of the configuration."""

    async def test_a_head_at_the_limit_is_served(self):
        """Guard against a limit that counts more than the head."""
        server = await self.serve()
        reader, writer = await self.connect(server)
        for _ in range(3):
            head = _GET[:-2] % 1
            field = b'ab: c\r\n'
            head += field * ((_HEAD_BYTES - len(head)) // len(field))
            writer.write(head + b'\r\n')
            self.assertEqual((200, '/1 0'), await self.read_text(reader))
        self.assertEqual(0, server.held.total_bytes)

    async def test_responses_are_sent_at_once(self):
        """Guard against responses that wait 40 ms for an acknowledgement."""
        server = await self.serve()
        reader, writer = await self.connect(server)
        writer.write(_GET % 1)
        await self.read_text(reader)
        (connection,) = server.table.idle
        sock = connection.transport.get_extra_info('socket')
        self.assertTrue(
            sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        )

    async def test_a_body_at_the_limit_is_served(self):
        """Guard against bodies that count as trailers or as too much."""
        server = await self.serve()
        reader, writer = await self.connect(server)
        start = b'POST /1 HTTP/1.1\r\nHost: h\r\n'
        writer.write(start + b'Content-Length: %d\r\n\r\n' % _BODY_BYTES)
        writer.write(b' ' * _BODY_BYTES)
        self.assertEqual((200, '/1 262144'), await self.read_text(reader))
        # The smallest chunks take six times the size of the body.
        writer.write(start + b'Transfer-Encoding: chunked\r\n\r\n')
        writer.write(b'1\r\n \r\n' * _BODY_BYTES + b'0\r\n\r\n')
        self.assertEqual((200, '/1 262144'), await self.read_text(reader))
        self.assertEqual(0, server.held.total_bytes)

    async def test_trailers_are_no_headers(self):
        """Guard against trailers that replace a header, such as a key."""
        server = await self.serve()
        reader, writer = await self.connect(server)
        writer.write(
            b'POST /1 HTTP/1.1\r\nA: 1\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'1\r\nx\r\n0\r\nA: 2\r\nB: 3\r\n\r\n'
        )
        self.assertEqual((200, '/1 1'), await self.read_text(reader))
        self.assertEqual(
            [(b'a', b'1'), (b'transfer-encoding', b'chunked')],
            server.scopes[0]['headers'],
        )

    async def test_an_idle_connection_stays(self):
        """Guard against a timer for heads that closes idle connections."""
        server = await self.serve(head_timeout_ms=_HEAD_TIMEOUT_MS)
        silent = await self.connect(server)
        reader, writer = await self.connect(server)
        # Some clients end a body with an empty line.
        writer.write(_GET % 1 + b'\r\n')
        await self.read_text(reader)
        writer.write(b'\r\n')
        await asyncio.sleep(3 * _HEAD_TIMEOUT_MS / 1000)
        for reader, writer in ((reader, writer), silent):
            writer.write(_GET % 2)
            self.assertEqual((200, '/2 0'), await self.read_text(reader))

    async def test_pipelined_requests_are_answered_in_order(self):
        """Guard against a pipeline that stops when reading is paused."""
        server = await self.serve()
        reader, writer = await self.connect(server)
        for _ in range(3):
            writer.write(b''.join(_GET % number for number in range(8)))
            for number in range(8):
                expected = (200, f'/{number} 0')
                self.assertEqual(expected, await self.read_text(reader))

    def test_a_configuration_may_raise_limits(self):
        """Guard against limits below what the configuration allows."""
        limits = client_limits.ClientLimits(
            client_limits.ClientSettings(), 4_096, 2_696
        )
        for configured in (
            configuration_module.RequestLimits(),
            configuration_module.RequestLimits(600_000, 90_000, 20_000),
        ):
            limits.configured = lambda: configured
            self.assertGreater(limits.max_head_bytes, 16_384)
            self.assertGreater(limits.head_timeout_s, 3.0)
            self.assertGreaterEqual(
                limits.max_head_bytes, configured.max_header_bytes
            )
            self.assertGreaterEqual(
                limits.max_body_bytes, configured.max_body_bytes
            )
            self.assertGreaterEqual(
                limits.head_timeout_s, configured.header_timeout_ms / 1000
            )


class RefusalTest(_Case):
    """Test what clients beyond the limits are told."""

    async def test_a_request_in_progress_keeps_its_response(self):
        """Guard against an error in the place of an earlier response."""
        endings = (
            (b'nonsense\r\n\r\n', {}),
            (_GET[:-2] % 2 + b'a: b\r\n' * 9_000, {}),
            (b''.join(_GET % number for number in range(40)), {}),
            (b'GET /', {'head_timeout_ms': _HEAD_TIMEOUT_MS}),
        )
        for ending, settings in endings:
            with self.subTest(ending=ending[:20]):
                server = await self.serve(**settings)
                reader, writer = await self.connect(server)
                writer.write(b'GET /slow HTTP/1.1\r\nHost: h\r\n\r\n')
                while not server.started:
                    await asyncio.sleep(0.01)
                writer.write(ending)
                await asyncio.sleep(2 * _HEAD_TIMEOUT_MS / 1000)
                server.may_answer.set()
                self.assertEqual(
                    (200, '/slow 0'), await self.read_text(reader)
                )
                rest = await self.read_end(reader)
                self.assertLessEqual(rest.count(b'HTTP/1.1 200'), 16)
                self.assertNotIn(b'HTTP/1.1 4', rest)
                self.assertNotIn(b'HTTP/1.1 5', rest)

    async def test_a_long_head_gets_431(self):
        """Guard against clients that do not learn what is wrong."""
        server = await self.serve()
        reader, writer = await self.connect(server)
        writer.write(_GET[:-2] % 1 + b'a: b\r\n' * 7_000)
        self.assertEqual(431, (await self.read_text(reader))[0])
        self.assertEqual([], server.started)

    async def test_a_slow_head_gets_408(self):
        """Guard against a head that holds its connection for good."""
        server = await self.serve(head_timeout_ms=_HEAD_TIMEOUT_MS)
        reader, writer = await self.connect(server)
        writer.write(b'GET /')
        self.assertEqual(408, (await self.read_text(reader))[0])

    async def test_the_rest_of_a_body_is_no_request(self):
        """Guard against a body that is parsed as the next request."""
        server = await self.serve()
        reader, writer = await self.connect(server)
        body = (_GET % 7) * 2_000
        writer.write(
            b'POST /early HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % len(body)
        )
        self.assertEqual((200, '/early 0'), await self.read_text(reader))
        writer.write(body + _GET % 8)
        self.assertEqual((200, '/8 0'), await self.read_text(reader))
        self.assertEqual(['/early', '/8'], server.started)

    async def test_a_body_without_end_is_not_read_on(self):
        """Guard against a refused body that is read for good."""
        server = await self.serve()
        reader, writer = await self.connect(server)
        writer.write(
            b'POST /early HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n'
        )
        self.assertEqual((200, '/early 0'), await self.read_text(reader))
        writer.write(b' ' * 2_000_000)
        self.assertEqual(b'', await self.read_end(reader))

    async def test_only_incomplete_requests_give_way(self):
        """Guard against a request that is forwarded and loses its caller."""
        server = await self.serve(max_held_bytes=300_000)
        slow_reader, slow_writer = await self.connect(server)
        body = b' ' * 100_000
        head = b'POST /%s HTTP/1.1\r\nContent-Length: %d\r\n\r\n'
        slow_writer.write(head % (b'slow', len(body)) + body)
        others = []
        for number in range(3):
            others.append(await self.connect(server))
            others[-1][1].write(head % (b'%d' % number, len(body)) + body[:-1])
            while len(server.started) < number + 2:
                await asyncio.sleep(0.01)
        self.assertEqual(b'', await self.read_end(others[0][0]))
        others[-1][1].write(b' ')
        self.assertEqual(
            (200, '/2 100000'), await self.read_text(others[-1][0])
        )
        server.may_answer.set()
        self.assertEqual(
            (200, '/slow 100000'), await self.read_text(slow_reader)
        )

    async def test_idle_connections_give_way(self):
        """Guard against a new connection that finds no room."""
        server = await self.serve(max_connections=4)
        idle = []
        for _ in range(4):
            idle.append(await self.connect(server))
            idle[-1][1].write(_GET % 1)
            await self.read_text(idle[-1][0])
        reader, writer = await self.connect(server)
        writer.write(_GET % 2)
        self.assertEqual((200, '/2 0'), await self.read_text(reader))
        self.assertEqual(b'', await self.read_end(idle[0][0]))
        idle[-1][1].write(_GET % 3)
        self.assertEqual((200, '/3 0'), await self.read_text(idle[-1][0]))

    async def test_requests_in_progress_keep_their_connections(self):
        """Guard against a response that is lost to a new connection."""
        server = await self.serve(max_connections=2)
        slow = [await self.connect(server) for _ in range(2)]
        for _, writer in slow:
            writer.write(b'GET /slow HTTP/1.1\r\nHost: h\r\n\r\n')
        while len(server.started) < 2:
            await asyncio.sleep(0.01)
        reader, writer = await self.connect(server)
        writer.write(_GET % 2)
        await asyncio.sleep(0.5)
        self.assertEqual(2, len(server.started))
        server.may_answer.set()
        for slow_reader, _ in slow:
            self.assertEqual(
                (200, '/slow 0'), await self.read_text(slow_reader)
            )
        self.assertEqual((200, '/2 0'), await self.read_text(reader))
